#include "fleet/report_service.h"

#include <algorithm>
#include <utility>

#include "membership/request_numbers.h"
#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

/// Period of checks for changes that are reported at once, such as suspicions of leaders.
constexpr duration tick_period = std::chrono::milliseconds(100);
/// Period of reports in a zone of up to `usual_zone_size` VMs. The period grows in proportion in larger
/// zones.
constexpr duration report_period = std::chrono::milliseconds(600);
constexpr std::size_t usual_zone_size = 16;
/// Shortest time after which a report expires.
constexpr duration report_lifetime = std::chrono::milliseconds(2'700);
/// A peer whose configuration was known to be the newest within this time counts as able to reach the store.
constexpr std::uint32_t store_contact_ms = 2'500;
/// Largest reported configuration age; stands for a configuration that was never confirmed.
constexpr std::uint32_t max_reported_age_ms = 1'000'000;
/// Time without confirmation after which a VM reads the configuration from the store itself.
constexpr duration configuration_age_timeout = std::chrono::milliseconds(2'700);
/// Additional time for each zone peer that comes before this VM by name, and its maximum. Keyed work must
/// still be served when the last VM has read the store.
constexpr duration reader_patience_step = std::chrono::milliseconds(120);
constexpr duration max_reader_patience = std::chrono::milliseconds(1'200);
/// Time for which a reply to a store_status_request is accepted.
constexpr duration sent_request_retention = std::chrono::seconds(10);
/// Period at which a VM sends a store_status_request to the VM that reads the store for its zone.
constexpr duration store_status_request_period = std::chrono::milliseconds(700);

} // namespace

void report_service::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_rates = &m_kernel.find<rate_shares>(rate_shares::service_name);
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_brokers = &m_kernel.find<broker_service>(broker_service::service_name);
    m_zones.emplace(
        m_kernel, *m_membership,
        zone_exchange::hooks{[this] { return make_zone_report(); },
                             [this](zone_report const& report, std::vector<std::string> const& vms) {
                                 apply_zone_report(report, vms);
                             }});
    m_membership->on_message<vm_report>(
        [this](peer_state const& peer, vm_report const& report) { handle_vm_report(peer, report); });
    m_membership->on_message<zone_report>(
        [this](peer_state const& peer, zone_report const& report) { m_zones->handle_report(peer, report); });
    m_membership->on_message<store_status_request>(
        [this](peer_state const& peer, store_status_request const& request) {
            handle_store_status_request(peer, request);
        });
    m_membership->on_message<store_status_reply>(
        [this](peer_state const& peer, store_status_reply const& reply) {
            handle_store_status_reply(peer, reply);
        });
    m_last_request_number = first_request_number(m_membership->identity());
    m_started_at = m_kernel.now();
    m_published_at = m_started_at;
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

void report_service::tick()
{
    auto const now = m_kernel.now();
    auto has_changes = false;
    for (auto const& [name, group] : m_groups->groups()) {
        auto const is_suspected = group->suspects_leader();
        auto& was_suspected = m_suspected[name];
        has_changes = has_changes || was_suspected != is_suspected;
        if (was_suspected != is_suspected) {
            Json::Value fields(Json::objectValue);
            fields["group"] = name;
            fields["is_suspected"] = is_suspected;
            fields["state"] = group->dump();
            m_kernel.log(log_level::info, service_name, "this VM's suspicion of the group's leader changed",
                         std::move(fields));
        }
        was_suspected = is_suspected;
    }
    request_store_status();
    confirm_received_versions();
    auto const period = current_period();
    m_membership->set_reachability_timeout(current_lifetime());
    m_rates->set_report_lifetime(current_lifetime());
    auto const configuration = m_fleet->configuration();
    auto const version = configuration ? configuration->version : 0;
    has_changes = has_changes || std::exchange(m_reported_version, version) != version ||
                  std::exchange(m_reported_directory_digest, m_fleet->directory_digest()) !=
                      m_fleet->directory_digest() ||
                  std::exchange(m_reported_evacuations, own_evacuations()) != own_evacuations();
    has_changes =
        has_changes ||
        std::exchange(m_reported_leaving, m_membership->is_leaving()) != m_membership->is_leaving() ||
        std::exchange(m_reported_has_list, m_membership->has_list()) != m_membership->has_list();
    // Peers learn at once which VM of the zone reaches the store again, so that they need not try themselves.
    auto const age = m_fleet->configuration_age();
    auto const has_store = age && *age <= std::chrono::milliseconds(store_contact_ms);
    has_changes = has_changes || (!std::exchange(m_had_store, has_store) && has_store &&
                                  first_vm_with_store(true) == m_membership->identity().name);
    if (now - m_published_at >= period) {
        m_demands = m_rates->publish(now - m_published_at);
        m_published_at = now;
        broadcast();
    }
    else if (has_changes) {
        broadcast();
    }
    send_first_reports();
    divide_rates();
    if (is_zone_reporter()) {
        m_zones->send_zone_report(period);
    }
}

bool report_service::is_zone_peer(peer_state const& peer) const
{
    return peer.availability_zone == m_membership->identity().availability_zone;
}

bool report_service::is_zone_reporter() const
{
    auto const& own = m_membership->identity().name;
    return !m_membership->is_leaving() &&
           std::none_of(m_reports.begin(), m_reports.end(), [&](auto const& each) {
               return each.first < own && !each.second.report.is_leaving && is_recent(each.second);
           });
}

void report_service::divide_rates()
{
    auto const zones = m_zones->reachable_zones(current_lifetime()).size();
    auto const sharing_count = m_membership->has_list() ? 1 + m_reports.size() + zones : 0;
    if (std::exchange(m_last_sharing_count, sharing_count) != sharing_count) {
        m_rates->divide();
    }
}

void report_service::send_first_reports()
{
    std::vector<std::string> added;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!is_zone_peer(peer)) {
            continue;
        }
        if (!m_membership->is_reachable(peer)) {
            m_reported_incarnations.erase(name);
            continue;
        }
        auto const [known, is_new] = m_reported_incarnations.try_emplace(name, peer.incarnation);
        if (is_new || std::exchange(known->second, peer.incarnation) != peer.incarnation) {
            added.push_back(name);
        }
    }
    if (added.empty()) {
        return;
    }
    auto const report = make_report();
    for (auto const& name : added) {
        m_membership->send(name, report);
    }
}

