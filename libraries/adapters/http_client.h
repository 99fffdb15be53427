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
    std::string path; ///< Path with the query string.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    duration timeout = std::chrono::seconds(1); ///< Timeout of each step: connecting, sending and receiving.
};

/// Orders names of HTTP headers, which are case-insensitive.
struct case_insensitive_less {
    bool operator()(std::string const& left, std::string const& right) const;
};

struct http_response {
    int status = 0; ///< HTTP status code; 0 if no complete response was received.
    std::string body;
    std::map<std::string, std::string, case_insensitive_less> headers;
    monotonic_time sent_at; ///< Time just before the request was sent.
    monotonic_time answered_at;
};

using http_response_callback = std::function<void(http_response const&)>;
/// Sends a request and passes the response, or one with status 0, to the callback.
using http_call_hook = std::function<void(http_client_request, http_response_callback)>;

/// Client for one HTTP server. Blocking requests run on a few worker threads, each with a persistent
/// connection of its own; callbacks run on the reactor's thread.
class http_client {
public:
    http_client(reactor& reactor, std::string host, std::uint16_t port, std::size_t threads);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    void call(http_client_request call, http_response_callback done);
    /// Returns a hook that calls call(). The client must outlive it.
    http_call_hook hook()
    {
        return [this](http_client_request request, http_response_callback done) {
            call(std::move(request), std::move(done));
        };
    }

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

/// Percent-encodes a value for a query string.
std::string escape_query(std::string const& text);

/// Percent-encodes a path. Slashes are kept.
std::string escape_path(std::string const& text);

} // namespace greengagehitch
