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

/// TCP connection whose events a reactor handles. The stream is owned by its user and runs callbacks only
/// while it exists and is open.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    struct events {
        std::function<void()> connected;             ///< An outgoing connection was established.
        std::function<void(std::string_view)> bytes; ///< Bytes were received.
        std::function<void()> ended;                 ///< The peer closed the connection, or it failed.
    };

    tcp_stream(reactor& reactor, file_descriptor socket, bool is_connected);
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// Starts to connect. Returns null when `target` is not an IP address with a port, or when the system
    /// rejects the connection immediately.
    static std::shared_ptr<tcp_stream> try_connect(reactor& reactor, endpoint const& target);

    void start(events events);
    void send(std::string_view bytes);

    /// Closes the connection immediately. No callback runs afterwards.
    void close();

    /// Resets the connection immediately. Data that was not delivered yet is discarded.
    void abort();

    /// Closes the connection once the peer has received all output and has closed its side, or after a short
    /// time. Bytes that are received until then are discarded. `closed` is called once, after this call.
    void close_after_sending(std::function<void()> closed);

    bool is_open() const { return m_socket.is_valid(); }

    /// Returns whether the connection was not established since the peer's host rejected it. Other failures
    /// may be due to this machine or to the network.
    bool was_refused() const { return m_was_refused; }

private:
    void handle_events(std::uint32_t events);
    void read();
    void flush();
    /// Returns whether the peer accepts too little of the output.
    bool is_stalled() const;
    /// Closes the connection once its peer has accepted too little of a large output for a time.
    void watch_for_stall();
    void close_and_notify();
    /// Tells the peer that no further output follows. Closing at once would reset the connection if the peer
    /// has sent bytes that were not read, and the peer would lose the output.
    void end_output();
    void finish_closing();
    void watch();

    reactor& m_reactor;
    file_descriptor m_socket;
    bool m_is_connected;
    bool m_was_refused = false;
    bool m_closes_after_sending = false;
    bool m_watches_writes = false;
    bool m_watches_for_stall = false;
    std::string m_output;
    std::size_t m_sent_bytes = 0; ///< Bytes of m_output that are already sent.
    monotonic_time m_accepted_at; ///< Time at which the peer accepted output last, or had none to accept.
    events m_events;
    std::function<void()> m_on_closed;
};

/// Accepts TCP connections on an address and passes each of them to a callback as a stream.
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
    /// Accepts the connections that are waiting, and closes the listening socket.
    void stop_listening();
    /// Returns the port that the acceptor listens on. The system chooses it when the address has port 0.
    std::uint16_t port() const;

private:
    void accept_pending_connections();

    reactor& m_reactor;
    file_descriptor m_socket;
    std::function<void(std::shared_ptr<tcp_stream>)> m_on_accepted;
};

} // namespace greengagehitch
