#include "fleet/report_service.h"

#include <algorithm>
#include <utility>

#include "wire/short_names.h"

namespace greengagehitch {

namespace {

/// Suspicions are looked at this often, and reported at once when they change.
constexpr duration tick_period = std::chrono::milliseconds(100);
/// Reports go out this often in a zone of up to `usual_zone` VMs, and more seldom in larger ones.
constexpr duration report_period = std::chrono::milliseconds(600);
constexpr std::size_t usual_zone = 16;
constexpr duration report_lifetime = std::chrono::milliseconds(2'700);
/// A peer that knew the newest configuration this lately reaches the store.
constexpr std::uint32_t store_contact_ms = 2'500;
constexpr std::uint32_t no_store_contact_ms = 1'000'000;
/// Own knowledge of the configuration that is older than this is renewed by asking the store.
constexpr duration evidence_patience = std::chrono::milliseconds(2'700);
constexpr duration question_memory = std::chrono::seconds(10);
/// How often a VM that relies on its zone's follower asks it.
constexpr duration question_period = std::chrono::milliseconds(700);

} // namespace

void report_service::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_rates = &m_kernel.find<rate_shares>(rate_shares::service_name);
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_zones.emplace(
        m_kernel, *m_membership,
        zone_exchange::hooks{[this] { return make_zone_report(); },
                             [this](zone_report const& report, std::vector<std::string> const& vms) {
                                 take_zone_report(report, vms);
                             }});
    m_membership->on_message<vm_report>(
        [this](peer_state const& peer, vm_report const& report) { take_report(peer, report); });
    m_membership->on_message<zone_report>(
        [this](peer_state const& peer, zone_report const& report) { m_zones->take(peer, report); });
    m_membership->on_message<store_question>(
        [this](peer_state const& peer, store_question const& question) { answer_question(peer, question); });
    m_membership->on_message<store_word>(
        [this](peer_state const& /*peer*/, store_word const& word) { take_word(word); });
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
    ask_follower();
    auto const period = current_period();
    m_membership->set_suspicion_time(current_lifetime());
    m_rates->set_report_lifetime(current_lifetime());
    auto const configuration = m_fleet->configuration();
    auto const version = configuration ? configuration->version : 0;
    has_news = has_news || std::exchange(m_told_version, version) != version ||
               std::exchange(m_told_directory, m_fleet->directory_digest()) != m_fleet->directory_digest();
    has_news = has_news ||
               std::exchange(m_told_leaving, m_membership->is_leaving()) != m_membership->is_leaving() ||
               std::exchange(m_told_list, m_membership->has_list()) != m_membership->has_list();
    if (now - m_published_at >= period) {
        m_demands = m_rates->publish(now - m_published_at);
        m_published_at = now;
        broadcast();
    }
    else if (has_news) {
        broadcast();
    }
    greet_new_peers();
    divide_rates();
    if (is_speaker()) {
        m_zones->speak(period);
    }
}

bool report_service::is_neighbour(peer_state const& peer) const
{
    return peer.availability_zone == m_membership->identity().availability_zone;
}

bool report_service::is_speaker() const
{
    auto const& own = m_membership->identity().name;
    return !m_membership->is_leaving() &&
           std::none_of(m_reports.begin(), m_reports.end(), [&](auto const& each) {
               return each.first < own && !each.second.report.is_leaving && is_recent(each.second);
           });
}

void report_service::divide_rates()
{
    auto const zones = m_zones->heard_zones(current_lifetime()).size();
    auto const sharing = m_membership->has_list() ? 1 + m_reports.size() + zones : 0;
    if (std::exchange(m_divided_among, sharing) != sharing) {
        m_rates->divide();
    }
}

void report_service::greet_new_peers()
{
    std::map<std::string, std::uint64_t> heard;
    std::vector<std::string> added;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!is_neighbour(peer) || !m_membership->is_reachable(peer)) {
            continue;
        }
        heard[name] = peer.incarnation;
        auto const known = m_greeted.find(name);
        if (known == m_greeted.end() || known->second != peer.incarnation) {
            added.push_back(name);
        }
    }
    m_greeted = std::move(heard);
    if (added.empty()) {
        return;
    }
    auto const report = make_report();
    for (auto const& name : added) {
        m_membership->send(name, report);
    }
}

