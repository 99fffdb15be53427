#include "callers/json_rpc.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <jsonrpccpp/common/errors.h>

#include "base/json.h"

namespace greengagehitch {

namespace {

rpc_error invalid_request_error(int code, std::string message)
{
    rpc_error error{code, std::move(message), Json::Value(Json::objectValue)};
    error.data["outcome"] = "not_run";
    error.data["reason"] = "invalid_request";
    return error;
}

Json::Value make_response_object(Json::Value const& id)
{
    Json::Value root(Json::objectValue);
    root["jsonrpc"] = "2.0";
    root["id"] = id;
    return root;
}

} // namespace

std::variant<rpc_call, rpc_error> parse_rpc_call(std::string const& body)
{
    using jsonrpc::Errors;
    auto root = try_parse_json(body);
    if (!root.ok()) {
        return invalid_request_error(Errors::ERROR_RPC_JSON_PARSE_ERROR,
                                     "request body is not valid JSON: " +
                                         std::string(root.status().message()));
    }
    if (root->isArray()) {
        return invalid_request_error(Errors::ERROR_RPC_INVALID_REQUEST,
                                     "batch requests are not supported; send a single call");
    }
    if (!root->isObject() || !(*root)["jsonrpc"].isString() || (*root)["jsonrpc"].asString() != "2.0" ||
        !(*root)["method"].isString()) {
        return invalid_request_error(Errors::ERROR_RPC_INVALID_REQUEST,
                                     "expected an object with jsonrpc \"2.0\" and a method");
    }
    auto const& id = (*root)["id"];
    if (!id.isString() && !id.isIntegral()) {
        return invalid_request_error(
            Errors::ERROR_RPC_INVALID_REQUEST,
            "expected a string or an integer as id; notifications are not supported");
    }
    rpc_call call{id, (*root)["method"].asString(), (*root)["params"]};
    if (call.parameters.isNull()) {
        call.parameters = Json::Value(Json::objectValue);
    }
    if (!call.parameters.isObject()) {
        return invalid_request_error(Errors::ERROR_RPC_INVALID_PARAMS,
                                     "params: expected an object of named parameters");
    }
    return call;
}

std::string format_rpc_result(Json::Value const& id, Json::Value result)
{
    auto root = make_response_object(id);
    root["result"] = std::move(result);
    return to_json_line(root);
}

std::string format_rpc_error(Json::Value const& id, rpc_error const& error)
{
    auto root = make_response_object(id);
    root["error"]["code"] = error.code;
    root["error"]["message"] = error.message;
    if (!error.data.isNull()) {
        root["error"]["data"] = error.data;
    }
    return to_json_line(root);
}

std::string parse_bearer_token(std::string const& authorization)
{
    absl::string_view text = authorization;
    constexpr absl::string_view scheme = "bearer ";
    if (text.size() <= scheme.size() || !absl::EqualsIgnoreCase(text.substr(0, scheme.size()), scheme)) {
        return {};
    }
    return std::string(absl::StripAsciiWhitespace(text.substr(scheme.size())));
}

} // namespace greengagehitch
