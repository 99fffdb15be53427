#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "database/batch.h"
#include "database_group/database_group.h"
#include "virtual_network.h"

namespace greengagehitch::standin {

/// Simulates database groups that VMs reach over the virtual network.
class virtual_databases {
public:
    struct options {
        std::size_t slots = 5;            ///< Batches that one member executes at a time.
        std::size_t max_connections = 35; ///< Connections that one member accepts.
        duration connection_delay{};      ///< Time to open a connection, without the round trip.
        duration ship_period{};           ///< Interval between shipments of the log to replicas.
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

    /// Returns the row of the platform's table that describes a group, as JSON.
    std::string encode_group_row(std::string const& name) const;

    /// Cuts one member off from all VMs, or reconnects it. Log shipping to and from the member continues.
    void set_unreachable(std::string const& group, std::size_t member, bool is_unreachable);

    /// Sets the fraction of answers that are lost together with their connection after the batch was
    /// executed.
    void set_lost_answer_share(double share) { m_lost_answer_share = share; }

    /// Sets a function that changes answers before they are sent to the VMs. Tests use it to break a
    /// guarantee of the databases on purpose and to check that the violation is detected.
    void set_answer_filter(std::function<void(batch const&, batch_answer&)> filter)
    {
        m_answer_filter = std::move(filter);
    }

    /// Sets a function that changes batches before a member executes them, for the same purpose.
    void set_request_filter(std::function<void(batch&)> filter) { m_request_filter = std::move(filter); }

    /// Returns the database hooks of one VM. `deliver` runs a callback in the VM, or drops the callback if
    /// the VM is no longer running.
    database_hooks hooks(std::string const& zone, std::function<void(std::function<void()>)> const& deliver);

    /// Closes all connections that were opened through the hooks with this owner number.
    void close_all(std::uint64_t owner);
    /// Returns the owner number of the hooks that are made next.
    std::uint64_t next_owner() const { return m_next_owner; }

    /// Applies the current cuts of the network to the log shipping between members. Call it after every
    /// change of the cuts.
    void apply_network_cuts();

private:
    struct group_entry {
        std::unique_ptr<database_group> model;
        std::vector<std::string> zones;   ///< Availability zone of each member.
        std::vector<bool> is_unreachable; ///< Whether each member is cut off from all VMs.
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
    monotonic_time next_arrival(connection& current, monotonic_time& last_arrival);
    void ship_periodically(std::string const& name);

    virtual_clock& m_clock;
    virtual_network& m_network;
    options m_options;
    std::map<std::string, group_entry> m_groups; ///< Keyed by group name.
    std::map<std::uint64_t, std::shared_ptr<connection>> m_connections;
    std::uint64_t m_next_connection = 1;
    std::uint64_t m_next_owner = 1;
    double m_lost_answer_share = 0;
    std::function<void(batch const&, batch_answer&)> m_answer_filter;
    std::function<void(batch&)> m_request_filter;
};

} // namespace greengagehitch::standin
