#include "failover/failover_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "failover/watcher_choice.h"

namespace greengagehitch {

namespace {

constexpr std::size_t watchers_per_group = 3;
constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr duration primary_probe_period = std::chrono::milliseconds(100);
constexpr duration replica_probe_period = std::chrono::milliseconds(300);
constexpr duration probe_timeout = std::chrono::milliseconds(300);
/// Time without an answer after which a failing primary is considered lost. A lost TCP segment is
/// retransmitted after 200 ms, so a shorter time would suspect primaries behind a lossy link.
constexpr duration suspicion_time = std::chrono::milliseconds(350);
/// Time after which a primary whose commits are not replicated is considered separated from its group.
constexpr duration stall_time = std::chrono::milliseconds(500);
/// Maximum time that a claim waits for the suspicion reports of the other watchers.
constexpr duration suspicion_reply_timeout = std::chrono::milliseconds(150);
/// Age above which the suspicion report of another watcher is ignored.
constexpr duration suspicion_lifetime = std::chrono::milliseconds(500);
/// Delay between the claims of watchers of successive ranks, so that two claims rarely collide.
constexpr duration rank_delay = std::chrono::milliseconds(120);
/// Time without a primary after which the next term is claimed. A group is without a primary for a shorter
/// time during the claim of another watcher, and for a longer time if the claimant failed.
constexpr duration without_primary_time = std::chrono::milliseconds(250);
constexpr duration claim_timeout = std::chrono::milliseconds(300);
/// Time to wait for the positions of the remaining members once a majority has granted the claim.
constexpr duration straggler_wait = std::chrono::milliseconds(30);
/// Mean delay between the end of a claim and the next claim of this VM for the same group.
constexpr duration claim_pause = std::chrono::milliseconds(200);
/// Interval at which the state of a group is announced again, for VMs that missed the announcement of a
/// change.
constexpr duration announce_period = std::chrono::seconds(2);
/// Interval at which the watchers of a group are chosen again.
constexpr duration choice_period = std::chrono::milliseconds(500);
/// Minimum time between two reports of a failing primary to the watchers of a group.
constexpr duration hint_period = std::chrono::milliseconds(50);

/// Received position of a member that granted the claim; the member with the highest one is promoted.
log_position received_of(std::pair<std::size_t const, member_status> const& grant)
{
    return grant.second.received;
}

} // namespace

void failover_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_directory->set_failure_hook(
        [this](active_group& group, std::size_t member) { report_failure(group, member); });
    m_membership->on_message<primary_suspicion>(
        [this](peer_state const& peer, primary_suspicion const& message) {
            handle_suspicion(peer, message);
        });
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value failover_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["claims"] = Json::UInt64(m_claims);
    state["promotions"] = Json::UInt64(m_promotions);
    for (auto const& [database, monitored_group] : m_monitored_groups) {
        auto& entry = state["watched"][database];
        for (auto const& watcher : monitored_group.watchers) {
            entry["watchers"].append(watcher);
        }
        entry["is_suspected"] = monitored_group.suspected_since.has_value();
        entry["is_claiming"] = monitored_group.active_claim != nullptr;
    }
    return state;
}

void failover_service::tick()
{
    for (auto const& [name, group] : m_directory->groups()) {
        auto const& watchers = known_watchers_of(name);
        auto const self = std::find(watchers.begin(), watchers.end(), m_membership->identity().name);
        if (self == watchers.end()) {
            m_monitored_groups.erase(name);
            continue;
        }
        auto const rank = static_cast<std::size_t>(self - watchers.begin());
        auto const [entry, is_new] = m_monitored_groups.try_emplace(name);
        if (is_new) {
            entry->second.monitoring_since = m_kernel.now();
        }
        entry->second.watchers = watchers;
        check_group(*group, entry->second, rank);
    }
}

void failover_service::check_group(active_group& group, monitored_group& state, std::size_t rank)
{
    auto const now = m_kernel.now();
    probe_members(group);
    auto const was_suspected = state.suspected_since.has_value();
    if (is_primary_lost(group, state) || is_replication_stalled(group, state)) {
        state.suspected_since = state.suspected_since.value_or(now);
    }
    else {
        state.suspected_since.reset();
    }
    if (group.view.primary() || group.view.term() == 0) {
        state.without_primary_since.reset();
    }
    else {
        state.without_primary_since = state.without_primary_since.value_or(now);
    }
    if (state.suspected_since || was_suspected) {
        exchange_suspicions(group, state);
    }
    consider_claim(group, state, rank);
    if (rank == 0 && (!state.announced_at || now - *state.announced_at >= announce_period)) {
        state.announced_at = now;
        announce(group);
    }
}

