#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/member_entry.h"
#include "kernel/kernel.h"
#include "members/backend_connection.h"

namespace greengagehitch {

/// Connections on which a takeover orders the members of a group and asks for their status. Members answer
/// such commands without a slot.
class member_control {
public:
    struct event_hooks {
        /// The command that was sent at `sent_at` was answered.
        std::function<void(std::string const& member, replication_status const&, monotonic_time sent_at)>
            answered;
        /// The member's host refused the connection that was attempted at `started_at`, or no member of the
        /// group runs at the address (refused), or another member runs there (wrong_member).
        std::function<void(std::string const& member, member_error, monotonic_time started_at)> refused;
        /// The connection was lost, so the member may have restarted.
        std::function<void(std::string const& member, member_error)> lost;
    };

    member_control(kernel& kernel, backend_connection_hooks const& connection_hooks, std::string group,
                   event_hooks events)
        : m_kernel(kernel), m_connection_hooks(connection_hooks), m_group(std::move(group)),
          m_events(std::make_shared<event_hooks>(std::move(events)))
    {
    }

    /// Whether only the member with the id may answer at its address, or any member of the group, which then
    /// has the member's log.
    enum class recipient { member, address };

    /// Sends a command, and opens a connection first if there is none. Nothing is sent while it is being
    /// opened. A status that equals an earlier one of its connection counts from the command that was first
    /// answered so; once that is too long ago, the member is asked again on a new connection, which replaces
    /// the old one when the member has answered.
    void send(member_entry const& member, member_command const& command, recipient to);

    /// Reports the connections that were lost since the last call.
    void check_connections();

    /// Lets the members receive again for whose id `accepts` returns true.
    void resume_receiving(std::function<bool(std::string const&)> const& accepts);

private:
    backend_connection_pointer make_connection(member_entry const& member, recipient to);
    void ask_on_new_connection(member_entry const& member, member_command const& command, recipient to);
    void send_on(backend_connection_pointer const& connection, member_entry const& member,
                 member_command const& command, recipient to);

    kernel& m_kernel;
    backend_connection_hooks const& m_connection_hooks;
    std::string m_group;
    std::map<std::string, backend_connection_pointer> m_connections; ///< Keyed by member id.
    /// Connections that will replace those of the members, keyed by member id.
    std::map<std::string, backend_connection_pointer> m_replacements;
    /// Destroyed before the connections, which report their end when they are destroyed.
    std::shared_ptr<event_hooks> m_events;
};

} // namespace greengagehitch
