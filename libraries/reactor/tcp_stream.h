#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "reactor/file_descriptor.h"
#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// One TCP connection on the reactor. Owned by its user; calls back only while it lives
/// and is open.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    struct events {
        std::function<void()> connected;
        std::function<void(std::string_view)> bytes;
        std::function<void()> ended; ///< The other end is gone, or the connection failed.
    };

    tcp_stream(reactor& reactor, file_descriptor socket, bool is_connected);
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// Starts to connect; null when the system refuses at once.
    static std::shared_ptr<tcp_stream> try_connect(reactor& reactor, endpoint const& target);

    void start(events events);
    void send(std::string_view bytes);

    /// Closes now. Nothing calls back afterwards.
    void close();

    /// Resets the connection: what was not delivered yet never will be.
    void abort();

    /// Closes once everything was sent.
    void close_after_sending();

    bool is_open() const { return m_socket.is_valid(); }

private:
    void handle_events(std::uint32_t events);
    void read();
    void flush();
    void close_and_notify();
    void watch();

    reactor& m_reactor;
    file_descriptor m_socket;
    bool m_is_connected;
    bool m_closes_after_sending = false;
    bool m_watches_writes = false;
    std::string m_output;
    std::size_t m_sent_bytes = 0;
    events m_events;
};

/// Accepts connections on an address and hands over each as a stream.
class tcp_acceptor {
public:
    tcp_acceptor(reactor& reactor, std::function<void(std::shared_ptr<tcp_stream>)> accepted)
        : m_reactor(reactor), m_on_accepted(std::move(accepted))
    {
    }
    ~tcp_acceptor();
    tcp_acceptor(tcp_acceptor const&) = delete;
    tcp_acceptor& operator=(tcp_acceptor const&) = delete;
    tcp_acceptor(tcp_acceptor&&) = delete;
    tcp_acceptor& operator=(tcp_acceptor&&) = delete;

    absl::Status try_listen(endpoint const& address);
    /// Port that is listened on, also when the settings left it to the system.
    std::uint16_t port() const;

private:
    void accept_pending_connections();

    reactor& m_reactor;
    file_descriptor m_socket;
    std::function<void(std::shared_ptr<tcp_stream>)> m_on_accepted;
};

} // namespace greengagehitch
