#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "kernel/kernel.h"
#include "limits/lender_choice.h"
#include "limits/rate_division.h"
#include "membership/membership_service.h"
#include "wire/peer_messages.h"

namespace greengagehitch {

/// The VMs and zones with which this VM divides the rates of the client accounts, as of their reports.
class rate_contacts {
public:
    using demands_map = rate_division::demands_map;

    rate_contacts(kernel& kernel, membership_service& membership)
        : m_kernel(kernel), m_membership(membership), m_started_at(kernel.now())
    {
    }

    /// Sets how long a peer or zone counts as in contact after its last report.
    void set_report_lifetime(duration lifetime) { m_report_lifetime = lifetime; }

    /// Records the demands in the report of another VM of this zone. Returns true when the peer has started
    /// or withdrawn its shutdown since its last report, which changes the lenders.
    bool handle_vm_report(std::string const& peer, vm_report const& report);

    /// Records the demands in the report of a zone, which may be this VM's own. `vms` are the names of the
    /// zone's VMs. Returns true when other VMs serve in the zone than at its last report, which changes the
    /// lenders.
    bool handle_zone_report(zone_report const& report, std::vector<std::string> const& vms);

    /// Records that a message about tokens has arrived from a peer, which shows that its zone is not cut off.
    void record_message(std::string const& peer);

    /// Chooses the lenders, and divides the rates, among the VMs in contact. `own_demands` are those that
    /// this VM has published.
    void divide(demands_map const& own_demands);

    /// True when the reports of zones have become too old since the last division.
    bool has_lost_contact() const;

    /// Returns the share of the account's rate that this VM owns, in [0, 1]. `capacity` is the number of
    /// tokens that all owners may hold.
    double share_of(std::string const& client_account, double capacity);
    /// Returns the share of this VM while it has the roles of the zone lender, which is lost.
    double share_in_place_of_lender(std::string const& client_account, double capacity);

    /// Returns the VM that lends to the zone lenders.
    std::string const& fleet_lender(std::string const& client_account);
    /// Returns the VM that lends to the VMs of this zone.
    std::string const& zone_lender(std::string const& client_account);
    /// VMs that could take the roles of a lender that is lost: the first of its zone, in the order in which
    /// they are chosen. They vote on which of them may use the lender's share.
    std::vector<std::string> electors(std::string const& client_account) const;
    /// The same for the fleet lender.
    std::vector<std::string> fleet_electors(std::string const& client_account);
    /// Number of electors whose votes a lender needs. In a zone of two VMs no majority is left when one of
    /// them is lost, so there the first choice needs no votes, and the other cannot get them.
    std::size_t votes_needed(std::string const& client_account);

    /// Returns the zone lenders of the other zones in contact.
    std::vector<std::string> other_zone_lenders(std::string const& client_account);

    /// Adds the demands that the zone peers in contact have published.
    void add_zone_peer_demands(demands_map& total) const;

    /// Adds the ages of the processes of this zone to its report.
    void add_uptimes(zone_report& report) const;
    /// Age of this process in milliseconds.
    std::uint32_t uptime_ms() const;

    /// Returns for how long all processes of the fleet have run, if all of them are in contact and were
    /// started together, and none otherwise. Before that time no VM admitted operations for some time.
    std::optional<duration> common_uptime() const;

    /// Numbers of zone peers and of other zones that were in contact at the last division.
    std::size_t zone_peers() const { return m_zone_peers_in_contact; }
    std::size_t other_zones() const { return m_other_zones_in_contact; }
    /// Number of zone peers whose reports are kept.
    std::size_t known_peers() const { return m_peers.size(); }

private:
    /// Range of the times at which processes were started.
    struct start_times {
        monotonic_time earliest;
        monotonic_time latest;

        void add(start_times const& other);
    };

    struct peer_demands {
        demands_map demands;                ///< Operations per second, keyed by client account.
        bool receives_from_this_vm = false; ///< True when the peer's report lists this VM as reachable.
        bool is_leaving = false;
        monotonic_time received_at;
        start_times started;
    };

    struct zone_state {
        std::vector<std::string> vms;
        std::vector<name_hash> vm_hashes; ///< The VMs of the report, also those with unknown names.
        demands_map demands;              ///< Operations per second, keyed by client account.
        /// True when the zone's report lists this VM's zone as reachable.
        bool receives_from_this_vm = false;
        monotonic_time received_at;
        monotonic_time heard_at; ///< Time of the last message about tokens from a VM of the zone.
        start_times started;
        lender_choice lenders;
    };

    using zone_predicate = bool (rate_contacts::*)(zone_state const&) const;

    /// Demands of this zone in an earlier report of it.
    struct former_demands {
        monotonic_time reported_at;
        demands_map demands;
    };

    static start_times decode_start_times(monotonic_time received_at, std::uint32_t shortest_uptime_ms,
                                          std::uint32_t longest_uptime_ms);

    /// True when a recent report shows that messages arrive in both directions.
    template <typename Entry>
    bool is_in_contact(Entry const& entry) const
    {
        return entry.receives_from_this_vm && m_kernel.now() - entry.received_at <= m_report_lifetime;
    }
    bool is_counted(zone_state const& zone) const { return is_in_contact(zone); }
    /// True when the zone is certainly not cut off.
    bool is_certain(zone_state const& zone) const;
    /// True when the zone has reported within the last period.
    bool is_fresh(zone_state const& zone) const;
    bool is_own_zone(std::string const& zone) const
    {
        return zone == m_membership.identity().availability_zone;
    }
    duration part_of_lifetime(double part) const;
    std::size_t count_zones(zone_predicate counts) const;
    /// Removes peers and zones that have not reported for so long that they count as replaced.
    void remove_silent();
    void set_lenders();
    /// Divides the rates among the VMs of this zone in contact and those of the other zones that count.
    rate_division divide_among(demands_map const& own_demands, zone_predicate counts) const;
    /// Returns the demands of this zone that the other zones know. A demand that has grown counts only once
    /// they have received it: while it is unknown to them, their shares do not become smaller.
    demands_map known_zone_demands(zone_state const& own_zone, monotonic_time received_by_all) const;
    /// Returns the smaller of the shares with and without the zones that may be cut off.
    double certain_share_of(std::string const& client_account, double capacity,
                            rate_division::lender_role role) const;

    kernel& m_kernel;
    membership_service& m_membership;
    monotonic_time m_started_at;
    std::map<std::string, peer_demands> m_peers; ///< Zone peers, keyed by VM name.
    std::map<std::string, zone_state> m_zones;   ///< Keyed by availability zone.
    duration m_report_lifetime = std::chrono::seconds(3);
    std::size_t m_zone_peers_in_contact = 0;
    std::size_t m_other_zones_in_contact = 0;
    std::size_t m_certain_zones = 0; ///< Those of them that are certainly not cut off.
    std::size_t m_fresh_zones = 0;   ///< Those of them that have reported within the last period.
    rate_division m_division;
    /// Without the zones that may be cut off; none while there is no such zone.
    std::optional<rate_division> m_certain_division;
    std::deque<former_demands> m_former_demands; ///< Of this zone; the newest last.
    bool m_can_vote = false; ///< True when this zone has enough VMs for a vote on its lender.
    /// Last time at which that was true.
    std::optional<monotonic_time> m_could_vote_at;
    lender_choice m_zone_lenders;
    lender_choice m_fleet_lenders;
};

} // namespace greengagehitch
