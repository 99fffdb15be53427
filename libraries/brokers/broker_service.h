#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "brokers/broker_choice.h"
#include "brokers/connection_reports.h"
#include "brokers/contact_guard.h"
#include "brokers/member_dispatcher.h"
#include "brokers/relay_messages.h"
#include "brokers/zone_monitor.h"
#include "fleet/member_entry.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Identifies a connection that a peer opened to this VM.
enum class channel_id : std::uint64_t { none = 0 };

/// Operations on the connections between VMs. A connection delivers whole messages in order, and the service
/// is notified when a connection is lost.
struct channel_hooks {
    /// Sends a message to the VM that listens at the address; connects first if needed.
    std::function<void(std::string const& vm, endpoint const&, std::string message)> send;
    /// Closes the connection to a VM that is considered down.
    std::function<void(std::string const& vm)> drop;
    /// Sends an answer on a connection that a peer opened.
    std::function<void(channel_id, std::string message)> reply;
};

/// Sends requests to members through their broker, which is the VM that holds the connections to a member. A
/// connection belongs to one client account until it is closed, and a member allows fewer connections than
/// there are pairs of VMs and accounts. Therefore one VM, in the member's own zone if possible, holds them
/// for all VMs. All VMs choose the same broker; see broker_choice. If the broker is lost, shuts down or
/// cannot reach the member, the next VM in rank replaces it.
class broker_service : public service {
public:
    static constexpr std::string_view service_name = "brokers";

    broker_service(kernel& kernel, channel_hooks channels) : m_kernel(kernel), m_channels(std::move(channels))
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Runs a request at a member and invokes the callback once.
    void run(member_entry const& member, member_request request, reply_callback done);

    /// Registers this VM's own dispatcher for a member.
    void add_dispatcher(member_entry const& member, std::shared_ptr<member_dispatcher> dispatcher);
    void remove_dispatcher(std::string const& member);

    /// Returns true if this VM is the broker of the member; false for unknown members.
    bool is_broker_of(std::string const& member);

    /// Returns true if a peer sent a request for the member within the last moments, which takes this VM for
    /// its broker.
    bool is_used_as_broker_of(std::string const& member) const;

    /// Returns the broker of a registered member and its successors in order.
    broker_order order_of(std::string const& member) { return m_choice->order_of(member); }

    /// Hands over the members of this VM to their successors, since this VM shuts down. Peers that send
    /// requests to this VM learn of it at once.
    void hand_over();

    /// Number of peers that have handed over their members to others and have not restarted since.
    std::size_t hand_overs() const { return m_hand_overs; }

    /// Reports the numbers of this VM's connections to the VMs that must know them.
    void report_connections(std::vector<held_connections> const& held) { m_reports->send(held); }

    /// Sets the functions that receive the reports of peers, and the name of a peer whose process has ended.
    void set_connection_hooks(std::function<void(std::string const& vm, held_connections const&)> on_report,
                              std::function<void(std::string const& vm)> on_ended)
    {
        m_on_connection_report = std::move(on_report);
        m_on_ended = std::move(on_ended);
    }

    /// True when the VMs of the zone leave messages unanswered.
    bool is_silent(std::string const& zone) const { return m_zones && m_zones->is_silent(zone); }
    /// True when neither the VMs nor the members of the zone can be reached.
    bool is_partitioned(std::string const& zone) const { return m_zones && m_zones->is_partitioned(zone); }
    /// Time since when all other zones are silent; std::nullopt while one is heard.
    std::optional<monotonic_time> all_zones_silent_since() const
    {
        return m_zones ? m_zones->all_silent_since() : std::nullopt;
    }
    /// Time at which all other zones were last found silent; std::nullopt if never.
    std::optional<monotonic_time> all_zones_silent_until() const
    {
        return m_zones ? m_zones->all_silent_until() : std::nullopt;
    }
    /// True when this VM reaches no other zone, see zone_monitor.
    bool is_cut_off() const { return m_zones && m_zones->is_cut_off(); }

    /// Proof of contact with other zones. The service has to be started.
    contact_guard& contact() { return *m_contact; }

    /// Returns false if the request commits and contact between this VM and the leader's zone, or between
    /// this zone and the others, broke a short time ago; also if it commits or begins a transaction and this
    /// VM found the leader out of reach a short time ago. The leader may then have been replaced by an order
    /// that has not yet taken effect, and acknowledge through a replica that its successor does not know, or
    /// that has restarted.
    bool may_commit(member_request const& request, std::string const& leader, std::string const& leader_zone);

    /// True while requests or transactions of peers are running at this VM.
    bool has_peer_requests() const { return !m_peer_connections.empty() || m_peer_requests_running != 0; }

    /// Refuses the requests of peers that wait at this VM and were not yet sent to a member.
    void refuse_peer_requests();

    /// Sends a message that belongs to no request to a member.
    void send_message(std::string const& vm, relay_message const& message);
    void reply_message(channel_id to, relay_message const& message);

    /// Sets the functions that handle requests for documents and the replies to this VM's requests.
    void set_document_handlers(std::function<void(channel_id, document_request const&)> on_request,
                               std::function<void(document_reply const&)> on_reply)
    {
        m_on_document_request = std::move(on_request);
        m_on_document_reply = std::move(on_reply);
    }

