#include "fleet/zone_exchange.h"

#include <algorithm>
#include <utility>

#include "wire/short_names.h"

namespace greengagehitch {

namespace {

/// News go out no more often than this.
constexpr duration news_period = std::chrono::milliseconds(50);
/// VMs of a zone that get a report while none of them is known to run.
constexpr std::size_t tried_receivers = 2;

} // namespace

zone_exchange::zone_exchange(kernel& kernel, membership_service& membership, hooks hooks)
    : m_kernel(kernel), m_membership(membership), m_hooks(std::move(hooks))
{
}

zone_exchange::news zone_exchange::news_in(zone_report const& report)
{
    std::vector<std::uint32_t> suspects;
    std::vector<short_name> holders;
    for (auto const& opinion : report.opinions) {
        suspects.push_back(opinion.suspects);
        holders.push_back(opinion.lock_holder);
    }
    return {report.configuration_version, report.directory,    report.vms,
            report.leaving_vms,           std::move(suspects), std::move(holders)};
}

void zone_exchange::speak(duration period)
{
    auto const now = m_kernel.now();
    if (now - m_sent_at < news_period) {
        return;
    }
    auto const report = m_hooks.make_report();
    auto current = news_in(report);
    if (now - m_sent_at < period && m_sent_news == current) {
        return;
    }
    m_sent_news = std::move(current);
    m_sent_at = now;
    send_to_neighbours(report);
    for (auto const& zone : other_zones()) {
        for (auto const& receiver : choose_receivers(zone)) {
            m_membership.send(receiver, report);
        }
    }
    m_hooks.taken(report, {});
}

std::set<std::string> zone_exchange::other_zones() const
{
    std::set<std::string> zones;
    for (auto const& [name, peer] : m_membership.peers()) {
        auto const& zone = peer.availability_zone;
        if (!zone.empty() && zone != m_membership.identity().availability_zone) {
            zones.insert(zone);
        }
    }
    return zones;
}

std::vector<std::string> zone_exchange::choose_receivers(std::string const& zone)
{
    std::vector<std::string> listed;
    for (auto const& [name, peer] : m_membership.peers()) {
        if (peer.availability_zone != zone || peer.is_leaving || peer.address.port == 0) {
            continue;
        }
        if (m_membership.is_reachable(peer)) {
            return {name};
        }
        if (peer.is_listed) {
            listed.push_back(name);
        }
    }
    auto const count = std::min(tried_receivers, listed.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(listed[i], listed[i + m_kernel.random_below(listed.size() - i)]);
    }
    listed.resize(count);
    return listed;
}

void zone_exchange::send_to_neighbours(zone_report const& report)
{
    for (auto const& [name, peer] : m_membership.peers()) {
        if (peer.availability_zone == m_membership.identity().availability_zone) {
            m_membership.send(name, report);
        }
    }
}

void zone_exchange::take(peer_state const& sender, zone_report const& report)
{
    auto const& own_zone = m_membership.identity().availability_zone;
    if (report.availability_zone == own_zone) {
        m_hooks.taken(report, {});
        return;
    }
    if (sender.availability_zone != own_zone) {
        send_to_neighbours(report);
    }
    keep(report);
}

void zone_exchange::keep(zone_report const& report)
{
    auto& entry = m_reports[report.availability_zone];
    entry.report = report;
    entry.heard_at = m_kernel.now();
    entry.vms.clear();
    entry.with_store.clear();
    auto has_unknown = false;
    for (auto const vm : report.vms) {
        auto const name = name_of(vm);
        if (name.empty()) {
            has_unknown = true;
            continue;
        }
        m_membership.vouch_for(name);
        entry.vms.push_back(name);
        if (std::find(report.with_store.begin(), report.with_store.end(), vm) != report.with_store.end()) {
            entry.with_store.push_back(name);
        }
    }
    for (auto const vm : report.leaving_vms) {
        m_membership.hear_of_leaving(name_of(vm));
    }
    if (has_unknown) {
        m_membership.read_list_soon();
    }
    m_hooks.taken(report, entry.vms);
}

std::vector<short_name> zone_exchange::heard_zones(duration lifetime) const
{
    std::vector<short_name> zones;
    for (auto const& [zone, entry] : m_reports) {
        if (m_kernel.now() - entry.heard_at <= lifetime) {
            zones.push_back(to_short_name(zone));
        }
    }
    return zones;
}

std::string zone_exchange::name_of(short_name vm) const
{
    for (auto const& [name, peer] : m_membership.peers()) {
        if (to_short_name(name) == vm) {
            return name;
        }
    }
    return {};
}

} // namespace greengagehitch
