#pragma once

#include <functional>
#include <string>

#include "callers/http_listener.h"
#include "callers/json_rpc.h"
#include "request/caller_request.h"

namespace greengagehitch {

/// Turns a JSON-RPC call into a request of the core; an error when a parameter is missing, unknown or of a
/// wrong type.
std::variant<caller_request, rpc_error> parse_caller_request(rpc_call const& call,
                                                             std::string const& authorization);

/// Answer or refusal of the core as a JSON-RPC body.
std::string format_caller_response(Json::Value const& id, caller_response const& response);

/// Callers' side of the daemon: JSON-RPC 2.0 over HTTP.
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
