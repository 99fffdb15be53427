#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "brokers/broker_candidates.h"
#include "brokers/broker_ranking.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Chooses the broker of each member and its successors. Brokers are VMs of the member's own zone if one is
/// in contact, and the members of a zone are spread evenly over them. A VM that has just started chooses from
/// the platform's list until it has received messages of its peers, and is no broker before.
class broker_choice {
public:
    /// `is_silent_zone` tells whether the VMs of a zone leave messages unanswered; they are not chosen then.
    broker_choice(kernel& kernel, membership_service const& membership,
                  std::function<bool(std::string const& zone)> is_silent_zone)
        : m_kernel(kernel), m_membership(membership), m_is_silent_zone(std::move(is_silent_zone))
    {
    }

    void add_member(std::string const& member, std::string const& zone);
    void remove_member(std::string const& member);

    /// Returns the broker of a member, or an empty name if none is known yet, shortly after the start.
    std::string choose(std::string const& member, std::string const& zone);

    /// Returns the broker of a registered member and its successors, without excluded ones.
    broker_order order_of(std::string const& member);

    /// Excludes a VM that could not reach a member from being the member's broker for a time.
    void exclude_route(std::string const& member, std::string const& vm);
    /// Records that a VM was found to be down.
    void record_loss(std::string const& vm);
    /// Records that a VM hands over its members. It is chosen again once it has restarted.
    void record_hand_over(std::string const& vm);
    /// Chooses again at the next call, after a change that this object does not see.
    void reset() { m_rankings.clear(); }

    /// Brokers of the registered members, keyed by member id, as chosen last.
    std::map<std::string, std::string> brokers() const;

private:
    /// Orders of brokers for the members of one zone.
    struct zone_ranking {
        std::vector<std::string> vms; ///< Eligible VMs of the zone, or of all zones if the zone has none.
        std::vector<std::string> reserved; ///< Young VMs, which rank behind them.
        std::vector<std::string> members;
        std::map<std::string, broker_order> orders; ///< Keyed by member id.
        std::optional<monotonic_time> made_at;
    };

    struct hand_over {
        std::uint64_t incarnation = 0;
        monotonic_time recorded_at;
    };

    zone_ranking const& ranking_of(std::string const& zone);
    broker_candidates candidates_in(std::function<bool(std::string const& zone)> const& accepts) const;
    std::vector<std::string> members_of(std::string const& zone) const;
    bool is_excluded(std::string const& member, std::string const& vm) const;
    bool is_down(std::string const& vm, peer_state const& peer) const;
    /// True if the VM has handed over its members and has not restarted since.
    bool has_handed_over(std::string const& vm, peer_state const& peer) const;
    /// True while this VM may not know its peers, since it has just started.
    bool is_starting() const;
    broker_age age_of(monotonic_time started_at) const;

    kernel& m_kernel;
    membership_service const& m_membership;
    std::function<bool(std::string const& zone)> m_is_silent_zone;
    std::map<std::string, std::string> m_zone_of_member;
    std::map<std::string, zone_ranking> m_rankings; ///< Keyed by availability zone.
    /// Time until which a VM is not chosen as the broker of a member, keyed by member id and VM name.
    std::map<std::string, std::map<std::string, monotonic_time>> m_excluded_routes;
    std::map<std::string, monotonic_time> m_lost_at; ///< Keyed by VM name.
    std::map<std::string, hand_over> m_hand_overs;   ///< Keyed by VM name.
};

} // namespace greengagehitch
