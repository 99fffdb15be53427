#include "limits/rate_contacts.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

constexpr double hundredths_per_unit = 100;
/// Processes that were started within this time of each other count as started together.
constexpr duration max_start_difference = std::chrono::seconds(2);
/// Number of report lifetimes after which a silent peer or zone is forgotten.
constexpr int retained_lifetimes = 4;
/// Fraction of the lifetime of reports within which a zone reports again unless a report is lost. When a zone
/// is silent for longer, the demands of this zone may be unknown to it.
constexpr double fresh_contact = 0.3;
/// Fraction of the lifetime of reports after which a zone's share may no longer rely on contact with a zone.
/// The rest of the lifetime is longer than a report period, so the zone on the other side of a cut has given
/// up what it had by its contact with this one before this one uses it.
constexpr double certain_contact = 0.7;
/// Number of VMs that vote on the lender of a zone, and of votes that make a majority.
constexpr std::size_t elector_count = 3;
constexpr std::size_t majority_of_electors = 2;
/// A zone that has become too small for a vote still needs one for this fraction of the lifetime of reports.
/// Within it the reports of all VMs that this VM has lost expire, and its own at those VMs.
constexpr int vote_retention_divisor = 2;

template <typename Demands>
rate_division::demands_map decode_demands(Demands const& reported)
{
    rate_division::demands_map demands;
    for (auto const& each : reported) {
        demands[each.client_account] = static_cast<double>(each.operations) / hundredths_per_unit;
    }
    return demands;
}

/// Returns the smaller demand for each account. An account that is missing has no demand.
rate_division::demands_map smaller_of(rate_division::demands_map const& left,
                                      rate_division::demands_map const& right)
{
    rate_division::demands_map result;
    for (auto const& [account, demand] : left) {
        auto const other = right.find(account);
        if (other != right.end()) {
            result[account] = std::min(demand, other->second);
        }
    }
    return result;
}

bool contains(std::vector<name_hash> const& names, std::string const& name)
{
    return std::find(names.begin(), names.end(), hash_name(name)) != names.end();
}

} // namespace

bool rate_contacts::handle_vm_report(std::string const& peer, vm_report const& report)
{
    auto& entry = m_peers[peer];
    entry.received_at = m_kernel.now();
    entry.receives_from_this_vm = contains(report.reachable_vms, m_membership.identity().name);
    entry.demands = decode_demands(report.demands);
    entry.started = decode_start_times(entry.received_at, report.uptime_ms, report.uptime_ms);
    return std::exchange(entry.is_leaving, report.is_leaving) != report.is_leaving;
}

bool rate_contacts::handle_zone_report(zone_report const& report, std::vector<std::string> const& vms)
{
    auto& entry = m_zones[report.availability_zone];
    if (is_own_zone(report.availability_zone)) {
        m_former_demands.push_back({entry.received_at, std::move(entry.demands)});
        while (m_former_demands.size() > 1 &&
               m_kernel.now() - m_former_demands[1].reported_at > m_report_lifetime) {
            m_former_demands.pop_front();
        }
    }
    entry.received_at = m_kernel.now();
    entry.receives_from_this_vm = contains(report.reachable_zones, m_membership.identity().availability_zone);
    entry.demands = decode_demands(report.demands);
    entry.vms = vms;
    entry.started =
        decode_start_times(entry.received_at, report.shortest_uptime_ms, report.longest_uptime_ms);
    if (!vms.empty()) {
        entry.lenders.set_vms(vms);
    }
    return std::exchange(entry.vm_hashes, report.vms) != report.vms;
}

void rate_contacts::record_message(std::string const& peer)
{
    auto const zone = m_zones.find(m_membership.availability_zone_of(peer));
    if (zone != m_zones.end()) {
        zone->second.heard_at = m_kernel.now();
    }
}

void rate_contacts::divide(demands_map const& own_demands)
{
    remove_silent();
    m_zone_peers_in_contact = 0;
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer)) {
            ++m_zone_peers_in_contact;
        }
    }
    m_other_zones_in_contact = count_zones(&rate_contacts::is_counted);
    m_certain_zones = count_zones(&rate_contacts::is_certain);
    m_fresh_zones = count_zones(&rate_contacts::is_fresh);
    m_division = divide_among(own_demands, &rate_contacts::is_counted);
    m_certain_division.reset();
    if (m_certain_zones != m_other_zones_in_contact) {
        m_certain_division = divide_among(own_demands, &rate_contacts::is_certain);
    }
    set_lenders();
}