std::vector<std::string> failover_service::watchers_of(std::string const& database) const
{
    std::vector<watcher_candidate> candidates;
    if (!m_membership->is_leaving()) {
        candidates.push_back({m_membership->identity().name, m_membership->identity().availability_zone});
    }
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!peer.is_leaving && m_membership->is_reachable(peer) && peer.subscriptions.contains(database)) {
            candidates.push_back({name, peer.availability_zone});
        }
    }
    return choose_watchers(database, std::move(candidates), watchers_per_group);
}

std::vector<std::string> const& failover_service::known_watchers_of(std::string const& database)
{
    // Choosing iterates over all VMs, which is too expensive for every tick in a large fleet.
    auto& known = m_known_watchers[database];
    auto const now = m_kernel.now();
    if (!known.chosen_at || now - *known.chosen_at >= choice_period) {
        known.chosen_at = now;
        known.watchers = watchers_of(database);
    }
    return known.watchers;
}

void failover_service::probe_members(active_group& group)
{
    auto const now = m_kernel.now();
    auto const& view = group.view;
    for (std::size_t i = 0; i < view.size(); ++i) {
        auto const is_urgent = !view.primary() || view.primary() == i || view.member(i).failing_since;
        auto const period = is_urgent ? primary_probe_period : replica_probe_period;
        auto const& last = view.member(i).last_success;
        if (!last || now - *last >= period) {
            m_directory->probe(group, i, probe_timeout);
        }
    }
}

bool failover_service::is_primary_lost(active_group const& group, monitored_group& state) const
{
    auto const primary = group.view.primary();
    if (!primary) {
        return false;
    }
    auto const& member = group.view.member(*primary);
    auto const last = std::max(member.last_success.value_or(state.monitoring_since), state.monitoring_since);
    return member.failing_since && m_kernel.now() - last >= suspicion_time;
}

bool failover_service::is_replication_stalled(active_group const& group, monitored_group& state) const
{
    auto const primary = group.view.primary();
    auto const* const latest =
        primary && group.view.member(*primary).latest ? &*group.view.member(*primary).latest : nullptr;
    if (latest == nullptr || latest->status.role != member_role::primary) {
        state.stalled_position.reset();
        return false;
    }
    auto const& newest = latest->status.received;
    auto const is_held = state.stalled_position && (group.view.is_held_by_majority(*state.stalled_position) ||
                                                    state.stalled_position->term != newest.term);
    if (!state.stalled_position || is_held) {
        state.stalled_position.reset();
        if (!group.view.is_held_by_majority(newest)) {
            state.stalled_position = newest;
            state.stalled_since = m_kernel.now();
        }
        return false;
    }
    // Without recent answers of the replicas, the positions that they hold are unknown.
    std::size_t answered = 0;
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        auto const& last = group.view.member(i).last_success;
        answered += i != *primary && last && *last > state.stalled_since ? 1 : 0;
    }
    return m_kernel.now() - state.stalled_since >= stall_time &&
           answered >= group.view.description().majority() - 1;
}

void failover_service::consider_claim(active_group& group, monitored_group& state, std::size_t rank)
{
    auto const now = m_kernel.now();
    if (state.active_claim || now < state.no_claim_before) {
        return;
    }
    auto const delay = static_cast<int>(rank) * rank_delay;
    auto const is_leaderless =
        state.without_primary_since && now - *state.without_primary_since >= without_primary_time + delay;
    auto const is_lost = state.suspected_since && now - *state.suspected_since >= delay &&
                         has_agreement(state, group.view.term());
    if (is_leaderless || is_lost) {
        start_claim(group, state);
    }
}

bool failover_service::has_agreement(monitored_group const& state, std::uint64_t term) const
{
    auto const now = m_kernel.now();
    auto const& own_zone = m_membership->identity().availability_zone;
    bool has_other_zone = false;
    bool knows_other_zone = false;
    for (auto const& name : state.watchers) {
        if (name == m_membership->identity().name) {
            continue;
        }
        knows_other_zone = knows_other_zone || m_membership->availability_zone_of(name) != own_zone;
        auto const found = state.peer_suspicions.find(name);
        auto const is_recent =
            found != state.peer_suspicions.end() && now - found->second.received_at <= suspicion_lifetime &&
            found->second.received_at >= *state.suspected_since && found->second.term == term;
        if (is_recent && !found->second.is_suspected) {
            return false;
        }
        if (!is_recent && now - *state.suspected_since < suspicion_reply_timeout) {
            return false;
        }
        has_other_zone =
            has_other_zone || (is_recent && m_membership->availability_zone_of(name) != own_zone);
    }
    // A fleet within one zone has no watcher in another zone to confirm the suspicion.
    return has_other_zone || (!knows_other_zone && m_membership->has_majority());
}

