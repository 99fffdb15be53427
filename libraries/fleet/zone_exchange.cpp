#include "fleet/zone_exchange.h"

#include <algorithm>
#include <utility>

#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

/// The period divided by this is the shortest time between two reports, also when the urgent state changes.
constexpr int urgent_report_divisor = 12;
/// Number of VMs of another zone that receive a report while none of them is known to be reachable.
constexpr std::size_t max_unconfirmed_receivers = 2;

} // namespace

zone_exchange::zone_exchange(kernel& kernel, membership_service& membership, hooks hooks)
    : m_kernel(kernel), m_membership(membership), m_hooks(std::move(hooks))
{
}

zone_exchange::urgent_state zone_exchange::urgent_state_of(zone_report const& report)
{
    std::vector<std::uint32_t> suspects;
    std::vector<name_hash> holders;
    for (auto const& assessment : report.assessments) {
        suspects.push_back(assessment.suspects);
        holders.push_back(assessment.lock_holder);
    }
    return {report.configuration_version,
            report.member_directory_digest,
            report.evacuations,
            report.vms,
            report.leaving_vms,
            std::move(suspects),
            std::move(holders)};
}

void zone_exchange::send_zone_report(duration period)
{
    auto const now = m_kernel.now();
    if (now - m_sent_at < period / urgent_report_divisor) {
        return;
    }
    auto const report = m_hooks.make_report();
    auto current = urgent_state_of(report);
    if (now - m_sent_at < period && m_sent_urgent_state == current) {
        return;
    }
    m_sent_urgent_state = std::move(current);
    m_sent_at = now;
    m_membership.send_to_zone_peers(report);
    for (auto const& zone : other_zones()) {
        for (auto const& receiver : choose_receivers(zone)) {
            m_membership.send(receiver, report);
        }
    }
    m_hooks.on_report(report, {});
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
    auto const count = std::min(max_unconfirmed_receivers, listed.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(listed[i], listed[i + m_kernel.random_below(listed.size() - i)]);
    }
    listed.resize(count);
    return listed;
}

void zone_exchange::handle_report(peer_state const& sender, zone_report const& report)
{
    auto const& own_zone = m_membership.identity().availability_zone;
    if (report.availability_zone == own_zone) {
        m_hooks.on_report(report, {});
        return;
    }
    if (sender.availability_zone != own_zone) {
        m_membership.send_to_zone_peers(report);
    }
    store_report(report);
}

void zone_exchange::store_report(zone_report const& report)
{
    auto& entry = m_reports[report.availability_zone];
    entry.report = report;
    entry.received_at = m_kernel.now();
    entry.vms.clear();
    entry.vms_with_store.clear();
    auto has_unknown_vm = false;
    for (auto const vm : report.vms) {
        auto const& name = m_membership.name_of(vm);
        if (name.empty()) {
            has_unknown_vm = true;
            continue;
        }
        m_membership.record_indirect_contact(name);
        entry.vms.push_back(name);
        if (std::find(report.vms_with_store.begin(), report.vms_with_store.end(), vm) !=
            report.vms_with_store.end()) {
            entry.vms_with_store.push_back(name);
        }
    }
    for (auto const vm : report.leaving_vms) {
        m_membership.record_leaving(m_membership.name_of(vm));
    }
    if (has_unknown_vm) {
        m_membership.read_list_soon();
    }
    m_hooks.on_report(report, entry.vms);
}

std::vector<name_hash> zone_exchange::reachable_zones(duration lifetime) const
{
    std::vector<name_hash> zones;
    for (auto const& [zone, entry] : m_reports) {
        if (m_kernel.now() - entry.received_at <= lifetime) {
            zones.push_back(hash_name(zone));
        }
    }
    return zones;
}

} // namespace greengagehitch
