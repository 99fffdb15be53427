#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "platform/platform_hooks.h"
#include "settings/daemon_settings.h"
#include "wire/peer_codec.h"

namespace greengagehitch {

/// Identity of the VM that this object runs.
struct vm_identity {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;
    std::uint64_t incarnation = 0; ///< Random, new with each start.
    double processor_share = 1;    ///< Of a core.
};

/// How often the VM shows signs of life by itself, and how long it believes in those of others.
struct membership_timing {
    duration gossip_period = std::chrono::milliseconds(500);
    duration reachability_timeout = std::chrono::milliseconds(1'600);
    duration list_period =
        std::chrono::seconds(2); ///< Shortest time between two reads of the platform's list.
};

/// What is known of another entry VM.
struct peer_state {
    std::string name;
    std::string availability_zone;
    endpoint address;
    std::uint64_t incarnation = 0; ///< 0 until it was heard.
    bool is_listed = false;        ///< In the platform's list.
    bool is_leaving = false;
    double processor_share = 0; ///< Of a core, by the platform's list; 0 until it named the peer.
    std::optional<monotonic_time> last_received_at;
    std::optional<monotonic_time> indirect_contact_at; ///< When a VM of its zone last said that it hears it.
    std::uint64_t last_sequence = 0;                   ///< Of its heartbeats.
    /// When the newest heartbeat was sent to which the peer has answered.
    std::optional<monotonic_time> echoed_heartbeat_sent_at;
    std::set<std::string> subscriptions;
};

/// Knows the entry VMs of the fleet: joins the platform's lagging list with what peers say of themselves and
/// of each other, and carries messages between them.
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

    /// Sends to one peer; unknown names are ignored. Datagrams may be lost, doubled or late.
    void send(std::string const& peer, peer_message message);

    /// Takes in a datagram; forged and malformed ones are dropped.
    void handle_datagram(std::string const& datagram);

    /// Registers the handler of one kind of message.
    template <typename Message>
    void on_message(std::function<void(peer_state const&, Message const&)> handler)
    {
        m_handlers[kind_of<Message>()] = [handler = std::move(handler)](peer_state const& sender,
                                                                        peer_message const& message) {
            handler(sender, std::get<Message>(message));
        };
    }

    /// Lets other services fill in and read heartbeats.
    void set_heartbeat_hooks(std::function<void(heartbeat&)> fill,
                             std::function<void(peer_state const&, heartbeat const&)> read);

    /// Sends heartbeats now rather than at the next period, for news that must spread at once.
    void send_heartbeats_now();

    /// Sets how long a peer that is not heard counts as reachable.
    void set_reachability_timeout(duration time) { m_timing.reachability_timeout = time; }

    /// True when the peer was heard, or was vouched for, within the suspicion time.
    bool is_reachable(peer_state const& peer) const;

    /// Takes in another VM's word that a peer serves, or that it shuts down.
    void record_indirect_contact(std::string const& peer);
    void record_leaving(std::string const& peer);

    /// Takes in what a peer says of itself.
    void update_peer_address(vm_rumor const& peer);

    /// Reads the platform's list before its time, since a VM was named that is not known.
    void read_list_soon();

    vm_rumor own_rumor() const;

    /// True when this VM hears the majority of the VMs that it knows, itself included.
    bool has_majority() const;

    /// VMs that take work, by name: this one and those heard lately or listed as live.
    std::vector<std::string> live_vms() const;

    /// Number of VMs, this one included.
    std::size_t fleet_size() const { return live_vms().size(); }

    /// True once the platform's list was read.
    bool has_list() const { return m_has_list; }

    std::string availability_zone_of(std::string const& vm) const;

    /// Databases that this VM uses; peers then send it news of them.
    void add_subscription(std::string const& database) { m_subscriptions.insert(database); }

    bool is_leaving() const { return m_is_leaving; }
    void set_leaving();

    /// Period between reads of the platform's services, so that a whole fleet stays within
    /// `reads_per_second`.
    duration store_poll_period(duration shortest, double reads_per_second) const;

private:
    template <typename Message>
    static constexpr std::size_t kind_of()
    {
        return peer_message(Message{}).index();
    }

    void poll_list();
    void read_list();
    void handle_list(std::vector<vm_record> const& records);
    void gossip();
    std::vector<std::string> choose_gossip_targets();
    void send_heartbeat(peer_state& peer, bool is_reply);
    void handle_heartbeat(peer_state& peer, heartbeat const& message);
    void handle_rumor(vm_rumor const& rumor);
    std::vector<vm_rumor> choose_rumors();
    void remove_silent_peers();

    kernel& m_kernel;
    platform_hooks const& m_platform;
    vm_identity m_identity;
    peer_codec m_codec;
    membership_timing m_timing;
    std::function<void(endpoint const&, std::string)> m_send_datagram;
    std::map<std::string, peer_state> m_peers;
    std::map<std::size_t, std::function<void(peer_state const&, peer_message const&)>> m_handlers;
    std::function<void(heartbeat&)> m_fill_heartbeat;
    std::function<void(peer_state const&, heartbeat const&)> m_read_heartbeat;
    std::set<std::string> m_subscriptions;
    std::map<std::uint64_t, monotonic_time> m_sent_heartbeats;
    std::uint64_t m_next_sequence = 1;
    bool m_is_leaving = false;
    bool m_has_list = false;
    std::optional<monotonic_time> m_list_requested_at;
    bool m_is_odd_period = false;
    std::uint64_t m_rejected_datagrams = 0;
};

} // namespace greengagehitch
