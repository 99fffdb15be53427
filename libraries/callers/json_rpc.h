#pragma once

#include <string>
#include <variant>

#include <json/value.h>

namespace greengagehitch {

/// Request object of JSON-RPC 2.0.
struct rpc_call {
    Json::Value id;
    std::string method;
    Json::Value parameters; ///< Object with the named parameters; empty if the call has none.
};

/// Error object of JSON-RPC 2.0; its data holds the fields that greengagehitch defines.
struct rpc_error {
    int code = 0;
    std::string message;
    Json::Value data;
};

/// Error codes of greengagehitch, in the range that JSON-RPC 2.0 reserves for server errors.
namespace rpc_code {
inline constexpr int not_run = -32001;
inline constexpr int unknown_outcome = -32002;
inline constexpr int forbidden = -32003;
inline constexpr int conflict = -32004;
inline constexpr int unavailable = -32005;
} // namespace rpc_code

/// Parses the body of an HTTP request. Batches are rejected, because each call is admitted and answered
/// separately.
std::variant<rpc_call, rpc_error> parse_rpc_call(std::string const& body);

std::string format_rpc_result(Json::Value const& id, Json::Value result);
std::string format_rpc_error(Json::Value const& id, rpc_error const& error);

/// Returns the token of an Authorization header with the Bearer scheme, or an empty string for any other
/// header.
std::string parse_bearer_token(std::string const& authorization);

} // namespace greengagehitch
