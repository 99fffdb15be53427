#include "brokers/broker_choice.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// A broker is chosen again after this time, since VMs start and stop.
constexpr duration choice_lifetime = std::chrono::milliseconds(150);
/// Time for which a VM that was found to be down is not chosen as a broker.
constexpr duration vm_exclusion_time = std::chrono::milliseconds(600);
/// Time for which a VM that could not reach a member is not chosen as the broker of that member.
constexpr duration route_exclusion_time = std::chrono::milliseconds(1'500);
/// Time after the start within which a VM does not become a broker before it has received a message of a VM
/// of its zone.
constexpr duration start_time_limit = std::chrono::seconds(1);
/// Time after the start for which listed peers are taken to be reachable before any message of them arrives.
/// Each peer reports to the VMs of its zone within this time.
constexpr duration presumption_time = std::chrono::milliseconds(2'600);
/// Time after the start before which a VM takes no members from a settled one.
constexpr duration settling_time = std::chrono::milliseconds(1'500);
/// Time after a hand-over from which a zone report that lists the VM as serving shows that it has restarted.
/// Reports that arrive earlier may have been written before the hand-over.
constexpr duration hand_over_spread_time = std::chrono::seconds(1);

} // namespace

void broker_choice::add_member(std::string const& member, std::string const& zone)
{
    m_zone_of_member[member] = zone;
    m_rankings.clear();
}

void broker_choice::remove_member(std::string const& member)
{
    m_zone_of_member.erase(member);
    m_excluded_routes.erase(member);
    m_rankings.clear();
}

void broker_choice::exclude_route(std::string const& member, std::string const& vm)
{
    m_excluded_routes[member][vm] = m_kernel.now() + route_exclusion_time;
}

void broker_choice::record_loss(std::string const& vm)
{
    m_lost_at[vm] = m_kernel.now();
    m_rankings.clear();
}

void broker_choice::record_hand_over(std::string const& vm)
{
    auto const found = m_membership.peers().find(vm);
    if (found != m_membership.peers().end()) {
        m_hand_overs[vm] = {found->second.incarnation, m_kernel.now()};
        m_rankings.clear();
    }
}

std::map<std::string, std::string> broker_choice::brokers() const
{
    std::map<std::string, std::string> brokers;
    for (auto const& [zone, ranking] : m_rankings) {
        for (auto const& [member, order] : ranking.orders) {
            brokers[member] = order.front();
        }
    }
    return brokers;
}

broker_order broker_choice::order_of(std::string const& member)
{
    auto const zone = m_zone_of_member.find(member);
    if (zone == m_zone_of_member.end()) {
        return {};
    }
    auto const& orders = ranking_of(zone->second).orders;
    auto const found = orders.find(member);
    if (found == orders.end()) {
        return {};
    }
    auto order = found->second;
    std::erase_if(order, [&](auto const& vm) { return is_excluded(member, vm); });
    return order;
}

std::string broker_choice::choose(std::string const& member, std::string const& zone)
{
    auto const& ranking = ranking_of(zone);
    auto const order = ranking.orders.find(member);
    if (order != ranking.orders.end()) {
        for (auto const& vm : order->second) {
            if (!is_excluded(member, vm)) {
                return vm;
            }
        }
    }
    // The member is not registered yet, or no VM of the zone reaches it.
    auto others = candidates_in([](std::string const&) { return true; }).eligible();
    std::erase_if(others, [&](auto const& vm) { return is_excluded(member, vm); });
    if (!others.empty()) {
        return rank_brokers({member}, others).at(member).front();
    }
    return is_starting() ? std::string() : m_membership.identity().name;
}

broker_choice::zone_ranking const& broker_choice::ranking_of(std::string const& zone)
{
    auto const now = m_kernel.now();
    auto& ranking = m_rankings[zone];
    if (ranking.made_at && now - *ranking.made_at < choice_lifetime) {
        return ranking;
    }
    ranking.made_at = now;
    auto candidates = candidates_in([&zone](std::string const& each) { return each == zone; });
    if (candidates.eligible().empty()) {
        candidates = candidates_in([](std::string const&) { return true; });
    }
    auto vms = candidates.eligible();
    auto reserved = candidates.reserved();
    auto members = members_of(zone);
    if (vms != ranking.vms || reserved != ranking.reserved || members != ranking.members) {
        ranking.vms = std::move(vms);
        ranking.reserved = std::move(reserved);
        ranking.members = std::move(members);
        ranking.orders = rank_brokers(ranking.members, ranking.vms);
        for (auto& [member, order] : ranking.orders) {
            order.insert(order.end(), ranking.reserved.begin(), ranking.reserved.end());
        }
    }
    return ranking;
}

broker_candidates broker_choice::candidates_in(std::function<bool(std::string const&)> const& accepts) const
{
    auto const& self = m_membership.identity();
    auto const presumes_listed = m_kernel.now() - m_membership.started_at() < presumption_time;
    broker_candidates found;
    if (!m_membership.is_leaving() && accepts(self.availability_zone) && !is_starting()) {
        found.add(self.name, self.processor_share, age_of(m_membership.started_at()));
    }
    for (auto const& [name, peer] : m_membership.peers()) {
        if (!accepts(peer.availability_zone) || peer.is_leaving || is_down(name, peer) ||
            m_is_silent_zone(peer.availability_zone) || has_handed_over(name, peer)) {
            continue;
        }
        if (m_membership.is_reachable(peer)) {
            found.add(name, peer.processor_share,
                      peer.started_at ? age_of(*peer.started_at) : broker_age::unknown);
        }
        else if (presumes_listed && peer.is_listed && !peer.last_received_at && peer.address.port != 0) {
            found.add(name, peer.processor_share, broker_age::unknown);
        }
    }
    return found;
}

std::vector<std::string> broker_choice::members_of(std::string const& zone) const
{
    std::vector<std::string> members;
    for (auto const& [id, member_zone] : m_zone_of_member) {
        if (member_zone == zone) {
            members.push_back(id);
        }
    }
    return members;
}

bool broker_choice::is_excluded(std::string const& member, std::string const& vm) const
{
    auto const excluded = m_excluded_routes.find(member);
    if (excluded == m_excluded_routes.end()) {
        return false;
    }
    auto const until = excluded->second.find(vm);
    return until != excluded->second.end() && until->second > m_kernel.now();
}

bool broker_choice::is_starting() const
{
    if (m_kernel.now() - m_membership.started_at() >= start_time_limit) {
        return false;
    }
    if (!m_membership.has_list()) {
        return true;
    }
    auto has_zone_peer = false;
    for (auto const& [name, peer] : m_membership.peers()) {
        if (peer.availability_zone == m_membership.identity().availability_zone) {
            has_zone_peer = true;
            if (peer.started_at) {
                return false;
            }
        }
    }
    return has_zone_peer;
}

broker_age broker_choice::age_of(monotonic_time started_at) const
{
    return m_kernel.now() - started_at < settling_time ? broker_age::young : broker_age::settled;
}

bool broker_choice::has_handed_over(std::string const& vm, peer_state const& peer) const
{
    auto const found = m_hand_overs.find(vm);
    if (found == m_hand_overs.end() || found->second.incarnation != peer.incarnation) {
        return false;
    }
    // VMs of other zones seldom exchange messages, so their zone reports tell first that the VM is back.
    return !peer.indirect_contact_at ||
           *peer.indirect_contact_at < found->second.recorded_at + hand_over_spread_time;
}

bool broker_choice::is_down(std::string const& vm, peer_state const& peer) const
{
    auto const lost_at = m_lost_at.find(vm);
    if (lost_at == m_lost_at.end()) {
        return false;
    }
    // The VM is considered up once a message from it arrives after the exclusion time. Messages that arrive
    // earlier may have been sent before the VM was lost.
    auto const back_after = lost_at->second + vm_exclusion_time;
    auto const last_contact = std::max(peer.last_received_at, peer.indirect_contact_at);
    return m_kernel.now() < back_after || !last_contact || *last_contact < back_after;
}

} // namespace greengagehitch
