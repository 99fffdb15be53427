#pragma once

#include <array>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "database/group_contract.h"
#include "sessions/session_statement.h"

namespace greengagehitch {

/// Reason why a statement of a session has no result. The first six guarantee that the attempt had no effect.
enum class session_error {
    busy,
    aborted,
    lagging,
    read_only,
    wrong_member,
    too_many_connections,
    failed,
    timed_out,
    in_doubt, ///< A commit or single write was sent and its outcome is unknown.
    unknown_key,
    unknown_database,
    unknown_prepared,
    too_large,
    malformed,
};

inline constexpr std::array session_error_names{
    enum_name<session_error>{session_error::busy, "busy"},
    enum_name<session_error>{session_error::aborted, "aborted"},
    enum_name<session_error>{session_error::lagging, "lagging"},
    enum_name<session_error>{session_error::read_only, "read_only"},
    enum_name<session_error>{session_error::wrong_member, "wrong_member"},
    enum_name<session_error>{session_error::too_many_connections, "too_many_connections"},
    enum_name<session_error>{session_error::failed, "failed"},
    enum_name<session_error>{session_error::timed_out, "timed_out"},
    enum_name<session_error>{session_error::in_doubt, "in_doubt"},
    enum_name<session_error>{session_error::unknown_key, "unknown_key"},
    enum_name<session_error>{session_error::unknown_database, "unknown_database"},
    enum_name<session_error>{session_error::unknown_prepared, "unknown_prepared"},
    enum_name<session_error>{session_error::too_large, "too_large"},
    enum_name<session_error>{session_error::malformed, "malformed"},
};

/// Returns true if the error guarantees that the attempt had no effect, so that the statement can be retried
/// without a risk of running twice.
constexpr bool guarantees_no_effect(session_error error)
{
    return error <= session_error::too_many_connections;
}

/// Reason why statements of a session that were received get no answer.
enum class session_end {
    caller_left,     ///< The caller closed its connection, or it failed.
    invalid_message, ///< The caller sent a message that has no place here, so its connection was closed.
    closed_by_vm,    ///< This VM closed the connection.
};

inline constexpr std::array session_end_names{
    enum_name<session_end>{session_end::caller_left, "caller_left"},
    enum_name<session_end>{session_end::invalid_message, "invalid_message"},
    enum_name<session_end>{session_end::closed_by_vm, "closed_by_vm"},
};

/// Reason why a session is not opened.
struct session_refusal {
    session_error error = session_error::busy;
    std::string text; ///< Details for the caller; may be empty.
};

/// Answer to one statement of a session.
struct session_answer {
    std::optional<session_error> error;
    std::string error_text;
    duration retry_after{}; ///< Delay before a retry, for errors that guarantee no effect; 0 for at once.
    std::vector<std::string> rows;
    /// Text that the database returned with the result as proof; empty if the database returned none or the
    /// session answered the statement without it.
    std::string proof;
    transaction_state state = transaction_state::idle;
    std::optional<log_position> position; ///< Applied position that the member reported with the answer.

    bool is_ok() const { return !error.has_value(); }
};

} // namespace greengagehitch
