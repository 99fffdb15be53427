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

/// Identifies a call that waits for its answer.
enum class call_id : std::uint64_t { none = 0 };

/// HTTP call as the listener hands it on.
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

/// Connector of libjsonrpccpp on libmicrohttpd: one epoll set, no thread for a connection. Calls are
/// suspended until send_answer(), so thousands may wait at once.
class http_listener : public jsonrpc::AbstractServerConnector {
public:
    using request_handler = std::function<void(http_request)>;

    http_listener(reactor& reactor, http_listener_options options, request_handler handler);
    ~http_listener() override;
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    /// Starts to listen; says why it could not.
    absl::Status try_start();

    /// Port that is listened on, also when the settings left it to the system.
    std::uint16_t port() const;

    /// Answers a call. Unknown and finished calls are ignored.
    void send_answer(call_id call, int status, std::string const& content_type, std::string body);

    /// Takes no new connections from now on.
    void stop_accepting();

    /// Calls that have not been answered yet.
    std::size_t pending_calls() const { return m_calls.size(); }

    // Interface of libjsonrpccpp.
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
