#pragma once

#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "brokers/member_request.h"

namespace greengagehitch {

enum class document_kind;

} // namespace greengagehitch

MSGPACK_ADD_ENUM(greengagehitch::document_kind)

namespace greengagehitch {

/// Asks a broker to run a request at a member.
struct relay_request {
    std::uint64_t request_id = 0; ///< Chosen by the sender and repeated in the reply.
    std::string group;
    std::string member;
    std::uint64_t connection_id = 0; ///< Pinned connection that the broker keeps for the sender; 0 for none.
    member_request request;
    MSGPACK_DEFINE(request_id, group, member, connection_id, request)
};

/// Answers a relay_request.
struct relay_reply {
    std::uint64_t request_id = 0;
    std::vector<member_answer> answers;
    std::uint64_t connection_id = 0; ///< Pinned connection that the broker keeps; 0 for none.
    MSGPACK_DEFINE(request_id, answers, connection_id)
};

/// Returns a pinned connection to the broker that keeps it.
struct relay_release {
    std::uint64_t connection_id = 0;
    MSGPACK_DEFINE(connection_id)
};

/// Requests a heartbeat, or is the reply to such a request if `is_reply` is set.
struct relay_ping {
    bool is_reply = false;
    std::uint64_t number = 0; ///< Chosen by the sender of the request and repeated in the reply.
    MSGPACK_DEFINE(is_reply, number)
};

/// Documents of the platform's store that VMs pass to each other.
enum class document_kind { configuration, member_directory };

/// Asks a VM for its copy of a document.
struct document_request {
    std::uint64_t request_id = 0; ///< Chosen by the sender and repeated in the reply.
    document_kind kind = document_kind::configuration;
    MSGPACK_DEFINE(request_id, kind)
};

/// Answers a document_request.
struct document_reply {
    std::uint64_t request_id = 0;
    std::string content; ///< Empty when the VM has no copy.
    MSGPACK_DEFINE(request_id, content)
};

/// Number of connections that a VM holds to a member.
struct held_connections {
    std::string member;
    std::uint32_t connections = 0;
    std::uint32_t limit = 0; ///< Number up to which the VM may open connections before its next report.
    MSGPACK_DEFINE(member, connections, limit)
};

/// Tells the broker or the successor of members how many connections the sender holds to them.
struct connection_report {
    std::string vm; ///< Name of the sender.
    std::vector<held_connections> held;
    MSGPACK_DEFINE(vm, held)
};

/// Tells the peers of a broker that it hands over its members, since it shuts down.
struct hand_over_notice {
    std::string vm; ///< Name of the sender.
    MSGPACK_DEFINE(vm)
};

/// Tells the broker that the caller of a relay_request has disconnected. A request that still waits is not
/// sent to the member; it is answered all the same.
struct relay_cancel {
    std::uint64_t request_id = 0;
    MSGPACK_DEFINE(request_id)
};

using relay_message = std::variant<relay_request, relay_reply, relay_release, relay_ping, document_request,
                                   document_reply, connection_report, hand_over_notice, relay_cancel>;

std::string encode_relay_message(relay_message const& message);
absl::StatusOr<relay_message> try_decode_relay_message(std::string_view bytes);

} // namespace greengagehitch
