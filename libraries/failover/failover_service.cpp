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
/// Time without an answer after which a failing primary is taken for lost. A lost segment is sent again after
/// 200 ms, so shorter would suspect primaries behind a lossy link.
constexpr duration suspicion_time = std::chrono::milliseconds(350);
/// Time after which unreplicated commits make a primary count as separated from its group.
constexpr duration stall_time = std::chrono::milliseconds(500);
/// Time that a reachable watcher's silence holds up a claim.
constexpr duration opinion_wait = std::chrono::milliseconds(150);
constexpr duration opinion_lifetime = std::chrono::milliseconds(500);
/// Watchers act one after the other, so that two claims seldom meet.
constexpr duration rank_delay = std::chrono::milliseconds(120);
/// A claim by another watcher leaves the group without primary for a moment; a dead claimant for longer.
constexpr duration without_primary_time = std::chrono::milliseconds(250);
constexpr duration claim_timeout = std::chrono::milliseconds(300);
/// Time that a majority waits for the other members' positions.
constexpr duration straggler_wait = std::chrono::milliseconds(30);
constexpr duration claim_pause = std::chrono::milliseconds(200);
/// News go out at once; this only repeats them for those that missed them.
constexpr duration tell_period = std::chrono::seconds(2);
constexpr duration choice_period = std::chrono::milliseconds(500);
constexpr duration hint_period = std::chrono::milliseconds(50);

/// Position of a granted member that decides which one becomes primary.
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
        [this](peer_state const& peer, primary_suspicion const& message) { take_suspicion(peer, message); });
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value failover_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["claims"] = Json::UInt64(m_claims);
    state["promotions"] = Json::UInt64(m_promotions);
    for (auto const& [database, watch] : m_watches) {
        auto& entry = state["watched"][database];
        for (auto const& watcher : watch.watchers) {
            entry["watchers"].append(watcher);
        }
        entry["is_suspected"] = watch.suspected_since.has_value();
        entry["is_claiming"] = watch.running != nullptr;
    }
    return state;
}

void failover_service::tick()
{
    for (auto const& [name, group] : m_directory->groups()) {
        auto const& watchers = known_watchers_of(name);
        auto const self = std::find(watchers.begin(), watchers.end(), m_membership->identity().name);
        if (self == watchers.end()) {
            m_watches.erase(name);
            continue;
        }
        auto const rank = static_cast<std::size_t>(self - watchers.begin());
        auto const [entry, is_new] = m_watches.try_emplace(name);
        if (is_new) {
            entry->second.watching_since = m_kernel.now();
        }
        entry->second.watchers = watchers;
        watch_group(*group, entry->second, rank);
    }
}

void failover_service::watch_group(active_group& group, watch& state, std::size_t rank)
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
        ask_opinions(group, state);
    }
    consider_claim(group, state, rank);
    if (rank == 0 && (!state.told_at || now - *state.told_at >= tell_period)) {
        state.told_at = now;
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
        if (!peer.is_leaving && m_membership->is_reachable(peer) && peer.interests.contains(database)) {
            candidates.push_back({name, peer.availability_zone});
        }
    }
    return choose_watchers(database, std::move(candidates), watchers_per_group);
}

std::vector<std::string> const& failover_service::known_watchers_of(std::string const& database)
{
    // Choosing looks at every VM, so it must not happen at every tick of a large fleet.
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

bool failover_service::is_primary_lost(active_group const& group, watch& state) const
{
    auto const primary = group.view.primary();
    if (!primary) {
        return false;
    }
    auto const& member = group.view.member(*primary);
    auto const last = std::max(member.last_success.value_or(state.watching_since), state.watching_since);
    return member.failing_since && m_kernel.now() - last >= suspicion_time;
}

bool failover_service::is_replication_stalled(active_group const& group, watch& state) const
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
    // Without recent answers of the replicas nothing can be said about what they hold.
    std::size_t heard = 0;
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        auto const& last = group.view.member(i).last_success;
        heard += i != *primary && last && *last > state.stalled_since ? 1 : 0;
    }
    return m_kernel.now() - state.stalled_since >= stall_time &&
           heard >= group.view.description().majority() - 1;
}

