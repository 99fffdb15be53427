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

/// Exchanges one report for each availability zone. The speaker of a zone, the first by name of the VMs that
/// hear each other there, writes its report; one VM of each other zone takes it and passes it on to its
/// neighbours.
class zone_exchange {
public:
    struct hooks {
        /// Writes the report of this VM's zone.
        std::function<zone_report()> make_report;
        /// Takes in a zone's report, this zone's own included, with the names of its VMs.
        std::function<void(zone_report const&, std::vector<std::string> const& vms)> on_report;
    };

    struct received_report {
        zone_report report;
        std::vector<std::string> vms;
        std::vector<std::string> vms_with_store; ///< Of `vms`, those that reach the store.
        monotonic_time received_at;
    };

    zone_exchange(kernel& kernel, membership_service& membership, hooks hooks);

    /// Sends the report of this zone when it has news or `period` has passed. Called by the zone's speaker.
    void send_zone_report(duration period);

    void handle_report(peer_state const& sender, zone_report const& report);

    /// Reports of other zones, by zone.
    std::map<std::string, received_report> const& reports() const { return m_reports; }

    /// Zones that were heard within `lifetime`.
    std::vector<name_hash> reachable_zones(duration lifetime) const;

    /// Name of a VM of a zone, or of none that is known.
    std::string name_of(name_hash vm) const;

private:
    using urgent_state =
        std::tuple<std::uint64_t, std::uint32_t, std::vector<name_hash>, std::vector<name_hash>,
                   std::vector<std::uint32_t>, std::vector<name_hash>>;

    static urgent_state urgent_state_of(zone_report const& report);
    void send_to_zone_peers(zone_report const& report);
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
