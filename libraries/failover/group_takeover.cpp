#include "failover/group_takeover.h"

#include <algorithm>
#include <utility>

#include "members/leadership_guard.h"

namespace greengagehitch {

namespace {

constexpr duration command_period = std::chrono::milliseconds(250);
/// Time after which each VM has reported the commits that it saw before the other replicas were stopped.
constexpr duration report_time = std::chrono::milliseconds(1'300);
/// Time after which a successor may be chosen without the answer of an unresponsive replica whose log is
/// known to be covered. VMs on the replica's side of a partition have stopped serving requests that need a
/// key by then, since they cannot receive key withdrawals.
constexpr duration silent_replica_timeout = std::chrono::seconds(11);
/// Time after which a takeover is abandoned, so that the replicas can resume receiving from their leader.
constexpr duration max_takeover_time = std::chrono::seconds(14);
/// Time to look for a replica that can succeed a leader which still serves. The search disturbs nobody; it
/// ends so that another VM can take it over.
constexpr duration max_survey_time = std::chrono::seconds(2);
/// Time for a leader to confirm that it has stepped down.
constexpr duration max_fencing_time = std::chrono::seconds(1);
/// Time for replicas to receive what the old leader sent them before it stepped down. Afterwards it leads
/// again.
constexpr duration max_catch_up_time = std::chrono::milliseconds(500);
/// Time after the start of a takeover within which members that can be reached have answered.
constexpr duration usual_answer_time = std::chrono::milliseconds(500);
/// Time after the start of a takeover within which zones that can be reached have sent a report.
constexpr duration usual_contact_time = std::chrono::milliseconds(1'300);
/// Time after which the reports of other VMs reflect that a partition has ended.
constexpr duration settling_time = std::chrono::milliseconds(700);
/// Interval at which members are asked while a leader has stepped down and nobody leads.
constexpr duration fenced_command_period = std::chrono::milliseconds(50);
constexpr duration roster_retry_delay = std::chrono::milliseconds(250);
/// Interval at which the lock is tried again while a VM that is gone holds it and its order is outstanding.
constexpr duration lock_retry_delay = std::chrono::milliseconds(500);
/// Time for the store to answer whether orders of other VMs are outstanding, before a needless takeover ends.
constexpr duration max_lock_read_time = std::chrono::seconds(1);
constexpr duration order_retry_delay = std::chrono::milliseconds(300);
constexpr int max_order_attempts = 25;
constexpr duration leadership_poll_period = std::chrono::milliseconds(60);
constexpr int max_leadership_polls = 50;
/// Added to leadership_proof_lifetime for differences between the rates of the VMs' clocks.
constexpr duration leadership_proof_margin = std::chrono::milliseconds(50);
/// Placeholder account for probes, which belong to no client account.
constexpr auto control_account = "-";

} // namespace

group_takeover::group_takeover(std::string group, takeover_cause cause, std::string const& old_leader,
                               std::uint64_t new_term, dependencies dependencies)
    : m_name(std::move(group)), m_cause(cause), m_dependencies(std::move(dependencies)),
      m_kernel(m_dependencies.core), m_term(new_term), m_evidence(old_leader, new_term),
      m_control(m_kernel, m_dependencies.connection_hooks, m_name,
                {[this](std::string const& member, replication_status const& status, monotonic_time sent_at) {
                     handle_status(member, status, sent_at);
                 },
                 [this](std::string const& member, member_error error, monotonic_time started_at) {
                     handle_refusal(member, error, started_at);
                 },
                 [this](std::string const& member, member_error error) { handle_lost(member, error); }}),
      m_started_at(m_kernel.now()), m_phase_since(m_started_at), m_has_interfered(!is_handover(cause))
{
}

void group_takeover::start()
{
    Json::Value fields(Json::objectValue);
    fields["cause"] = std::string(find_name(takeover_cause_names, m_cause));
    fields["state"] = group().dump();
    fields["draining_ms"] = group().dump_draining();
    log("starting a takeover to replace the leader of the group", std::move(fields));
    send_commands();
    read_roster();
}

void group_takeover::read_roster()
{
    m_dependencies.read_roster([weak = weak_from_this()](absl::StatusOr<member_roster> const& roster) {
        auto const self = weak.lock();
        if (self && !self->m_has_ended) {
            self->handle_roster(roster);
        }
    });
}

void group_takeover::handle_roster(absl::StatusOr<member_roster> const& roster)
{
    if (!roster.ok()) {
        Json::Value fields(Json::objectValue);
        fields["reason"] = std::string(roster.status().message());
        log("roster of the group was not read; no replica is left out meanwhile", std::move(fields));
        start_timer(roster_retry_delay, [](group_takeover& self) { self.read_roster(); });
        return;
    }
    m_roster = *roster;
    Json::Value fields(Json::objectValue);
    for (auto const& [id, entry] : m_roster->entries()) {
        fields[is_listed(id) ? "listed" : "unlisted"].append(id);
    }
    log("read the roster of the group", std::move(fields));
    send_commands();
    advance();
}

void group_takeover::tick()
{
    auto const keep_alive = shared_from_this();
    auto const now = m_kernel.now();
    if (now - m_phase_since > time_limit() || elapsed() > max_takeover_time + max_survey_time) {
        end("takeover exceeded its time limit", true);
        return;
    }
    if (m_kernel.now() - m_commands_sent_at >= command_period) {
        send_commands();
    }
    advance();
}

void group_takeover::handle_lock_read()
{
    if (m_has_ended) {
        return;
    }
    send_commands();
    advance();
}

void group_takeover::set_phase(phase next)
{
    m_phase = next;
    m_phase_since = m_kernel.now();
    m_has_interfered = m_has_interfered || next >= phase::fencing;
}

duration group_takeover::time_limit() const
{
    if (is_handover(m_cause) && m_phase < phase::fencing) {
        return max_survey_time;
    }
    if (m_phase == phase::fencing && !m_evidence.final_position(m_kernel.now())) {
        return max_fencing_time;
    }
    return max_takeover_time;
}

command_kind group_takeover::command_for(std::string const& member) const
{
    if (member == m_evidence.old_leader() && !m_evidence.is_old_leader_replica(m_kernel.now())) {
        // A takeover that turns out to be needless must not have deposed the leader.
        return m_phase < phase::fencing && !must_fence_at_once() ? command_kind::status
                                                                 : command_kind::step_down;
    }
    // A replica that stopped would not receive what the old leader sent before it stepped down.
    auto const must_receive = is_handover(m_cause) && m_phase < phase::ordering;
    auto const is_ordered = m_phase >= phase::ordering && member == m_successor;
    return must_receive || is_ordered ? command_kind::status : command_kind::stop_receiving;
}

bool group_takeover::is_listed(std::string const& member) const
{
    auto const* const found = group().find_member(member);
    return found != nullptr && !found->entry.absent_since;
}

bool group_takeover::is_address_listed(std::string const& member) const
{
    auto const& address = m_targets.at(member).address;
    return std::any_of(m_targets.begin(), m_targets.end(), [&](auto const& each) {
        return each.first != member && each.second.address == address && is_listed(each.first);
    });
}

void group_takeover::update_targets()
{
    m_targets.clear();
    if (m_roster) {
        for (auto const& [id, entry] : m_roster->entries()) {
            auto& target = m_targets[id];
            target.id = id;
            target.group = m_name;
            target.address = entry.address;
            target.availability_zone = entry.availability_zone;
        }
    }
    for (auto const& [id, member] : group().members()) {
        m_targets[id] = member.entry;
    }
    for (auto const& [id, former] : group().former_members()) {
        m_targets[id] = former.entry;
    }
    std::set<std::string> replicas;
    for (auto const& [id, entry] : m_targets) {
        if (id != m_evidence.old_leader()) {
            replicas.insert(id);
        }
    }
    m_evidence.set_replicas(std::move(replicas));
}

void group_takeover::send_commands()
{
    m_commands_sent_at = m_kernel.now();
    if (!m_may_stop_since && may_stop_replicas()) {
        m_may_stop_since = m_kernel.now();
    }
    m_control.check_connections();
    update_targets();
    if (auto const* const leader = m_evidence.find_answer(m_evidence.old_leader(), m_kernel.now())) {
        m_required_position = leader->received;
    }
    for (auto const& [id, entry] : m_targets) {
        if (!is_listed(id) && is_address_listed(id)) {
            continue;
        }
        auto const kind = command_for(id);
        // What a replica answers before it is stopped shows whether another takeover has stopped it.
        send_command(entry, kind == command_kind::stop_receiving ? command_kind::status : kind);
    }
}

void group_takeover::send_command(member_entry const& member, command_kind kind)
{
    member_command command;
    command.kind = kind;
    command.term = m_term;
    // A member that restarted may have another id, which the directory does not list yet.
    m_control.send(member, command,
                   is_listed(member.id) ? member_control::recipient::member
                                        : member_control::recipient::address);
}

bool group_takeover::may_stop_replicas() const
{
    return !m_dependencies.deposes_replaced_leaders || m_dependencies.has_read_lock_since(m_started_at) ||
           m_fence != 0 || has_outstanding_order();
}

bool group_takeover::may_resume(std::string const& member) const
{
    if (member == m_evidence.old_leader()) {
        return false;
    }
    // Another takeover that stopped the member may have sent an order that has no answer.
    return !m_dependencies.deposes_replaced_leaders || m_dependencies.has_read_lock_since(m_started_at) ||
           (m_stopped.contains(member) && !m_stopped_by_others.contains(member));
}

duration group_takeover::time_since_stop() const
{
    return m_may_stop_since ? m_kernel.now() - *m_may_stop_since : duration::zero();
}

void group_takeover::stop_if_receiving(std::string const& member, replication_status const& status)
{
    if (status.stopped_at_term == 0) {
        m_stopped_by_others.erase(member);
    }
    else if (!m_stopped.contains(member)) {
        m_stopped_by_others.insert(member);
    }
    auto const target = m_targets.find(member);
    if (target != m_targets.end() && command_for(member) == command_kind::stop_receiving &&
        status.stopped_at_term < m_term && may_stop_replicas()) {
        m_stopped.insert(member);
        send_command(target->second, command_kind::stop_receiving);
    }
}

void group_takeover::handle_refusal(std::string const& member, member_error error, monotonic_time started_at)
{
    if (m_has_ended) {
        return;
    }
    // Another member at the address may be the same one after a restart.
    auto const is_stopped = error == member_error::refused && has_contact(member);
    // The refusal may have been handled late, while this process was short of processor time.
    if (m_evidence.record_refusal(member, is_stopped, started_at)) {
        Json::Value fields(Json::objectValue);
        fields["member"] = member;
        fields["error"] = std::string(find_name(member_error_names, error));
        fields["has_contact"] = has_contact(member);
        log("member refused the connection", std::move(fields));
    }
    if (m_phase == phase::confirming && member == m_successor && is_known_not_to_run(member)) {
        log("successor ended before its leadership was confirmed");
        choose_again();
        return;
    }
    advance();
}

void group_takeover::choose_again()
{
    if (m_has_term_begun) {
        // What members reported says nothing about the commits of the new term.
        end("the new term has begun, and its leader is lost", true);
        return;
    }
    m_successor.clear();
    if (is_handover(m_cause)) {
        start_fencing();
    }
    else {
        set_phase(phase::surveying);
    }
}

void group_takeover::handle_lost(std::string const& member, member_error error)
{
    if (!m_evidence.discard_answer(member)) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["error"] = std::string(find_name(member_error_names, error));
    log("member may have restarted; discarding its replication status", std::move(fields));
}

void group_takeover::handle_status(std::string const& member, replication_status const& status,
                                   monotonic_time sent_at)
{
    if (m_has_ended) {
        return;
    }
    log_status(member, status);
    if (status.role == member_role::primary && status.term >= m_term) {
        group().apply_reported_leader(member, status.term);
        auto const is_successor = m_phase >= phase::ordering && member == m_successor;
        if (is_successor) {
            finish();
        }
        else {
            end("another member already leads the new term or a later one", true);
        }
        return;
    }
    m_has_term_begun = m_has_term_begun || (status.term >= m_term && m_phase >= phase::ordering);
    if (status.term >= m_term && m_phase < phase::ordering) {
        // A member ignores orders of terms that are not newer than the one it knows.
        m_term = status.term + 1;
        m_evidence.set_term(m_term);
    }
    if (m_evidence.find_answer(member, m_kernel.now()) == nullptr) {
        m_newly_answered_at = m_kernel.now();
    }
    m_evidence.record_status(member, status, sent_at);
    stop_if_receiving(member, status);
    advance();
}

bool group_takeover::is_leader_answering() const
{
    auto const* const answer = m_evidence.find_answer(m_evidence.old_leader(), m_kernel.now());
    return answer != nullptr && answer->role == member_role::primary;
}

bool group_takeover::has_settled()
{
    auto const now = m_kernel.now();
    if (!has_contact(m_evidence.old_leader())) {
        m_contact_since.reset();
    }
    else if (!m_contact_since) {
        m_contact_since = now;
    }
    auto const is_settled = [&](std::optional<monotonic_time> const& time, duration usual_time) {
        return !time || *time - m_started_at <= usual_time || now - *time >= settling_time;
    };
    return is_settled(m_newly_answered_at, usual_answer_time) &&
           is_settled(m_contact_since, usual_contact_time);
}

void group_takeover::advance()
{
    if (m_has_ended) {
        return;
    }
    if (m_phase == phase::surveying) {
        choose_successor();
    }
    else if (m_phase == phase::fencing) {
        finish_fencing();
    }
}

void group_takeover::choose_successor()
{
    if (!is_handover(m_cause) && !has_settled()) {
        return;
    }
    if (!m_dependencies.is_needed() && !has_outstanding_order()) {
        if (has_looked_for_orders()) {
            end("the leader no longer has to be replaced", true);
        }
        return;
    }
    auto const chosen = find_successor();
    if (!chosen) {
        log_awaited_replicas();
        return;
    }
    if (awaits_end_of_successes() || !is_old_leader_out_of_use()) {
        return;
    }
    auto const now = m_kernel.now();
    if (now < m_next_claim_at) {
        return;
    }
    m_successor = *chosen;
    auto const* const answer = m_evidence.find_answer(m_successor, now);
    Json::Value fields(Json::objectValue);
    fields["member"] = m_successor;
    fields["term"] = Json::UInt64(answer->received.term);
    fields["position"] = Json::UInt64(answer->received.position);
    fields["heard"] = Json::UInt64(m_evidence.answers(now));
    fields["holders"] = dump_holders(answer->received);
    fields["draining_ms"] = group().dump_draining();
    fields["after_ms"] = to_milliseconds(elapsed());
    log("chose the member to promote as successor", std::move(fields));
    acquire_lock();
}

std::optional<std::string> group_takeover::find_successor()
{
    auto const now = m_kernel.now();
    auto const& old_leader = m_evidence.old_leader();
    if (auto const bound = acknowledged_bound()) {
        auto const holder = find_holder(*bound);
        auto const can_lead_again =
            m_evidence.find_answer(old_leader, now) != nullptr && group().find_member(old_leader) != nullptr;
        return holder || !can_lead_again ? holder : std::optional(old_leader);
    }
    if (is_handover(m_cause)) {
        auto const* const leader = m_evidence.find_answer(old_leader, now);
        if (leader != nullptr && !m_required_position) {
            m_required_position = leader->received;
        }
        return leader != nullptr ? find_holder(*m_required_position) : std::nullopt;
    }
    auto const furthest = find_holder(m_evidence.furthest_position(now));
    // A leader that answers is fenced first, and its final position decides.
    return furthest && (is_leader_answering() || holds_all_commits(*furthest)) ? furthest : std::nullopt;
}

std::optional<log_position> group_takeover::acknowledged_bound() const
{
    auto const now = m_kernel.now();
    auto const final_position = m_evidence.final_position(now);
    // Commits of a given up leader that none of its replicas has received were never acknowledged.
    auto const are_replicas_complete =
        !is_handover(m_cause) && !may_have_unlisted_replica() && are_replicas_covered();
    return final_position && are_replicas_complete
               ? std::min(*final_position, m_evidence.furthest_position(now))
               : final_position;
}

std::optional<std::string> group_takeover::find_holder(log_position position) const
{
    auto const drawbacks = [this](std::string const& id) -> std::optional<successor_drawbacks> {
        auto const* const member = group().find_member(id);
        if (member == nullptr) {
            return std::nullopt;
        }
        successor_drawbacks found{member->entry.is_draining, group().is_evacuated(*member),
                                  group().is_warming_up(*member)};
        // A replica that another VM stopped falls behind a leader that still serves.
        auto const must_receive = is_handover(m_cause) && m_phase < phase::fencing;
        if (must_receive && !m_evidence.is_receiving(id, m_kernel.now())) {
            return std::nullopt;
        }
        auto const is_no_better = (m_cause == takeover_cause::draining && found.is_leaving) ||
                                  (m_cause == takeover_cause::evacuated && found.is_evacuated);
        return is_no_better ? std::nullopt : std::optional(found);
    };
    return m_evidence.find_holder(position, drawbacks, m_kernel.now());
}

Json::Value group_takeover::dump_holders(log_position position) const
{
    Json::Value holders(Json::arrayValue);
    for (auto const& [id, entry] : m_targets) {
        if (m_evidence.holds(id, position, m_kernel.now())) {
            holders.append(id);
        }
    }
    return holders;
}

bool group_takeover::holds_all_commits(std::string const& member) const
{
    auto const now = m_kernel.now();
    if (auto const bound = acknowledged_bound()) {
        return m_evidence.holds(member, *bound, now);
    }
    auto const are_replicas_stopped = !is_handover(m_cause) || m_phase >= phase::ordering;
    return are_replicas_stopped && m_evidence.holds(member, m_evidence.furthest_position(now), now) &&
           !may_have_unlisted_replica() && are_replicas_covered();
}

bool group_takeover::may_have_unlisted_replica() const
{
    auto const& members = group().members();
    auto const is_replaced = [&members](member_entry const& leaving) {
        return std::any_of(members.begin(), members.end(), [&leaving](auto const& each) {
            return !each.second.entry.is_draining &&
                   each.second.entry.availability_zone == leaving.availability_zone;
        });
    };
    return !is_known_not_to_run(m_evidence.old_leader()) &&
           std::any_of(m_targets.begin(), m_targets.end(), [&](auto const& each) {
               return each.second.is_draining && !has_contact(each.first) && !is_replaced(each.second);
           });
}

bool group_takeover::are_replicas_covered() const
{
    auto const now = m_kernel.now();
    auto const unanswered = m_evidence.unanswered(now);
    if (!m_evidence.have_answering_stopped(now) || (!unanswered.empty() && time_since_stop() < report_time)) {
        return false;
    }
    // A commit that is known to be acknowledged and is in no answer is held by a member that is not known.
    if (!m_roster || m_evidence.furthest_position(now) < m_dependencies.highest_acknowledged()) {
        return false;
    }
    // Each acknowledged commit is in two logs, the leader's and a replica's, so one log may be left out if no
    // other is left out as that of the old leader.
    auto const uncovered = uncovered_replicas();
    auto const is_leader_known = m_targets.contains(m_evidence.old_leader());
    return uncovered.empty() ||
           (uncovered.size() == 1 && !is_leader_known && m_roster->entries().contains(uncovered.front()));
}

std::vector<std::string> group_takeover::uncovered_replicas() const
{
    auto uncovered = m_evidence.unanswered(m_kernel.now());
    std::erase_if(uncovered, [this](std::string const& id) { return is_covered(id); });
    return uncovered;
}

bool group_takeover::is_covered(std::string const& replica) const
{
    if (is_replaced_at_address(replica) || is_covered_after_planned_leave(replica)) {
        return true;
    }
    auto const now = m_kernel.now();
    auto const is_stopped = m_evidence.is_stopped(replica, now) && has_contact(replica);
    auto const bound =
        is_stopped && m_roster ? m_roster->log_bound(replica) : group().last_possible_position(replica);
    if (!bound || m_evidence.furthest_position(now) < *bound) {
        return false;
    }
    if (is_stopped) {
        return true;
    }
    // An entry may also lapse because its member is cut off from the store. While the leader may run as well,
    // both may be serving callers on the other side of a partition.
    return elapsed() >= silent_replica_timeout && (has_contact(replica) || is_leader_down());
}

bool group_takeover::is_leader_down() const
{
    return is_known_not_to_run(m_evidence.old_leader()) ||
           m_evidence.final_position(m_kernel.now()).has_value();
}

bool group_takeover::is_covered_after_planned_leave(std::string const& replica) const
{
    if (!m_roster || !m_roster->has_left(replica) || is_listed(replica)) {
        return false;
    }
    auto const bound = m_roster->log_bound(replica);
    return bound && m_evidence.furthest_position(m_kernel.now()) >= *bound &&
           (has_contact(replica) || is_leader_down());
}

bool group_takeover::is_replaced_at_address(std::string const& replica) const
{
    auto const now = m_kernel.now();
    auto const ended = m_targets.find(replica);
    return ended != m_targets.end() && std::any_of(m_targets.begin(), m_targets.end(), [&](auto const& each) {
               return each.first != replica && each.second.address == ended->second.address &&
                      m_evidence.find_answer(each.first, now) != nullptr;
           });
}

void group_takeover::log_awaited_replicas()
{
    auto const awaited = uncovered_replicas();
    if (awaited == m_awaited_replicas || elapsed() < report_time) {
        return;
    }
    m_awaited_replicas = awaited;
    Json::Value fields(Json::objectValue);
    for (auto const& id : awaited) {
        fields["members"].append(id);
    }
    auto const highest = m_dependencies.highest_acknowledged();
    fields["acknowledged_term"] = Json::UInt64(highest.term);
    fields["acknowledged_position"] = Json::UInt64(highest.position);
    fields["furthest_position"] = Json::UInt64(m_evidence.furthest_position(m_kernel.now()).position);
    log("waiting for replicas that may hold acknowledged commits which no other member has",
        std::move(fields));
}

bool group_takeover::has_contact(std::string const& member) const
{
    auto const found = m_targets.find(member);
    if (found == m_targets.end()) {
        return false;
    }
    auto const& zone = found->second.availability_zone;
    auto const now = m_kernel.now();
    return m_dependencies.heard_zone_since(zone, m_started_at) ||
           std::any_of(m_targets.begin(), m_targets.end(), [&](auto const& each) {
               return each.second.availability_zone == zone &&
                      m_evidence.find_answer(each.first, now) != nullptr;
           });
}

bool group_takeover::is_known_not_to_run(std::string const& member) const
{
    return m_evidence.refuses_connections(member, m_kernel.now()) && has_contact(member);
}

bool group_takeover::awaits_end_of_successes()
{
    auto const& old_leader = m_evidence.old_leader();
    auto const found = m_targets.find(old_leader);
    if (is_handover(m_cause) || is_leader_answering() || m_evidence.final_position(m_kernel.now()) ||
        is_known_not_to_run(old_leader) || found == m_targets.end() ||
        !m_dependencies.is_contact_undecided(found->second.availability_zone)) {
        return false;
    }
    if (!std::exchange(m_has_awaited_successes, true)) {
        Json::Value fields(Json::objectValue);
        fields["availability_zone"] = found->second.availability_zone;
        log("waiting until VMs of the old leader's availability zone pass on no success of a commit",
            std::move(fields));
    }
    return true;
}

bool group_takeover::is_old_leader_out_of_use()
{
    auto const now = m_kernel.now();
    if (m_dependencies.deposes_replaced_leaders || is_handover(m_cause) || m_evidence.final_position(now)) {
        return true;
    }
    if (!m_old_leader_expires_at) {
        m_old_leader_expires_at = now + leadership_proof_lifetime + leadership_proof_margin;
        start_timer(*m_old_leader_expires_at - now, [](group_takeover& self) { self.advance(); });
    }
    return now >= *m_old_leader_expires_at;
}

void group_takeover::start_fencing()
{
    set_phase(phase::fencing);
    if (!m_is_polling) {
        m_is_polling = true;
        poll_fencing();
    }
}

void group_takeover::poll_fencing()
{
    if (m_phase != phase::fencing) {
        return;
    }
    if (!is_handover(m_cause) && !is_leader_answering() && !m_evidence.final_position(m_kernel.now())) {
        // The leader ended or was cut off meanwhile, so all replicas have to be heard.
        set_phase(phase::surveying);
        return;
    }
    send_commands();
    start_timer(fenced_command_period, [](group_takeover& self) { self.poll_fencing(); });
    finish_fencing();
}

void group_takeover::finish_fencing()
{
    auto const now = m_kernel.now();
    auto const bound = acknowledged_bound();
    if (!bound) {
        return;
    }
    if (m_evidence.holds(m_successor, *bound, now)) {
        start_ordering();
        return;
    }
    m_fenced_since = m_fenced_since.value_or(now);
    auto const holder = find_holder(*bound);
    // The replicas of a leader that was given up have stopped receiving, but some may have to be left out.
    auto const may_become_complete = is_handover(m_cause) ? now - *m_fenced_since < max_catch_up_time
                                                          : time_since_stop() < report_time + command_period;
    if (holder ? now - *m_fenced_since < fenced_command_period : may_become_complete) {
        return;
    }
    auto const& old_leader = m_evidence.old_leader();
    if (!holder &&
        (m_evidence.find_answer(old_leader, now) == nullptr || group().find_member(old_leader) == nullptr)) {
        return;
    }
    m_successor = holder.value_or(old_leader);
    Json::Value fields(Json::objectValue);
    fields["member"] = m_successor;
    fields["position"] = Json::UInt64(bound->position);
    fields["holders"] = dump_holders(*bound);
    fields["draining_ms"] = group().dump_draining();
    log("chose another member, since the successor lacks commits of the leader that stepped down",
        std::move(fields));
    acquire_lock();
}

void group_takeover::start_ordering()
{
    set_phase(phase::ordering);
    send_commands();
    send_order();
}

void group_takeover::acquire_lock()
{
    m_lock_acquired_at = m_kernel.now();
    if (m_phase < phase::ordering) {
        set_phase(phase::claiming);
    }
    m_dependencies.lock.acquire(m_dependencies.vm, m_name, m_successor,
                                m_dependencies.deposes_replaced_leaders,
                                [weak = weak_from_this()](absl::StatusOr<std::uint64_t> const& fence) {
                                    auto const self = weak.lock();
                                    if (self && !self->m_has_ended) {
                                        self->handle_lock(fence);
                                    }
                                });
}

void group_takeover::handle_lock(absl::StatusOr<std::uint64_t> const& fence)
{
    if (!fence.ok()) {
        auto const is_held_by_other = absl::IsAborted(fence.status());
        if (is_held_by_other) {
            m_dependencies.lock_changed(false);
        }
        if (is_held_by_other && has_outstanding_order() && m_phase < phase::ordering &&
            m_dependencies.is_responsible()) {
            // The holder is gone. Until its lock expires, the replicas stay stopped and the leader fenced.
            m_successor.clear();
            set_phase(phase::surveying);
            m_next_claim_at = m_kernel.now() + lock_retry_delay;
            return;
        }
        // The VM that holds the lock may have ordered the replicas to stop, and still needs that.
        end(is_held_by_other ? std::string(fence.status().message())
                             : "store did not confirm the failover lock",
            !is_held_by_other);
        return;
    }
    m_fence = *fence;
    m_dependencies.lock_changed(true);
    if (m_phase == phase::ordering) {
        send_order();
    }
    else if ((is_handover(m_cause) || is_leader_answering()) && !m_evidence.final_position(m_kernel.now())) {
        start_fencing();
    }
    else {
        start_ordering();
    }
}

bool group_takeover::may_order() const
{
    // Without a check of fences, a delayed order for another member would replace the new leader.
    auto const& last = m_dependencies.last_order;
    return m_dependencies.deposes_replaced_leaders || !last || last->member == m_successor ||
           m_kernel.now() - last->sent_at >= max_order_delay;
}

bool group_takeover::has_looked_for_orders() const
{
    return !m_dependencies.deposes_replaced_leaders || m_dependencies.has_read_lock_since(m_started_at) ||
           elapsed() >= max_lock_read_time;
}

bool group_takeover::must_fence_at_once() const
{
    return has_outstanding_order() && has_looked_for_orders() && !is_handover(m_cause) &&
           (is_leader_answering() || m_evidence.final_position(m_kernel.now()));
}

bool group_takeover::has_outstanding_order() const
{
    auto const& last = m_dependencies.last_order;
    return m_dependencies.deposes_replaced_leaders && last && last->may_be_carried_out(m_kernel.now());
}

void group_takeover::send_order()
{
    m_control.check_connections();
    if (!holds_all_commits(m_successor)) {
        handle_missing_evidence();
        return;
    }
    if (m_order_attempts >= max_order_attempts) {
        end("platform did not accept a promotion order within the maximum number of attempts", true);
        return;
    }
    if (!may_order()) {
        end("platform may still carry out an unanswered order for another member", true);
        return;
    }
    if (m_kernel.now() - m_lock_acquired_at > max_lock_age) {
        // Another VM may have acquired the lock in the meantime.
        acquire_lock();
        return;
    }
    ++m_order_attempts;
    m_was_order_answered = false;
    promotion_order const order{m_name, m_successor, m_dependencies.vm, m_fence};
    Json::Value fields(Json::objectValue);
    fields["member"] = m_successor;
    fields["fence"] = Json::UInt64(m_fence);
    fields["attempt"] = m_order_attempts;
    log("ordering the promotion of the successor", std::move(fields));
    if (m_order_attempts == 1) {
        m_prior_order = m_dependencies.last_order;
    }
    m_dependencies.last_order = {m_successor, m_kernel.now(), m_fence};
    m_dependencies.promote(
        order, m_kernel.guard<absl::Status>([weak = weak_from_this()](absl::Status const& status) {
            auto const self = weak.lock();
            if (self && !self->m_has_ended) {
                self->handle_order_answer(status);
            }
        }));
}

void group_takeover::handle_missing_evidence()
{
    log("what members reported does not show that the successor holds all commits");
    auto const other = find_successor();
    if (is_handover(m_cause) ? !other || *other == m_successor : other == m_successor) {
        start_timer(command_period, [](group_takeover& self) { self.send_order(); });
        return;
    }
    choose_again();
}

void group_takeover::handle_order_answer(absl::Status const& status)
{
    Json::Value fields(Json::objectValue);
    fields["member"] = m_successor;
    fields["fence"] = Json::UInt64(m_fence);
    fields["answer"] = status.ok() ? "accepted" : std::string(status.message());
    log("platform answered the promotion order", std::move(fields));
    // Earlier attempts were not answered and may still be carried out, but not under a fence that is checked:
    // theirs are lower, or the same and for the same member.
    if (status.ok() && m_dependencies.deposes_replaced_leaders) {
        m_was_order_answered = true;
        m_dependencies.last_order.reset();
    }
    else if (m_order_attempts == 1 && (status.ok() || absl::IsFailedPrecondition(status))) {
        // The order is settled, but an earlier one may not be.
        m_dependencies.last_order = status.ok() ? std::nullopt : m_prior_order;
    }
    if (status.ok()) {
        set_phase(phase::confirming);
        await_leadership(0);
        return;
    }
    if (absl::IsFailedPrecondition(status)) {
        // The fence is too low or the member is not running; the next takeover acquires the lock again.
        m_dependencies.lock_changed(false);
        end("platform refused the promotion order", true);
        return;
    }
    start_timer(order_retry_delay, [](group_takeover& self) { self.send_order(); });
}

void group_takeover::await_leadership(int tries)
{
    auto const* const known = group().find_member(m_successor);
    if (known != nullptr && known->confirmed_term >= m_term) {
        finish();
        return;
    }
    if (tries >= max_leadership_polls) {
        end("successor did not confirm its leadership in time", true);
        return;
    }
    group().probe_member(m_successor, control_account);
    start_timer(leadership_poll_period, [tries](group_takeover& self) { self.await_leadership(tries + 1); });
}

void group_takeover::settle_orders()
{
    if (!m_dependencies.deposes_replaced_leaders || m_was_order_answered) {
        return;
    }
    auto const& prior = m_order_attempts > 0 ? m_prior_order : m_dependencies.last_order;
    // The successor may lead by an order before the one for another member, which then is not void.
    if (prior && prior->member != m_successor && prior->may_be_carried_out(m_kernel.now())) {
        m_dependencies.last_order = prior;
        return;
    }
    m_dependencies.last_order.reset();
}

void group_takeover::finish()
{
    settle_orders();
    end("done", false);
}

void group_takeover::end(std::string_view outcome, bool must_resume)
{
    if (std::exchange(m_has_ended, true)) {
        return;
    }
    auto const keep_alive = shared_from_this();
    Json::Value fields(Json::objectValue);
    fields["outcome"] = std::string(outcome);
    fields["after_ms"] = to_milliseconds(elapsed());
    fields["order"] = std::string(find_name(order_fate_names, order_fate()));
    if (m_fence != 0) {
        fields["fence"] = Json::UInt64(m_fence);
        fields["member"] = m_successor;
    }
    log("takeover ended", std::move(fields));
    // A replica that receives lets the old leader acknowledge commits that the ordered member may lack.
    if (must_resume && m_has_interfered && !has_outstanding_order()) {
        m_control.resume_receiving([this](std::string const& member) { return may_resume(member); });
    }
    if (m_fence != 0 && m_dependencies.deposes_replaced_leaders && !m_dependencies.last_order) {
        m_dependencies.lock.settle(m_name, m_was_order_answered);
    }
    m_dependencies.ended();
}

group_takeover::fate group_takeover::order_fate() const
{
    if (m_was_order_answered) {
        return fate::answered;
    }
    if (has_outstanding_order()) {
        return fate::outstanding;
    }
    return m_order_attempts == 0 ? fate::not_sent : fate::settled;
}

void group_takeover::start_timer(duration delay, std::function<void(group_takeover&)> callback)
{
    m_kernel.start_timer(delay, [weak = weak_from_this(), callback = std::move(callback)] {
        auto const self = weak.lock();
        if (self && !self->m_has_ended) {
            callback(*self);
        }
    });
}

void group_takeover::log(std::string_view message, Json::Value fields) const
{
    fields["group"] = m_name;
    fields["new_term"] = Json::UInt64(m_term);
    m_kernel.log(log_level::info, "takeover", message, std::move(fields));
}

void group_takeover::log_status(std::string const& member, replication_status const& status) const
{
    auto const* const known = m_evidence.find_answer(member, m_kernel.now());
    if (known != nullptr && known->role == status.role && known->received == status.received &&
        known->stopped_at_term == status.stopped_at_term) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["is_primary"] = status.role == member_role::primary;
    fields["known_term"] = Json::UInt64(status.term);
    fields["term"] = Json::UInt64(status.received.term);
    fields["position"] = Json::UInt64(status.received.position);
    fields["stopped_at_term"] = Json::UInt64(status.stopped_at_term);
    log("member reported its replication status for the takeover", std::move(fields));
}

} // namespace greengagehitch
