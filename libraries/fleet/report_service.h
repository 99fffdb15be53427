#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "fleet/fleet_state.h"
#include "fleet/zone_exchange.h"
#include "kernel/kernel.h"
#include "limits/rate_shares.h"
#include "members/group_registry.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Exchanges state between the VMs of the fleet: demands of client accounts, leaders and suspicions of
/// database groups, and contact with the platform's store. Each VM reports to its zone peers; the state of a
/// whole zone is sent to other zones in a single report.
class report_service : public service {
public:
    static constexpr std::string_view service_name = "reports";

    explicit report_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;

    /// Sends a report now instead of at the next period, so that peers receive an urgent change at once.
    void send_report_now();

    /// Combined assessment of a database group and its leader by the VMs that use the group.
    struct group_assessment {
        std::size_t voters = 0;   ///< Number of VMs that use the group, including this one.
        std::size_t suspects = 0; ///< Number of the voters that consider the leader unreachable.
        log_position highest;     ///< Highest log position that any of the VMs saw committed.
        std::string lock_holder;  ///< Peer that holds the failover lock of the group; empty for none.

        /// Adds the assessment of further VMs.
        void add(group_assessment const& other);
    };

    /// Returns the combined assessment by all VMs whose reports have not expired.
    group_assessment assessment_of(database_group const& group) const;

    /// True when this VM must read the configuration from the store: it does so on behalf of its availability
    /// zone, or its configuration has not been confirmed by other VMs for too long.
    bool reads_configuration_for_zone() const;
    /// True when this VM must read the member directory from the store: it does so on behalf of all VMs in
    /// contact, or its configuration has not been confirmed for too long.
    bool reads_directory_for_fleet() const;

    /// Called with the VM that has the newer state, or with an empty name when the store must be read.
    using read_hook = std::function<void(std::string const& vm)>;

    /// Sets the functions that get the configuration and the member directory. They are called when a peer
    /// has newer state.
    void set_read_hooks(read_hook read_configuration, read_hook read_directory)
    {
        m_read_configuration = std::move(read_configuration);
        m_read_directory = std::move(read_directory);
    }

    /// Sets the functions that return the latest era of the store that this VM saw, and that receive one
    /// which a peer saw.
    void set_store_era_hooks(std::function<std::uint64_t()> store_era,
                             std::function<void(std::uint64_t)> learn_store_era)
    {
        m_store_era = std::move(store_era);
        m_learn_store_era = std::move(learn_store_era);
    }

    /// True when this VM reaches neither the VMs nor the members of other zones, or when it has not received
    /// a report of any other zone recently and has not reached the store since it received the last one. A
    /// network partition of this VM is then more likely than a failure of all other zones and of the store.
    bool is_cut_off() const;

    /// Returns whether VMs of the zone were heard recently, and since `time`; true for this VM's own zone.
    bool heard_zone_since(std::string const& zone, monotonic_time time) const;

    /// Returns the peers that reported recently that they can reach the platform's store.
    std::vector<std::string> peers_with_store() const;

    /// Sets the function that tells whether this VM holds the failover lock of a group.
    void set_holds_failover_lock(std::function<bool(std::string const&)> holds_lock)
    {
        m_holds_failover_lock = std::move(holds_lock);
    }

private:
    struct received_report {
        vm_report report;
        monotonic_time received_at;
    };

    /// What a status reply said was the newest version, before this VM had it.
    struct announced_version {
        std::uint64_t version = 0;
        evacuation_position evacuations;
        monotonic_time known_at; ///< Time at which this version is known to have been the newest.
    };

