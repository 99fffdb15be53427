#include "adapters/peer_channels.h"

#include <utility>

#include "base/digest.h"

namespace greengagehitch {

namespace {

/// A frame starts with its size in little-endian order. The highest bit says that the message continues in
/// the next frame.
constexpr std::size_t length_prefix_size = 4;
constexpr std::size_t continuation_bit = 1UL << 31U;
/// Largest size of a frame. VMs of earlier builds read messages of a single frame only.
constexpr std::size_t max_frame_size = 4UL * 1024 * 1024;
/// Largest size of a message, which bounds the memory of a channel.
constexpr std::size_t max_message_size = 32UL * 1024 * 1024;
/// Connecting is abandoned after this time, since the waiting requests would be too late.
constexpr duration connect_timeout = std::chrono::milliseconds(300);
constexpr int bits_in_byte = 8;

void append_length(std::string& bytes, std::size_t length)
{
    for (std::size_t i = 0; i < length_prefix_size; ++i) {
        bytes.push_back(static_cast<char>(length >> (bits_in_byte * i)));
    }
}

std::string frame_message(std::string_view message)
{
    std::string framed;
    framed.reserve(length_prefix_size + message.size());
    while (message.size() > max_frame_size) {
        append_length(framed, max_frame_size | continuation_bit);
        framed += message.substr(0, max_frame_size);
        message.remove_prefix(max_frame_size);
    }
    append_length(framed, message.size());
    framed += message;
    return framed;
}

std::size_t read_length(std::string const& bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_prefix_size; ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (bits_in_byte * i);
    }
    return length;
}

} // namespace

struct peer_channels::channel {
    std::shared_ptr<tcp_stream> stream;
    std::string vm;                ///< Name of the VM that an outgoing connection leads to.
    std::uint64_t incoming_id = 0; ///< Identifier of an incoming connection; 0 for an outgoing one.
    std::string input;
    std::string message; ///< Frames of a message that continues in the next one.
    bool is_connected = false;
    bool is_authenticated = false;
    bool is_ended = false;
};

peer_channels::peer_channels(reactor& reactor, std::string const& fleet_secret)
    : m_reactor(reactor), m_authentication_message(hmac_sha256(fleet_secret, "channels")),
      m_acceptor(reactor, [this](std::shared_ptr<tcp_stream> stream) { accept(std::move(stream)); })
{
}

peer_channels::~peer_channels()
{
    for (auto const& [vm, each] : m_outgoing) {
        each->stream->close();
    }
    for (auto const& [incoming_id, each] : m_incoming) {
        each->stream->close();
    }
}

channel_hooks peer_channels::hooks()
{
    return {[this](std::string const& vm, endpoint const& address, std::string const& message) {
                send(vm, address, message);
            },
            [this](std::string const& vm) { drop(vm); },
            [this](channel_id to, std::string const& message) { reply(to, message); }};
}

void peer_channels::send(std::string const& vm, endpoint const& address, std::string const& message)
{
    if (!m_outgoing.contains(vm)) {
        connect(vm, address);
    }
    auto const found = m_outgoing.find(vm);
    if (found == m_outgoing.end()) {
        m_reactor.start_timer(duration::zero(), [this, vm] { m_events.lost(vm, false); });
        return;
    }
    found->second->stream->send(frame_message(message));
}

void peer_channels::connect(std::string const& vm, endpoint const& address)
{
    if (address.port == 0) {
        return;
    }
    auto stream = tcp_stream::try_connect(m_reactor, address);
    if (!stream) {
        return;
    }
    auto const added = std::make_shared<channel>();
    added->stream = std::move(stream);
    added->vm = vm;
    added->is_authenticated = true;
    m_outgoing[vm] = added;
    auto const weak = std::weak_ptr(added);
    tcp_stream::events events;
    events.connected = [weak] {
        if (auto const channel = weak.lock()) {
            channel->is_connected = true;
        }
    };
    events.bytes = [this, weak](std::string_view bytes) {
        if (auto const channel = weak.lock()) {
            handle_bytes(channel, bytes);
        }
    };
    events.ended = [this, weak] {
        if (auto const channel = weak.lock()) {
            end(channel);
        }
    };
    added->stream->start(std::move(events));
    added->stream->send(frame_message(m_authentication_message));
    m_reactor.start_timer(connect_timeout, [this, weak] {
        auto const channel = weak.lock();
        if (channel && !channel->is_connected && !channel->is_ended) {
            end(channel);
        }
    });
}

void peer_channels::drop(std::string const& vm)
{
    auto const found = m_outgoing.find(vm);
    if (found == m_outgoing.end()) {
        return;
    }
    auto const dropped = found->second;
    m_outgoing.erase(found);
    dropped->is_ended = true;
    // Aborts the connection, because requests that a network partition delays must not reach the broker
    // after this VM has abandoned them.
    dropped->stream->abort();
}

void peer_channels::reply(channel_id to, std::string const& message)
{
    auto const found = m_incoming.find(static_cast<std::uint64_t>(to));
    if (found != m_incoming.end()) {
        found->second->stream->send(frame_message(message));
    }
}

void peer_channels::accept(std::shared_ptr<tcp_stream> stream)
{
    auto const added = std::make_shared<channel>();
    added->stream = std::move(stream);
    added->incoming_id = m_next_incoming_id++;
    added->is_connected = true;
    m_incoming[added->incoming_id] = added;
    auto const weak = std::weak_ptr(added);
    tcp_stream::events events;
    events.bytes = [this, weak](std::string_view bytes) {
        if (auto const channel = weak.lock()) {
            handle_bytes(channel, bytes);
        }
    };
    events.ended = [this, weak] {
        if (auto const channel = weak.lock()) {
            end(channel);
        }
    };
    added->stream->start(std::move(events));
}

void peer_channels::handle_bytes(std::shared_ptr<channel> const& from, std::string_view bytes)
{
    from->input.append(bytes);
    while (!from->is_ended && from->input.size() >= length_prefix_size) {
        auto const prefix = read_length(from->input);
        auto const length = prefix & ~continuation_bit;
        if (length > max_frame_size || from->message.size() + length > max_message_size) {
            end(from);
            return;
        }
        if (from->input.size() < length_prefix_size + length) {
            return;
        }
        from->message.append(from->input, length_prefix_size, length);
        from->input.erase(0, length_prefix_size + length);
        if ((prefix & continuation_bit) == 0) {
            handle_message(*from, std::exchange(from->message, {}));
        }
    }
}

void peer_channels::handle_message(channel& from, std::string const& message)
{
    if (from.incoming_id == 0) {
        m_events.reply(from.vm, message);
        return;
    }
    if (from.is_authenticated) {
        m_events.request(channel_id{from.incoming_id}, message);
        return;
    }
    if (!is_equal_in_constant_time(message, m_authentication_message)) {
        end(m_incoming.at(from.incoming_id));
        return;
    }
    from.is_authenticated = true;
}

void peer_channels::end(
    std::shared_ptr<channel> ended) // NOLINT(performance-unnecessary-value-param): must outlive its map entry
{
    if (std::exchange(ended->is_ended, true)) {
        return;
    }
    ended->stream->close();
    if (ended->incoming_id != 0) {
        m_incoming.erase(ended->incoming_id);
        m_events.closed(channel_id{ended->incoming_id});
        return;
    }
    m_outgoing.erase(ended->vm);
    m_events.lost(ended->vm, ended->is_connected);
}

} // namespace greengagehitch
