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
    caller_statement, ///< The statement text of a caller, sent unchanged with its id.
    execute,          ///< Execution of a prepared shape under the name that it has on this connection.
    prepare,
    set_value,
    reset,
    status,
    stop_receiving, ///< Orders a replica to stop receiving log entries of terms below the given one.
    resume_receiving,
    step_down, ///< Orders a primary of a lower term than the given one to become a replica.
};

} // namespace greengagehitch

MSGPACK_ADD_ENUM(greengagehitch::command_kind)

namespace greengagehitch {

/// One command on a connection to a member. The connector encodes it in the member's wire protocol.
struct member_command {
    command_kind kind = command_kind::caller_statement;
    std::string id;          ///< Id of the caller's statement; empty for commands of the proxy.
    std::string text;        ///< Statement text; set for caller_statement only.
    std::string name;        ///< Name of a session value, or of a prepared statement on this connection.
    std::string argument;    ///< Value to set, or arguments of an execution.
    prepared_shape prepared; ///< Shape to prepare; set for prepare only.
    /// Position that the member must have applied before it runs the command.
    std::optional<log_position> minimum_position;
    std::uint64_t term = 0; ///< Term of stop_receiving and step_down; 0 for other commands.
    MSGPACK_DEFINE(kind, id, text, name, argument, prepared, minimum_position, term)
};

enum class member_error {
    busy,
    lagging,
    read_only,
    wrong_member,
    too_many_connections,
    unknown_prepared,
    not_started, ///< Rejected before it was sent, since it could not leave the queue in time.
    failed,
    timed_out,
    malformed,
    connection_lost, ///< No complete answer arrived; the outcome of commands that were sent is unknown.
    refused,         ///< The connection was never opened, so nothing was sent.
    unproven_leader, ///< Not sent, since the member was not proven to be the only leader of its group.
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
    enum_name<member_error>{member_error::unproven_leader, "unproven_leader"},
};

} // namespace greengagehitch

MSGPACK_ADD_ENUM(greengagehitch::member_error)
MSGPACK_ADD_ENUM(greengagehitch::member_role)
MSGPACK_ADD_ENUM(greengagehitch::transaction_state)

namespace greengagehitch {

/// Returns true if the command certainly did not run, because the member rejected it or it was never sent.
constexpr bool is_not_run(member_error error)
{
    return error <= member_error::not_started || error == member_error::refused ||
           error == member_error::unproven_leader;
}

/// Returns true if the member returned the error; false if the connection failed or the queue rejected the
/// command.
constexpr bool is_answer(member_error error)
{
    return error != member_error::connection_lost && error != member_error::timed_out &&
           error != member_error::refused && error != member_error::not_started &&
           error != member_error::unproven_leader;
}

/// Replication status that a member reports for its own log.
struct replication_status {
    member_role role = member_role::replica;
    std::uint64_t term = 0;
    log_position received;
    std::uint64_t stopped_at_term = 0; ///< Term of the member's order to stop receiving; 0 for none.
    MSGPACK_DEFINE(role, term, received, stopped_at_term)
};

/// A member's answer to one command.
struct member_answer {
    std::optional<member_error> error;
    std::string error_text;
    std::vector<std::string> rows;
    std::string proof; ///< Text that the database returned with the result as proof; empty for none.
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position; ///< Applied position of the member.
    /// Set in answers to status, stop_receiving, resume_receiving and step_down.
    std::optional<replication_status> replication;
    /// Time after which room for the command is expected, in milliseconds; set with not_started, 0 if
    /// unknown.
    std::uint32_t retry_after_ms = 0;
    /// Set with refused when the member's host rejected the connection, which no failure of this VM explains.
    /// Not part of messages between VMs.
    bool is_refused_by_host = false;
    /// Set if the answer cannot be told from one that the connection delivered before, which the member may
    /// have repeated. Its error then guarantees nothing. Not part of messages between VMs.
    bool is_doubtful = false;
    /// Set in an answer to the handshake that arrives on an open connection. Not part of messages between
    /// VMs.
    bool is_handshake = false;
    /// Time before the command was sent at which the answer may have been true last, in milliseconds.
    std::uint32_t evidence_age_ms = 0;
    /// Set with connection_lost if the member answered with success, which cannot be passed on.
    bool is_withheld = false;

    bool is_ok() const { return !error.has_value(); }
    MSGPACK_DEFINE(error, error_text, rows, proof, state, position, replication, retry_after_ms,
                   evidence_age_ms, is_withheld)
};

/// Target of a connection, and the client account that uses it.
struct backend_connection_target {
    endpoint address;
    std::string group; ///< Database group that the member belongs to.
    /// Id of the expected member; another member at this address refuses the connection. Empty for any member
    /// of the group.
    std::string member;
    std::string client_account;
};

enum class backend_connection_id : std::uint64_t { none = 0 };

/// Callbacks of a connection. They are never called from within the call that causes them, nor after close().
struct backend_connection_events {
    std::function<void(member_answer)> opened;
    /// Called for each answer, in order. A member may answer a command more than once, and its handshake too.
    std::function<void(member_answer)> answered;
    std::function<void(member_error)> lost;
    /// Called when a part of an answer has arrived, but not yet the whole of it.
    std::function<void()> began_answer;
};

/// Hooks that open, use and close connections to members in the members' wire protocol.
struct backend_connection_hooks {
    std::function<backend_connection_id(backend_connection_target const&, backend_connection_events)> open;
    std::function<void(backend_connection_id, std::vector<member_command> const&)> send;
    std::function<void(backend_connection_id)> close;
};

} // namespace greengagehitch