void report_service::send_report_now()
{
    broadcast();
}

vm_report report_service::make_report() const
{
    vm_report report;
    auto const configuration = m_fleet->configuration();
    report.configuration_version = configuration ? configuration->version : 0;
    report.member_directory_digest = m_fleet->directory_digest();
    report.evacuations = own_evacuations();
    report.sender = m_membership->own_identity_report();
    report.is_leaving = m_membership->is_leaving();
    auto const age = m_fleet->configuration_age();
    report.configuration_age_ms = age ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                                            max_reported_age_ms, to_microseconds(*age) / 1000 + 1))
                                      : max_reported_age_ms;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (is_zone_peer(peer) && m_membership->is_reachable(peer)) {
            report.reachable_vms.push_back(hash_name(name));
        }
    }
    report.demands = m_demands;
    report.uptime_ms = m_rates->uptime_ms();
    for (auto const& [name, group] : m_groups->groups()) {
        leader_report entry;
        entry.group = hash_name(name);
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
    m_membership->send_to_zone_peers(make_report());
}

zone_report report_service::make_zone_report() const
{
    zone_report report;
    auto const& own = m_membership->identity();
    auto const own_report = make_report();
    report.availability_zone = own.availability_zone;
    report.configuration_version = own_report.configuration_version;
    report.configuration_age_ms = own_report.configuration_age_ms;
    report.member_directory_digest = own_report.member_directory_digest;
    report.evacuations = own_report.evacuations;
    report.vms.push_back(hash_name(own.name));
    if (own_report.configuration_age_ms <= store_contact_ms) {
        report.vms_with_store.push_back(report.vms.front());
    }
    for (auto const& [name, entry] : m_reports) {
        auto const vm = hash_name(name);
        if (!is_recent(entry)) {
            continue;
        }
        if (entry.report.is_leaving) {
            report.leaving_vms.push_back(vm);
            continue;
        }
        report.vms.push_back(vm);
        report.evacuations = std::max(report.evacuations, entry.report.evacuations);
        if (entry.report.configuration_age_ms <= store_contact_ms) {
            report.vms_with_store.push_back(vm);
        }
        if (std::pair(entry.report.configuration_version, report.configuration_age_ms) >
            std::pair(report.configuration_version, entry.report.configuration_age_ms)) {
            report.configuration_version = entry.report.configuration_version;
            report.configuration_age_ms = entry.report.configuration_age_ms;
            report.member_directory_digest = entry.report.member_directory_digest;
        }
    }
    report.reachable_zones = m_zones->reachable_zones(current_lifetime());
    report.demands = m_rates->zone_demands();
    m_rates->add_uptimes(report);
    for (auto const& [name, group] : m_groups->groups()) {
        report.assessments.push_back(make_zone_assessment(*group));
    }
    return report;
}

