#include "adapters/datagram_socket.h"

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

namespace greengagehitch {

namespace {

constexpr std::size_t max_datagram_size = 65'536;

} // namespace

absl::Status datagram_socket::try_open(endpoint& address)
{
    try {
        m_socket.emplace(Poco::Net::SocketAddress(address.host, address.port));
        m_socket->setBlocking(false);
        address.port = m_socket->address().port();
    }
    catch (Poco::Exception const& exception) {
        return absl::UnavailableError(fmt::format("cannot listen for peer datagrams on {}: {}",
                                                  address.to_string(), exception.displayText()));
    }
    m_reactor.watch(m_socket->impl()->sockfd(), EPOLLIN,
                    [this](std::uint32_t /*events*/) { receive_datagrams(); });
    return absl::OkStatus();
}

void datagram_socket::receive_datagrams()
{
    m_buffer.resize(max_datagram_size);
    while (true) {
        auto const size = ::recv(m_socket->impl()->sockfd(), m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (size < 0) {
            return;
        }
        m_datagram_handler(m_buffer.substr(0, static_cast<std::size_t>(size)));
    }
}

void datagram_socket::send(endpoint const& target, std::string const& datagram)
{
    try {
        m_socket->sendTo(datagram.data(), static_cast<int>(datagram.size()),
                         Poco::Net::SocketAddress(target.host, target.port));
    }
    catch (Poco::Exception const& exception) {
        Json::Value fields(Json::objectValue);
        fields["target"] = target.to_string();
        fields["error"] = exception.displayText();
        m_log({log_level::debug, "daemon", "failed to send a datagram to a peer", std::move(fields)});
    }
}

} // namespace greengagehitch
