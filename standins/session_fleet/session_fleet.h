#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_wire.h"
#include "session_vm/session_vm.h"
#include "statement_ledger.h"
#include "virtual_clock.h"
#include "virtual_database_group.h"

namespace greengagehitch::standin {

/// Size and timing of a session fleet.
struct session_fleet_shape {
    std::vector<std::string> zones{"a", "a", "b", "b", "c"}; ///< Availability zone of each VM.
    std::size_t groups = 1;                                  ///< Number of database groups.
    std::size_t accounts = 2;                                ///< Number of client accounts.
    bool vms_rely_on_fences = true; ///< Whether VMs assume that a replaced leader rejects transactions.
    double rate = 1'000; ///< Rate limit and burst of each account across the fleet, in statements per second.
    /// One-way network delay between VMs; a request to the store takes as long until its answer arrives.
    duration latency = std::chrono::milliseconds(1);
    virtual_database_group::options group;
    /// Whether all VMs receive the configuration and the member directory periodically. Otherwise the test
    /// passes them to fleet_state.
    bool publishes_documents = true;
    /// Whether commands, statements and their answers pass as bytes of the line protocol.
    bool passes_wire = false;
};

/// Simulates VMs that serve sessions, their database groups and the platform's store in virtual time.
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
    /// Returns the record of all statements of callers, and of the rules that were broken.
    statement_ledger& ledger() { return m_ledger; }
    std::size_t vms() const { return m_vms.size(); }
    /// Returns a VM that is running.
    session_vm& vm(std::size_t index) { return *m_vms[index]->vm; }
    bool is_running(std::size_t index) const { return m_vms[index]->vm != nullptr; }
    bool passes_wire() const { return m_shape.passes_wire; }

    /// Stops a VM at once. Its peers and members learn of the loss after the latency.
    void kill_vm(std::size_t index);
    /// Stops a VM once it has drained.
    void stop_vm(std::size_t index);
    void start_vm(std::size_t index);

