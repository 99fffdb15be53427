#pragma once

#include <functional>
#include <string>

#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Kept-alive HTTP connection that sends the same call again and again and measures each answer. It reads no
/// more of HTTP than the length of the body.
class load_caller {
public:
    using response_callback = std::function<void(duration delay, std::string const& body)>;

    load_caller(reactor& reactor, endpoint const& target, std::string key, response_callback answered);
    ~load_caller();
    load_caller(load_caller const&) = delete;
    load_caller& operator=(load_caller const&) = delete;
    load_caller(load_caller&&) = delete;
    load_caller& operator=(load_caller&&) = delete;

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
