#include "load_caller.h"

#include <array>
#include <charconv>
#include <stdexcept>

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace greengagehitch {

namespace {

constexpr std::size_t receive_buffer_size = 65'536;
constexpr std::string_view header_terminator = "\r\n\r\n";
constexpr std::string_view content_length_prefix = "Content-Length: ";

} // namespace

load_caller::load_caller(reactor& reactor, endpoint const& target, std::string key,
                         response_callback answered)
    : m_reactor(reactor), m_key(std::move(key)), m_on_response(std::move(answered)),
      m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    Poco::Net::SocketAddress const address(target.host, target.port);
    if (::connect(m_socket.get(), address.addr(), address.length()) != 0) {
        throw std::runtime_error("load caller cannot connect to " + target.to_string());
    }
    int const enabled = 1;
    ::setsockopt(m_socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    m_reactor.watch(m_socket.get(), EPOLLIN, [this](std::uint32_t /*events*/) { receive(); });
}

load_caller::~load_caller()
{
    m_reactor.unwatch(m_socket.get());
}

void load_caller::send(std::string const& body)
{
    m_sent_at = m_reactor.now();
    auto const request = fmt::format("POST / HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer {}\r\n"
                                     "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                                     m_key, body.size(), body);
    if (::send(m_socket.get(), request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        throw std::runtime_error("load caller cannot send a request: the connection was lost");
    }
}

void load_caller::receive()
{
    std::array<char, receive_buffer_size> buffer{};
    auto const size = ::recv(m_socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size <= 0) {
        m_reactor.unwatch(m_socket.get());
        return;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(size));
    auto const header_end = m_input.find(header_terminator);
    auto const content_length_at = m_input.find(content_length_prefix);
    if (header_end == std::string::npos || content_length_at == std::string::npos) {
        return;
    }
    std::size_t length = 0;
    auto const* const first = m_input.data() + content_length_at + content_length_prefix.size();
    std::from_chars(first, m_input.data() + m_input.size(), length);
    auto const body_offset = header_end + header_terminator.size();
    if (m_input.size() < body_offset + length) {
        return;
    }
    auto const body = m_input.substr(body_offset, length);
    m_input.clear();
    m_on_response(m_reactor.now() - m_sent_at, body);
}

} // namespace greengagehitch
