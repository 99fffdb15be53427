#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "wire/peer_messages.h"

namespace greengagehitch {

/// Largest datagram that is sent, in bytes; one that fits an Ethernet frame without fragments.
inline constexpr std::size_t max_datagram_size = 1400;

/// Encodes datagrams between the daemons of a fleet and authenticates them with its secret.
class peer_codec {
public:
    explicit peer_codec(std::string secret) : m_secret(std::move(secret)) {}

    std::string encode(peer_envelope const& envelope) const;

    /// Checks the authentication code first; nothing of a forged datagram is decoded.
    absl::StatusOr<peer_envelope> try_decode(std::string_view datagram) const;

private:
    std::string m_secret;
};

} // namespace greengagehitch
