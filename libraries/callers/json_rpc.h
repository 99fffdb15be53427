#pragma once

#include <string>
#include <variant>

#include <json/value.h>

namespace greengagehitch {

/// Call in JSON-RPC 2.0.
struct rpc_call {
    Json::Value id;
    std::string method;
    Json::Value parameters; ///< Object; empty when the call brought none.
};

/// Error in JSON-RPC 2.0, with this product's data.
struct rpc_error {
    int code = 0;
    std::string message;
    Json::Value data;
};

/// Codes of this product, in the range that JSON-RPC leaves to servers.
namespace rpc_code {
inline constexpr int not_run = -32001;
inline constexpr int unknown_outcome = -32002;
inline constexpr int forbidden = -32003;
inline constexpr int conflict = -32004;
inline constexpr int unavailable = -32005;
} // namespace rpc_code

/// Parses a body. Batches are refused: each call is admitted and answered on its own.
std::variant<rpc_call, rpc_error> parse_rpc_call(std::string const& body);

std::string format_rpc_result(Json::Value const& id, Json::Value result);
std::string format_rpc_error(Json::Value const& id, rpc_error const& error);

/// Token of an Authorization header of the Bearer scheme; empty when it is of another form.
std::string parse_bearer_token(std::string const& authorization);

} // namespace greengagehitch
