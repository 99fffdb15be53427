#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "brokers/broker_service.h"
#include "reactor/tcp_stream.h"

namespace greengagehitch {

/// TCP connections between VMs. Each message is preceded by its length. The side that connects authenticates
/// itself as a member of the fleet with its first message, which is derived from the fleet secret.
class peer_channels {
public:
    struct events {
        std::function<void(channel_id, std::string const&)> request;
        std::function<void(channel_id)> closed;
        std::function<void(std::string const& vm, std::string const&)> reply;
        std::function<void(std::string const& vm, bool was_connected)> lost;
    };

    peer_channels(reactor& reactor, std::string const& fleet_secret);
    ~peer_channels();
    peer_channels(peer_channels const&) = delete;
    peer_channels& operator=(peer_channels const&) = delete;
    peer_channels(peer_channels&&) = delete;
    peer_channels& operator=(peer_channels&&) = delete;

    channel_hooks hooks();
    void set_events(events events) { m_events = std::move(events); }
    absl::Status try_listen(endpoint const& address) { return m_acceptor.try_listen(address); }

private:
    struct channel;

    void send(std::string const& vm, endpoint const& address, std::string const& message);
    void drop(std::string const& vm);
    void reply(channel_id to, std::string const& message);
    void accept(std::shared_ptr<tcp_stream> stream);
    void connect(std::string const& vm, endpoint const& address);
    void handle_bytes(std::shared_ptr<channel> const& from, std::string_view bytes);
    void handle_message(channel& from, std::string const& message);
    void end(std::shared_ptr<channel> ended);

    reactor& m_reactor;
    std::string m_authentication_message; ///< First message that is sent on each outgoing connection.
    events m_events;
    std::map<std::string, std::shared_ptr<channel>> m_outgoing;
    std::map<std::uint64_t, std::shared_ptr<channel>> m_incoming;
    std::uint64_t m_next_incoming_id = 1;
    tcp_acceptor m_acceptor;
};

} // namespace greengagehitch
