#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "database/batch.h"
#include "database_group/database_group.h"
#include "virtual_network.h"

namespace greengagehitch::standin {

/// Database groups in virtual time, reached over the virtual network.
class virtual_databases {
public:
    struct options {
        std::size_t slots = 5;
        std::size_t max_connections = 35;
        duration connection_delay{};
        duration ship_period{};
    };

    virtual_databases(virtual_clock& clock, virtual_network& network, options options);

    /// Adds a group with one member in each of `zones`.
    void add_group(std::string const& name, std::vector<std::string> const& zones,
                   std::vector<std::string> const& schema);

    database_group& group(std::string const& name) { return *m_groups.at(name).model; }
    std::vector<std::string> names() const;
    std::string zone_of(std::string const& group, std::size_t member) const
    {
        return m_groups.at(group).zones[member];
    }

    /// Row of the platform's table that describes a group.
    std::string encode_group_row(std::string const& name) const;

    /// Cuts one member off from all VMs, without touching its log shipping.
    void set_unreachable(std::string const& group, std::size_t member, bool is_unreachable);

    /// Share of answers that are lost together with their connection, after the work was done.
    void set_lost_answer_share(double share) { m_lost_answer_share = share; }

    /// Lets a test change answers on their way to the VMs, to break a promise on purpose.
    void set_answer_filter(std::function<void(batch const&, batch_answer&)> filter)
    {
        m_answer_filter = std::move(filter);
    }

    void set_request_filter(std::function<void(batch&)> filter) { m_request_filter = std::move(filter); }

    /// Hooks of one VM. `deliver` delivers a callback to the VM, or drops it when the VM is gone.
    database_hooks hooks(std::string const& zone, std::function<void(std::function<void()>)> const& deliver);

    /// Closes the connections that `zone`'s VM with this token opened.
    void close_all(std::uint64_t owner);
    std::uint64_t next_owner() const { return m_next_owner; }

    /// Follows the cuts of the network in the log shipping between members.
    void apply_network_cuts();

private:
    struct group_entry {
        std::unique_ptr<database_group> model;
        std::vector<std::string> zones;
        std::vector<bool> is_unreachable;
    };

    struct connection;

    void open(std::string const& zone, std::uint64_t owner,
              std::function<void(std::function<void()>)> const& deliver, std::uint64_t id,
              member_address const& address, open_callback const& on_opened);
    void execute(std::uint64_t id, batch const& request, batch_callback const& on_answered);
    void send_answer(std::shared_ptr<connection> const& current, batch_callback const& on_answered,
                     batch_answer const& result);
    void close(std::uint64_t id);
    void mark_stuck(std::shared_ptr<connection> const& stuck);
    bool is_cut(connection const& current) const;
    monotonic_time next_arrival(connection& current, monotonic_time& last);
    void ship_periodically(std::string const& name);

    virtual_clock& m_clock;
    virtual_network& m_network;
    options m_options;
    std::map<std::string, group_entry> m_groups;
    std::map<std::uint64_t, std::shared_ptr<connection>> m_connections;
    std::uint64_t m_next_connection = 1;
    std::uint64_t m_next_owner = 1;
    double m_lost_answer_share = 0;
    std::function<void(batch const&, batch_answer&)> m_answer_filter;
    std::function<void(batch&)> m_request_filter;
};

} // namespace greengagehitch::standin
