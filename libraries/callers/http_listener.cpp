#include "callers/http_listener.h"

#include <utility>

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <microhttpd.h>

#include "base/verify.h"

namespace greengagehitch {

namespace {

struct response_destroyer {
    void operator()(MHD_Response* response) const { MHD_destroy_response(response); }
};
using response_pointer = std::unique_ptr<MHD_Response, response_destroyer>;

response_pointer make_response(std::string const& content_type, std::string const& body)
{
    response_pointer response(MHD_create_response_from_buffer(body.size(),
                                                              const_cast<char*>(body.data()), // NOLINT
                                                              MHD_RESPMEM_MUST_COPY));
    MHD_add_response_header(response.get(), MHD_HTTP_HEADER_CONTENT_TYPE, content_type.c_str());
    return response;
}

} // namespace

/// State of a call from its first header until its answer has been sent.
struct http_listener::call {
    std::uint64_t id = 0;
    http_request request;
    MHD_Connection* connection = nullptr;
    bool is_too_large = false;
    bool is_suspended = false;
    bool is_answered = false;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Callbacks for libmicrohttpd, which need access to private members of the listener.
struct http_listener_callbacks {
    static MHD_Result handle(void* listener, MHD_Connection* connection, char const* url, char const* method,
                             char const* /*version*/, char const* data, std::size_t* size, void** state)
    {
        return static_cast<MHD_Result>(
            static_cast<http_listener*>(listener)->handle(connection, url, method, data, size, state));
    }

    static void complete(void* listener, MHD_Connection* /*connection*/, void** state,
                         MHD_RequestTerminationCode /*code*/)
    {
        if (*state != nullptr) {
            static_cast<http_listener*>(listener)->remove_call(static_cast<http_listener::call*>(*state));
            *state = nullptr;
        }
    }
};

http_listener::http_listener(reactor& reactor, http_listener_options options, request_handler handler)
    : m_reactor(reactor), m_options(std::move(options)), m_handler(std::move(handler))
{
}

http_listener::~http_listener()
{
    StopListening();
}

absl::Status http_listener::try_start()
{
    unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> items;
    if (auto const& tls = m_options.listener.tls) {
        flags |= MHD_USE_TLS;
        auto certificate = try_read_file(tls->certificate_file);
        auto private_key = try_read_file(tls->private_key_file);
        if (!certificate.ok() || !private_key.ok()) {
            return certificate.ok() ? private_key.status() : certificate.status();
        }
        m_certificate = *std::move(certificate);
        m_private_key = *std::move(private_key);
        items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_certificate.data()});
        items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_private_key.data()});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    Poco::Net::SocketAddress const address(m_options.listener.listen.host, m_options.listener.listen.port);
    if (address.family() == Poco::Net::SocketAddress::IPv6) {
        flags |= MHD_USE_IPv6;
    }
    constexpr std::size_t connection_memory = 16UL * 1024;
    constexpr unsigned int listen_backlog = 1024;
    auto const idle_seconds = static_cast<unsigned int>(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.idle_timeout).count());
    m_daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &http_listener_callbacks::handle, this, MHD_OPTION_SOCK_ADDR,
        address.addr(), MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned int>(m_options.max_connections),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory, MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, listen_backlog, MHD_OPTION_NOTIFY_COMPLETED,
        &http_listener_callbacks::complete, this, MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return absl::UnavailableError(
            fmt::format("cannot listen on {}", m_options.listener.listen.to_string()));
    }
    m_epoll_descriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_reactor.watch(m_epoll_descriptor, EPOLLIN, [this](std::uint32_t /*events*/) { run_daemon(); });
    run_daemon();
    return absl::OkStatus();
}

