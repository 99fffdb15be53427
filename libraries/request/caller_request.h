#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "database/statement.h"
#include "request/refusal.h"

namespace greengagehitch {

/// Operation that a caller requests.
enum class request_kind {
    execute, ///< Runs one statement or a whole transaction in one call.
    begin,   ///< Starts an interactive transaction.
    continue_transaction,
    commit,
    rollback,
    resolve, ///< Queries the outcome of an earlier request by its request id.
};

inline constexpr std::array request_kind_names{
    enum_name<request_kind>{request_kind::execute, "execute"},
    enum_name<request_kind>{request_kind::begin, "begin"},
    enum_name<request_kind>{request_kind::continue_transaction, "continue"},
    enum_name<request_kind>{request_kind::commit, "commit"},
    enum_name<request_kind>{request_kind::rollback, "rollback"},
    enum_name<request_kind>{request_kind::resolve, "resolve"},
};

/// Request that a caller sent. Its syntax has been validated, but not its contents.
struct caller_request {
    request_kind kind = request_kind::execute;
    std::string key; ///< Key from the Authorization header; empty if there is none.
    std::string class_name;
    std::string database;    ///< Name of the database; empty for the first database of the class.
    std::string session;     ///< Session token; empty to start a new session.
    std::string request_id;  ///< Id that makes the request repeatable; empty if the caller sent none.
    std::string transaction; ///< Id of an interactive transaction; empty if there is none.
    std::vector<statement> statements;
};

/// Role of the database that served a request.
enum class served_by { none, replica, primary };

inline constexpr std::array served_by_names{
    enum_name<served_by>{served_by::none, "none"},
    enum_name<served_by>{served_by::replica, "replica"},
    enum_name<served_by>{served_by::primary, "primary"},
};

/// Answer to a request that was served.
struct caller_answer {
    std::vector<result_set> results;
    std::string session;      ///< Token for the caller's next request.
    std::string transaction;  ///< Id of the interactive transaction that was begun.
    bool is_repeated = false; ///< True if an earlier call with this request id did the work.
    served_by source = served_by::none;
};

using caller_response = std::variant<caller_answer, refusal>;
using caller_reply = std::function<void(caller_response)>;

} // namespace greengagehitch
