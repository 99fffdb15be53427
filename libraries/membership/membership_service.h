#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"
#include "platform/platform_hooks.h"
#include "settings/daemon_settings.h"
#include "wire/peer_codec.h"

namespace greengagehitch {

/// Identity of the VM that this process runs on.
struct vm_identity {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;
    std::uint64_t incarnation = 0; ///< Random number, new with each start of the process.
    double processor_share = 1;    ///< Processor time of the VM, as a fraction of one core.
};

/// Periods of heartbeats and list reads, and the timeout for the contact with peers.
struct membership_timing {
    /// Period of heartbeats.
    duration gossip_period = std::chrono::milliseconds(500);
    /// Time after the last contact with a peer at which it counts as unreachable.
    duration reachability_timeout = std::chrono::milliseconds(1'600);
    /// Shortest period of reads of the platform's list of VMs.
    duration list_period = std::chrono::seconds(2);
};

/// State of another VM of the fleet, as known to this one.
struct peer_state {
    std::string name;
    std::string availability_zone;
    endpoint address;
    std::uint64_t incarnation = 0; ///< 0 until a message of the peer was received.
    /// Incarnations of processes with the peer's name that have ended; the newest last.
    std::deque<std::uint64_t> former_incarnations;
    bool is_listed = false;  ///< True when the platform's list contains the peer.
    bool is_leaving = false; ///< True when the peer is shutting down.
    /// Time of the last heartbeat in which the peer itself reported that it is shutting down.
    std::optional<monotonic_time> reported_leaving_at;
    /// Processor time of the peer, as a fraction of one core, from the platform's list or the peer's own
    /// report; 0 until known.
    double processor_share = 0;
    /// Time at which the peer's process started, as far as the peer has reported it.
    std::optional<monotonic_time> started_at;
    std::optional<monotonic_time> last_received_at; ///< Receive time of the last datagram from the peer.
    /// Time of the last zone report that lists the peer as serving.
    std::optional<monotonic_time> indirect_contact_at;
    std::uint64_t last_sequence = 0; ///< Highest sequence number of the peer's heartbeats.
    /// Send time of the newest heartbeat whose sequence number the peer has echoed.
    std::optional<monotonic_time> echoed_heartbeat_sent_at;
    std::set<std::string> subscriptions; ///< Names of the databases that the peer uses.
};

/// Maintains the set of VMs of the fleet and carries messages between them. It combines the platform's list
/// of VMs, which may be out of date, with the reports of the peers about themselves and each other.
class membership_service : public service {
public:
    static constexpr std::string_view service_name = "membership";

    membership_service(kernel& kernel, platform_hooks const& platform, vm_identity identity, peer_codec codec,
                       std::function<void(endpoint const&, std::string)> send_datagram,
                       membership_timing timing = {});

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    vm_identity const& identity() const { return m_identity; }
    std::map<std::string, peer_state> const& peers() const { return m_peers; }

    /// Sends a message to a peer. Does nothing when the peer or its address is unknown. Datagrams may be
    /// lost, duplicated or delayed.
    void send(std::string const& peer, peer_message message);
    /// Sends a message to all VMs of this VM's availability zone.
    void send_to_zone_peers(peer_message message);

    /// Handles a received datagram. Forged and malformed datagrams are dropped.
    void handle_datagram(std::string const& datagram);

    /// Registers the handler for one type of message.
    template <typename Message>
    void on_message(std::function<void(peer_state const&, Message const&)> handler)
    {
        m_handlers[kind_of<Message>()] = [handler = std::move(handler)](peer_state const& sender,
                                                                        peer_message const& message) {
            handler(sender, std::get<Message>(message));
        };
    }

    /// Sets the functions that fill in heartbeats before they are sent and that read received heartbeats.
    void set_heartbeat_hooks(std::function<void(heartbeat&)> fill,
                             std::function<void(peer_state const&, heartbeat const&)> read);

    /// Sends heartbeats now instead of at the next period, to spread a change at once.
    void send_heartbeats_now();

    /// Sets how long a peer counts as reachable after the last contact.
    void set_reachability_timeout(duration time) { m_timing.reachability_timeout = time; }

    /// True when the peer had direct or indirect contact within the reachability timeout.
    bool is_reachable(peer_state const& peer) const;

