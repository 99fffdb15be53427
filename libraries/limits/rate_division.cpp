#include "limits/rate_division.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// A demand that would use up the capacity of the account in this time is assumed in addition to the reported
/// demands, spread equally over the VMs. It keeps a rate for the first operations of a zone, and the zones'
/// shares from changing abruptly when the first demands are reported.
constexpr double assumed_demand_seconds = 1;
/// Fraction of an account's rate that its fleet lender holds for zones that run out of tokens.
constexpr double fleet_lender_share = 0.1;
/// Smallest capacity, in tokens, of a zone. Operations that arrive together would exhaust a smaller one.
constexpr double min_zone_capacity = 3;

double demand_in(rate_division::demands_map const& demands, name_hash account)
{
    auto const found = demands.find(account);
    return found == demands.end() ? 0 : found->second;
}

void add_to(rate_division::demands_map& total, rate_division::demands_map const& added)
{
    for (auto const& [account, demand] : added) {
        total[account] += demand;
    }
}

} // namespace

void rate_division::reset(std::size_t fleet_size)
{
    *this = {};
    m_fleet_size = std::max<std::size_t>(1, fleet_size);
}

void rate_division::add_own_demands(demands_map const& demands)
{
    add_to(m_zone_demands, demands);
}

void rate_division::add_zone_peer(demands_map const& demands)
{
    ++m_zone_peer_count;
    add_to(m_zone_demands, demands);
}

void rate_division::add_other_zone(std::size_t vms, demands_map const& demands)
{
    m_other_zones_vm_count += vms;
    ++m_other_zones_count;
    add_to(m_other_zones_demands, demands);
}

std::size_t rate_division::vms_here() const
{
    auto const in_contact = 1 + m_zone_peer_count;
    return m_reported_zone_vms ? std::clamp<std::size_t>(*m_reported_zone_vms, 1, in_contact) : in_contact;
}

double rate_division::zone_share(name_hash account, double capacity) const
{
    auto const here_count = static_cast<double>(vms_here());
    auto const equal = here_count / (here_count + static_cast<double>(m_other_zones_vm_count));
    auto const here = demand_in(m_reported_zone_demands ? *m_reported_zone_demands : m_zone_demands, account);
    auto const total = here + demand_in(m_other_zones_demands, account);
    auto const assumed = capacity / assumed_demand_seconds;
    return assumed + total > 0 ? (assumed * equal + here) / (assumed + total) : equal;
}

double rate_division::fleet_lender_share_of(double capacity) const
{
    auto const zones = static_cast<double>(1 + m_other_zones_count);
    return capacity * (1 - fleet_lender_share) / zones < min_zone_capacity ? 1 : fleet_lender_share;
}

double rate_division::share_of(std::string const& client_account, double capacity,
                               lender_role lender_role) const
{
    auto const reachable_vms = static_cast<double>(1 + m_zone_peer_count + m_other_zones_vm_count);
    auto const fleet = std::max(static_cast<double>(m_fleet_size), reachable_vms);
    auto const owned_by_fleet_lender = fleet_lender_share_of(capacity);
    auto share = lender_role.is_fleet_lender ? owned_by_fleet_lender : 0;
    if (lender_role.is_zone_lender) {
        share += (1 - owned_by_fleet_lender) * zone_share(hash_name(client_account), capacity);
    }
    return reachable_vms / fleet * share;
}

} // namespace greengagehitch
