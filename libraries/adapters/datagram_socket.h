#pragma once

#include <functional>
#include <optional>
#include <string>

#include <Poco/Net/DatagramSocket.h>
#include <absl/status/status.h>

#include "base/log_record.h"
#include "reactor/reactor.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Socket for the datagrams between VMs. Datagrams may be lost; the protocols repeat what matters.
class datagram_socket {
public:
    datagram_socket(reactor& reactor, log_sink log, std::function<void(std::string const&)> received)
        : m_reactor(reactor), m_log(std::move(log)), m_datagram_handler(std::move(received))
    {
    }

    /// Listens on `address`; a port that was left to the system is filled in.
    absl::Status try_open(endpoint& address);

    void send(endpoint const& target, std::string const& datagram);

private:
    void receive_datagrams();

    reactor& m_reactor;
    log_sink m_log;
    std::function<void(std::string const&)> m_datagram_handler;
    std::optional<Poco::Net::DatagramSocket> m_socket;
};

} // namespace greengagehitch