    /// True when the peer is not shutting down and is listed or reachable.
    bool accepts_work(peer_state const& peer) const;

    /// Records that another VM reported a peer as serving. If the peer has reported that it is shutting down,
    /// only a report that was certainly written later shows that it has restarted.
    void record_indirect_contact(std::string const& peer);
    /// Records a report that a peer is shutting down.
    void record_leaving(std::string const& peer);

    /// Updates the zone, address, size and start time of a known peer from the peer's own report.
    void update_peer_address(vm_identity_report const& peer);

    /// Reads the platform's list before the next period, for instance because a report lists an unknown VM.
    /// Does nothing when the list was requested within the last second.
    void read_list_soon();

    /// Returns the identity and address of this VM for messages to peers.
    vm_identity_report own_identity_report() const;

    /// True when the VMs that are reachable, including this one, are a majority of the known VMs.
    bool has_majority() const;

    /// Returns the sorted names of the VMs that accept work: this VM and all peers that are reachable or
    /// listed, without those that are shutting down.
    std::vector<std::string> live_vms() const;

    /// Number of VMs that accept work, including this one unless it is shutting down.
    std::size_t fleet_size() const;

    /// True once the platform's list has been read.
    bool has_list() const { return m_has_list; }

    /// Returns the name of the peer with this hash, or an empty string when no such peer is known.
    std::string const& name_of(name_hash vm) const;

    /// Returns the availability zone of a VM, or an empty string when it is unknown.
    std::string availability_zone_of(std::string const& vm) const;

    /// Subscribes this VM to a database that it uses. Peers then send it the state of the database's group.
    void add_subscription(std::string const& database) { m_subscriptions.insert(database); }

    /// Time at which this VM started.
    monotonic_time started_at() const { return m_started_at; }

    bool is_leaving() const { return m_is_leaving; }
    /// Marks this VM as shutting down and reports this to peers at once.
    void set_leaving();

    /// Returns the period at which each VM may read from the platform's services so that the whole fleet
    /// stays within `reads_per_second`. The result is never shorter than `shortest`.
    duration store_poll_period(duration shortest, double reads_per_second) const;

private:
    template <typename Message>
    static constexpr std::size_t kind_of()
    {
        return peer_message(Message{}).index();
    }

    peer_state& peer_named(std::string const& name);
    void poll_list();
    void read_list();
    void handle_list(std::vector<vm_record> const& records);
    void gossip();
    /// Sends heartbeats to the largest VMs of this zone. Their replies tell how long they have been running.
    void contact_zone_peers();
    std::vector<std::string> choose_gossip_targets();
    void send_heartbeat(peer_state& peer, bool is_reply);
    void handle_heartbeat(peer_state& peer, heartbeat const& message);
    /// Applies what a peer reports about itself.
    void apply_own_report(peer_state& peer, vm_identity_report const& reported) const;
    void handle_identity_report(vm_identity_report const& reported);
    std::vector<vm_identity_report> choose_identity_reports();
    void remove_silent_peers();

    kernel& m_kernel;
    platform_hooks const& m_platform;
    vm_identity m_identity;
    peer_codec m_codec;
    membership_timing m_timing;
    std::function<void(endpoint const&, std::string)> m_send_datagram;
    std::map<std::string, peer_state> m_peers;                 ///< Keyed by VM name.
    std::unordered_map<name_hash, std::string> m_name_of_hash; ///< Names of the peers, keyed by their hash.
    /// Keyed by the index of the message type in peer_message.
    std::map<std::size_t, std::function<void(peer_state const&, peer_message const&)>> m_handlers;
    std::function<void(heartbeat&)> m_fill_heartbeat;
    std::function<void(peer_state const&, heartbeat const&)> m_read_heartbeat;
    std::set<std::string> m_subscriptions;                     ///< Names of the databases that this VM uses.
    std::map<std::uint64_t, monotonic_time> m_sent_heartbeats; ///< Send times, keyed by sequence number.
    std::uint64_t m_next_sequence = 1;
    monotonic_time m_started_at;
    bool m_is_leaving = false;
    bool m_has_list = false;
    std::optional<monotonic_time> m_list_requested_at;
    bool m_is_odd_period = false;
    std::uint64_t m_rejected_datagrams = 0;
};

} // namespace greengagehitch