    /// Cuts a VM off from the store, or reconnects it.
    void set_store_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_store = !is_cut; }
    /// Sets the time after which a call to the store fails if its VM is cut off from it. The default is the
    /// latency, as if the store refused the call.
    void set_store_timeout(duration timeout) { m_store_timeout = timeout; }
    /// Sets whether later reads of the platform's VM list include a VM.
    void set_listed(std::size_t index, bool is_listed) { m_vms[index]->is_listed = is_listed; }
    /// Cuts a VM off from all database members, or reconnects it.
    void set_member_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_members = !is_cut; }
    /// Cuts a VM off from its peers, or reconnects it.
    void set_peer_cut(std::size_t index, bool is_cut) { m_vms[index]->can_reach_peers = !is_cut; }

    /// Lets a member's machine refuse the connections of one VM only, or accept them again. Commands on open
    /// connections get no answer meanwhile.
    void set_member_refused(std::size_t vm, std::string const& member, bool is_refused)
    {
        if (is_refused) {
            m_refused.insert({vm, member});
        }
        else {
            m_refused.erase({vm, member});
        }
    }
    /// Cuts one VM off from one member, or reconnects it. Connections and commands get no answer meanwhile.
    void set_member_silent(std::size_t vm, std::string const& member, bool is_silent)
    {
        if (is_silent) {
            m_silent.insert({vm, member});
        }
        else {
            m_silent.erase({vm, member});
        }
    }
    /// Cuts two zones off from each other only, or reconnects them. Their members exchange no log entries.
    void set_zone_pair_cut(std::string const& first, std::string const& second, bool is_cut)
    {
        if (is_cut) {
            m_cut_pairs.insert({first, second});
        }
        else {
            m_cut_pairs.erase({first, second});
        }
    }
    /// Lets a VM answer pings as builds did that did not number them.
    void set_numbers_no_pings(std::size_t vm) { m_without_ping_numbers.insert(vm); }

    /// How the store treats the writes of one row.
    struct row_faults {
        bool rejects_writes = false;
        /// Time after which a write without an answer is carried out if its condition still holds then.
        std::optional<duration> write_delay;
    };
    /// Returns the faults of a row, which a test changes.
    row_faults& faults_of_row(std::string const& key) { return m_row_faults[key]; }
    /// Writes a row as another writer.
    void set_row(std::string const& key, std::string const& value)
    {
        m_store[key] = {value, m_store_version++};
    }
    /// Lets the store and the platform's calls answer VMs a second time after `delay`, or only once again if
    /// there is no delay.
    void set_call_repetition_delay(std::optional<duration> delay) { m_call_repetition_delay = delay; }
    /// Returns the value of a row; empty if there is none.
    std::string const& row(std::string const& key) { return m_store[key].value; }

    /// Makes a member answer single statements of callers with the error `busy`, without running them, or
    /// ends this. A transaction stays open. Statements that are sent together with other commands run.
    void set_member_busy(std::string const& id, bool is_busy);

    /// Cuts a zone off from the other zones and the store, or reconnects it. The VMs of the zone still reach
    /// its members.
    void set_zone_cut(std::string const& zone, bool is_cut);
    /// Cuts the VMs of a zone off from the other zones, and its members from the VMs there, or reconnects
    /// them. Connections across the cut are refused instead of remaining without an answer; members go on
    /// replicating across it, and the store stays in reach.
    void set_zone_refused(std::string const& zone, bool is_refused);

    /// Applies `change` to the configuration and increments its version. VMs receive it with the next
    /// periodic publication.
    void change_configuration(std::function<void(served_configuration&)> const& change);

    /// Sets whether the platform fails to carry out promotion orders, and reports so after 500 ms.
    void set_orders_fail(bool do_fail) { m_do_orders_fail = do_fail; }
    /// Lets the platform leave the next promotion order unanswered and carry it out after `delay`, if its
    /// fence is still the highest then.
    void delay_next_order(duration delay) { m_next_order_delay = delay; }
    /// Lets the platform treat all promotion orders as `delay_next_order` does, or answer them at once again
    /// if there is no delay. Orders that were delayed before are carried out as before.
    void set_order_delay(std::optional<duration> delay) { m_order_delay = delay; }
    /// Returns the member of the last delayed order; empty if there was none.
    std::string const& delayed_order() const { return m_delayed_order.member; }
    /// Returns the index of the VM that sent the last delayed order. There must be one.
    std::size_t delayed_order_vm() { return find_vm(m_delayed_order.holder)->index; }
    /// Returns the member that the last promotion order names; empty if there was none.
    std::string const& last_ordered() const { return m_last_ordered; }
    /// Returns the number of promotion orders that VMs have sent.
    std::size_t sent_orders() const { return m_sent_orders; }

    /// Marks a member as draining in the directory.
    void drain_member(std::string const& id);

    /// Starts a further replica of a group. Its id ends with the name of its zone. It is not in the directory
    /// until list_member() is called.
    void add_unlisted_replica(std::string const& id, std::size_t group = 0);
    void list_member(std::string const& id) { m_unlisted.erase(id); }
    /// Removes a member's entry from the directory, as if the member were cut off from the store.
    void unlist_member(std::string const& id) { m_unlisted.insert(id); }

    /// Sets the function that receives the log records of all VMs.
    void set_on_log(std::function<void(log_record const&)> on_log) { m_on_log = std::move(on_log); }

    /// Returns the total size of the datagrams that VMs have sent, without headers.
    std::size_t datagram_bytes() const { return m_datagram_bytes; }
    /// Returns the number of accepted promotion orders for members that were not the leader.
    std::size_t promotions() const { return m_promotions; }
    /// Returns the number of promotion orders that were rejected because a higher fence had been seen.
    std::size_t stale_promotion_orders() const { return m_stale_promotion_orders; }

    static std::string key_of(std::size_t account) { return "key-" + std::to_string(account); }
    static std::string account_name(std::size_t account) { return "account-" + std::to_string(account); }
    /// Returns the database, and its only class of work, with this consistency in a group.
    static std::string database_of(std::size_t group, read_consistency consistency);

