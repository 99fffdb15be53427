#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Exchanges one report for each availability zone. The zone reporter, which is the first by name of the VMs
/// in contact within a zone, builds the zone's report. One VM of each other zone receives it and forwards it
/// to its zone peers.
class zone_exchange {
public:
    struct hooks {
        /// Builds the report of this VM's zone.
        std::function<zone_report()> make_report;
        /// Called with each report of a zone and the names of the zone's VMs. Also called with reports of
        /// this VM's own zone; the names are empty then.
        std::function<void(zone_report const&, std::vector<std::string> const& vms)> on_report;
    };

    struct received_report {
        zone_report report;
        std::vector<std::string> vms;
        std::vector<std::string> vms_with_store; ///< VMs of `vms` that can reach the platform's store.
        monotonic_time received_at;
    };

    zone_exchange(kernel& kernel, membership_service& membership, hooks hooks);

    /// Sends the report of this zone when its urgent state has changed or `period` has passed. Called on the
    /// zone reporter only.
    void send_zone_report(duration period);

    /// Stores a received report. Forwards it to the zone peers when it comes directly from another zone.
    void handle_report(peer_state const& sender, zone_report const& report);

    /// Latest reports of the other zones, keyed by availability zone.
    std::map<std::string, received_report> const& reports() const { return m_reports; }

    /// Returns the other zones whose reports were received within `lifetime`.
    std::vector<name_hash> reachable_zones(duration lifetime) const;

    /// Returns whether VMs of other availability zones are known, heard or not.
    bool has_other_zones() const { return !other_zones().empty(); }

private:
    /// The part of a report whose changes are sent at once: configuration version, directory digest,
    /// evacuations, VMs, VMs that are shutting down, and, for each group, the number of suspecting VMs and
    /// the holder of the failover lock.
    using urgent_state =
        std::tuple<std::uint64_t, std::uint32_t, evacuation_position, std::vector<name_hash>,
                   std::vector<name_hash>, std::vector<std::uint32_t>, std::vector<name_hash>>;

    static urgent_state urgent_state_of(zone_report const& report);
    std::vector<std::string> choose_receivers(std::string const& zone);
    std::set<std::string> other_zones() const;
    void store_report(zone_report const& report);

    kernel& m_kernel;
    membership_service& m_membership;
    hooks m_hooks;
    std::map<std::string, received_report> m_reports;
    std::optional<urgent_state> m_sent_urgent_state;
    monotonic_time m_sent_at;
};

} // namespace greengagehitch
