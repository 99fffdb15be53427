#include "reactor/tcp_stream.h"

#include <cerrno>
#include <utility>

#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace greengagehitch {

namespace {

constexpr std::size_t receive_buffer_size = 16UL * 1024;
/// Unsent bytes above which a peer that accepts none for a time is considered unresponsive, and its
/// connection is closed.
constexpr std::size_t max_stalled_bytes = 4UL * 1024 * 1024;
constexpr duration stall_timeout = std::chrono::seconds(1);
/// Unsent bytes above which a connection is closed even if its peer accepts some. Bounds its memory.
constexpr std::size_t max_unsent_bytes = 32UL * 1024 * 1024;
constexpr int listen_backlog = 1024;
/// Longest time for which a connection that is being closed waits for its peer.
constexpr duration closing_timeout = std::chrono::milliseconds(500);
/// TCP keep-alive options. They detect an unreachable peer after about 30 seconds without traffic.
constexpr int keep_alive_idle_seconds = 15;
constexpr int keep_alive_interval_seconds = 5;
constexpr int keep_alive_probes = 3;

void set_option(int socket, int level, int option, int value)
{
    // Errors are ignored, because connections also work without these options.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

void set_connection_options(int socket)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

} // namespace

tcp_stream::tcp_stream(reactor& reactor, file_descriptor socket, bool is_connected)
    : m_reactor(reactor), m_socket(std::move(socket)), m_is_connected(is_connected)
{
    set_connection_options(m_socket.get());
}

tcp_stream::~tcp_stream()
{
    close();
}

std::shared_ptr<tcp_stream> tcp_stream::try_connect(reactor& reactor, endpoint const& target)
{
    Poco::Net::IPAddress host;
    if (!Poco::Net::IPAddress::tryParse(target.host, host) || target.port == 0) {
        return nullptr;
    }
    Poco::Net::SocketAddress const address(host, target.port);
    file_descriptor socket(::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.is_valid()) {
        return nullptr;
    }
    auto const code = ::connect(socket.get(), address.addr(), address.length());
    if (code != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    return std::make_shared<tcp_stream>(reactor, std::move(socket), code == 0);
}

void tcp_stream::start(events events)
{
    m_events = std::move(events);
    watch();
}

void tcp_stream::watch()
{
    auto const needs_write_events = !m_is_connected || m_sent_bytes < m_output.size();
    m_watches_writes = needs_write_events;
    m_reactor.watch(m_socket.get(),
                    EPOLLIN | (needs_write_events ? static_cast<std::uint32_t>(EPOLLOUT) : 0U),
                    [weak = weak_from_this()](std::uint32_t events) {
                        if (auto const stream = weak.lock()) {
                            stream->handle_events(events);
                        }
                    });
}

void tcp_stream::handle_events(std::uint32_t events)
{
    if (!m_is_connected) {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(m_socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
            m_was_refused = error == ECONNREFUSED;
            close_and_notify();
            return;
        }
        if ((events & EPOLLOUT) == 0) {
            return;
        }
        m_is_connected = true;
        if (m_events.connected) {
            m_events.connected();
        }
        if (is_open()) {
            flush();
        }
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (is_open() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read();
    }
}

void tcp_stream::read()
{
    std::array<char, receive_buffer_size> bytes{};
    auto const size = ::recv(m_socket.get(), bytes.data(), bytes.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size <= 0) {
        close_and_notify();
        return;
    }
    if (m_closes_after_sending) {
        return;
    }
    m_events.bytes({bytes.data(), static_cast<std::size_t>(size)});
}

void tcp_stream::send(std::string_view bytes)
{
    if (!is_open() || m_closes_after_sending) {
        return;
    }
    if (m_sent_bytes == m_output.size()) {
        m_accepted_at = m_reactor.now();
    }
    m_output.append(bytes);
    if (m_is_connected) {
        flush();
    }
}

bool tcp_stream::is_stalled() const
{
    auto const unsent = m_output.size() - m_sent_bytes;
    return unsent > max_unsent_bytes ||
           (unsent > max_stalled_bytes && m_reactor.now() - m_accepted_at >= stall_timeout);
}

void tcp_stream::watch_for_stall()
{
    if (m_output.size() - m_sent_bytes <= max_stalled_bytes || std::exchange(m_watches_for_stall, true)) {
        return;
    }
    m_reactor.start_timer(stall_timeout, [weak = weak_from_this()] {
        auto const stream = weak.lock();
        if (!stream || !stream->is_open()) {
            return;
        }
        stream->m_watches_for_stall = false;
        if (stream->is_stalled()) {
            ::shutdown(stream->m_socket.get(), SHUT_RDWR);
            return;
        }
        stream->watch_for_stall();
    });
}

void tcp_stream::flush()
{
    while (m_sent_bytes < m_output.size()) {
        auto const size = ::send(m_socket.get(), m_output.data() + m_sent_bytes,
                                 m_output.size() - m_sent_bytes, MSG_NOSIGNAL);
        if (size < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                break;
            }
            // After the shutdown, read() detects the end and runs the callback, which must not run inside
            // send().
            m_output.clear();
            m_sent_bytes = 0;
            ::shutdown(m_socket.get(), SHUT_RDWR);
            return;
        }
        m_sent_bytes += static_cast<std::size_t>(size);
        m_accepted_at = m_reactor.now();
    }
    if (m_sent_bytes == m_output.size()) {
        m_output.clear();
        m_sent_bytes = 0;
        if (m_closes_after_sending) {
            end_output();
        }
    }
    else if (is_stalled()) {
        ::shutdown(m_socket.get(), SHUT_RDWR);
        return;
    }
    watch_for_stall();
    if (m_watches_writes != (m_sent_bytes < m_output.size())) {
        watch();
    }
}

void tcp_stream::close()
{
    if (is_open()) {
        m_reactor.unwatch(m_socket.get());
        m_socket.reset();
    }
}

void tcp_stream::abort()
{
    if (is_open()) {
        linger const reset_on_close{1, 0};
        static_cast<void>(
            ::setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close)));
    }
    close();
}

