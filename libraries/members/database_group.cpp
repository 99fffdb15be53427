#include "members/database_group.h"

#include <algorithm>
#include <utility>

#include "members/member_drain.h"

namespace greengagehitch {

namespace {

/// Time for which reads avoid a member, multiplied by the number of consecutive failures. Reads go to the
/// leader if no other member remains.
constexpr duration avoid_time = std::chrono::milliseconds(250);
constexpr duration max_avoid_time = std::chrono::milliseconds(1'500);
/// Number of consecutive failures after which a member gets no reads until a probe has succeeded.
constexpr std::size_t failures_before_probe = 2;
/// Minimum age of a lagging replica's last reported position before the replica is probed for its position.
constexpr duration position_probe_interval = std::chrono::milliseconds(200);
/// Time for which reads avoid an overloaded member. Its queue is expected to be shorter afterwards.
constexpr duration overload_pause = std::chrono::milliseconds(30);
/// Time after the removal of a member for which a takeover still contacts it.
constexpr duration former_member_lifetime = std::chrono::seconds(20);
/// Interval at which all members are probed while requests wait for a leader.
constexpr duration search_period = std::chrono::milliseconds(80);
constexpr std::uint32_t probe_timeout_ms = 300;
constexpr std::uint32_t status_timeout_ms = 150;
/// Time without a response after which a failing leader is suspected.
constexpr duration suspicion_time = std::chrono::milliseconds(300);
constexpr std::size_t suspicion_failures = 2;
/// Time for which commits at the leader may stay unanswered before it is suspected.
constexpr duration stuck_commit_time = std::chrono::milliseconds(1'500);
/// Time after the last commit without an answer for which this VM suspects the leader, so that a VM whose
/// callers send no more commits does not suspect it for good.
constexpr duration stuck_commit_lifetime = std::chrono::seconds(6);
/// A latency measurement older than this is capped at `usual_latency`, so that a slow member is tried again.
constexpr duration latency_lifetime = std::chrono::seconds(1);
constexpr duration usual_latency = std::chrono::milliseconds(30);
constexpr int smoothing_divisor = 6;
/// Time that a statement waits before the group logs what its statements wait for, and the shortest interval
/// between two such lines.
constexpr duration long_wait = std::chrono::milliseconds(300);
constexpr duration waiting_log_interval = std::chrono::seconds(1);
/// Share of the recent statements that failed at a member above which the member gets few reads.
constexpr double grey_failure_share = 0.3;
constexpr double failure_smoothing = 1.0 / 8;
/// Time after which a read is tried again at a member that failed many of its recent statements.
constexpr duration grey_trial_interval = std::chrono::milliseconds(500);

/// Placeholder account for probes that are not sent on behalf of a client account.
constexpr auto no_account = "-";

} // namespace

database_group::database_group(std::string name, dependencies dependencies)
    : m_name(std::move(name)), m_dependencies(std::move(dependencies)), m_kernel(m_dependencies.core)
{
}

void database_group::set_members(std::vector<member_entry> const& entries)
{
    // Nobody tells a VM that has just started for how long a member has been draining.
    auto const draining_since = m_members.empty() ? m_kernel.now() - member_drain_limit : m_kernel.now();
    std::set<std::string> present;
    for (auto const& entry : entries) {
        present.insert(entry.id);
        auto found = m_members.find(entry.id);
        if (found != m_members.end() && (found->second.entry.address != entry.address ||
                                         found->second.entry.started_at != entry.started_at)) {
            retire_member(found->second);
            m_members.erase(found);
            found = m_members.end();
        }
        if (found == m_members.end()) {
            found = m_members.emplace(entry.id, group_member{}).first;
            found->second.entry = entry;
            log_membership("member was added to the directory", entry);
            m_dependencies.member_added(entry);
        }
        auto& member = found->second;
        auto const is_first_or_newer =
            member.warm_at == monotonic_time{} || entry.change > member.entry.change;
        if (entry.warm_up_left > duration::zero() && is_first_or_newer) {
            // The entry was written earlier, so the member is warm by then. A member that runs on may also
            // have to warm up again.
            member.warm_at =
                std::max(member.warm_at, m_kernel.now() + std::min(entry.warm_up_left, warm_up_time()));
        }
        auto const is_new_claim = entry.claims_primary && !member.claim_change;
        if (is_new_claim) {
            member.claim_change = entry.change;
            member.is_not_leading = false;
        }
        if (!entry.claims_primary) {
            member.claim_change.reset();
        }
        member.entry = entry;
        if (!entry.is_draining) {
            member.draining_since.reset();
        }
        else if (!member.draining_since) {
            member.draining_since = draining_since;
            log_membership("member drains", entry);
        }
        if (!entry.absent_since) {
            member.last_possible_position.reset();
        }
    }
    if (auto const* const last = leader(); last != nullptr && !present.contains(last->entry.id)) {
        // It may have led without this VM's knowledge but for its own claim.
        m_last_leader = last->entry.id;
    }
    for (auto each = m_members.begin(); each != m_members.end();) {
        if (present.contains(each->first)) {
            ++each;
            continue;
        }
        retire_member(each->second);
        each = m_members.erase(each);
    }
    std::erase_if(m_former_members, [this](auto const& each) {
        return m_members.contains(each.first) ||
               (m_kernel.now() - each.second.removed_at > former_member_lifetime &&
                is_superseded(each.second));
    });
    release_waiting();
}

void database_group::log_membership(std::string_view message, member_entry const& entry) const
{
    Json::Value fields(Json::objectValue);
    fields["group"] = m_name;
    fields["member"] = entry.id;
    fields["address"] = entry.address.to_string();
    m_kernel.log(log_level::info, "groups", message, std::move(fields));
}

void database_group::retire_member(group_member& member)
{
    log_membership("member was removed from the directory", member.entry);
    m_dependencies.member_removed(member.entry);
    m_former_members[member.entry.id] = {member.entry, m_kernel.now(), member.last_possible_position};
}

void database_group::bound_lapsed_members(log_position leader_position, monotonic_time asked_at)
{
    for (auto& [id, member] : m_members) {
        auto const absent_since = member.entry.absent_since;
        if (absent_since && *absent_since <= asked_at && !member.last_possible_position) {
            member.last_possible_position = leader_position;
        }
    }
    for (auto& [id, former] : m_former_members) {
        auto const absent_since = former.entry.absent_since.value_or(former.removed_at);
        if (absent_since <= asked_at && !former.last_possible_position) {
            former.last_possible_position = leader_position;
        }
    }
}

bool database_group::is_superseded(former_member const& former) const
{
    // A later commit was acknowledged through a present member, which received all earlier ones first.
    return former.last_possible_position && m_highest_acknowledged > *former.last_possible_position;
}

std::optional<log_position> database_group::last_possible_position(std::string const& id) const
{
    if (auto const found = m_members.find(id); found != m_members.end()) {
        return found->second.last_possible_position;
    }
    auto const found = m_former_members.find(id);
    return found == m_former_members.end() ? std::nullopt : found->second.last_possible_position;
}

group_member* database_group::find_member(std::string const& id)
{
    auto const found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

group_member const* database_group::leader() const
{
    group_member const* best = nullptr;
    for (auto const& [id, member] : m_members) {
        if (member.is_not_leading || (member.confirmed_term == 0 && !member.entry.claims_primary)) {
            continue;
        }
        if (best == nullptr || member.confirmed_term > best->confirmed_term ||
            (member.confirmed_term == best->confirmed_term && member.claim_change > best->claim_change)) {
            best = &member;
        }
    }
    return best;
}

group_member* database_group::leader()
{
    auto const* const found = std::as_const(*this).leader();
    return found == nullptr ? nullptr : find_member(found->entry.id);
}

bool database_group::is_unreachable(group_member const& member) const
{
    return m_dependencies.is_partitioned && m_dependencies.is_partitioned(member.entry.availability_zone);
}

bool database_group::fails_to_respond(group_member const& member) const
{
    return member.failing_since && member.failures >= suspicion_failures &&
           m_kernel.now() - *member.failing_since > suspicion_time;
}

group_member* database_group::reachable_leader()
{
    auto* const found = leader();
    auto const is_reachable = found != nullptr && !is_unreachable(*found) && !fails_to_respond(*found);
    auto const was_absent = m_absence.is_absent();
    m_absence.update(is_reachable, m_kernel.now());
    if (is_reachable == was_absent) {
        Json::Value fields(Json::objectValue);
        fields["group"] = m_name;
        if (found != nullptr) {
            fields["leader"] = found->entry.id;
            fields["is_zone_partitioned"] = is_unreachable(*found);
        }
        if (!is_reachable) {
            fields["expected_ms"] = to_milliseconds(expected_leader_wait());
        }
        m_kernel.log(log_level::info, "groups",
                     is_reachable ? "group has a reachable leader again" : "group has no reachable leader",
                     std::move(fields));
    }
    return is_reachable ? found : nullptr;
}

bool database_group::expects_no_leader_within(duration limit) const
{
    auto const is_cut_off = m_dependencies.is_cut_off && m_dependencies.is_cut_off();
    return leader() != nullptr && (is_cut_off || expected_leader_wait() >= limit);
}

void database_group::confirm_leader(std::string const& id, log_position position, monotonic_time sent_at)
{
    auto* const member = find_member(id);
    if (member == nullptr || position.term < confirmed_term()) {
        return;
    }
    member->is_not_leading = false;
    member->confirmed_term = position.term;
    for (auto& [other, each] : m_members) {
        if (other != id) {
            each.confirmed_term = 0;
        }
    }
    m_leader_positions.add(position, sent_at);
    bound_lapsed_members(position, sent_at);
    if (m_last_leader != id) {
        m_last_leader = id;
        Json::Value fields(Json::objectValue);
        fields["group"] = m_name;
        fields["leader"] = id;
        fields["term"] = Json::UInt64(position.term);
        fields["draining_ms"] = dump_draining();
        m_kernel.log(log_level::info, "groups", "member was confirmed as the leader of its group",
                     std::move(fields));
    }
    release_waiting();
}

void database_group::record_not_leading(std::string const& id)
{
    auto* const member = find_member(id);
    if (member == nullptr || member->is_not_leading) {
        return;
    }
    member->is_not_leading = true;
    member->confirmed_term = 0;
    Json::Value fields(Json::objectValue);
    fields["group"] = m_name;
    fields["member"] = id;
    m_kernel.log(log_level::info, "groups", "member reported that it does not lead its group",
                 std::move(fields));
}

void database_group::apply_reported_leader(std::string const& id, std::uint64_t term)
{
    auto* const member = find_member(id);
    if (member == nullptr || term <= confirmed_term()) {
        return;
    }
    member->is_not_leading = false;
    member->confirmed_term = term;
    for (auto& [other, each] : m_members) {
        if (other != id) {
            each.confirmed_term = 0;
        }
    }
    release_waiting();
}

std::uint64_t database_group::confirmed_term() const
{
    std::uint64_t term = 0;
    for (auto const& [id, member] : m_members) {
        term = std::max(term, member.confirmed_term);
    }
    return term;
}

void database_group::wait_for_leader(monotonic_time deadline, std::function<void(bool)> callback)
{
    auto const number = m_next_wait++;
    auto& added = m_waiting[number];
    added.deadline = deadline;
    added.callback = std::move(callback);
    added.timer = m_kernel.start_timer(deadline - m_kernel.now(), [this, number] {
        auto const found = m_waiting.find(number);
        if (found == m_waiting.end()) {
            return;
        }
        auto const expired = std::move(found->second.callback);
        m_waiting.erase(found);
        expired(false);
    });
    search_leader();
}

void database_group::release_waiting()
{
    if (m_waiting.empty() || reachable_leader() == nullptr) {
        return;
    }
    for (auto& [number, each] : std::exchange(m_waiting, {})) {
        m_kernel.cancel_timer(each.timer);
        each.callback(true);
    }
}

void database_group::log_waiting()
{
    auto const now = m_kernel.now();
    auto const summary = m_requests.sum_up(now);
    if (summary.longest < long_wait || now < m_next_waiting_log_at) {
        return;
    }
    m_next_waiting_log_at = now + waiting_log_interval;
    Json::Value fields(Json::objectValue);
    fields["group"] = m_name;
    for (auto const& each : wait_reason_names) {
        fields["waiting"][std::string(each.name)] =
            Json::UInt64(summary.counts[static_cast<std::size_t>(each.value)]);
    }
    fields["longest_ms"] = to_milliseconds(summary.longest);
    auto const* const known = leader();
    fields["leader"] = known == nullptr ? "" : known->entry.id;
    fields["is_leader_absent"] = m_absence.is_absent();
    if (m_absence.is_absent()) {
        fields["expected_ms"] = to_milliseconds(expected_leader_wait());
    }
    m_kernel.log(log_level::info, "groups", "statements wait at the group", std::move(fields));
}

void database_group::search_leader()
{
    if (m_is_searching || m_search_account.empty()) {
        return;
    }
    m_is_searching = true;
    for (auto& [id, member] : m_members) {
        probe_leadership(member, m_search_account);
    }
    m_kernel.start_timer(search_period, [this] {
        m_is_searching = false;
        release_waiting();
        if (!m_waiting.empty()) {
            search_leader();
        }
    });
}

void database_group::refresh_leader_position(std::string const& client_account)
{
    m_search_account = client_account;
    if (auto* const member = leader()) {
        probe_leadership(*member, client_account);
        return;
    }
    search_leader();
}

void database_group::run(std::string const& id, member_request request, reply_callback done)
{
    auto const* const member = find_member(id);
    if (member == nullptr) {
        auto const commands = request.commands.size();
        m_kernel.start_timer(duration::zero(), [commands, done = std::move(done)] {
            done(make_failed_reply(commands, member_error::refused, "member was removed from the directory"));
        });
        return;
    }
    m_dependencies.run(member->entry, std::move(request), std::move(done));
}

void database_group::send_probe(group_member& member, std::string const& client_account, command_kind kind,
                                probe_callback answered)
{
    auto const id = member.entry.id;
    if (!m_probed.insert(id).second) {
        return;
    }
    member_request probe;
    probe.client_account = client_account;
    probe.needs_slot = false;
    probe.time_limit_ms = probe_timeout_ms;
    probe.queue_limit_ms = probe_timeout_ms;
    probe.commands.resize(2);
    probe.commands[0].kind = kind;
    probe.needs_proven_leader = kind == command_kind::begin;
    probe.commands[1].kind = command_kind::rollback;
    run(id, std::move(probe),
        [this, id, sent_at = m_kernel.now(), answered = std::move(answered)](member_reply const& reply) {
            m_probed.erase(id);
            auto const& answer = reply.answers.front();
            if (answer.position) {
                record_position(id, *answer.position);
            }
            if (!answer.error || is_answer(*answer.error)) {
                record_response(id);
            }
            answered(answer, sent_at - std::chrono::milliseconds(answer.evidence_age_ms));
        });
}

void database_group::query_replicas(std::string const& leader, std::function<void(bool)> done)
{
    struct query {
        std::size_t pending = 0;
        std::optional<std::uint64_t> leader_term;
        /// Lowest term of the replicas that still receive.
        std::optional<std::uint64_t> replica_term;
        std::function<void(bool)> done;
    };
    auto const state = std::make_shared<query>();
    state->pending = m_members.size();
    state->done = std::move(done);
    auto const handle_status = [state](bool is_leader, std::optional<replication_status> const& status) {
        --state->pending;
        if (status && is_leader && status->role == member_role::primary) {
            state->leader_term = status->term;
        }
        if (status && !is_leader && status->role == member_role::replica && status->stopped_at_term == 0) {
            state->replica_term = std::min(state->replica_term.value_or(status->term), status->term);
        }
        auto const is_proven =
            state->leader_term && state->replica_term && *state->replica_term <= *state->leader_term;
        if ((is_proven || state->pending == 0) && state->done) {
            std::exchange(state->done, nullptr)(is_proven);
        }
    };
    if (m_members.empty()) {
        m_kernel.start_timer(duration::zero(), [state] { state->done(false); });
        return;
    }
    std::vector<std::string> ids;
    for (auto const& [id, member] : m_members) {
        ids.push_back(id);
    }
    for (auto const& id : ids) {
        member_request request;
        request.client_account = no_account;
        request.needs_slot = false;
        request.time_limit_ms = status_timeout_ms;
        request.queue_limit_ms = status_timeout_ms;
        request.commands.resize(1);
        request.commands[0].kind = command_kind::status;
        run(id, std::move(request), [is_leader = id == leader, handle_status](member_reply const& reply) {
            handle_status(is_leader, reply.answers.front().replication);
        });
    }
}

void database_group::probe_leadership(group_member& member, std::string const& client_account)
{
    send_probe(member, client_account, command_kind::begin,
               [this, id = member.entry.id](member_answer const& answer, monotonic_time sent_at) {
                   if (answer.is_ok() && answer.position) {
                       confirm_leader(id, *answer.position, sent_at);
                   }
                   else if (answer.error == member_error::read_only) {
                       record_not_leading(id);
                   }
                   else if (answer.error) {
                       record_failure(id, *answer.error);
                   }
               });
}

void database_group::probe_position(group_member& member, std::string const& client_account)
{
    send_probe(member, client_account, command_kind::begin_read,
               [this, id = member.entry.id](member_answer const& answer, monotonic_time /*asked_at*/) {
                   if (answer.error) {
                       record_failure(id, *answer.error);
                   }
               });
}

group_member* database_group::choose_reader(std::string const& client_account,
                                            std::set<std::string> const& excluded,
                                            log_position minimum_position)
{
    auto const now = m_kernel.now();
    auto const choice = judge_readers(excluded, minimum_position);
    for (auto const& judged : choice.candidates) {
        auto& member = m_members.at(judged.id);
        // A probe detects the recovery of the member, so that no read is sent to a member that may still
        // fail.
        if (judged.reason == exclusion_reason::failing || judged.reason == exclusion_reason::partitioned ||
            (judged.reason == exclusion_reason::lagging &&
             now - member.observed_at > position_probe_interval)) {
            probe_position(member, client_account);
        }
    }
    return choice.chosen ? find_member(choice.candidates[*choice.chosen].id) : nullptr;
}

member_choice database_group::judge_readers(std::set<std::string> const& excluded,
                                            log_position minimum_position) const
{
    std::vector<read_candidate> candidates;
    for (auto const& [id, member] : m_members) {
        candidates.push_back(make_candidate(member, excluded.contains(id), minimum_position));
    }
    return choose_member(candidates);
}

read_candidate database_group::make_candidate(group_member const& member, bool is_excluded,
                                              log_position minimum_position) const
{
    auto const now = m_kernel.now();
    auto const is_old = now - member.latency_measured_at > latency_lifetime;
    read_candidate candidate;
    candidate.id = member.entry.id;
    candidate.is_draining = member.entry.is_draining;
    candidate.is_excluded = is_excluded;
    candidate.is_evacuated = is_evacuated(member);
    candidate.is_partitioned = is_unreachable(member);
    candidate.is_avoided = member.avoid_until > now;
    candidate.must_answer_probe = member.failures >= failures_before_probe;
    candidate.is_grey =
        member.failure_share > grey_failure_share && now - member.tried_at < grey_trial_interval;
    candidate.holds_position = is_expected_to_hold(member, minimum_position);
    candidate.latency = is_old ? std::min(member.latency, usual_latency) : member.latency;
    candidate.in_flight = member.in_flight;
    candidate.slots = member.entry.slots;
    candidate.is_in_own_zone = member.entry.availability_zone == m_dependencies.availability_zone;
    candidate.is_warming_up = is_warming_up(member);
    candidate.is_leader = member.entry.claims_primary || member.confirmed_term != 0;
    return candidate;
}

bool database_group::is_evacuated(group_member const& member) const
{
    return m_dependencies.is_evacuated && m_dependencies.is_evacuated(member.entry.availability_zone);
}

bool database_group::may_send_to(std::string const& id) const
{
    auto const found = m_members.find(id);
    return found != m_members.end() &&
           (!m_dependencies.may_send_to_zone ||
            m_dependencies.may_send_to_zone(found->second.entry.availability_zone));
}

duration database_group::warm_up_time() const
{
    return m_dependencies.warm_up_time ? m_dependencies.warm_up_time() : duration::zero();
}

bool database_group::is_warming_up(group_member const& member) const
{
    return warm_up_time() > duration::zero() && (member.is_absent || m_kernel.now() < member.warm_at);
}

void database_group::record_absence(std::string const& id)
{
    auto* const member = find_member(id);
    if (member == nullptr || warm_up_time() == duration::zero() || std::exchange(member->is_absent, true)) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["group"] = m_name;
    fields["member"] = id;
    m_kernel.log(log_level::info, "groups", "member is not running and will have to warm up",
                 std::move(fields));
}

void database_group::record_contact(std::string const& id)
{
    auto* const member = find_member(id);
    if (member != nullptr && std::exchange(member->is_absent, false)) {
        member->warm_at = std::max(member->warm_at, m_kernel.now() + warm_up_time());
    }
}

bool database_group::is_expected_to_hold(group_member const& member, log_position minimum_position) const
{
    if (member.applied >= minimum_position || member.confirmed_term != 0) {
        return true;
    }
    // Assumes that the lag has not changed much since it was last observed.
    auto const existed_at = m_leader_positions.reached_at(minimum_position);
    return existed_at && m_kernel.now() - member.lag >= *existed_at;
}

void database_group::record_sent(std::string const& id)
{
    if (auto* const member = find_member(id)) {
        ++member->in_flight;
        member->tried_at = m_kernel.now();
    }
}

void database_group::record_returned(std::string const& id)
{
    if (auto* const member = find_member(id)) {
        member->in_flight -= member->in_flight > 0 ? 1 : 0;
    }
}

void database_group::probe_member(std::string const& id, std::string const& client_account)
{
    if (auto* const member = find_member(id)) {
        probe_leadership(*member, client_account);
    }
}

void database_group::record_answer(std::string const& id, duration latency)
{
    auto* const member = find_member(id);
    if (member == nullptr) {
        return;
    }
    member->latency += (latency - member->latency) / smoothing_divisor;
    member->latency_measured_at = m_kernel.now();
    member->failure_share -= member->failure_share * failure_smoothing;
    record_response(id);
}

void database_group::record_response(std::string const& id)
{
    if (auto* const member = find_member(id)) {
        member->failing_since.reset();
        member->failures = 0;
    }
}

void database_group::record_overload(std::string const& id)
{
    if (auto* const member = find_member(id)) {
        member->avoid_until = std::max(member->avoid_until, m_kernel.now() + overload_pause);
    }
}

void database_group::record_failure(std::string const& id, member_error error)
{
    auto* const member = find_member(id);
    if (member != nullptr && error == member_error::failed) {
        member->failure_share += (1 - member->failure_share) * failure_smoothing;
    }
    if (member == nullptr || is_answer(error) || error == member_error::not_started ||
        error == member_error::unproven_leader) {
        return;
    }
    auto const now = m_kernel.now();
    ++member->failures;
    member->avoid_until =
        now + std::min<duration>(max_avoid_time, avoid_time * static_cast<duration::rep>(member->failures));
    member->failing_since = member->failing_since.value_or(now);
}

void database_group::record_stuck_commit(std::string const& id)
{
    if (auto* const member = find_member(id)) {
        auto const now = m_kernel.now();
        if (now - member->last_stuck_at > stuck_commit_lifetime) {
            member->commits_stuck_since.reset();
        }
        member->commits_stuck_since = member->commits_stuck_since.value_or(now);
        member->last_stuck_at = now;
    }
}

void database_group::record_commit(std::string const& id, log_position position)
{
    if (auto* const member = find_member(id)) {
        member->commits_stuck_since.reset();
    }
    m_highest_acknowledged = std::max(m_highest_acknowledged, position);
}

void database_group::record_position(std::string const& id, log_position position)
{
    auto* const member = find_member(id);
    if (member == nullptr) {
        return;
    }
    auto const now = m_kernel.now();
    member->applied = position;
    member->observed_at = now;
    auto const reached = m_leader_positions.covered_until(position);
    member->lag = reached ? std::max(duration::zero(), now - *reached) : member->lag / 2;
}

bool database_group::suspects_leader() const
{
    auto const* const member = leader();
    if (member == nullptr) {
        return false;
    }
    if (is_unreachable(*member) || fails_to_respond(*member)) {
        return true;
    }
    auto const now = m_kernel.now();
    return member->commits_stuck_since && now - *member->commits_stuck_since > stuck_commit_time &&
           now - member->last_stuck_at <= stuck_commit_lifetime;
}

void database_group::handle_reported_suspicion()
{
    auto* const member = leader();
    if (member != nullptr && !suspects_leader()) {
        probe_leadership(*member, m_search_account.empty() ? no_account : m_search_account);
    }
}

std::optional<duration> database_group::confirmation_age() const
{
    auto const newest = m_leader_positions.newest();
    return newest ? std::optional(m_kernel.now() - newest->sent_at) : std::nullopt;
}

Json::Value database_group::dump_draining() const
{
    Json::Value draining(Json::objectValue);
    for (auto const& [id, member] : m_members) {
        if (member.draining_since) {
            draining[id] = to_milliseconds(m_kernel.now() - *member.draining_since);
        }
    }
    return draining;
}

Json::Value database_group::dump() const
{
    Json::Value state(Json::objectValue);
    state["term"] = Json::UInt64(confirmed_term());
    for (auto const& [id, member] : m_members) {
        Json::Value entry(Json::objectValue);
        entry["availability_zone"] = member.entry.availability_zone;
        entry["is_draining"] = member.entry.is_draining;
        entry["is_evacuated"] = is_evacuated(member);
        entry["is_warming_up"] = is_warming_up(member);
        entry["claims_primary"] = member.entry.claims_primary;
        entry["proven_term"] = Json::UInt64(member.confirmed_term);
        entry["in_flight"] = Json::UInt64(member.in_flight);
        entry["latency_ms"] = to_milliseconds(member.latency);
        entry["failures"] = Json::UInt64(member.failures);
        entry["failure_share"] = member.failure_share;
        entry["is_partitioned"] = is_unreachable(member);
        state["members"][id] = std::move(entry);
    }
    auto const summary = m_requests.sum_up(m_kernel.now());
    for (auto const& each : wait_reason_names) {
        state["waiting"][std::string(each.name)] =
            Json::UInt64(summary.counts[static_cast<std::size_t>(each.value)]);
    }
    state["longest_wait_ms"] = to_milliseconds(summary.longest);
    if (auto const age = confirmation_age()) {
        state["evidence_age_ms"] = to_milliseconds(*age);
    }
    return state;
}

} // namespace greengagehitch