bool rate_contacts::has_lost_contact() const
{
    return count_zones(&rate_contacts::is_counted) < m_other_zones_in_contact ||
           count_zones(&rate_contacts::is_certain) < m_certain_zones ||
           count_zones(&rate_contacts::is_fresh) < m_fresh_zones;
}

bool rate_contacts::is_certain(zone_state const& zone) const
{
    return is_in_contact(zone) &&
           m_kernel.now() - std::max(zone.received_at, zone.heard_at) <= part_of_lifetime(certain_contact);
}

bool rate_contacts::is_fresh(zone_state const& zone) const
{
    return is_in_contact(zone) && m_kernel.now() - zone.received_at <= part_of_lifetime(fresh_contact);
}

duration rate_contacts::part_of_lifetime(double part) const
{
    return std::chrono::duration_cast<duration>(part * m_report_lifetime);
}

std::size_t rate_contacts::count_zones(zone_predicate counts) const
{
    return static_cast<std::size_t>(std::count_if(m_zones.begin(), m_zones.end(), [&](auto const& each) {
        return !is_own_zone(each.first) && (this->*counts)(each.second);
    }));
}

rate_division rate_contacts::divide_among(demands_map const& own_demands, zone_predicate counts) const
{
    auto const now = m_kernel.now();
    rate_division division;
    division.reset(m_membership.fleet_size());
    division.add_own_demands(own_demands);
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer)) {
            division.add_zone_peer(peer.demands);
        }
    }
    auto received_by_all = now;
    for (auto const& [zone, state] : m_zones) {
        if (!is_own_zone(zone) && (this->*counts)(state)) {
            division.add_other_zone(state.vms.size(), state.demands);
            received_by_all = std::min(received_by_all, state.received_at);
        }
    }
    auto const own_zone = m_zones.find(m_membership.identity().availability_zone);
    if (own_zone != m_zones.end() && now - own_zone->second.received_at <= m_report_lifetime) {
        auto const& state = own_zone->second;
        division.set_reported_zone(state.vm_hashes.size(),
                                   now - received_by_all <= part_of_lifetime(fresh_contact)
                                       ? state.demands
                                       : known_zone_demands(state, received_by_all));
    }
    return division;
}

rate_contacts::demands_map rate_contacts::known_zone_demands(zone_state const& own_zone,
                                                             monotonic_time received_by_all) const
{
    if (own_zone.received_at <= received_by_all) {
        return own_zone.demands;
    }
    demands_map const* known = nullptr;
    for (auto const& each : m_former_demands) {
        if (each.reported_at <= received_by_all) {
            known = &each.demands;
        }
    }
    return known == nullptr ? demands_map() : smaller_of(*known, own_zone.demands);
}

void rate_contacts::remove_silent()
{
    auto const is_silent = [this](auto const& each) {
        return m_kernel.now() - each.second.received_at > retained_lifetimes * m_report_lifetime;
    };
    std::erase_if(m_peers, is_silent);
    std::erase_if(m_zones, is_silent);
}

void rate_contacts::set_lenders()
{
    // A VM that is shutting down hands its role over before it ends.
    std::vector<std::string> candidates;
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer) && !peer.is_leaving) {
            candidates.push_back(name);
        }
    }
    if (!m_membership.is_leaving() || candidates.empty()) {
        candidates.push_back(m_membership.identity().name);
    }
    m_zone_lenders.set_vms(candidates);
    m_can_vote = candidates.size() >= elector_count;
    // The other zones choose the fleet lender from the report of this zone.
    auto const own_zone = m_zones.find(m_membership.identity().availability_zone);
    if (own_zone != m_zones.end() && m_kernel.now() - own_zone->second.received_at <= m_report_lifetime) {
        auto const is_reported = [&](std::string const& vm) {
            return contains(own_zone->second.vm_hashes, vm);
        };
        if (std::any_of(candidates.begin(), candidates.end(), is_reported)) {
            std::erase_if(candidates, [&](std::string const& vm) { return !is_reported(vm); });
        }
    }
    for (auto& [zone, state] : m_zones) {
        if (!is_own_zone(zone) && is_in_contact(state) && !state.vms.empty()) {
            candidates.insert(candidates.end(), state.vms.begin(), state.vms.end());
        }
    }
    m_fleet_lenders.set_vms(std::move(candidates));
}

double rate_contacts::share_of(std::string const& client_account, double capacity)
{
    // The number of VMs that share the rate is unknown until the platform's list of VMs has been read.
    if (!m_membership.has_list()) {
        return 0;
    }
    auto const& own = m_membership.identity().name;
    return certain_share_of(client_account, capacity,
                            {fleet_lender(client_account) == own, zone_lender(client_account) == own});
}

