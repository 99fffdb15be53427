#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "base/enum_names.h"
#include "database/group_contract.h"
#include "sessions/session_statement.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

enum class command_kind {
    begin,
    begin_read,
    rollback,
    caller_statement, ///< A caller's text, sent unchanged with its id.
    execute,          ///< A caller's execution under the connection's name of the prepared shape.
    prepare,
    set_value,
    reset,
    status,
    stop_receiving, ///< A replica takes nothing more of terms below the one given.
    resume_receiving,
    step_down, ///< A primary of a lower term than the one given becomes a replica.
};

} // namespace greengagehitch

MSGPACK_ADD_ENUM(greengagehitch::command_kind)

namespace greengagehitch {

/// One command on a member connection. The dialect turns it into bytes.
struct member_command {
    command_kind kind = command_kind::caller_statement;
    std::string id;   ///< The caller's; empty for the proxy's own commands.
    std::string text; ///< For caller_statement.
    std::string name; ///< Of a value or a prepared statement, as the connection knows it.
    std::string argument;
    prepared_shape prepared;
    std::optional<log_position> floor; ///< Position that the member's log must contain.
    std::uint64_t term = 0;
    MSGPACK_DEFINE(kind, id, text, name, argument, prepared, floor, term)
};

enum class member_error {
    busy,
    lagging,
    read_only,
    wrong_member,
    too_many_connections,
    unknown_prepared,
    not_started, ///< Given up before it was sent, since the queue before the member was too long.
    failed,
    timed_out,
    malformed,
    connection_lost, ///< No whole answer came; for what was sent the fate is open.
    refused,         ///< The connection was never open, so nothing was sent.
};

inline constexpr std::array member_error_names{
    enum_name<member_error>{member_error::busy, "busy"},
    enum_name<member_error>{member_error::lagging, "lagging"},
    enum_name<member_error>{member_error::read_only, "read_only"},
    enum_name<member_error>{member_error::wrong_member, "wrong_member"},
    enum_name<member_error>{member_error::too_many_connections, "too_many_connections"},
    enum_name<member_error>{member_error::unknown_prepared, "unknown_prepared"},
    enum_name<member_error>{member_error::not_started, "not_started"},
    enum_name<member_error>{member_error::failed, "failed"},
    enum_name<member_error>{member_error::timed_out, "timed_out"},
    enum_name<member_error>{member_error::malformed, "malformed"},
    enum_name<member_error>{member_error::connection_lost, "connection_lost"},
    enum_name<member_error>{member_error::refused, "refused"},
};

} // namespace greengagehitch

MSGPACK_ADD_ENUM(greengagehitch::member_error)
MSGPACK_ADD_ENUM(greengagehitch::member_role)
MSGPACK_ADD_ENUM(greengagehitch::transaction_state)

namespace greengagehitch {

/// True when the member said that it did not run the command.
constexpr bool is_not_run(member_error error)
{
    return error <= member_error::not_started || error == member_error::refused;
}

/// True when the member itself said so, rather than the way to it.
constexpr bool is_answer(member_error error)
{
    return error != member_error::connection_lost && error != member_error::timed_out &&
           error != member_error::refused && error != member_error::not_started;
}

/// What a member says of its place in the group's log.
struct replication_status {
    member_role role = member_role::replica;
    std::uint64_t term = 0;
    log_position received;
    std::uint64_t stopped_at_term = 0; ///< Term at which it was told to stop receiving; 0 for none.
    MSGPACK_DEFINE(role, term, received, stopped_at_term)
};

/// A member's answer to one command.
struct member_answer {
    std::optional<member_error> error;
    std::string error_text;
    std::vector<std::string> rows;
    std::string proof;
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position;          ///< Of the member's readable log.
    std::optional<replication_status> replication; ///< With answers to commands about the group.

    bool is_ok() const { return !error.has_value(); }
    MSGPACK_DEFINE(error, error_text, rows, proof, state, position, replication)
};

/// Whom to connect to, and for whom.
struct backend_connection_target {
    endpoint address;
    std::string group;  ///< Database group that the member belongs to.
    std::string member; ///< Expected identity; another member at this address refuses.
    std::string client_account;
};

enum class backend_connection_id : std::uint64_t { none = 0 };

/// What a connection reports. Nothing comes inside the call that caused it, and nothing after close().
struct backend_connection_events {
    std::function<void(member_answer)> opened;
    std::function<void(member_answer)> answered; ///< One for each command, in order.
    std::function<void(member_error)> lost;
};

/// Connections to members, in the members' own dialect.
struct backend_connection_hooks {
    std::function<backend_connection_id(backend_connection_target const&, backend_connection_events)> open;
    std::function<void(backend_connection_id, std::vector<member_command> const&)> send;
    std::function<void(backend_connection_id)> close;
};

} // namespace greengagehitch
