#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/http_answer_reader.h"
#include "reactor/reactor.h"

namespace greengagehitch {

struct http_client_request {
    std::string method;
    std::string path; ///< Path with the query string.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    duration timeout = std::chrono::seconds(1); ///< Timeout of each step: connecting, sending and receiving.
};

struct http_response {
    int status = 0; ///< HTTP status code; 0 if no whole response was received.
    std::string body;
    http_headers headers;
    monotonic_time sent_at; ///< Time just before the request was sent.
    monotonic_time answered_at;
};

using http_response_callback = std::function<void(http_response const&)>;
/// Sends a request and passes the response, or one with status 0, to the callback.
using http_call_hook = std::function<void(http_client_request, http_response_callback)>;

/// Client for one HTTP server. Blocking requests run on a few worker threads; callbacks run on the reactor's
/// thread. Each request has a connection of its own: an answer does not say which request it belongs to, so
/// on a connection with several requests, an answer that arrives twice would be taken for the next one.
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
    struct queued_call {
        http_client_request call;
        http_response_callback done;
    };

    void run_worker();
    /// Sends a request on a new connection. Returns a response with status 0 if no whole one was received.
    http_response send(http_client_request const& call) const;
    http_response try_send(http_client_request const& call) const;

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
