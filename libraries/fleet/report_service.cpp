#include "fleet/report_service.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Suspicions are looked at this often, and reported at once when they change.
constexpr duration tick_period = std::chrono::milliseconds(100);
/// Reports go out this often in a fleet of up to `usual_fleet` VMs, and more seldom in larger ones.
constexpr duration report_period = std::chrono::milliseconds(500);
constexpr std::size_t usual_fleet = 16;
constexpr duration report_lifetime = std::chrono::milliseconds(1'600);
/// A peer that knew the newest configuration this lately reaches the store.
constexpr std::uint32_t store_contact_ms = 2'500;
constexpr std::uint32_t no_store_contact_ms = 1'000'000;

} // namespace

void report_service::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_rates = &m_kernel.find<rate_shares>(rate_shares::service_name);
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_membership->on_message<vm_report>(
        [this](peer_state const& peer, vm_report const& report) { take_report(peer, report); });
    m_published_at = m_kernel.now();
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

void report_service::tick()
{
    auto const now = m_kernel.now();
    auto has_news = false;
    for (auto const& [name, group] : m_groups->groups()) {
        auto const is_suspected = group->suspects_leader();
        auto& known = m_suspected[name];
        has_news = has_news || known != is_suspected;
        if (known != is_suspected) {
            Json::Value fields(Json::objectValue);
            fields["group"] = name;
            fields["is_suspected"] = is_suspected;
            fields["state"] = group->dump();
            m_kernel.log(log_level::info, service_name, "suspicion of a leader changed", std::move(fields));
        }
        known = is_suspected;
    }
    auto const fleet = std::max<std::size_t>(usual_fleet, m_membership->fleet_size());
    auto const period = report_period * static_cast<duration::rep>(fleet) / static_cast<duration::rep>(usual_fleet);
    if (now - m_published_at >= period) {
        m_demands = m_rates->publish(now - m_published_at);
        m_published_at = now;
        has_news = true;
    }
    if (has_news) {
        broadcast();
    }
}

void report_service::send_now()
{
    broadcast();
}

void report_service::broadcast()
{
    vm_report report;
    auto const age = m_fleet->configuration_age();
    report.store_age_ms = age ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                                    no_store_contact_ms, to_microseconds(*age) / 1000))
                              : no_store_contact_ms;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (m_membership->is_reachable(peer)) {
            report.heard.push_back(name);
        }
    }
    report.demands = m_demands;
    for (auto const& [name, group] : m_groups->groups()) {
        leader_report entry;
        entry.group = name;
        if (auto const* const leader = group->leader(); leader != nullptr) {
            entry.member = leader->entry.id;
            entry.term = leader->proven_term;
        }
        entry.highest_term = group->highest_seen().term;
        entry.highest_position = group->highest_seen().position;
        entry.is_suspected = m_suspected[name];
        entry.holds_duty = m_holds_duty && m_holds_duty(name);
        report.leaders.push_back(std::move(entry));
    }
    for (auto const& [name, peer] : m_membership->peers()) {
        if (m_membership->is_reachable(peer)) {
            m_membership->send(name, report);
        }
    }
}

void report_service::take_report(peer_state const& peer, vm_report const& report)
{
    m_reports[peer.name] = {report, m_kernel.now()};
    m_rates->take_report(peer.name, report);
    for (auto const& entry : report.leaders) {
        if (entry.term != 0 && !entry.is_suspected) {
            m_groups->group(entry.group).hear_of_leader(entry.member, entry.term);
        }
    }
}

bool report_service::is_fresh(received_report const& entry) const
{
    return m_kernel.now() - entry.heard_at <= report_lifetime;
}

report_service::group_opinion report_service::opinion_on(database_group const& group) const
{
    group_opinion opinion;
    opinion.voters = 1;
    opinion.suspects = group.suspects_leader() ? 1 : 0;
    opinion.highest = group.highest_seen();
    for (auto const& [name, entry] : m_reports) {
        if (!is_fresh(entry)) {
            continue;
        }
        for (auto const& each : entry.report.leaders) {
            if (each.group != group.name()) {
                continue;
            }
            ++opinion.voters;
            opinion.suspects += each.is_suspected ? 1 : 0;
            opinion.highest =
                std::max(opinion.highest, log_position{each.highest_term, each.highest_position});
            if (each.holds_duty) {
                opinion.duty_holder = name;
            }
        }
    }
    return opinion;
}

std::vector<std::string> report_service::peers_with_store() const
{
    std::vector<std::string> names;
    for (auto const& [name, entry] : m_reports) {
        if (is_fresh(entry) && entry.report.store_age_ms <= store_contact_ms) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace greengagehitch