double rate_contacts::share_in_place_of_lender(std::string const& client_account, double capacity)
{
    auto const& lender = fleet_lender(client_account);
    auto const is_fleet_lender =
        lender == m_membership.identity().name || lender == zone_lender(client_account);
    return certain_share_of(client_account, capacity, {is_fleet_lender, true});
}

double rate_contacts::certain_share_of(std::string const& client_account, double capacity,
                                       rate_division::lender_role role) const
{
    auto const share = m_division.share_of(client_account, capacity, role);
    return m_certain_division ? std::min(share, m_certain_division->share_of(client_account, capacity, role))
                              : share;
}

std::vector<std::string> rate_contacts::electors(std::string const& client_account) const
{
    return m_zone_lenders.rank(client_account, elector_count);
}

std::vector<std::string> rate_contacts::fleet_electors(std::string const& client_account)
{
    auto const& lender = fleet_lender(client_account);
    for (auto const& [zone, state] : m_zones) {
        if (!is_own_zone(zone) && std::find(state.vms.begin(), state.vms.end(), lender) != state.vms.end()) {
            return state.lenders.rank(client_account, elector_count);
        }
    }
    return electors(client_account);
}

std::size_t rate_contacts::votes_needed(std::string const& client_account)
{
    auto const now = m_kernel.now();
    if (m_can_vote) {
        m_could_vote_at = now;
    }
    auto const can_vote =
        m_could_vote_at && now - *m_could_vote_at <= m_report_lifetime / vote_retention_divisor;
    auto const is_first_choice = zone_lender(client_account) == m_membership.identity().name;
    return can_vote || !is_first_choice ? majority_of_electors : 0;
}

std::string const& rate_contacts::fleet_lender(std::string const& client_account)
{
    return m_fleet_lenders.choose(client_account);
}

std::string const& rate_contacts::zone_lender(std::string const& client_account)
{
    return m_zone_lenders.choose(client_account);
}

std::vector<std::string> rate_contacts::other_zone_lenders(std::string const& client_account)
{
    std::vector<std::string> lenders;
    for (auto& [zone, state] : m_zones) {
        if (!is_own_zone(zone) && is_in_contact(state) && !state.vms.empty()) {
            lenders.push_back(state.lenders.choose(client_account));
        }
    }
    return lenders;
}

void rate_contacts::start_times::add(start_times const& other)
{
    earliest = std::min(earliest, other.earliest);
    latest = std::max(latest, other.latest);
}

rate_contacts::start_times rate_contacts::decode_start_times(monotonic_time received_at,
                                                             std::uint32_t shortest_uptime_ms,
                                                             std::uint32_t longest_uptime_ms)
{
    return {received_at - std::chrono::milliseconds(longest_uptime_ms),
            received_at - std::chrono::milliseconds(shortest_uptime_ms)};
}

std::uint32_t rate_contacts::uptime_ms() const
{
    return static_cast<std::uint32_t>(to_microseconds(m_kernel.now() - m_started_at) / 1000);
}

void rate_contacts::add_uptimes(zone_report& report) const
{
    auto const now = m_kernel.now();
    start_times zone{m_started_at, m_started_at};
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer)) {
            zone.add(peer.started);
        }
    }
    report.shortest_uptime_ms = static_cast<std::uint32_t>(to_microseconds(now - zone.latest) / 1000);
    report.longest_uptime_ms = static_cast<std::uint32_t>(to_microseconds(now - zone.earliest) / 1000);
}

std::optional<duration> rate_contacts::common_uptime() const
{
    start_times all{m_started_at, m_started_at};
    std::size_t vms = 1;
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer)) {
            ++vms;
            all.add(peer.started);
        }
    }
    for (auto const& [zone, state] : m_zones) {
        if (!is_own_zone(zone) && is_in_contact(state)) {
            vms += state.vms.size();
            all.add(state.started);
        }
    }
    auto const is_whole = m_membership.has_list() && vms >= m_membership.fleet_size();
    if (!is_whole || all.latest - all.earliest > max_start_difference || all.latest > m_kernel.now()) {
        return std::nullopt;
    }
    return m_kernel.now() - all.latest;
}

void rate_contacts::add_zone_peer_demands(demands_map& total) const
{
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(peer)) {
            for (auto const& [account, demand] : peer.demands) {
                total[account] += demand;
            }
        }
    }
}

} // namespace greengagehitch
