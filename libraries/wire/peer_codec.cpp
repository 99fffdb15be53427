#include "wire/peer_codec.h"

#include <utility>

#include "base/digest.h"

namespace greengagehitch {

namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t authentication_code_size = 16;

struct envelope_header {
    std::uint32_t version = 0;
    std::string sender;
    std::uint64_t sender_incarnation = 0;
    std::uint32_t kind = 0;
    MSGPACK_DEFINE(version, sender, sender_incarnation, kind)
};

/// Converts `object` to the alternative of peer_message with index `kind`.
template <std::size_t Index = 0>
bool convert_message(std::uint32_t kind, msgpack::object const& object, peer_message& message)
{
    if constexpr (Index < std::variant_size_v<peer_message>) {
        if (kind == Index) {
            message = object.as<std::variant_alternative_t<Index, peer_message>>();
            return true;
        }
        return convert_message<Index + 1>(kind, object, message);
    }
    else {
        return false;
    }
}

} // namespace

std::string peer_codec::encode(peer_envelope const& envelope) const
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, envelope_header{protocol_version, envelope.sender, envelope.sender_incarnation,
                                          static_cast<std::uint32_t>(envelope.message.index())});
    std::visit([&buffer](auto const& message) { msgpack::pack(buffer, message); }, envelope.message);
    std::string_view const payload(buffer.data(), buffer.size());
    auto datagram = hmac_sha256(m_secret, payload).substr(0, authentication_code_size);
    datagram.append(payload);
    return datagram;
}

absl::StatusOr<peer_envelope> peer_codec::try_decode(std::string_view datagram) const
{
    if (datagram.size() <= authentication_code_size) {
        return absl::InvalidArgumentError(
            "datagram is too short to hold an authentication code and a message");
    }
    auto const payload = datagram.substr(authentication_code_size);
    if (!is_equal_in_constant_time(hmac_sha256(m_secret, payload).substr(0, authentication_code_size),
                                   datagram.substr(0, authentication_code_size))) {
        return absl::UnauthenticatedError(
            "datagram has a wrong authentication code; it was not sent by this fleet");
    }
    try {
        std::size_t offset = 0;
        auto const header_handle = msgpack::unpack(payload.data(), payload.size(), offset);
        auto const header = header_handle.get().as<envelope_header>();
        if (header.version != protocol_version) {
            return absl::UnimplementedError("datagram has an unsupported protocol version");
        }
        auto const message_handle = msgpack::unpack(payload.data(), payload.size(), offset);
        peer_envelope envelope{header.sender, header.sender_incarnation, {}};
        if (!convert_message(header.kind, message_handle.get(), envelope.message)) {
            return absl::UnimplementedError("datagram has an unknown message kind");
        }
        return envelope;
    }
    catch (std::exception const& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
}

} // namespace greengagehitch
