#include <criterion/criterion.h>

#include "wire/peer_codec.h"

using greengagehitch::peer_codec;
using greengagehitch::peer_envelope;

namespace {

peer_envelope suspicion()
{
    return {"vm-1", 42, greengagehitch::primary_suspicion{"ledger-1", 3, true, false}};
}

} // namespace

Test(peer_codec, decoding_returns_message_and_sender)
{
    peer_codec const codec("secret");
    auto const decoded = codec.try_decode(codec.encode(suspicion()));
    cr_assert(decoded.ok());
    cr_assert(decoded->sender == std::string("vm-1"));
    cr_assert(decoded->sender_incarnation == 42);
    auto const& message = std::get<greengagehitch::primary_suspicion>(decoded->message);
    cr_assert(message.term == 3);
    cr_assert(message.is_suspected);
}

Test(peer_codec, datagram_with_a_changed_byte_is_rejected)
{
    peer_codec const codec("secret");
    auto const datagram = codec.encode(suspicion());
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        auto changed = datagram;
        changed[i] = static_cast<char>(changed[i] ^ 0x10);
        cr_assert(not(codec.try_decode(changed).ok()));
    }
}

Test(peer_codec, truncated_datagram_is_rejected)
{
    peer_codec const codec("secret");
    auto const datagram = codec.encode(suspicion());
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        cr_assert(not(codec.try_decode(std::string_view(datagram).substr(0, size)).ok()));
    }
}

Test(peer_codec, datagram_of_another_fleet_is_rejected)
{
    cr_assert(not(peer_codec("secret").try_decode(peer_codec("another").encode(suspicion())).ok()));
}
