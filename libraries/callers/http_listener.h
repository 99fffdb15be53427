#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

struct MHD_Daemon;
struct MHD_Connection;

namespace greengagehitch {

/// Identifies an HTTP call that has not been answered yet.
enum class call_id : std::uint64_t { none = 0 };

/// HTTP request as the listener passes it to its handler.
struct http_request {
    call_id id = call_id::none;
    std::string method;
    std::string path;
    std::string authorization;
    std::string body;
};

struct http_listener_options {
    listener_settings listener;
    std::size_t max_connections = 0;
    std::size_t max_body_size = 0;
    duration idle_timeout{};
};

/// HTTP server that implements the connector interface of libjsonrpccpp with libmicrohttpd. All connections
/// share one epoll set instead of having a thread each. A call is suspended until send_answer() is called for
/// it, so that thousands of calls can wait at the same time.
class http_listener : public jsonrpc::AbstractServerConnector {
public:
    using request_handler = std::function<void(http_request)>;

    http_listener(reactor& reactor, http_listener_options options, request_handler handler);
    ~http_listener() override;
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    /// Starts to listen. Returns the reason if that fails.
    absl::Status try_start();

    /// Returns the port that the listener is bound to, also when the settings leave its choice to the system.
    std::uint16_t port() const;

    /// Answers a call. Calls that are unknown or have been answered are ignored.
    void send_answer(call_id call, int status, std::string const& content_type, std::string body);

    /// Stops accepting new connections; open connections are still served.
    void stop_accepting();

    /// Number of calls whose answers have not been sent completely.
    std::size_t pending_calls() const { return m_calls.size(); }

    // Implementation of jsonrpc::AbstractServerConnector.
    bool StartListening() override; // NOLINT(readability-identifier-naming)
    bool StopListening() override;  // NOLINT(readability-identifier-naming)
    bool SendResponse(std::string const& response,
                      void* call_pointer) override; // NOLINT(readability-identifier-naming)

private:
    struct call;
    friend struct http_listener_callbacks;

    void run_daemon();
    void schedule_run();
    int handle(MHD_Connection* connection, char const* path, char const* method, char const* data,
               std::size_t* size, void** state);
    void remove_call(call* finished);

    reactor& m_reactor;
    http_listener_options m_options;
    request_handler m_handler;
    std::string m_certificate;
    std::string m_private_key;
    MHD_Daemon* m_daemon = nullptr;
    int m_epoll_descriptor = -1;
    int m_quiesced_socket = -1;
    timer_id m_timeout = timer_id::none;
    bool m_is_run_scheduled = false;
    bool m_is_stopping = false;
    std::uint64_t m_next_call_id = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<call>> m_calls;
};

} // namespace greengagehitch