void report_service::send_now()
{
    broadcast();
}

vm_report report_service::make_report() const
{
    vm_report report;
    auto const configuration = m_fleet->configuration();
    report.configuration_version = configuration ? configuration->version : 0;
    report.directory = m_fleet->directory_digest();
    report.sender = m_membership->own_rumor();
    report.is_leaving = m_membership->is_leaving();
    auto const age = m_fleet->configuration_age();
    report.store_age_ms = age ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                                    no_store_contact_ms, to_microseconds(*age) / 1000 + 1))
                              : no_store_contact_ms;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (is_neighbour(peer) && m_membership->is_reachable(peer)) {
            report.heard.push_back(to_short_name(name));
        }
    }
    report.demands = m_demands;
    for (auto const& [name, group] : m_groups->groups()) {
        leader_report entry;
        entry.group = to_short_name(name);
        if (auto const* const leader = group->leader(); leader != nullptr) {
            entry.member = leader->entry.id;
            entry.term = leader->confirmed_term;
        }
        entry.highest_term = group->highest_acknowledged().term;
        entry.highest_position = group->highest_acknowledged().position;
        entry.is_suspected = group->suspects_leader();
        entry.holds_failover_lock = m_holds_failover_lock && m_holds_failover_lock(name);
        report.leaders.push_back(std::move(entry));
    }
    return report;
}

void report_service::broadcast()
{
    auto const report = make_report();
    for (auto const& [name, peer] : m_membership->peers()) {
        if (is_neighbour(peer)) {
            m_membership->send(name, report);
        }
    }
}

zone_report report_service::make_zone_report() const
{
    zone_report report;
    auto const& own = m_membership->identity();
    auto const own_report = make_report();
    report.availability_zone = own.availability_zone;
    report.configuration_version = own_report.configuration_version;
    report.store_age_ms = own_report.store_age_ms;
    report.directory = own_report.directory;
    report.vms.push_back(to_short_name(own.name));
    if (own_report.store_age_ms <= store_contact_ms) {
        report.with_store.push_back(report.vms.front());
    }
    for (auto const& [name, entry] : m_reports) {
        auto const vm = to_short_name(name);
        if (!is_recent(entry)) {
            continue;
        }
        if (entry.report.is_leaving) {
            report.leaving_vms.push_back(vm);
            continue;
        }
        report.vms.push_back(vm);
        if (entry.report.store_age_ms <= store_contact_ms) {
            report.with_store.push_back(vm);
        }
        if (std::pair(entry.report.configuration_version, report.store_age_ms) >
            std::pair(report.configuration_version, entry.report.store_age_ms)) {
            report.configuration_version = entry.report.configuration_version;
            report.store_age_ms = entry.report.store_age_ms;
            report.directory = entry.report.directory;
        }
    }
    report.heard_zones = m_zones->heard_zones(current_lifetime());
    report.demands = m_rates->zone_demands();
    for (auto const& [name, group] : m_groups->groups()) {
        report.opinions.push_back(make_zone_opinion(*group));
    }
    return report;
}

zone_opinion report_service::make_zone_opinion(database_group const& group) const
{
    auto const opinion = zone_opinion_on(group);
    zone_opinion result;
    result.leader.group = to_short_name(group.name());
    if (auto const* const leader = group.leader()) {
        result.leader.member = leader->entry.id;
        result.leader.term = leader->confirmed_term;
    }
    result.leader.highest_term = opinion.highest.term;
    result.leader.highest_position = opinion.highest.position;
    result.lock_holder = m_holds_failover_lock && m_holds_failover_lock(group.name())
                             ? to_short_name(m_membership->identity().name)
                         : opinion.lock_holder.empty() ? 0
                                                       : to_short_name(opinion.lock_holder);
    result.voters = static_cast<std::uint32_t>(opinion.voters);
    result.suspects = static_cast<std::uint32_t>(opinion.suspects);
    return result;
}

