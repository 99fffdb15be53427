#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <msgpack.hpp>

#include "base/enum_names.h"
#include "database/statement.h"

namespace greengagehitch {

/// Position in a database group's log. Positions are ordered by term, then by position within the term.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    auto operator<=>(log_position const&) const = default;
    MSGPACK_DEFINE(term, position)
};

enum class member_role { replica, primary };

inline constexpr std::array member_role_names{
    enum_name<member_role>{member_role::replica, "replica"},
    enum_name<member_role>{member_role::primary, "primary"},
};

/// Status of one member, as returned by database_group.status().
struct member_status {
    std::uint64_t term = 0; ///< Highest term for which the member has accepted a fence.
    member_role role = member_role::replica;
    log_position received; ///< Last log entry that the member holds durably.
    log_position applied;  ///< Last log entry that is visible to reads at this member.
    std::string marker;    ///< Marker of the request, returned unchanged.
};

/// Statements of the contract in docs/DATABASE-CONTRACT.md, and parsers of their results.
namespace group_contract {

/// Requests the status of a member. The member returns `marker`, which distinguishes the answer from those to
/// other requests.
statement status(std::string marker);
std::optional<member_status> parse_status(result_set const& result);

/// Claims `term` for `claimant`. The member then accepts nothing of an older term.
statement fence(std::uint64_t term, std::string const& claimant);
/// Promotes the member to primary of `term`, which `claimant` must have claimed at this member.
statement promote(std::uint64_t term, std::string const& claimant);
/// Makes the member a replica of `primary`, the name of another member, at `term`.
statement follow(std::uint64_t term, std::string const& primary);
/// Parses the result of fence, promote or follow: true if the member accepted the request.
bool is_granted(result_set const& result);

statement begin_read();
statement begin_write();
statement commit();
statement rollback();
/// Discards all session state of the connection.
statement reset();

/// Sets the client account of the running transaction, for row-level security.
statement set_client_account(std::string const& client_account);

/// State of the request of an outcome record. A record with `not_run` is a tombstone: the request with this
/// id can no longer run.
enum class outcome_state { pending, done, not_run };

inline constexpr std::array outcome_state_names{
    enum_name<outcome_state>{outcome_state::pending, "pending"},
    enum_name<outcome_state>{outcome_state::done, "done"},
    enum_name<outcome_state>{outcome_state::not_run, "not_run"},
};

/// Record of the outcome of a request with a request id.
struct outcome_record {
    outcome_state state = outcome_state::pending;
    std::string fingerprint; ///< Hexadecimal digest of the request's class and statements.
    std::string answer;      ///< JSON of the results, returned if the request is repeated.
};

/// Inserts a record; fails on a unique violation if one exists with this account and request id.
statement insert_outcome(std::string const& client_account, std::string const& request_id,
                         outcome_state state, std::string const& fingerprint);
/// Completes the record that the running transaction inserted.
statement complete_outcome(std::string const& client_account, std::string const& request_id,
                           std::string const& answer);
statement find_outcome(std::string const& client_account, std::string const& request_id);
std::optional<outcome_record> parse_outcome(result_set const& result);

inline constexpr std::string_view outcome_table = "database_group.outcomes";

} // namespace group_contract

} // namespace greengagehitch
