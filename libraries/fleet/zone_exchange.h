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
        std::function<void(zone_report const&, std::vector<std::string> const& vms)> taken;
    };

    struct received_report {
        zone_report report;
        std::vector<std::string> vms;
        std::vector<std::string> with_store; ///< Of `vms`, those that reach the store.
        monotonic_time heard_at;
    };

    zone_exchange(kernel& kernel, membership_service& membership, hooks hooks);

    /// Sends the report of this zone when it has news or `period` has passed. Called by the zone's speaker.
    void speak(duration period);

    void take(peer_state const& sender, zone_report const& report);

    /// Reports of other zones, by zone.
    std::map<std::string, received_report> const& reports() const { return m_reports; }

    /// Zones that were heard within `lifetime`.
    std::vector<short_name> heard_zones(duration lifetime) const;

    /// Name of a VM of a zone, or of none that is known.
    std::string name_of(short_name vm) const;

private:
    using news = std::tuple<std::uint64_t, std::uint32_t, std::vector<short_name>, std::vector<short_name>,
                            std::vector<std::uint32_t>, std::vector<short_name>>;

    static news news_in(zone_report const& report);
    void send_to_neighbours(zone_report const& report);
    std::vector<std::string> choose_receivers(std::string const& zone);
    std::set<std::string> other_zones() const;
    void keep(zone_report const& report);

    kernel& m_kernel;
    membership_service& m_membership;
    hooks m_hooks;
    std::map<std::string, received_report> m_reports;
    std::optional<news> m_sent_news;
    monotonic_time m_sent_at;
};

} // namespace greengagehitch