private:
    struct virtual_vm {
        std::size_t index = 0;
        std::string name;
        std::string zone;
        endpoint address;
        std::unique_ptr<session_vm> vm; ///< Null while the VM is down.
        std::uint64_t incarnation = 0;  ///< Number of times that the VM was started.
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
    /// Returns a callback that is called a second time later, if the calls of VMs are to be answered twice.
    template <typename callback>
    callback repeated(callback done)
    {
        return [this, done = std::move(done)](auto const& answer) {
            if (m_call_repetition_delay) {
                m_clock.start_timer(*m_call_repetition_delay, [done, answer] { done(answer); });
            }
            done(answer);
        };
    }
    /// Runs a callback in a VM after the latency, or drops it if that incarnation of the VM has ended.
    void run_after_latency(std::size_t index, std::function<void(session_vm&)> callback);
    /// Lets a call to the store that was not answered fail.
    void fail_call(std::function<void(absl::Status const&)> done);
    virtual_vm* find_vm(std::string const& name);
    virtual_vm* find_vm(endpoint const& address);
    bool can_exchange_messages(virtual_vm const& from, virtual_vm const& to) const
    {
        return from.can_reach_peers && to.can_reach_peers && can_reach_zone(from.zone, to.zone);
    }
    bool can_reach_zone(std::string const& from, std::string const& to) const
    {
        return from == to || (!m_cut_zones.contains(from) && !m_cut_zones.contains(to) &&
                              !m_cut_pairs.contains({from, to}) && !m_cut_pairs.contains({to, from}));
    }
    bool can_reach_member(virtual_vm const& from, std::string const& member) const
    {
        return from.can_reach_members && !m_refused.contains({from.index, member}) &&
               !m_silent.contains({from.index, member}) &&
               can_reach_zone(from.zone, m_zone_of_member.at(member));
    }
    void send_message(std::size_t from, std::string const& to, std::string const& message);
    void reply(std::size_t from, channel_id to, std::string const& message);
    /// Passes the configuration and the member directory to all VMs that can reach the store, periodically.
    void publish_configuration();
    void close_connection(std::uint64_t number);
    void open_connection(std::uint64_t number, backend_connection_target const& target,
                         backend_connection_events events);
    /// Returns the id of the member at an address; empty if there is none.
    std::string member_at(endpoint const& address) const;
    /// Returns whether a busy member answers these commands itself, which it then does after the latency.
    bool answers_busy(std::uint64_t number, std::vector<member_command> const& commands);
    using put_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;
    void put_row(virtual_vm const& vm, std::string const& key, std::uint64_t expected,
                 std::string const& value, put_callback const& done);
    /// Checks the fence of a promotion order after the latency, and promotes the member if it is current.
    void execute_promotion(promotion_order const& order, std::function<void(absl::Status)> done);
    /// Notes the group, the zone and the address of a new member.
    void add_member(std::string const& id, std::size_t group);
    /// Returns the directory of all members that are not down.
    member_directory make_directory() const;

    session_fleet_shape m_shape;
    virtual_clock m_clock;
    statement_ledger m_ledger;
    std::vector<std::unique_ptr<virtual_database_group>> m_groups;
    std::map<std::string, virtual_database_group*> m_group_of_member;       ///< Keyed by member id.
    std::map<std::uint64_t, virtual_database_group*> m_group_of_connection; ///< Keyed by connection number.
    std::map<std::uint64_t, std::string> m_member_of_connection;            ///< Keyed by connection number.
    std::map<std::uint64_t, std::size_t> m_vm_of_connection;                ///< Keyed by connection number.
    /// Delivers the answers of members, keyed by connection number.
    std::map<std::uint64_t, std::function<void(member_answer)>> m_answered;
    /// State of the transaction in the last answer, keyed by connection number.
    std::map<std::uint64_t, transaction_state> m_state_of_connection;
    std::function<void(log_record const&)> m_on_log;
    std::set<std::string> m_busy;                        ///< Ids of the members that answer with `busy`.
    std::map<std::string, std::string> m_zone_of_member; ///< Keyed by member id.
    std::map<std::string, endpoint> m_address_of_member; ///< Keyed by member id.
    std::set<std::string> m_cut_zones;
    std::set<std::pair<std::string, std::string>> m_cut_pairs;
    std::set<std::pair<std::size_t, std::string>> m_refused; ///< VMs that members refuse, with the members.
    std::set<std::pair<std::size_t, std::string>>
        m_silent;                                 ///< VMs that members do not answer, with the members.
    std::set<std::size_t> m_without_ping_numbers; ///< Indexes of VMs.
    bool m_are_connections_refused = false;       ///< Whether connections across a cut are refused.
    std::uint64_t m_next_connection = 1;
    std::set<std::string> m_draining; ///< Ids of the draining members.
    std::set<std::string> m_unlisted; ///< Ids of the members that are not in the directory.
    served_configuration m_configuration;
    std::vector<std::unique_ptr<virtual_vm>> m_vms;
    std::unordered_map<std::string, virtual_vm*> m_vm_of_name;
    std::unordered_map<std::string, virtual_vm*> m_vm_of_host; ///< Keyed by the host of the VM's address.
    std::map<std::string, store_entry> m_store;
    std::uint64_t m_store_version = 1;
    std::map<std::string, row_faults> m_row_faults; ///< Keyed by the key of the row.
    std::optional<duration> m_call_repetition_delay;
    std::optional<duration> m_store_timeout;
    std::map<std::string, std::uint64_t> m_fences; ///< Highest fence seen, keyed by group.
    /// Indexes of the client VM and the server VM, keyed by channel number.
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> m_channels;
    /// Channel numbers, keyed by the indexes of the client VM and the server VM.
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> m_channel_of;
    std::uint64_t m_next_channel = 1;
    std::size_t m_datagram_bytes = 0;
    std::size_t m_promotions = 0;
    bool m_do_orders_fail = false;
    std::optional<duration> m_next_order_delay;
    std::optional<duration> m_order_delay;
    promotion_order m_delayed_order; ///< Last delayed order.
    std::string m_last_ordered;      ///< Member that the last order names.
    std::size_t m_sent_orders = 0;
    std::size_t m_stale_promotion_orders = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Caller with a session at one VM.
class session_caller {
public:
    session_caller(session_fleet& fleet, std::size_t vm, std::string const& database, std::string const& key);

    bool is_open() const { return m_session != nullptr; }
    std::optional<session_error> open_error() const { return m_open_error; }

    /// Sends a statement; its answer is appended to `answers()`.
    void send(session_statement statement);
    /// Sends a statement and runs the clock until it is answered. Returns an answer with the error
    /// `timed_out` when there is none within 20 seconds.
    session_answer send_and_wait(session_statement statement);

    std::vector<session_answer> const& answers() const { return *m_answers; }
    /// Returns whether the VM has closed the session.
    bool was_closed() const { return *m_was_closed; }
    void disconnect();

    // Statements with ids that are unique in the process.
    static session_statement read(std::string const& item);
    static session_statement write(std::string const& item, std::string const& data = "data");
    static session_statement make_statement(statement_kind kind, std::string const& text);
    static session_statement set(std::string const& name, std::string const& value);
    static session_statement prepare(std::string const& name, bool is_write, std::string const& shape);
    static session_statement execute(std::string const& name, std::string const& arguments);
    static session_statement deallocate(std::string const& name);

private:
    void open(std::size_t vm, std::string const& database, std::string const& key,
              std::function<void(session_answer)> on_answer);
    /// Ends the session at the VM, which does not accept a message.
    void end();

    session_fleet& m_fleet;
    std::shared_ptr<caller_wire> m_wire; ///< Null if messages pass without bytes.
    statement_ledger::session_number m_number = statement_ledger::session_number::none;
    std::shared_ptr<client_session> m_session;
    std::optional<session_error> m_open_error;
    std::shared_ptr<std::vector<session_answer>> m_answers = std::make_shared<std::vector<session_answer>>();
    std::shared_ptr<bool> m_was_closed = std::make_shared<bool>(false);
};

} // namespace greengagehitch::standin
