#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "wire/name_hash.h"

namespace greengagehitch {

/// Computes the share of a client account's rate that this VM owns.
///
/// The rate is divided among the availability zones in proportion to the demands in their reports. In each
/// zone one VM, the account's zone lender, owns the whole share of the zone and lends tokens to its zone
/// peers. One VM of the fleet, the account's fleet lender, owns a further portion and lends it to the zone
/// lenders. VMs without a role own nothing, so no tokens lie idle at a VM without demand. When the token
/// capacity of an account is too small to be divided among zones, the fleet lender owns all of it. A VM
/// without contact is assumed to use an equal share of the rate, so the VMs in contact divide only the
/// remainder.
class rate_division {
public:
    using demands_map = std::map<name_hash, double>;

    /// Clears all demands and sets the number of VMs in the fleet, including this one.
    void reset(std::size_t fleet_size);

    /// Adds the demands that this VM has published, keyed by client account.
    void add_own_demands(demands_map const& demands);
    /// Adds the demands that another VM of this zone, which is in contact, has published.
    void add_zone_peer(demands_map const& demands);
    /// Sets the demands of this zone, and its number of VMs, as they were last reported to the other zones.
    void set_reported_zone(std::size_t vms, demands_map const& demands)
    {
        m_reported_zone_vms = vms;
        m_reported_zone_demands = demands;
    }
    /// Adds another zone that is in contact with this one, with its number of VMs.
    void add_other_zone(std::size_t vms, demands_map const& demands);

    /// Whether this VM lends tokens of an account to other VMs.
    struct lender_role {
        bool is_fleet_lender = false;
        bool is_zone_lender = false;
    };

    /// Returns the share of the account's rate for this VM, in [0, 1]. `capacity` is the number of tokens
    /// that the buckets of the account may hold in the whole fleet.
    double share_of(std::string const& client_account, double capacity, lender_role lender_role) const;

private:
    double fleet_lender_share_of(double capacity) const;
    /// Returns the number of VMs of this zone, which is at most the one that the other zones know.
    std::size_t vms_here() const;
    /// Returns this zone's share of the rate that the zones in contact divide among them.
    double zone_share(name_hash account, double capacity) const;

    std::size_t m_fleet_size = 1;
    std::size_t m_zone_peer_count = 0;
    std::size_t m_other_zones_vm_count = 0; ///< Number of VMs in the other zones that are in contact.
    std::size_t m_other_zones_count = 0;
    demands_map m_zone_demands;
    std::optional<std::size_t> m_reported_zone_vms;
    std::optional<demands_map> m_reported_zone_demands;
    demands_map m_other_zones_demands;
};

} // namespace greengagehitch