zone_assessment report_service::make_zone_assessment(database_group const& group) const
{
    auto const assessment = zone_assessment_of(group);
    zone_assessment result;
    result.leader.group = hash_name(group.name());
    if (auto const* const leader = group.leader()) {
        result.leader.member = leader->entry.id;
        result.leader.term = leader->confirmed_term;
    }
    result.leader.highest_term = assessment.highest.term;
    result.leader.highest_position = assessment.highest.position;
    result.lock_holder = m_holds_failover_lock && m_holds_failover_lock(group.name())
                             ? hash_name(m_membership->identity().name)
                         : assessment.lock_holder.empty() ? 0
                                                          : hash_name(assessment.lock_holder);
    result.voters = static_cast<std::uint32_t>(assessment.voters);
    result.suspects = static_cast<std::uint32_t>(assessment.suspects);
    return result;
}

void report_service::handle_vm_report(peer_state const& peer, vm_report const& report)
{
    m_membership->update_peer_address(report.sender);
    if (!is_zone_peer(peer)) {
        return;
    }
    if (report.is_leaving) {
        m_membership->record_leaving(peer.name);
    }
    m_reports[peer.name] = {report, m_kernel.now()};
    m_has_new_reports = true;
    m_rates->handle_vm_report(peer.name, report);
    refresh_from_peer(peer.name, report.configuration_version, report.member_directory_digest,
                      report.configuration_age_ms, report.evacuations);
    for (auto const& entry : report.leaders) {
        if (auto* const group = m_groups->find_group(entry.group)) {
            apply_leader_report(*group, entry, entry.is_suspected);
        }
    }
    if (is_zone_reporter()) {
        m_zones->send_zone_report(current_period());
    }
}

void report_service::apply_leader_report(database_group& group, leader_report const& leader,
                                         bool is_suspected)
{
    if (is_suspected) {
        group.handle_reported_suspicion();
    }
    // A VM that suspects the leader, or knows none, may order another member to lead.
    if (is_suspected || leader.member.empty()) {
        m_groups->record_leader_doubt(group);
    }
    else if (leader.term != 0) {
        group.apply_reported_leader(leader.member, leader.term);
    }
}

void report_service::apply_zone_report(zone_report const& report, std::vector<std::string> const& vms)
{
    m_rates->handle_zone_report(report, vms);
    m_has_new_reports = true;
    if (report.availability_zone == m_membership->identity().availability_zone) {
        return;
    }
    refresh_from_zone(report, vms);
    for (auto const& entry : report.assessments) {
        if (auto* const group = m_groups->find_group(entry.leader.group)) {
            apply_leader_report(*group, entry.leader, entry.suspects != 0);
        }
    }
}

