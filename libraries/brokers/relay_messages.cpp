#include "brokers/relay_messages.h"

namespace greengagehitch {

namespace {

template <std::size_t Index = 0>
bool convert(std::uint32_t kind, msgpack::object const& object, relay_message& message)
{
    if constexpr (Index < std::variant_size_v<relay_message>) {
        if (kind == Index) {
            message = object.as<std::variant_alternative_t<Index, relay_message>>();
            return true;
        }
        return convert<Index + 1>(kind, object, message);
    }
    else {
        return false;
    }
}

} // namespace

std::string encode_relay_message(relay_message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, static_cast<std::uint32_t>(message.index()));
    std::visit([&buffer](auto const& each) { msgpack::pack(buffer, each); }, message);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<relay_message> try_decode_relay_message(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        auto const kind = msgpack::unpack(bytes.data(), bytes.size(), offset);
        auto const body = msgpack::unpack(bytes.data(), bytes.size(), offset);
        relay_message message;
        if (!convert(kind.get().as<std::uint32_t>(), body.get(), message)) {
            return absl::UnimplementedError("relay message has an unknown kind");
        }
        return message;
    }
    catch (std::exception const& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
}

} // namespace greengagehitch
