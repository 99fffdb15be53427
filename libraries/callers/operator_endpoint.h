#pragma once

#include <functional>
#include <map>
#include <string>

#include "callers/http_listener.h"
#include "callers/json_rpc.h"
#include "entry_vm/entry_vm.h"

namespace greengagehitch {

/// Endpoint for operators. It serves JSON-RPC 2.0 over HTTP to the command-line client.
class operator_endpoint {
public:
    /// `drain` is called when an operator asks for it; it starts the graceful shutdown of the daemon.
    operator_endpoint(reactor& reactor, http_listener_options options, std::string token, entry_vm& vm,
                      std::function<void()> drain);

    http_listener& listener() { return m_listener; }

private:
    using reply_callback = std::function<void(std::variant<Json::Value, rpc_error>)>;
    using method = std::function<void(Json::Value const& parameters, reply_callback)>;

    void handle(http_request const& request);
    void add_methods();
    void show_configuration(Json::Value const& parameters, reply_callback const& done);
    void apply_configuration(Json::Value const& parameters, reply_callback const& done);
    void show_history(Json::Value const& parameters, reply_callback const& done);
    void give_key(Json::Value const& parameters, reply_callback const& done);
    void withdraw_key(Json::Value const& parameters, reply_callback const& done);
    void list_keys(reply_callback const& done);
    Json::Value status();

    std::string m_token;
    entry_vm& m_vm;
    std::function<void()> m_drain;
    std::map<std::string, method> m_methods;
    http_listener m_listener;
};

} // namespace greengagehitch
