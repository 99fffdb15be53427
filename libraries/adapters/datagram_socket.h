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

/// UDP socket for the datagrams between VMs. Datagrams can be lost; the protocols that use them repeat the
/// messages that must arrive.
class datagram_socket {
public:
    datagram_socket(reactor& reactor, log_sink log, std::function<void(std::string const&)> received)
        : m_reactor(reactor), m_log(std::move(log)), m_datagram_handler(std::move(received))
    {
    }

    /// Listens on `address`. If its port is 0, it is replaced by the port that the system assigned.
    absl::Status try_open(endpoint& address);

    void send(endpoint const& target, std::string const& datagram);

private:
    void receive_datagrams();

    reactor& m_reactor;
    log_sink m_log;
    std::function<void(std::string const&)> m_datagram_handler;
    std::optional<Poco::Net::DatagramSocket> m_socket;
    std::string m_buffer; ///< Receives one datagram at a time.
};

} // namespace greengagehitch
