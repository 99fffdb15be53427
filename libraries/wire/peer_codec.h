#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "wire/peer_messages.h"

namespace greengagehitch {

/// Largest datagram that is sent, in bytes. It fits into an Ethernet frame without IP fragmentation.
inline constexpr std::size_t max_datagram_size = 1400;

/// Encodes, decodes and authenticates the datagrams between the daemons of a fleet. The authentication code
/// is keyed with the secret that the fleet shares.
class peer_codec {
public:
    explicit peer_codec(std::string secret) : m_secret(std::move(secret)) {}

    std::string encode(peer_envelope const& envelope) const;

    /// Decodes a datagram. Returns an error when it is forged, truncated or of an unknown version or kind.
    /// The authentication code is verified first, so that no part of a forged datagram is decoded.
    absl::StatusOr<peer_envelope> try_decode(std::string_view datagram) const;

private:
    std::string m_secret;
};

} // namespace greengagehitch