void report_service::take_report(peer_state const& peer, vm_report const& report)
{
    m_membership->learn(report.sender);
    if (!is_neighbour(peer)) {
        return;
    }
    if (report.is_leaving) {
        m_membership->hear_of_leaving(peer.name);
    }
    m_reports[peer.name] = {report, m_kernel.now()};
    m_rates->take_report(peer.name, report);
    compare(report.configuration_version, report.directory, report.store_age_ms);
    for (auto const& entry : report.leaders) {
        for (auto const& [name, group] : m_groups->groups()) {
            if (to_short_name(name) == entry.group) {
                take_leader(*group, entry, entry.is_suspected);
            }
        }
    }
    if (is_speaker()) {
        m_zones->speak(current_period());
    }
}

void report_service::take_leader(database_group& group, leader_report const& leader, bool is_suspected)
{
    if (is_suspected) {
        group.handle_reported_suspicion();
    }
    else if (leader.term != 0) {
        group.apply_reported_leader(leader.member, leader.term);
    }
}

void report_service::take_zone_report(zone_report const& report, std::vector<std::string> const& vms)
{
    m_rates->take_zone(report, vms);
    if (report.availability_zone == m_membership->identity().availability_zone) {
        return;
    }
    compare(report.configuration_version, report.directory, report.store_age_ms);
    for (auto const& entry : report.opinions) {
        for (auto const& [name, group] : m_groups->groups()) {
            if (to_short_name(name) == entry.leader.group) {
                take_leader(*group, entry.leader, entry.suspects != 0);
            }
        }
    }
}

void report_service::compare(std::uint64_t its_version, std::uint32_t its_directory,
                             std::uint32_t store_age_ms)
{
    auto const configuration = m_fleet->configuration();
    auto const version = configuration ? configuration->version : 0;
    if (its_version > version && m_read_configuration) {
        m_read_configuration();
    }
    if (its_directory != m_fleet->directory_digest() && store_age_ms <= store_contact_ms &&
        m_read_directory) {
        m_read_directory();
    }
}

void report_service::ask_follower()
{
    auto const now = m_kernel.now();
    auto const follower = first_with_store(true);
    if (follower == m_membership->identity().name || now - m_asked_at < question_period) {
        return;
    }
    m_asked_at = now;
    m_questions[++m_number] = now;
    while (now - m_questions.begin()->second > question_memory) {
        m_questions.erase(m_questions.begin());
    }
    m_membership->send(follower, store_question{m_number});
}

void report_service::answer_question(peer_state const& peer, store_question const& question)
{
    auto const report = make_report();
    m_membership->send(peer.name, store_word{question.number, report.configuration_version,
                                             report.store_age_ms, report.directory});
}

void report_service::take_word(store_word const& word)
{
    auto const asked = m_questions.find(word.number);
    auto const configuration = m_fleet->configuration();
    compare(word.configuration_version, word.directory, word.store_age_ms);
    if (asked == m_questions.end() || !configuration || word.store_age_ms >= no_store_contact_ms ||
        word.configuration_version != configuration->version) {
        return;
    }
    // The follower wrote this after it was asked, so its word is no older than that.
    m_fleet->confirm_configuration(asked->second - std::chrono::milliseconds(word.store_age_ms));
}

std::string report_service::first_with_store(bool of_zone) const
{
    auto const& own = m_membership->identity();
    auto first = own.name;
    for (auto const& name : of_zone ? neighbours_with_store() : peers_with_store()) {
        first = std::min(first, name);
    }
    return first;
}