void failover_service::consider_claim(active_group& group, watch& state, std::size_t rank)
{
    auto const now = m_kernel.now();
    if (state.running || now < state.no_claim_before) {
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

bool failover_service::has_agreement(watch const& state, std::uint64_t term) const
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
        auto const found = state.opinions.find(name);
        auto const is_recent = found != state.opinions.end() &&
                               now - found->second.heard_at <= opinion_lifetime &&
                               found->second.heard_at >= *state.suspected_since && found->second.term == term;
        if (is_recent && !found->second.is_suspected) {
            return false;
        }
        if (!is_recent && now - *state.suspected_since < opinion_wait) {
            return false;
        }
        has_other_zone =
            has_other_zone || (is_recent && m_membership->availability_zone_of(name) != own_zone);
    }
    // A fleet within one zone has no other view to ask.
    return has_other_zone || (!knows_other_zone && m_membership->has_majority());
}

void failover_service::ask_opinions(active_group const& group, watch const& state)
{
    for (auto const& name : state.watchers) {
        if (name != m_membership->identity().name) {
            m_membership->send(name, primary_suspicion{group.name, group.view.term(),
                                                       state.suspected_since.has_value(),
                                                       state.suspected_since.has_value()});
        }
    }
}

void failover_service::take_suspicion(peer_state const& peer, primary_suspicion const& message)
{
    auto const found = m_watches.find(message.database);
    auto* const group = m_directory->find(message.database);
    if (found == m_watches.end() || group == nullptr) {
        return;
    }
    auto& state = found->second;
    state.opinions[peer.name] = {message.term, message.is_suspected, m_kernel.now()};
    auto const primary = group->view.primary();
    if (message.is_suspected && primary) {
        m_directory->probe(*group, *primary, probe_timeout);
    }
    auto const is_watcher =
        std::find(state.watchers.begin(), state.watchers.end(), peer.name) != state.watchers.end();
    if (message.wants_opinion && is_watcher) {
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
    auto& hinted_at = m_hinted_at[group.name];
    if (now - hinted_at < hint_period) {
        return;
    }
    hinted_at = now;
    if (m_watches.contains(group.name)) {
        m_directory->probe(group, member, probe_timeout);
        return;
    }
    for (auto const& name : known_watchers_of(group.name)) {
        m_membership->send(name, primary_suspicion{group.name, group.view.term(), true, false});
    }
}

void failover_service::start_claim(active_group& group, watch& state)
{
    ++m_claims;
    auto const running = std::make_shared<claim>();
    state.running = running;
    running->term = group.view.term() + 1;
    running->claimant = fmt::format("{}:{:x}:{:x}", m_membership->identity().name,
                                    m_membership->identity().incarnation, m_kernel.random());
    running->excluded = group.view.primary();
    Json::Value fields(Json::objectValue);
    fields["database"] = group.name;
    fields["term"] = Json::UInt64(running->term);
    m_kernel.log(log_level::warning, service_name, "claiming a term", std::move(fields));
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        batch question;
        question.statements.push_back(group_contract::fence(running->term, running->claimant));
        question.statements.push_back(group_contract::status(m_directory->next_marker()));
        group.channels[i]->send_batch(std::move(question), claim_timeout,
                                      [this, database = group.name, running, i, asked_at = m_kernel.now(),
                                       alive = m_kernel.lifetime()](batch_answer const& answer) {
                                          if (!alive.expired()) {
                                              take_grant(database, running, i, answer, asked_at);
                                          }
                                      });
    }
}

