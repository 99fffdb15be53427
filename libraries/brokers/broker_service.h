#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "brokers/member_dispatcher.h"
#include "brokers/relay_messages.h"
#include "fleet/member_entry.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Identifies a connection that a peer opened to this VM.
enum class channel_id : std::uint64_t { none = 0 };

/// Connections between VMs that carry whole messages, in order, and tell when they are lost.
struct channel_hooks {
    /// Sends to the VM that listens at an address; connects first when needed.
    std::function<void(std::string const& vm, endpoint const&, std::string message)> send;
    /// Closes the connection to a VM that is taken as dead.
    std::function<void(std::string const& vm)> drop;
    /// Answers on a connection that a peer opened.
    std::function<void(channel_id, std::string message)> reply;
};

/// Brings requests to members through the VM that holds the connections to them. Connections belong to one
/// client account for life, and a member has fewer than there are pairs of VMs and accounts; so one VM, in
/// the member's own zone where there is one, keeps them for all. All VMs choose it alike by rendezvous
/// hashing. When it is lost or cannot reach the member, the next one in rank takes its place.
class broker_service : public service {
public:
    static constexpr std::string_view service_name = "brokers";

    broker_service(kernel& kernel, channel_hooks channels) : m_kernel(kernel), m_channels(std::move(channels))
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Runs a request at a member; the callback comes later, once.
    void run(member_entry const& member, member_request request, reply_callback done);

    /// Makes this VM's own desk for a member known.
    void add_dispatcher(member_entry const& member, std::shared_ptr<member_dispatcher> dispatcher);
    void remove_dispatcher(std::string const& member);

    /// True when this VM holds the connections to the member.
    bool is_broker_of(std::string const& member);

    /// True while peers' requests or transactions are under way here.
    bool has_peer_requests() const { return !m_peer_connections.empty() || m_peer_requests_running != 0; }

    // Events of the channels.
    void handle_request(channel_id from, std::string const& message);
    void handle_reply(std::string const& vm, std::string const& message);
    void handle_vm_loss(std::string const& vm, bool was_connected);
    void handle_channel_loss(channel_id from);

private:
    struct registered_dispatcher {
        member_entry entry;
        std::shared_ptr<member_dispatcher> dispatcher;
    };

    struct pending_request {
        std::string vm;
        std::string member;
        std::size_t commands = 0;
        reply_callback done;
        monotonic_time sent_at;
        timer_id timer = timer_id::none;
    };

    struct vm_health {
        monotonic_time last_received_at;
        monotonic_time pinged_at;
        monotonic_time lost_at; ///< When it was last taken as dead.
    };

    struct choice {
        std::string vm;
        monotonic_time made_at;
    };

    std::string const& choose(std::string const& member, std::string const& zone);
    void relay(std::string const& vm, std::string const& group, std::string const& member,
               std::uint64_t connection_id, member_request request, reply_callback done);
    void run_for_peer(channel_id from, relay_request message);
    void handle_relay_reply(std::string const& vm, relay_reply reply);
    pinned_connection_pointer make_pinned_connection(std::string const& vm, std::string const& group,
                                                     std::string const& member, std::uint64_t connection_id);
    void check_pending_requests();
    void avoid_route(std::string const& member, std::string const& vm);
    bool is_down(std::string const& vm, peer_state const& peer) const;
    endpoint address_of(std::string const& vm) const;

    kernel& m_kernel;
    channel_hooks m_channels;
    membership_service* m_membership = nullptr;
    std::map<std::string, registered_dispatcher> m_dispatchers;             ///< By member.
    std::map<std::string, choice> m_choices;                                ///< By member.
    std::map<std::string, std::map<std::string, monotonic_time>> m_avoided; ///< VMs by member, with the end.
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<std::string, vm_health> m_health;
    std::map<std::uint64_t, std::pair<channel_id, pinned_connection_pointer>>
        m_peer_connections; ///< Kept for peers.
    std::size_t m_peer_requests_running = 0;
    std::uint64_t m_next_request_id = 1;
    std::uint64_t m_next_connection_id = 1;
    std::uint64_t m_relayed = 0;
    std::uint64_t m_served = 0;
};

} // namespace greengagehitch
