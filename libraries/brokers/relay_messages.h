#pragma once

#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "brokers/member_request.h"

namespace greengagehitch {

/// Asks a broker to run a request at a member.
struct relay_request {
    std::uint64_t request_id = 0; ///< Of the sender's connection to the broker.
    std::string group;
    std::string member;
    std::uint64_t connection_id = 0; ///< Connection that the broker kept for the sender; 0 for none.
    member_request request;
    MSGPACK_DEFINE(request_id, group, member, connection_id, request)
};

struct relay_reply {
    std::uint64_t request_id = 0;
    std::vector<member_answer> answers;
    std::uint64_t connection_id = 0; ///< Connection that is kept; 0 for none.
    MSGPACK_DEFINE(request_id, answers, connection_id)
};

/// Gives back a connection that the broker kept.
struct relay_release {
    std::uint64_t connection_id = 0;
    MSGPACK_DEFINE(connection_id)
};

/// Sign of life, asked for and given.
struct relay_ping {
    bool is_reply = false;
    MSGPACK_DEFINE(is_reply)
};

using relay_message = std::variant<relay_request, relay_reply, relay_release, relay_ping>;

std::string encode_relay_message(relay_message const& message);
absl::StatusOr<relay_message> try_decode_relay_message(std::string_view bytes);

} // namespace greengagehitch