void report_service::refresh_from_peer(std::string const& vm, std::uint64_t version,
                                       std::uint32_t directory_digest, std::uint32_t configuration_age_ms,
                                       evacuation_position const& evacuations)
{
    auto const configuration = m_fleet->configuration();
    auto const is_newer =
        version > (configuration ? configuration->version : 0) || evacuations > own_evacuations();
    if (is_newer && m_read_configuration) {
        m_read_configuration(vm);
    }
    // Only the store reader's copy of the directory is known to be the newest of the zone.
    auto const is_newest = configuration_age_ms <= store_contact_ms && vm == first_vm_with_store(true);
    if (directory_digest != m_fleet->directory_digest() && is_newest && m_read_directory) {
        m_read_directory(vm);
    }
}

void report_service::refresh_from_zone(zone_report const& report, std::vector<std::string> const& vms)
{
    auto const configuration = m_fleet->configuration();
    auto const has_newer_version =
        report.configuration_version > (configuration ? configuration->version : 0) ||
        report.evacuations > own_evacuations();
    auto const has_other_directory = report.member_directory_digest != m_fleet->directory_digest() &&
                                     report.configuration_age_ms <= store_contact_ms;
    if (!has_newer_version && !has_other_directory) {
        return;
    }
    std::string vm;
    if (first_vm_with_store(true) != m_membership->identity().name) {
        // The store reader of this zone passes the change on.
        return;
    }
    auto const age = m_fleet->configuration_age();
    if (!age || *age > configuration_age_timeout) {
        for (auto const& name : vms) {
            auto const is_first_with_store =
                std::find(report.vms_with_store.begin(), report.vms_with_store.end(), hash_name(name)) !=
                report.vms_with_store.end();
            if (is_first_with_store) {
                vm = name;
                break;
            }
        }
    }
    if (has_newer_version && m_read_configuration) {
        m_read_configuration(vm);
    }
    if (has_other_directory && m_read_directory) {
        m_read_directory(vm);
    }
}

evacuation_position report_service::own_evacuations() const
{
    auto const change = m_fleet->evacuations().last_change();
    return {change.era, change.version};
}

void report_service::request_store_status()
{
    auto const now = m_kernel.now();
    if (now - m_last_request_at < store_status_request_period) {
        return;
    }
    auto const store_reader = first_vm_with_store(true);
    if (store_reader == m_membership->identity().name) {
        return;
    }
    m_last_request_at = now;
    m_sent_requests[++m_last_request_number] = now;
    while (now - m_sent_requests.begin()->second > sent_request_retention) {
        m_sent_requests.erase(m_sent_requests.begin());
    }
    m_membership->send(store_reader, store_status_request{m_last_request_number});
}

void report_service::handle_store_status_request(peer_state const& peer, store_status_request const& request)
{
    auto const report = make_report();
    m_membership->send(peer.name,
                       store_status_reply{request.number, report.configuration_version,
                                          report.configuration_age_ms, report.member_directory_digest,
                                          m_store_era ? m_store_era() : 0, report.evacuations});
}

void report_service::handle_store_status_reply(peer_state const& peer, store_status_reply const& reply)
{
    if (m_learn_store_era) {
        m_learn_store_era(reply.store_era);
    }
    auto const sent_request = m_sent_requests.find(reply.number);
    auto const configuration = m_fleet->configuration();
    refresh_from_peer(peer.name, reply.configuration_version, reply.member_directory_digest,
                      reply.configuration_age_ms, reply.evacuations);
    if (sent_request == m_sent_requests.end() || !configuration ||
        reply.configuration_age_ms >= max_reported_age_ms ||
        reply.configuration_version < configuration->version) {
        return;
    }
    // The reply was written after the request was sent, so its content is no older than the request. While
    // the configuration changes often, the sender is mostly a version ahead.
    m_announced_versions.push_back(
        {reply.configuration_version, reply.evacuations,
         sent_request->second - std::chrono::milliseconds(reply.configuration_age_ms)});
    confirm_received_versions();
}