    // Called when a message arrives on a connection between VMs, or when such a connection is lost.
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
        std::size_t commands = 0; ///< Number of commands in the request.
        reply_callback done;
        monotonic_time sent_at;
        timer_id timer = timer_id::none;
    };

    struct vm_health {
        monotonic_time last_received_at;
        monotonic_time pinged_at;
        std::size_t forgotten_pings = 0; ///< Pings that were given up, though their replies may arrive.
    };

    /// Chooses again until a broker is known or the request has waited too long.
    void run_later(member_entry const& member, member_request request, reply_callback done);
    void handle_hand_over(std::string const& vm);
    /// Fails the requests that wait for a VM. `has_ended` tells whether its process is known to have ended.
    void fail_requests_at(std::string const& vm, bool was_connected, bool has_ended);
    void relay(std::string const& vm, std::string const& group, std::string const& member,
               std::uint64_t connection_id, member_request request, reply_callback done);
    void run_for_peer(channel_id from, relay_request message);
    /// Tells the broker when the caller of a relayed request has disconnected.
    void relay_cancellation(request_cancellation& cancellation, std::string const& vm,
                            std::uint64_t request_id);
    void handle_relay_reply(std::string const& vm, relay_reply reply);
    pinned_connection_pointer make_pinned_connection(std::string const& vm, std::string const& group,
                                                     std::string const& member, std::uint64_t connection_id);
    /// Checks the brokers periodically while requests are pending.
    void schedule_check();
    void check_pending_requests();
    /// Returns whether a broker of the member could not reach it a short time ago.
    bool was_absent(std::string const& member) const;
    void send_ping(std::string const& vm);
    void handle_ping_reply(std::string const& vm, std::uint64_t number);
    void start_contact_guard();
    /// Watches contact with other zones until `done` is called, if the request commits.
    reply_callback watch_contact(member_request const& request, std::string const& zone, reply_callback done);
    /// Zones other than this VM's own with VMs that messages can be sent to.
    std::vector<std::string> other_zones() const;
    /// Sends a ping to a VM of another zone.
    void ping_zone(std::string const& zone);
    std::string zone_of_vm(std::string const& vm) const;
    /// Records the answer of a VM to a message that was sent at `sent_at`.
    void record_round_trip(std::string const& vm, monotonic_time sent_at);
    /// Removes the contacts with VMs that are no longer known to the membership.
    void forget_former_vms();
    void probe_member_of(std::string const& zone);
    void handle_zone_change(std::string const& zone, bool is_silent);
    void exclude_route(std::string const& member, std::string const& vm);
    std::string zone_of_member(std::string const& member) const;
    /// Returns a pointer that expires when the present channel to a VM is lost.
    std::weak_ptr<bool> channel_lifetime(std::string const& vm);
    endpoint address_of(std::string const& vm) const;

    kernel& m_kernel;
    channel_hooks m_channels;
    membership_service* m_membership = nullptr;
    std::map<std::string, registered_dispatcher> m_dispatchers; ///< Keyed by member id.
    std::map<std::string, monotonic_time> m_used_at;    ///< Last requests of peers, keyed by member id.
    std::optional<broker_choice> m_choice;              ///< Set when the service starts.
    std::map<std::string, monotonic_time> m_absent_at;  ///< Keyed by member id; see was_absent().
    std::map<std::uint64_t, pending_request> m_pending; ///< Relayed requests, keyed by request id.
    std::map<std::string, vm_health> m_health;          ///< Keyed by VM name.
    std::set<channel_id> m_channels_of_peers;           ///< Connections on which peers have sent requests.
    /// Expire when the channel to a VM is lost, keyed by VM name.
    std::map<std::string, std::shared_ptr<bool>> m_channel_lifetimes;
    std::optional<connection_reports> m_reports; ///< Set when the service starts.
    /// Pinned connections of peers, keyed by connection id.
    std::map<std::uint64_t, std::pair<channel_id, pinned_connection_pointer>> m_peer_connections;
    /// Cancellations of the requests that run for peers, keyed by the peer's connection and its request id.
    std::map<std::pair<channel_id, std::uint64_t>, std::shared_ptr<request_cancellation>> m_cancellations;
    std::optional<zone_monitor> m_zones;    ///< Set when the service starts.
    std::optional<contact_guard> m_contact; ///< Set when the service starts.
    struct sent_ping {
        std::string vm;
        monotonic_time sent_at;
    };
    std::map<std::uint64_t, sent_ping> m_pings; ///< Unanswered pings, keyed by number.
    std::uint64_t m_next_ping = 1;
    bool m_has_check_timer = false;
    std::size_t m_peer_requests_running = 0;
    std::uint64_t m_next_request_id = 1;
    std::uint64_t m_next_connection_id = 1;
    std::function<void(channel_id, document_request const&)> m_on_document_request;
    std::function<void(document_reply const&)> m_on_document_reply;
    std::uint64_t m_relayed = 0; ///< Number of requests sent to brokers.
    std::uint64_t m_served = 0;  ///< Number of requests run for peers.
    std::size_t m_hand_overs = 0;
    std::function<void(std::string const&, held_connections const&)> m_on_connection_report;
    std::function<void(std::string const&)> m_on_ended;
    std::map<std::string, monotonic_time> m_silent_until; ///< Last time at which a zone was silent.
};

} // namespace greengagehitch
