#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "members/member_command.h"
#include "virtual_clock.h"

namespace greengagehitch::standin {

/// Passes the commands of one VM and the answers of members as bytes of the line protocol. The product
/// encodes commands and reads answers, as on a socket. A reader of the stand-in's own, which shares no code
/// with the product, reads the commands and passes each message that it finds to the member.
class member_wire : public std::enable_shared_from_this<member_wire> {
public:
    /// `on_unreadable` receives each message that a member cannot read, which also ends its connection.
    member_wire(virtual_clock& clock, backend_connection_hooks members,
                std::function<void(std::string const&)> on_unreadable);

    /// Returns the hooks for the VM, which share the ownership of the wire.
    backend_connection_hooks hooks();

private:
    struct connection;
    using connection_pointer = std::shared_ptr<connection>;

    backend_connection_id open(backend_connection_target const& target, backend_connection_events events);
    void send(backend_connection_id id, std::vector<member_command> const& commands);
    void close(backend_connection_id id);
    /// Handles the answer to the handshake.
    void handle_opened(connection_pointer const& to, member_answer const& answer);
    /// Passes bytes of a member to the VM in two packets, which may be split anywhere.
    void deliver(connection_pointer const& to, std::string const& bytes);
    void handle_line(connection_pointer const& to, std::string const& line);
    /// Ends a connection whose bytes cannot be read.
    void fail(connection_pointer const& to);

    virtual_clock& m_clock;
    backend_connection_hooks m_members;
    std::function<void(std::string const&)> m_on_unreadable;
    std::map<backend_connection_id, connection_pointer> m_connections;
};

} // namespace greengagehitch::standin