void failover_service::exchange_suspicions(active_group const& group, monitored_group const& state)
{
    for (auto const& name : state.watchers) {
        if (name != m_membership->identity().name) {
            m_membership->send(name, primary_suspicion{group.name, group.view.term(),
                                                       state.suspected_since.has_value(),
                                                       state.suspected_since.has_value()});
        }
    }
}

void failover_service::handle_suspicion(peer_state const& peer, primary_suspicion const& message)
{
    auto const found = m_monitored_groups.find(message.database);
    auto* const group = m_directory->find(message.database);
    if (found == m_monitored_groups.end() || group == nullptr) {
        return;
    }
    auto& state = found->second;
    state.peer_suspicions[peer.name] = {message.term, message.is_suspected, m_kernel.now()};
    auto const primary = group->view.primary();
    if (message.is_suspected && primary) {
        m_directory->probe(*group, *primary, probe_timeout);
    }
    auto const is_watcher =
        std::find(state.watchers.begin(), state.watchers.end(), peer.name) != state.watchers.end();
    if (message.wants_reply && is_watcher) {
        m_membership->send(peer.name, primary_suspicion{message.database, group->view.term(),
                                                        state.suspected_since.has_value(), false});
    }
}

void failover_service::report_failure(active_group& group, std::size_t member)
{
    if (group.view.primary() != member) {
        return;
    }
    auto const now = m_kernel.now();
    auto& hint_sent_at = m_hint_sent_at[group.name];
    if (now - hint_sent_at < hint_period) {
        return;
    }
    hint_sent_at = now;
    if (m_monitored_groups.contains(group.name)) {
        m_directory->probe(group, member, probe_timeout);
        return;
    }
    for (auto const& name : known_watchers_of(group.name)) {
        m_membership->send(name, primary_suspicion{group.name, group.view.term(), true, false});
    }
}

void failover_service::start_claim(active_group& group, monitored_group& state)
{
    ++m_claims;
    auto const active_claim = std::make_shared<claim>();
    state.active_claim = active_claim;
    active_claim->term = group.view.term() + 1;
    active_claim->claimant = fmt::format("{}:{:x}:{:x}", m_membership->identity().name,
                                         m_membership->identity().incarnation, m_kernel.random());
    active_claim->excluded = group.view.primary();
    Json::Value fields(Json::objectValue);
    fields["database"] = group.name;
    fields["term"] = Json::UInt64(active_claim->term);
    m_kernel.log(log_level::warning, service_name, "claiming the next term to replace the primary",
                 std::move(fields));
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        batch request;
        request.statements.push_back(group_contract::fence(active_claim->term, active_claim->claimant));
        request.statements.push_back(group_contract::status(m_directory->next_marker()));
        group.channels[i]->send_batch(std::move(request), claim_timeout,
                                      [this, database = group.name, active_claim, i, sent_at = m_kernel.now(),
                                       alive = m_kernel.lifetime()](batch_answer const& answer) {
                                          if (!alive.expired()) {
                                              handle_grant(database, active_claim, i, answer, sent_at);
                                          }
                                      });
    }
}

void failover_service::handle_grant(std::string const& database, std::shared_ptr<claim> const& active_claim,
                                    std::size_t member, batch_answer const& answer, monotonic_time sent_at)
{
    ++active_claim->answers;
    auto* const group = m_directory->find(database);
    if (group == nullptr) {
        return;
    }
    if (answer.is_ok()) {
        auto const status = group_contract::parse_status(answer.results.back());
        if (status) {
            m_directory->observe(*group, member, *status, sent_at);
        }
        if (status && group_contract::is_granted(answer.results.front()) &&
            status->term == active_claim->term) {
            active_claim->grants.emplace(member, *status);
        }
    }
    if (active_claim->is_promoting) {
        return;
    }
    auto const excluded_grants =
        active_claim->excluded && active_claim->grants.contains(*active_claim->excluded) ? std::size_t{1}
                                                                                         : std::size_t{0};
    auto const candidates = active_claim->grants.size() - excluded_grants;
    if (active_claim->answers == group->view.size()) {
        promote_best(database, active_claim);
        return;
    }
    if (candidates == group->view.description().majority()) {
        m_kernel.start_timer(straggler_wait, [this, database, active_claim] {
            if (!active_claim->is_promoting) {
                promote_best(database, active_claim);
            }
        });
    }
}

