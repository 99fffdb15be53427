#pragma once

#include <array>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/http_answer_reader.h"
#include "base/log_record.h"
#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

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
    std::optional<http_refusal> refusal; ///< Why an answer that arrived was refused; its status is then 0.
    monotonic_time sent_at;              ///< Time just before the request was sent.
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
    /// `server` names the server in log lines. The reactor must not run after the client was destroyed.
    http_client(reactor& reactor, log_sink log, std::string server, endpoint const& address,
                std::size_t threads);
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

    /// Name of the server in log lines and metrics.
    std::string const& server() const { return m_server; }
    /// Number of answers that were refused, in the order of http_refusal_names.
    std::array<std::uint64_t, http_refusal_names.size()> const& refusals() const { return m_refusals; }

private:
    struct queued_call {
        http_client_request call;
        http_response_callback done;
    };

    void run_worker();
    /// Sends a request on a new connection. Returns a response with status 0 if no whole one was received.
    http_response send(http_client_request const& call) const;
    void exchange(http_client_request const& call, http_answer_reader& reader) const;
    void record_refusal(http_client_request const& call, http_refusal reason);

    reactor& m_reactor;
    log_sink m_log;
    std::string m_server;
    endpoint m_address;
    std::array<std::uint64_t, http_refusal_names.size()> m_refusals{};
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