    void tick();
    /// Sends this VM's report to all zone peers.
    void broadcast();
    zone_report make_zone_report() const;
    zone_assessment make_zone_assessment(database_group const& group) const;
    void apply_zone_report(zone_report const& report, std::vector<std::string> const& vms);
    void apply_leader_report(database_group& group, leader_report const& leader, bool is_suspected);
    /// True when this VM is the first by name of the VMs in contact within its zone.
    bool is_zone_reporter() const;
    bool is_zone_peer(peer_state const& peer) const;
    /// Sends reports to zone peers that became reachable or restarted, without waiting for the next period.
    void send_first_reports();
    /// Recomputes the shares of the rates when the number of VMs or zones that share them has changed.
    void divide_rates();
    vm_report make_report() const;
    /// Gets the configuration with the evacuations, or the member directory, if `vm`, a zone peer, has newer
    /// state.
    void refresh_from_peer(std::string const& vm, std::uint64_t version, std::uint32_t directory_digest,
                           std::uint32_t configuration_age_ms, evacuation_position const& evacuations);
    /// Position of the last change of the evacuations that this VM knows.
    evacuation_position own_evacuations() const;
    /// Gets them if another zone has newer state. The store reader of this zone reads the store; the others
    /// get them from the store reader, or from a VM of the other zone if no VM of this zone reaches the
    /// store.
    void refresh_from_zone(zone_report const& report, std::vector<std::string> const& vms);
    /// Number of zone peers in contact whose names come before this VM's.
    std::size_t rank_in_zone() const;
    /// Asks the VM that reads the store for this zone to confirm the configuration version.
    void request_store_status();
    void handle_store_status_request(peer_state const& peer, store_status_request const& request);
    void handle_store_status_reply(peer_state const& peer, store_status_reply const& reply);
    /// Confirms the configuration as of the status replies whose version this VM has received since.
    void confirm_received_versions();
    /// Returns the first by name of the VMs that can reach the store, including this one. Considers only the
    /// VMs of this zone if `only_own_zone` is set.
    std::string first_vm_with_store(bool only_own_zone) const;
    /// Period of reports for the current number of VMs in the zone.
    duration current_period() const;
    /// Time after which a report expires.
    duration current_lifetime() const;
    void handle_vm_report(peer_state const& peer, vm_report const& report);
    /// True when the report has not expired.
    bool is_fresh(received_report const& entry) const;
    /// Greatest age of a recent report, in proportion to the period of reports.
    duration max_recent_report_age() const;
    /// Returns the combined assessment by the VMs of this zone.
    group_assessment zone_assessment_of(database_group const& group) const;
    /// Sums up the assessments in the reports of the zone peers and of the other zones, unless this was done
    /// for the current time.
    void update_peer_assessments() const;
    std::vector<std::string> zone_peers_with_store() const;
    bool is_recent(received_report const& entry) const;

    kernel& m_kernel;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    rate_shares* m_rates = nullptr;
    group_registry* m_groups = nullptr;
    broker_service* m_brokers = nullptr;
    std::map<std::string, received_report> m_reports; ///< Latest reports of the zone peers, keyed by VM name.
    using assessments_map = std::unordered_map<name_hash, group_assessment>;
    mutable assessments_map m_zone_peers_assessments;  ///< Keyed by the hash of the group's name.
    mutable assessments_map m_other_zones_assessments; ///< Keyed by the hash of the group's name.
    mutable monotonic_time m_assessed_at;              ///< Time for which the assessments were summed up.
    mutable bool m_has_new_reports = true;             ///< True when reports arrived since then.
    std::vector<account_demand> m_demands;
    std::map<std::string, bool> m_suspected; ///< Last reported suspicion of the leader, keyed by group.
    std::function<bool(std::string const&)> m_holds_failover_lock;
    monotonic_time m_started_at;
    monotonic_time m_published_at;
    std::uint32_t m_last_request_number = 0; ///< Number of the latest store_status_request.
    /// Send times of store_status_requests, keyed by number.
    std::map<std::uint32_t, monotonic_time> m_sent_requests;
    monotonic_time m_last_request_at;
    std::vector<announced_version> m_announced_versions; ///< Versions that this VM does not have yet.
    std::uint64_t m_reported_version = 0;          ///< Configuration version when changes were last checked.
    std::uint32_t m_reported_directory_digest = 0; ///< Directory digest when changes were last checked.
    evacuation_position m_reported_evacuations;    ///< Evacuations when changes were last checked.
    std::optional<zone_exchange> m_zones;          ///< Set when the service starts.
    bool m_reported_leaving = false;
    bool m_reported_has_list = false;
    bool m_had_store = false; ///< Whether the store was reached recently when changes were last checked.
    std::size_t m_last_sharing_count = 0; ///< Number of VMs and other zones when the rates were last divided.
    /// Incarnations of the reachable zone peers, which have received a first report, keyed by VM name.
    std::map<std::string, std::uint64_t> m_reported_incarnations;
    std::function<std::uint64_t()> m_store_era;
    std::function<void(std::uint64_t)> m_learn_store_era;
    read_hook m_read_configuration;
    read_hook m_read_directory;
};

} // namespace greengagehitch