void failover_service::promote_best(std::string const& database, std::shared_ptr<claim> const& active_claim)
{
    active_claim->is_promoting = true;
    auto* const group = m_directory->find(database);
    auto const majority = group == nullptr ? 0 : group->view.description().majority();
    auto candidates = active_claim->grants;
    if (active_claim->excluded && candidates.size() > majority) {
        // The members other than the one being replaced form a majority, so one of them holds every
        // acknowledged commit.
        candidates.erase(*active_claim->excluded);
    }
    if (group == nullptr || candidates.size() < majority) {
        end_claim(database, active_claim);
        return;
    }
    auto const best =
        std::max_element(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) {
            return received_of(left) < received_of(right);
        });
    batch request;
    request.statements.push_back(group_contract::promote(active_claim->term, active_claim->claimant));
    request.statements.push_back(group_contract::status(m_directory->next_marker()));
    group->channels[best->first]->send_batch(
        std::move(request), claim_timeout,
        [this, database, active_claim, member = best->first, sent_at = m_kernel.now(),
         alive = m_kernel.lifetime()](batch_answer const& answer) {
            if (!alive.expired()) {
                handle_promotion(database, active_claim, member, answer, sent_at);
            }
        });
}

void failover_service::handle_promotion(std::string const& database,
                                        std::shared_ptr<claim> const& active_claim, std::size_t member,
                                        batch_answer const& answer, monotonic_time sent_at)
{
    auto* const group = m_directory->find(database);
    end_claim(database, active_claim);
    if (group == nullptr || !answer.is_ok() || !group_contract::is_granted(answer.results.front())) {
        return;
    }
    auto const status = group_contract::parse_status(answer.results.back());
    if (!status) {
        return;
    }
    ++m_promotions;
    m_directory->observe(*group, member, *status, sent_at);
    auto const& primary = group->view.description().members[member].name;
    Json::Value fields(Json::objectValue);
    fields["database"] = database;
    fields["term"] = Json::UInt64(active_claim->term);
    fields["primary"] = primary;
    m_kernel.log(log_level::warning, service_name, "promoted a member", std::move(fields));
    announce(*group);
    for (std::size_t i = 0; i < group->view.size(); ++i) {
        if (i != member) {
            batch request;
            request.statements.push_back(group_contract::follow(active_claim->term, primary));
            group->channels[i]->send_batch(std::move(request), claim_timeout,
                                           [](batch_answer const& /*answer*/) {
                                               // A member that misses this request follows once the new
                                               // primary sends its log to it.
                                           });
        }
    }
    record_primary(database, active_claim->term, primary);
}

void failover_service::end_claim(std::string const& database, std::shared_ptr<claim> const& active_claim)
{
    auto const found = m_monitored_groups.find(database);
    if (found != m_monitored_groups.end() && found->second.active_claim == active_claim) {
        found->second.active_claim.reset();
        auto const jitter = duration(static_cast<duration::rep>(
            m_kernel.random_below(static_cast<std::uint64_t>(claim_pause.count()))));
        found->second.no_claim_before = m_kernel.now() + claim_pause / 2 + jitter;
        found->second.stalled_position.reset();
    }
}

void failover_service::announce(active_group const& group)
{
    auto const state = m_directory->make_group_state(group, false);
    for (auto const& [name, peer] : m_membership->peers()) {
        if (peer.subscriptions.contains(group.name)) {
            m_membership->send(name, state);
        }
    }
}

void failover_service::record_primary(std::string const& database, std::uint64_t term,
                                      std::string const& primary)
{
    auto const key = "primaries/" + database;
    m_platform.read_row(
        key,
        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>([this, key, term, primary](auto const& row) {
            if (!row.ok()) {
                return;
            }
            auto const known =
                *row ? try_parse_json((*row)->value) : absl::StatusOr<Json::Value>(Json::Value());
            auto const known_term = known.ok() && known->isObject() ? (*known)["term"].asUInt64() : 0;
            if (known_term >= term) {
                return;
            }
            Json::Value value(Json::objectValue);
            value["term"] = Json::UInt64(term);
            value["primary"] = primary;
            m_platform.put_row(key, *row ? (*row)->version : 0, to_json_line(value),
                               m_kernel.guard<absl::StatusOr<std::uint64_t>>([](auto const& /*put*/) {
                                   // The result is ignored: the record only informs operators, and the terms
                                   // of the group are authoritative.
                               }));
        }));
}

} // namespace greengagehitch