void report_service::confirm_received_versions()
{
    auto const configuration = m_fleet->configuration();
    auto const oldest = m_kernel.now() - sent_request_retention;
    std::erase_if(m_announced_versions, [&](announced_version const& each) {
        auto const is_received =
            configuration && each.version <= configuration->version && each.evacuations <= own_evacuations();
        if (is_received) {
            m_fleet->confirm_configuration(each.known_at);
        }
        return is_received || each.known_at < oldest;
    });
}

std::string report_service::first_vm_with_store(bool only_own_zone) const
{
    auto const& own = m_membership->identity();
    auto first = own.name;
    for (auto const& name : only_own_zone ? zone_peers_with_store() : peers_with_store()) {
        first = std::min(first, name);
    }
    return first;
}

bool report_service::reads_configuration_for_zone() const
{
    auto const age = m_fleet->configuration_age();
    if (!age) {
        return true;
    }
    // While no VM of the zone reaches the store, its VMs try one after the other.
    auto const patience = std::min<duration>(
        max_reader_patience, reader_patience_step * static_cast<duration::rep>(rank_in_zone()));
    return *age > configuration_age_timeout + patience ||
           (*age <= std::chrono::milliseconds(store_contact_ms) &&
            first_vm_with_store(true) == m_membership->identity().name);
}

std::size_t report_service::rank_in_zone() const
{
    auto const& own = m_membership->identity().name;
    return static_cast<std::size_t>(std::count_if(m_reports.begin(), m_reports.end(), [&](auto const& each) {
        return each.first < own && !each.second.report.is_leaving && is_recent(each.second);
    }));
}

bool report_service::reads_directory_for_fleet() const
{
    auto const age = m_fleet->configuration_age();
    return !age || *age > configuration_age_timeout ||
           first_vm_with_store(false) == m_membership->identity().name;
}

duration report_service::current_period() const
{
    auto const vms = std::max<std::size_t>(usual_zone_size, 1 + m_reports.size());
    return report_period * static_cast<duration::rep>(vms) / static_cast<duration::rep>(usual_zone_size);
}

duration report_service::current_lifetime() const
{
    // A report expires only after three consecutive reports were lost.
    return std::max(report_lifetime, current_period() * 9 / 2);
}

duration report_service::max_recent_report_age() const
{
    return current_period() * 5 / 2;
}

bool report_service::is_recent(received_report const& entry) const
{
    return m_kernel.now() - entry.received_at <= max_recent_report_age();
}

bool report_service::is_fresh(received_report const& entry) const
{
    return m_kernel.now() - entry.received_at <= current_lifetime();
}

void report_service::group_assessment::add(group_assessment const& other)
{
    voters += other.voters;
    suspects += other.suspects;
    highest = std::max(highest, other.highest);
    if (!other.lock_holder.empty()) {
        lock_holder = other.lock_holder;
    }
}

report_service::group_assessment report_service::assessment_of(database_group const& group) const
{
    auto assessment = zone_assessment_of(group);
    update_peer_assessments();
    auto const others = m_other_zones_assessments.find(hash_name(group.name()));
    if (others != m_other_zones_assessments.end()) {
        assessment.add(others->second);
    }
    return assessment;
}

report_service::group_assessment report_service::zone_assessment_of(database_group const& group) const
{
    group_assessment assessment;
    assessment.voters = 1;
    assessment.suspects = group.suspects_leader() ? 1 : 0;
    assessment.highest = group.highest_acknowledged();
    update_peer_assessments();
    auto const peers = m_zone_peers_assessments.find(hash_name(group.name()));
    if (peers != m_zone_peers_assessments.end()) {
        assessment.add(peers->second);
    }
    return assessment;
}

