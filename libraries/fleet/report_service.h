#pragma once

#include <functional>
#include <map>
#include <string>

#include "fleet/fleet_state.h"
#include "fleet/zone_exchange.h"
#include "kernel/kernel.h"
#include "limits/rate_shares.h"
#include "members/group_registry.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Shares what VMs must know of each other: demands, leaders, suspicions, and how well they reach the
/// platform. Each VM reports to those of its zone; zones report to each other as wholes.
class report_service : public service {
public:
    static constexpr std::string_view service_name = "reports";

    explicit report_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;

    /// Sends a report now, since something changed that peers wait for.
    void send_now();

    struct group_opinion {
        std::size_t voters = 0; ///< VMs that use the group, this one included.
        std::size_t suspects = 0;
        log_position highest;    ///< Highest position that any of them saw committed.
        std::string lock_holder; ///< Peer that orders promotions for the group; empty for none.
    };

    /// What the VMs that were heard lately say of a group.
    group_opinion opinion_on(database_group const& group) const;

    /// True when this VM is the one of its availability zone that follows the configuration in the store for
    /// the others there; also when the others' word is missing.
    bool follows_configuration() const;
    /// True when this VM is the one of all that hear each other that follows the members' directory.
    bool follows_directory() const;

    /// Set by the adapter of the store: to read at once what a peer knows better.
    void set_read_hooks(std::function<void()> read_configuration, std::function<void()> read_directory)
    {
        m_read_configuration = std::move(read_configuration);
        m_read_directory = std::move(read_directory);
    }

    /// True when this VM heard no other zone lately, nor the store since it last heard one: then it is rather
    /// this VM that is cut off than whatever it cannot reach.
    bool is_cut_off() const;

    /// Peers that were heard lately and reach the platform's store.
    std::vector<std::string> peers_with_store() const;

    /// Set by the service that orders promotions: whether this VM holds the duty for a group.
    void set_holds_failover_lock(std::function<bool(std::string const&)> question)
    {
        m_holds_failover_lock = std::move(question);
    }

private:
    struct received_report {
        vm_report report;
        monotonic_time heard_at;
    };

    void tick();
    void broadcast();
    zone_report make_zone_report() const;
    zone_opinion make_zone_opinion(database_group const& group) const;
    void take_zone_report(zone_report const& report, std::vector<std::string> const& vms);
    void take_leader(database_group& group, leader_report const& leader, bool is_suspected);
    /// First by name of the VMs of the zone that hear each other, this one included.
    bool is_speaker() const;
    bool is_neighbour(peer_state const& peer) const;
    /// Reports to peers that were not heard before, without waiting for the period.
    void greet_new_peers();
    /// Divides the rates anew when the VMs that share them have changed.
    void divide_rates();
    vm_report make_report() const;
    /// Reads at once what a peer knows better.
    void compare(std::uint64_t its_version, std::uint32_t its_directory, std::uint32_t store_age_ms);
    void ask_follower();
    void answer_question(peer_state const& peer, store_question const& question);
    void take_word(store_word const& word);
    /// First by name of the VMs that reach the store, this one included.
    std::string first_with_store(bool of_zone) const;
    duration current_period() const;
    duration current_lifetime() const;
    void take_report(peer_state const& peer, vm_report const& report);
    bool is_fresh(received_report const& entry) const;
    duration recent_time() const;
    /// What the VMs of this zone say of a group.
    group_opinion zone_opinion_on(database_group const& group) const;
    std::vector<std::string> neighbours_with_store() const;
    bool is_recent(received_report const& entry) const;

    kernel& m_kernel;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    rate_shares* m_rates = nullptr;
    group_registry* m_groups = nullptr;
    std::map<std::string, received_report> m_reports;
    std::vector<account_demand> m_demands;
    std::map<std::string, bool> m_suspected;
    std::function<bool(std::string const&)> m_holds_failover_lock;
    monotonic_time m_published_at;
    std::uint32_t m_number = 0;
    std::map<std::uint32_t, monotonic_time> m_questions; ///< When each was asked.
    monotonic_time m_asked_at;
    std::uint64_t m_told_version = 0;
    std::uint32_t m_told_directory = 0;
    std::optional<zone_exchange> m_zones; ///< Set when the service starts.
    bool m_told_leaving = false;
    bool m_told_list = false;
    std::size_t m_divided_among = 0;                ///< VMs that were heard when the rates were last divided.
    std::map<std::string, std::uint64_t> m_greeted; ///< Incarnations of the peers that are heard.
    std::function<void()> m_read_configuration;
    std::function<void()> m_read_directory;
};

} // namespace greengagehitch