void failover_service::take_grant(std::string const& database, std::shared_ptr<claim> const& running,
                                  std::size_t member, batch_answer const& answer, monotonic_time asked_at)
{
    ++running->answers;
    auto* const group = m_directory->find(database);
    if (group == nullptr) {
        return;
    }
    if (answer.is_ok()) {
        auto const status = group_contract::parse_status(answer.results.back());
        if (status) {
            m_directory->observe(*group, member, *status, asked_at);
        }
        if (status && group_contract::is_granted(answer.results.front()) && status->term == running->term) {
            running->grants.emplace(member, *status);
        }
    }
    if (running->is_promoting) {
        return;
    }
    auto const excluded_grants =
        running->excluded && running->grants.contains(*running->excluded) ? std::size_t{1} : std::size_t{0};
    auto const candidates = running->grants.size() - excluded_grants;
    if (running->answers == group->view.size()) {
        promote_best(database, running);
        return;
    }
    if (candidates == group->view.description().majority()) {
        m_kernel.start_timer(straggler_wait, [this, database, running] {
            if (!running->is_promoting) {
                promote_best(database, running);
            }
        });
    }
}

void failover_service::promote_best(std::string const& database, std::shared_ptr<claim> const& running)
{
    running->is_promoting = true;
    auto* const group = m_directory->find(database);
    auto const majority = group == nullptr ? 0 : group->view.description().majority();
    auto candidates = running->grants;
    if (running->excluded && candidates.size() > majority) {
        // The others are a majority by themselves, so one of them holds every acknowledged commit.
        candidates.erase(*running->excluded);
    }
    if (group == nullptr || candidates.size() < majority) {
        end_claim(database, running);
        return;
    }
    auto const best =
        std::max_element(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) {
            return received_of(left) < received_of(right);
        });
    batch question;
    question.statements.push_back(group_contract::promote(running->term, running->claimant));
    question.statements.push_back(group_contract::status(m_directory->next_marker()));
    group->channels[best->first]->send_batch(
        std::move(question), claim_timeout,
        [this, database, running, member = best->first, asked_at = m_kernel.now(),
         alive = m_kernel.lifetime()](batch_answer const& answer) {
            if (!alive.expired()) {
                take_promotion(database, running, member, answer, asked_at);
            }
        });
}

void failover_service::take_promotion(std::string const& database, std::shared_ptr<claim> const& running,
                                      std::size_t member, batch_answer const& answer, monotonic_time asked_at)
{
    auto* const group = m_directory->find(database);
    end_claim(database, running);
    if (group == nullptr || !answer.is_ok() || !group_contract::is_granted(answer.results.front())) {
        return;
    }
    auto const status = group_contract::parse_status(answer.results.back());
    if (!status) {
        return;
    }
    ++m_promotions;
    m_directory->observe(*group, member, *status, asked_at);
    auto const& primary = group->view.description().members[member].name;
    Json::Value fields(Json::objectValue);
    fields["database"] = database;
    fields["term"] = Json::UInt64(running->term);
    fields["primary"] = primary;
    m_kernel.log(log_level::warning, service_name, "promoted a member", std::move(fields));
    announce(*group);
    for (std::size_t i = 0; i < group->view.size(); ++i) {
        if (i != member) {
            batch question;
            question.statements.push_back(group_contract::follow(running->term, primary));
            group->channels[i]->send_batch(std::move(question), claim_timeout,
                                           [](batch_answer const& /*answer*/) {
                                               // A member that misses this follows once the new primary ships
                                               // its log to it.
                                           });
        }
    }
    record(database, running->term, primary);
}

void failover_service::end_claim(std::string const& database, std::shared_ptr<claim> const& running)
{
    auto const found = m_watches.find(database);
    if (found != m_watches.end() && found->second.running == running) {
        found->second.running.reset();
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
        if (peer.interests.contains(group.name)) {
            m_membership->send(name, state);
        }
    }
}

void failover_service::record(std::string const& database, std::uint64_t term, std::string const& primary)
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
                                   // The record informs operators; the terms of the group decide.
                               }));
        }));
}

} // namespace greengagehitch
