#include "fleet/report_service.h"

#include <algorithm>
#include <utility>

#include "wire/short_names.h"

namespace greengagehitch {

namespace {

/// Suspicions are looked at this often, and reported at once when they change.
constexpr duration tick_period = std::chrono::milliseconds(100);
/// Reports go out this often within an availability zone, and half as often to others, in a fleet of up to
/// `usual_fleet` VMs, and more seldom in larger ones.
constexpr duration report_period = std::chrono::milliseconds(600);
constexpr std::size_t usual_fleet = 16;
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
    m_membership->on_message<vm_report>(
        [this](peer_state const& peer, vm_report const& report) { take_report(peer, report); });
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
    if (now - m_published_at >= period) {
        m_demands = m_rates->publish(now - m_published_at);
        m_published_at = now;
        m_is_odd_period = !m_is_odd_period;
        broadcast(has_news);
    }
    else if (has_news) {
        broadcast(true);
    }
    greet_new_peers();
    divide_rates();
}

void report_service::divide_rates()
{
    auto const sharing = m_membership->has_list() ? m_reports.size() + 1 : 0;
    if (std::exchange(m_divided_among, sharing) != sharing) {
        m_rates->divide();
    }
}

void report_service::greet_new_peers()
{
    std::map<std::string, std::uint64_t> heard;
    std::vector<std::string> added;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!m_membership->is_reachable(peer)) {
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
    broadcast(true);
}

vm_report report_service::make_report() const
{
    vm_report report;
    auto const configuration = m_fleet->configuration();
    report.configuration_version = configuration ? configuration->version : 0;
    report.directory = m_fleet->directory_digest();
    auto const age = m_fleet->configuration_age();
    report.store_age_ms = age ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                                    no_store_contact_ms, to_microseconds(*age) / 1000 + 1))
                              : no_store_contact_ms;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (m_membership->is_reachable(peer)) {
            report.heard.push_back(to_short_name(name));
        }
    }
    report.demands = m_demands;
    for (auto const& [name, group] : m_groups->groups()) {
        leader_report entry;
        entry.group = to_short_name(name);
        if (auto const* const leader = group->leader(); leader != nullptr) {
            entry.member = leader->entry.id;
            entry.term = leader->proven_term;
        }
        entry.highest_term = group->highest_acknowledged().term;
        entry.highest_position = group->highest_acknowledged().position;
        entry.is_suspected = group->suspects_leader();
        entry.holds_duty = m_holds_duty && m_holds_duty(name);
        report.leaders.push_back(std::move(entry));
    }
    return report;
}

void report_service::broadcast(bool is_urgent)
{
    auto const report = make_report();
    for (auto const& [name, peer] : m_membership->peers()) {
        auto const is_near = peer.availability_zone == m_membership->identity().availability_zone;
        if (m_membership->is_reachable(peer) && (is_near || is_urgent || !m_is_odd_period)) {
            m_membership->send(name, report);
        }
    }
}

void report_service::take_report(peer_state const& peer, vm_report const& report)
{
    m_reports[peer.name] = {report, m_kernel.now()};
    m_rates->take_report(peer.name, report);
    compare(report.configuration_version, report.directory, report.store_age_ms);
    for (auto const& entry : report.leaders) {
        for (auto const& [name, group] : m_groups->groups()) {
            if (to_short_name(name) != entry.group) {
                continue;
            }
            if (entry.is_suspected) {
                group->hear_of_suspicion();
            }
            else if (entry.term != 0) {
                group->hear_of_leader(entry.member, entry.term);
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
    for (auto const& name : peers_with_store()) {
        auto const is_counted = !of_zone || m_membership->availability_zone_of(name) == own.availability_zone;
        if (is_counted && name < first) {
            first = name;
        }
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
    auto const fleet = std::max<std::size_t>(usual_fleet, m_membership->fleet_size());
    return report_period * static_cast<duration::rep>(fleet) / static_cast<duration::rep>(usual_fleet);
}

duration report_service::current_lifetime() const
{
    // Reports to another zone come every second period; one of them may be lost.
    return std::max(report_lifetime, current_period() * 9 / 2);
}

bool report_service::is_recent(received_report const& entry) const
{
    return m_kernel.now() - entry.heard_at <= current_period() * 5 / 2;
}

bool report_service::is_fresh(received_report const& entry) const
{
    return m_kernel.now() - entry.heard_at <= current_lifetime();
}

report_service::group_opinion report_service::opinion_on(database_group const& group) const
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
        if (is_recent(entry) && entry.report.store_age_ms <= store_contact_ms) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace greengagehitch
