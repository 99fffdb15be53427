#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "reactor/reactor.h"

namespace greengagehitch {

struct http_client_request {
    std::string method;
    std::string path; ///< With its query.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    duration timeout = std::chrono::seconds(1); ///< For connecting, sending and receiving, each.
};

struct http_response {
    int status = 0; ///< 0 when no whole answer came.
    std::string body;
    std::map<std::string, std::string> headers;
    monotonic_time sent_at; ///< Before the call left.
    monotonic_time answered_at;
};

using http_response_callback = std::function<void(http_response const&)>;

/// Calls one HTTP server. Calls block in a few threads of their own, each with a connection that it keeps;
/// answers come back on the reactor's thread.
class http_client {
public:
    http_client(reactor& reactor, std::string host, std::uint16_t port, std::size_t threads);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    void call(http_client_request call, http_response_callback done);

private:
    class worker;

    struct queued_call {
        http_client_request call;
        http_response_callback done;
    };

    void run_worker();

    reactor& m_reactor;
    std::string m_host;
    std::uint16_t m_port;
    std::mutex m_mutex;
    std::condition_variable m_has_work;
    std::deque<queued_call> m_queued_calls;
    bool m_is_stopping = false;
    std::vector<std::thread> m_threads;
};

/// Escapes a text for one value of a query.
std::string escape_query(std::string const& text);

/// Escapes a text for a path; its slashes stay.
std::string escape_path(std::string const& text);

} // namespace greengagehitch