void report_service::update_peer_assessments() const
{
    auto const now = m_kernel.now();
    if (m_assessed_at == now && !m_has_new_reports) {
        return;
    }
    m_assessed_at = now;
    m_has_new_reports = false;
    m_zone_peers_assessments.clear();
    m_other_zones_assessments.clear();
    for (auto const& [name, entry] : m_reports) {
        if (!is_fresh(entry)) {
            continue;
        }
        auto const is_voter = is_recent(entry);
        for (auto const& each : entry.report.leaders) {
            // Without a recent report, a VM counts as a voter only if it suspects the leader: it may be
            // behind the same partition as the leader.
            m_zone_peers_assessments[each.group].add({each.is_suspected || is_voter ? 1U : 0U,
                                                      each.is_suspected ? 1U : 0U,
                                                      {each.highest_term, each.highest_position},
                                                      each.holds_failover_lock ? name : std::string()});
        }
    }
    for (auto const& [zone, entry] : m_zones->reports()) {
        auto const age = now - entry.received_at;
        if (age > current_lifetime()) {
            continue;
        }
        for (auto const& each : entry.report.assessments) {
            // Without a recent report, only VMs that suspect the leader count as voters of the zone: it may
            // be behind the same partition as the leader.
            m_other_zones_assessments[each.leader.group].add(
                {age <= max_recent_report_age() ? each.voters : each.suspects,
                 each.suspects,
                 {each.leader.highest_term, each.leader.highest_position},
                 each.lock_holder != 0 ? m_membership->name_of(each.lock_holder) : std::string()});
        }
    }
}

bool report_service::is_cut_off() const
{
    auto const now = m_kernel.now();
    auto const age = m_fleet->configuration_age();
    auto const has_lost_store_since = [&](monotonic_time time) { return !age || now - *age <= time; };
    auto const silent_since = m_brokers->all_zones_silent_since();
    if (silent_since && has_lost_store_since(*silent_since + zone_contact::answer_limit)) {
        return true;
    }
    // What this VM and its zone peers suspect dates from the partition until new reports have arrived.
    auto const silent_until = m_brokers->all_zones_silent_until();
    if (!silent_since && silent_until && now - *silent_until <= max_recent_report_age()) {
        return true;
    }
    if (m_zones->reports().empty()) {
        // A VM that starts behind a partition has only the assessments of its own zone.
        return m_zones->has_other_zones() && has_lost_store_since(m_started_at);
    }
    monotonic_time received_at{};
    for (auto const& [zone, entry] : m_zones->reports()) {
        received_at = std::max(received_at, entry.received_at);
    }
    return now - received_at > max_recent_report_age() && has_lost_store_since(received_at);
}

bool report_service::heard_zone_since(std::string const& zone, monotonic_time time) const
{
    if (zone == m_membership->identity().availability_zone) {
        return true;
    }
    auto const found = m_zones->reports().find(zone);
    return found != m_zones->reports().end() && found->second.received_at > time &&
           m_kernel.now() - found->second.received_at <= max_recent_report_age();
}

std::vector<std::string> report_service::peers_with_store() const
{
    auto names = zone_peers_with_store();
    for (auto const& [zone, entry] : m_zones->reports()) {
        if (m_kernel.now() - entry.received_at <= max_recent_report_age() && !m_brokers->is_silent(zone)) {
            names.insert(names.end(), entry.vms_with_store.begin(), entry.vms_with_store.end());
        }
    }
    return names;
}

std::vector<std::string> report_service::zone_peers_with_store() const
{
    std::vector<std::string> names;
    for (auto const& [name, entry] : m_reports) {
        if (is_recent(entry) && entry.report.configuration_age_ms <= store_contact_ms) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace greengagehitch