void tcp_stream::close_after_sending(std::function<void()> closed)
{
    m_closes_after_sending = true;
    m_on_closed = std::move(closed);
    if (!is_open()) {
        finish_closing();
        return;
    }
    m_reactor.start_timer(closing_timeout, [weak = weak_from_this()] {
        if (auto const stream = weak.lock()) {
            stream->finish_closing();
        }
    });
    if (m_sent_bytes == m_output.size()) {
        end_output();
    }
}

void tcp_stream::end_output()
{
    // An error means that the peer has closed the connection, which read() detects.
    static_cast<void>(::shutdown(m_socket.get(), SHUT_WR));
}

void tcp_stream::finish_closing()
{
    close();
    if (auto closed = std::exchange(m_on_closed, nullptr)) {
        m_reactor.start_timer(duration::zero(), std::move(closed));
    }
}

void tcp_stream::close_and_notify()
{
    auto const keep_alive = shared_from_this();
    if (m_closes_after_sending) {
        finish_closing();
        return;
    }
    auto const ended = m_events.ended;
    close();
    if (ended) {
        ended();
    }
}

tcp_acceptor::~tcp_acceptor()
{
    if (m_socket.is_valid()) {
        m_reactor.unwatch(m_socket.get());
    }
}

void tcp_acceptor::stop_listening()
{
    if (m_socket.is_valid()) {
        // Closing the socket resets the connections that were not accepted.
        accept_pending_connections();
        m_reactor.unwatch(m_socket.get());
        m_socket.reset();
    }
}

absl::Status tcp_acceptor::try_listen(endpoint const& address)
{
    Poco::Net::SocketAddress const target(address.host, address.port);
    m_socket = file_descriptor(::socket(target.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(m_socket.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (!m_socket.is_valid() || ::bind(m_socket.get(), target.addr(), target.length()) != 0 ||
        ::listen(m_socket.get(), listen_backlog) != 0) {
        return absl::UnavailableError(fmt::format("cannot listen on {}", address.to_string()));
    }
    m_reactor.watch(m_socket.get(), EPOLLIN,
                    [this](std::uint32_t /*events*/) { accept_pending_connections(); });
    return absl::OkStatus();
}

std::uint16_t tcp_acceptor::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(m_socket.get(), reinterpret_cast<sockaddr*>(&address), &size); // NOLINT
    return ntohs(address.sin_port);
}

void tcp_acceptor::accept_pending_connections()
{
    while (true) {
        file_descriptor socket(::accept4(m_socket.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.is_valid()) {
            return;
        }
        m_on_accepted(std::make_shared<tcp_stream>(m_reactor, std::move(socket), true));
    }
}

} // namespace greengagehitch
