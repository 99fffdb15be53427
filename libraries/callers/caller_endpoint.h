#pragma once

#include <functional>
#include <string>

#include "callers/http_listener.h"
#include "callers/json_rpc.h"
#include "request/caller_request.h"

namespace greengagehitch {

/// Converts a JSON-RPC call to a caller request. Returns an error if the method is unknown or a parameter is
/// missing, unknown or of a wrong type.
std::variant<caller_request, rpc_error> parse_caller_request(rpc_call const& call,
                                                             std::string const& authorization);

/// Formats an answer or a refusal as the body of a JSON-RPC response.
std::string format_caller_response(Json::Value const& id, caller_response const& response);

/// Endpoint for callers. It serves JSON-RPC 2.0 over HTTP.
class caller_endpoint {
public:
    using request_handler = std::function<void(caller_request, caller_reply)>;

    caller_endpoint(reactor& reactor, http_listener_options options, request_handler handler);

    http_listener& listener() { return m_listener; }

private:
    void handle(http_request const& request);

    request_handler m_handler;
    http_listener m_listener;
};

} // namespace greengagehitch
