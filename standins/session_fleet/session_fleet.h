#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "session_vm/session_vm.h"
#include "virtual_clock.h"
#include "virtual_database_group.h"

namespace greengagehitch::standin {

struct session_fleet_shape {
    std::vector<std::string> zones{"a", "a", "b", "b", "c"}; ///< Of each VM.
    std::size_t groups = 1;
    std::size_t accounts = 2;
    double rate = 1'000; ///< Of each account, over the fleet.
    duration latency = std::chrono::milliseconds(1);
    virtual_database_group::options group;
};

/// VMs that serve sessions, their database groups and the platform's store, in virtual time.
class session_fleet {
public:
    session_fleet(session_fleet_shape shape, std::uint64_t seed);
    ~session_fleet();
    session_fleet(session_fleet const&) = delete;
    session_fleet& operator=(session_fleet const&) = delete;
    session_fleet(session_fleet&&) = delete;
    session_fleet& operator=(session_fleet&&) = delete;

    virtual_clock& clock() { return m_clock; }
    virtual_database_group& group(std::size_t index = 0) { return *m_groups[index]; }
    std::size_t vms() const { return m_vms.size(); }
    session_vm& vm(std::size_t index) { return *m_vms[index]->vm; }
    bool is_running(std::size_t index) const { return m_vms[index]->vm != nullptr; }

    void kill_vm(std::size_t index);
    void start_vm(std::size_t index);

    /// Cuts a VM from the store, or mends it.
    void set_store_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_store = !is_cut; }
    /// Sets whether the platform's list names a VM, for reads from now on.
    void set_listed(std::size_t index, bool is_listed) { m_vms[index]->is_listed = is_listed; }
    /// Cuts a VM from all members, or mends it.
    void set_member_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_members = !is_cut; }
    /// Cuts a VM from its peers, or mends it.
    void set_peer_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_peers = !is_cut; }

    /// Puts a new version of the configuration in force, after a change to it.
    void change_configuration(std::function<void(served_configuration&)> const& change);

    /// Marks a member as draining in the directory.
    void drain_member(std::string const& id);

    /// Promotions that were carried out, and orders that broke the order of fences.
    std::size_t promotions() const { return m_promotions; }
    std::size_t stale_promotion_orders() const { return m_stale_promotion_orders; }

    static std::string key_of(std::size_t account) { return "key-" + std::to_string(account); }
    static std::string account_name(std::size_t account) { return "account-" + std::to_string(account); }
    static std::string database_of(std::size_t group, read_consistency consistency);

private:
    struct virtual_vm {
        std::size_t index = 0;
        std::string name;
        std::string zone;
        endpoint address;
        std::unique_ptr<session_vm> vm;
        std::uint64_t incarnation = 0;
        bool can_reach_store = true;
        bool can_reach_peers = true;
        bool can_reach_members = true;
        bool is_listed = true;
    };

    struct store_entry {
        std::string value;
        std::uint64_t version = 0;
    };

    session_vm_hooks make_hooks(std::size_t index);
    void run_after_latency(std::size_t index, std::function<void(session_vm&)> callback);
    virtual_vm* find_vm(std::string const& name);
    virtual_vm* find_vm(endpoint const& address);
    bool can_exchange_messages(virtual_vm const& from, virtual_vm const& to) const
    {
        return from.can_reach_peers && to.can_reach_peers;
    }
    void send_message(std::size_t from, std::string const& to, std::string const& message);
    void reply(std::size_t from, channel_id to, std::string const& message);
    void publish_configuration();
    void open_connection(std::uint64_t number, backend_connection_target const& target,
                         backend_connection_events events);
    void execute_promotion(promotion_order const& order, std::function<void(absl::Status)> done);
    member_directory make_directory() const;

    session_fleet_shape m_shape;
    virtual_clock m_clock;
    std::vector<std::unique_ptr<virtual_database_group>> m_groups;
    std::map<std::string, virtual_database_group*> m_group_of_member;
    std::map<std::uint64_t, virtual_database_group*> m_group_of_connection;
    std::uint64_t m_next_connection = 1;
    std::set<std::string> m_draining;
    served_configuration m_configuration;
    std::vector<std::unique_ptr<virtual_vm>> m_vms;
    std::map<std::string, store_entry> m_store;
    std::uint64_t m_store_version = 1;
    std::map<std::string, std::uint64_t> m_fences;
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> m_channels; ///< Client and server VM.
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> m_channel_of;
    std::uint64_t m_next_channel = 1;
    std::size_t m_promotions = 0;
    std::size_t m_stale_promotion_orders = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// A caller with a session at one VM.
class session_caller {
public:
    session_caller(session_fleet& fleet, std::size_t vm, std::string const& database, std::string const& key);

    bool is_open() const { return m_session != nullptr; }
    std::optional<session_error> open_error() const { return m_open_error; }

    /// Sends a statement; its answer is kept.
    void send(session_statement statement);
    /// Sends a statement and runs the clock until its answer.
    session_answer send_and_wait(session_statement statement);

    std::vector<session_answer> const& answers() const { return *m_answers; }
    bool was_closed() const { return *m_was_closed; }
    void disconnect();

    // Statements, with ids that no other caller uses.
    static session_statement read(std::string const& item);
    static session_statement write(std::string const& item);
    static session_statement make_statement(statement_kind kind, std::string const& text);
    static session_statement set(std::string const& name, std::string const& value);
    static session_statement prepare(std::string const& name, bool is_write, std::string const& shape);
    static session_statement execute(std::string const& name, std::string const& arguments);

private:
    session_fleet& m_fleet;
    std::shared_ptr<client_session> m_session;
    std::optional<session_error> m_open_error;
    std::shared_ptr<std::vector<session_answer>> m_answers = std::make_shared<std::vector<session_answer>>();
    std::shared_ptr<bool> m_was_closed = std::make_shared<bool>(false);
};

} // namespace greengagehitch::standin
