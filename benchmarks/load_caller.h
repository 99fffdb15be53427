#pragma once

#include <functional>
#include <string>

#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Persistent HTTP connection of one caller in a load test. It sends JSON-RPC requests one at a time and
/// measures the response time of each. Of a response's headers it reads only Content-Length.
class load_caller {
public:
    using response_callback = std::function<void(duration delay, std::string const& body)>;

    load_caller(reactor& reactor, endpoint const& target, std::string key, response_callback answered);
    ~load_caller();
    load_caller(load_caller const&) = delete;
    load_caller& operator=(load_caller const&) = delete;
    load_caller(load_caller&&) = delete;
    load_caller& operator=(load_caller&&) = delete;

    /// Sends one request. The previous request must have been answered.
    void send(std::string const& body);

private:
    void receive();

    reactor& m_reactor;
    std::string m_key;
    response_callback m_on_response;
    file_descriptor m_socket;
    std::string m_input;
    monotonic_time m_sent_at;
};

} // namespace greengagehitch