std::uint16_t http_listener::port() const
{
    auto const* const info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

void http_listener::send_answer(call_id id, int status, std::string const& content_type, std::string body)
{
    auto const found = m_calls.find(static_cast<std::uint64_t>(id));
    if (found == m_calls.end() || found->second->is_answered) {
        return;
    }
    auto& answered_call = *found->second;
    answered_call.is_answered = true;
    answered_call.status = status;
    answered_call.content_type = content_type;
    answered_call.body = std::move(body);
    if (std::exchange(answered_call.is_suspended, false)) {
        MHD_resume_connection(answered_call.connection);
        schedule_run();
    }
}

void http_listener::stop_accepting()
{
    if (m_daemon == nullptr || m_quiesced_socket >= 0) {
        return;
    }
    m_quiesced_socket = MHD_quiesce_daemon(m_daemon);
    // Closes the listening socket, so that the load balancer opens its next connection to another VM.
    if (m_quiesced_socket >= 0) {
        ::close(m_quiesced_socket);
    }
}

bool http_listener::StartListening()
{
    return try_start().ok();
}

bool http_listener::StopListening()
{
    if (m_daemon == nullptr) {
        return false;
    }
    m_is_stopping = true;
    m_reactor.unwatch(m_epoll_descriptor);
    m_reactor.cancel_timer(m_timeout);
    // libmicrohttpd requires that no connection is suspended when it is stopped.
    for (auto const& [id, each] : m_calls) {
        if (std::exchange(each->is_suspended, false)) {
            each->is_answered = true;
            each->status = MHD_HTTP_SERVICE_UNAVAILABLE;
            MHD_resume_connection(each->connection);
        }
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(std::exchange(m_daemon, nullptr));
    return true;
}

bool http_listener::SendResponse(std::string const& response, void* call_pointer)
{
    send_answer(*static_cast<call_id*>(call_pointer), MHD_HTTP_OK, "application/json", response);
    return true;
}

void http_listener::run_daemon()
{
    if (m_daemon == nullptr || m_is_stopping) {
        return;
    }
    MHD_run(m_daemon);
    m_reactor.cancel_timer(m_timeout);
    m_timeout = timer_id::none;
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(m_daemon, &milliseconds) == MHD_YES) {
        m_timeout = m_reactor.start_timer(std::chrono::milliseconds(milliseconds), [this] { run_daemon(); });
    }
}

void http_listener::schedule_run()
{
    if (std::exchange(m_is_run_scheduled, true)) {
        return;
    }
    // Sends the answers from one iteration of the event loop together.
    m_reactor.start_timer(duration::zero(), [this] {
        m_is_run_scheduled = false;
        run_daemon();
    });
}

int http_listener::handle(MHD_Connection* connection, char const* path, char const* method, char const* data,
                          std::size_t* size, void** state)
{
    auto* current = static_cast<call*>(*state);
    if (current == nullptr) {
        auto const id = m_next_call_id++;
        auto added = std::make_unique<call>();
        added->id = id;
        added->connection = connection;
        added->request.id = call_id{id};
        added->request.method = method;
        added->request.path = path;
        auto const* const authorization =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
        added->request.authorization = authorization == nullptr ? "" : authorization;
        *state = added.get();
        m_calls.emplace(id, std::move(added));
        return MHD_YES;
    }
    if (*size != 0) {
        current->is_too_large =
            current->is_too_large || current->request.body.size() + *size > m_options.max_body_size;
        if (!current->is_too_large) {
            current->request.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (current->is_answered) {
        auto const response = make_response(current->content_type, current->body);
        return MHD_queue_response(connection, static_cast<unsigned int>(current->status), response.get());
    }
    if (current->is_too_large) {
        auto const response = make_response("text/plain", "request body is too large\n");
        return MHD_queue_response(connection, MHD_HTTP_CONTENT_TOO_LARGE, response.get());
    }
    // Suspends the connection before the handler is called, because the handler may answer immediately.
    MHD_suspend_connection(connection);
    current->is_suspended = true;
    m_handler(std::move(current->request));
    return MHD_YES;
}

void http_listener::remove_call(call* finished)
{
    m_calls.erase(finished->id);
}

} // namespace greengagehitch