bool report_service::follows_configuration() const
{
    auto const age = m_fleet->configuration_age();
    return !age || *age > evidence_patience || first_with_store(true) == m_membership->identity().name;
}

bool report_service::follows_directory() const
{
    auto const age = m_fleet->configuration_age();
    return !age || *age > evidence_patience || first_with_store(false) == m_membership->identity().name;
}

duration report_service::current_period() const
{
    auto const vms = std::max<std::size_t>(usual_zone, 1 + m_reports.size());
    return report_period * static_cast<duration::rep>(vms) / static_cast<duration::rep>(usual_zone);
}

duration report_service::current_lifetime() const
{
    // Three reports in a row may be lost.
    return std::max(report_lifetime, current_period() * 9 / 2);
}

duration report_service::recent_time() const
{
    return current_period() * 5 / 2;
}

bool report_service::is_recent(received_report const& entry) const
{
    return m_kernel.now() - entry.heard_at <= recent_time();
}

bool report_service::is_fresh(received_report const& entry) const
{
    return m_kernel.now() - entry.heard_at <= current_lifetime();
}

report_service::group_opinion report_service::opinion_on(database_group const& group) const
{
    auto opinion = zone_opinion_on(group);
    for (auto const& [zone, entry] : m_zones->reports()) {
        auto const age = m_kernel.now() - entry.heard_at;
        for (auto const& each : entry.report.opinions) {
            if (each.leader.group != to_short_name(group.name()) || age > current_lifetime()) {
                continue;
            }
            // A zone that was not heard lately may be behind the same partition as the leader.
            opinion.voters += age <= recent_time() ? each.voters : each.suspects;
            opinion.suspects += each.suspects;
            opinion.highest = std::max(opinion.highest,
                                       log_position{each.leader.highest_term, each.leader.highest_position});
            if (each.lock_holder != 0) {
                opinion.lock_holder = m_zones->name_of(each.lock_holder);
            }
        }
    }
    return opinion;
}

report_service::group_opinion report_service::zone_opinion_on(database_group const& group) const
{
    group_opinion opinion;
    opinion.voters = 1;
    opinion.suspects = group.suspects_leader() ? 1 : 0;
    opinion.highest = group.highest_acknowledged();
    for (auto const& [name, entry] : m_reports) {
        if (!is_fresh(entry)) {
            continue;
        }
        for (auto const& each : entry.report.leaders) {
            if (each.group != to_short_name(group.name())) {
                continue;
            }
            // A VM that was not heard lately may be behind the same partition as the leader.
            opinion.voters += each.is_suspected || is_recent(entry) ? 1 : 0;
            opinion.suspects += each.is_suspected ? 1 : 0;
            opinion.highest =
                std::max(opinion.highest, log_position{each.highest_term, each.highest_position});
            if (each.holds_failover_lock) {
                opinion.lock_holder = name;
            }
        }
    }
    return opinion;
}

bool report_service::is_cut_off() const
{
    if (m_zones->reports().empty()) {
        return false;
    }
    monotonic_time heard_at{};
    for (auto const& [zone, entry] : m_zones->reports()) {
        heard_at = std::max(heard_at, entry.heard_at);
    }
    auto const now = m_kernel.now();
    auto const age = m_fleet->configuration_age();
    return now - heard_at > recent_time() && (!age || now - *age <= heard_at);
}

std::vector<std::string> report_service::peers_with_store() const
{
    auto names = neighbours_with_store();
    for (auto const& [zone, entry] : m_zones->reports()) {
        if (m_kernel.now() - entry.heard_at <= recent_time()) {
            names.insert(names.end(), entry.with_store.begin(), entry.with_store.end());
        }
    }
    return names;
}

std::vector<std::string> report_service::neighbours_with_store() const
{
    std::vector<std::string> names;
    for (auto const& [name, entry] : m_reports) {
        if (is_recent(entry) && entry.report.store_age_ms <= store_contact_ms) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace greengagehitch
