#include "failover/takeover_service.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "failover/watcher_choice.h"
#include "members/leadership_guard.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(100);
/// Time for which a group may have no known leader before a takeover starts, since the leader may be listed
/// in the directory again.
constexpr duration vanished_leader_timeout = std::chrono::milliseconds(1'500);
/// Members answer takeover commands without waiting for a slot, so a member that does not answer within this
/// time is treated as unreachable.
constexpr duration command_timeout = std::chrono::milliseconds(500);
constexpr duration command_period = std::chrono::milliseconds(250);
/// Time after which a successor may be chosen without the answer of a replica that is not running. By then
/// each VM has reported the commits that it saw before the other replicas were stopped.
constexpr duration stopped_replica_timeout = std::chrono::milliseconds(1'300);
/// Time after which a successor may be chosen without the answer of an unresponsive replica. VMs on the
/// replica's side of a partition have stopped serving requests that need a key by then, since they cannot
/// receive key withdrawals.
constexpr duration silent_replica_timeout = std::chrono::seconds(11);
/// Time after which a takeover is abandoned, so that the replicas can resume receiving from their leader.
constexpr duration max_takeover_time = std::chrono::seconds(14);
/// Time limit for replacing a leader that still serves. The leader still serves, but cannot commit while its
/// replicas are stopped.
constexpr duration max_handover_time = std::chrono::milliseconds(2'000);
/// Minimum time between the end of a takeover and the start of the next one for the same group.
constexpr duration pause_after_end = std::chrono::milliseconds(1'500);
constexpr duration order_retry_delay = std::chrono::milliseconds(300);
constexpr int max_order_attempts = 25;
constexpr duration leadership_poll_period = std::chrono::milliseconds(60);
constexpr int max_leadership_polls = 50;
/// Time since the last acquisition of the failover lock above which the lock is renewed before an order is
/// sent.
constexpr duration max_lock_age = std::chrono::milliseconds(1'400);
/// Added to leadership_proof_lifetime for differences between the rates of the VMs' clocks.
constexpr duration leadership_proof_margin = std::chrono::milliseconds(50);
/// Placeholder account for takeover connections, which belong to no client account.
constexpr auto control_account = "-";

} // namespace

void takeover_service::start()
{
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_reports = &m_kernel.find<report_service>(report_service::service_name);
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_reports->set_holds_failover_lock(
        [this](std::string const& group) { return m_held_locks.contains(group); });
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value takeover_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& group : m_held_locks) {
        state["held"].append(group);
    }
    for (auto const& [group, running] : m_takeovers) {
        state["running"][group] = std::string(find_name(takeover_cause_names, running->cause));
    }
    return state;
}

void takeover_service::tick()
{
    if (m_membership->is_leaving()) {
        return;
    }
    for (auto const& [name, group] : m_groups->groups()) {
        check_group(*group);
    }
}

void takeover_service::check_group(database_group& group)
{
    auto const now = m_kernel.now();
    if (auto* const running = find_takeover(group.name())) {
        auto const limit =
            is_handover(running->cause) && !running->is_promoting ? max_handover_time : max_takeover_time;
        if (now - running->started_at > limit) {
            end_takeover(group.name(), "takeover exceeded its time limit", true);
        }
        else if (!running->is_promoting && now - running->commands_sent_at >= command_period) {
            stop_replicas(group.name());
            promote_if_chosen(group.name());
        }
        return;
    }
    auto const cause = find_cause(group);
    if (!cause) {
        return;
    }
    auto const pause = m_next_takeover_at.find(group.name());
    if ((pause != m_next_takeover_at.end() && now < pause->second) || !should_start_takeover(group)) {
        return;
    }
    start_takeover(group, *cause);
}

std::optional<takeover_cause> takeover_service::find_cause(database_group& group)
{
    if (group.members().size() < 2) {
        return std::nullopt;
    }
    auto* const leader = group.leader();
    if (leader == nullptr) {
        auto const since = m_leaderless_since.emplace(group.name(), m_kernel.now()).first->second;
        group.refresh_leader_position(control_account);
        return m_kernel.now() - since >= vanished_leader_timeout ? std::optional(takeover_cause::vanished)
                                                                 : std::nullopt;
    }
    m_leaderless_since.erase(group.name());
    auto const assessment = m_reports->assessment_of(group);
    if (assessment.suspects * 2 > assessment.voters) {
        return takeover_cause::suspected;
    }
    auto const has_successor_where = [&](auto const& accepts) {
        return std::any_of(group.members().begin(), group.members().end(), [&](auto const& each) {
            return each.first != leader->entry.id && !each.second.entry.is_draining && accepts(each.second);
        });
    };
    if (leader->entry.is_draining && has_successor_where([](group_member const&) { return true; })) {
        return takeover_cause::draining;
    }
    if (group.is_evacuated(*leader) &&
        has_successor_where([&group](group_member const& member) { return !group.is_evacuated(member); })) {
        return takeover_cause::evacuated;
    }
    return std::nullopt;
}

bool takeover_service::should_start_takeover(database_group const& group) const
{
    auto const assessment = m_reports->assessment_of(group);
    auto const with_store = m_reports->peers_with_store();
    auto const own_age = m_fleet->configuration_age();
    auto const has_store = own_age && *own_age < std::chrono::seconds(3);
    // Replicas that a takeover stops receive nothing until it ends, so it does not start without the lock in
    // reach.
    if (!has_store || m_reports->is_cut_off() || m_lock.may_have_lost_claims(m_deposes_replaced_leaders)) {
        return false;
    }
    if (m_held_locks.contains(group.name())) {
        return true;
    }
    auto const has_available_holder =
        std::find(with_store.begin(), with_store.end(), assessment.lock_holder) != with_store.end();
    if (has_available_holder) {
        return false;
    }
    auto candidates = with_store;
    candidates.push_back(m_membership->identity().name);
    return choose_first(group.name(), candidates) == m_membership->identity().name;
}

void takeover_service::start_takeover(database_group& group, takeover_cause cause)
{
    auto running = std::make_unique<takeover>();
    running->number = m_next_number++;
    running->cause = cause;
    running->started_at = m_kernel.now();
    auto const newest = group.leader_positions().newest();
    running->term = std::max({group.confirmed_term(), group.highest_acknowledged().term,
                              newest ? newest->position.term : 0}) +
                    1;
    auto const* const leader = group.leader();
    running->old_leader = leader != nullptr ? leader->entry.id : group.last_leader();
    auto const name = group.name();
    m_takeovers[name] = std::move(running);
    Json::Value fields(Json::objectValue);
    fields["cause"] = std::string(find_name(takeover_cause_names, cause));
    fields["state"] = group.dump();
    log("starting a takeover to replace the leader of the group", name, std::move(fields));
    stop_replicas(name);
}

void takeover_service::stop_replicas(std::string const& name)
{
    auto* const running = find_takeover(name);
    auto& group = m_groups->group(name);
    running->commands_sent_at = m_kernel.now();
    running->expected_responders.clear();
    std::map<std::string, member_entry> targets;
    for (auto const& [id, member] : group.members()) {
        targets[id] = member.entry;
    }
    for (auto const& [id, former] : group.former_members()) {
        targets[id] = former.entry;
        if (former.entry.is_draining && is_handover(running->cause)) {
            // It announced that it would leave, and then left the directory.
            running->not_running.insert(id);
        }
    }
    for (auto const& [id, entry] : targets) {
        member_command command;
        command.term = running->term;
        if (id == running->old_leader) {
            // Such a leader serves until the replicas have stopped and a successor is chosen.
            auto const still_serves = is_handover(running->cause) && !running->old_leader_expires_at;
            if (still_serves || running->is_old_leader_stopped) {
                continue;
            }
            // An old leader that is still reachable must not acknowledge further commits.
            command.kind = command_kind::step_down;
            send_command(name, entry, std::move(command));
            continue;
        }
        running->expected_responders.insert(id);
        if (!running->responses.contains(id)) {
            command.kind = command_kind::stop_receiving;
            send_command(name, entry, std::move(command));
        }
    }
}

void takeover_service::send_command(std::string const& name, member_entry const& member,
                                    member_command command)
{
    auto* const running = find_takeover(name);
    if (running == nullptr) {
        return;
    }
    auto const id = member.id;
    auto& connection = running->connections[id];
    auto const number = running->number;
    auto const send = [this, name, id, number,
                       command = std::move(command)](backend_connection_pointer const& open) {
        open->send({command}, command_timeout,
                   [this, name, id, number](std::vector<member_answer> const& answers) {
                       if (find_takeover(name, number) != nullptr) {
                           handle_replication_status(name, id, answers.front());
                       }
                   });
    };
    if (connection && connection->is_open()) {
        send(connection);
        return;
    }
    if (connection && !connection->is_closed()) {
        return;
    }
    connection = std::make_shared<backend_connection>(
        m_kernel, m_connection_hooks, backend_connection_target{member.address, name, id, control_account});
    connection->open(command_timeout, [this, name, id, number, send,
                                       started_at = m_kernel.now()](member_answer const& answer) {
        auto* const current = find_takeover(name, number);
        if (current == nullptr) {
            return;
        }
        if (answer.is_ok()) {
            send(current->connections[id]);
            return;
        }
        if (m_kernel.now() - started_at < command_timeout) {
            record_unanswered(name, id, answer);
        }
    });
}

void takeover_service::record_unanswered(std::string const& name, std::string const& member,
                                         member_answer const& answer)
{
    // A connection that is refused at once shows that the member is not running on its machine; a missing
    // answer may be due to a partition.
    auto const is_not_running =
        answer.error == member_error::refused || answer.error == member_error::wrong_member;
    if (is_not_running && find_takeover(name)->not_running.insert(member).second) {
        Json::Value fields(Json::objectValue);
        fields["member"] = member;
        log("member refused the connection; treating it as not running", name, std::move(fields));
        promote_if_chosen(name);
    }
}

void takeover_service::handle_replication_status(std::string const& name, std::string const& member,
                                                 member_answer const& answer)
{
    auto* const running = find_takeover(name);
    if (!answer.is_ok() || !answer.replication) {
        Json::Value fields(Json::objectValue);
        fields["member"] = member;
        fields["error"] = answer.error ? std::string(find_name(member_error_names, *answer.error))
                                       : "the answer contains no replication status";
        log("member did not report its replication status for the takeover", name, std::move(fields));
        return;
    }
    auto const& replication = *answer.replication;
    log_replication_status(name, member, replication);
    if (member == running->old_leader) {
        running->is_old_leader_stopped = true;
        running->responses[member] = {replication.received, true, true};
    }
    else if (replication.role == member_role::primary && replication.term >= running->term) {
        m_groups->group(name).apply_reported_leader(member, replication.term);
        end_takeover(name, "another member already leads the new term or a later one", true);
        return;
    }
    else {
        auto& group = m_groups->group(name);
        auto const* const known = group.find_member(member);
        running->responses[member] = {replication.received, known == nullptr || known->entry.is_draining,
                                      known == nullptr || group.is_evacuated(*known),
                                      known != nullptr && group.is_warming_up(*known)};
    }
    promote_if_chosen(name);
}

void takeover_service::log_replication_status(std::string const& name, std::string const& member,
                                              replication_status const& replication) const
{
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["is_primary"] = replication.role == member_role::primary;
    fields["known_term"] = Json::UInt64(replication.term);
    fields["term"] = Json::UInt64(replication.received.term);
    fields["position"] = Json::UInt64(replication.received.position);
    fields["stopped_at_term"] = Json::UInt64(replication.stopped_at_term);
    log("member reported its replication status for the takeover", name, std::move(fields));
}

void takeover_service::log_members_at_order(std::string const& name)
{
    for (auto const& [id, connection] : find_takeover(name)->connections) {
        member_command query;
        query.kind = command_kind::status;
        connection->send({query}, command_timeout,
                         [this, name, id = id](std::vector<member_answer> const& answers) {
                             if (answers.front().is_ok() && answers.front().replication) {
                                 log_replication_status(name, id, *answers.front().replication);
                             }
                         });
    }
}

void takeover_service::promote_if_chosen(std::string const& name)
{
    auto* const running = find_takeover(name);
    if (running == nullptr || running->is_promoting) {
        return;
    }
    auto const chosen = choose_successor(m_groups->group(name), *running);
    if (!chosen || !is_old_leader_out_of_use(name)) {
        return;
    }
    running->is_promoting = true;
    Json::Value fields(Json::objectValue);
    fields["member"] = *chosen;
    fields["term"] = Json::UInt64(running->responses[*chosen].received.term);
    fields["position"] = Json::UInt64(running->responses[*chosen].received.position);
    fields["heard"] = Json::UInt64(running->responses.size());
    fields["after_ms"] = to_milliseconds(m_kernel.now() - running->started_at);
    log("chose the member to promote as successor", name, std::move(fields));
    acquire_lock(name, *chosen);
}

bool takeover_service::is_old_leader_out_of_use(std::string const& name)
{
    auto* const running = find_takeover(name);
    if (m_deposes_replaced_leaders || running->is_old_leader_stopped) {
        return true;
    }
    auto const now = m_kernel.now();
    if (!running->old_leader_expires_at) {
        running->old_leader_expires_at = now + leadership_proof_lifetime + leadership_proof_margin;
        stop_replicas(name);
        m_kernel.start_timer(*running->old_leader_expires_at - now, [this, name, number = running->number] {
            if (find_takeover(name, number) != nullptr) {
                promote_if_chosen(name);
            }
        });
    }
    return now >= *running->old_leader_expires_at;
}

std::optional<std::string> takeover_service::choose_successor(database_group& group,
                                                              takeover const& running) const
{
    // An old leader that stepped down holds all acknowledged commits.
    auto const old_leader = running.responses.find(running.old_leader);
    auto const has_old_leader = old_leader != running.responses.end();
    auto candidates = running.expected_responders;
    // The replicas hold all acknowledged commits, so a leader that is to be relieved need not lead again.
    auto const may_lead_again =
        !is_handover(running.cause) ||
        std::any_of(candidates.begin(), candidates.end(),
                    [&running](std::string const& id) { return !running.responses.contains(id); });
    if (has_old_leader && may_lead_again) {
        candidates.insert(running.old_leader);
    }
    log_position furthest;
    std::size_t unanswered = 0;
    std::size_t silent = 0;
    for (auto const& id : candidates) {
        auto const found = running.responses.find(id);
        if (found == running.responses.end()) {
            ++unanswered;
            silent += running.not_running.contains(id) ? 0 : 1;
            continue;
        }
        furthest = std::max(furthest, found->second.received);
    }
    std::optional<std::string> best;
    for (auto const& id : candidates) {
        auto const found = running.responses.find(id);
        auto const is_eligible = found != running.responses.end() && found->second.received == furthest &&
                                 group.members().contains(id);
        if (!is_eligible) {
            continue;
        }
        auto const preference = [](member_response const& response) {
            return std::tuple(response.is_draining, response.is_evacuated, response.is_warming_up);
        };
        if (!best || preference(found->second) < preference(running.responses.at(*best))) {
            best = id;
        }
    }
    if (!best || unanswered == 0 || has_old_leader) {
        return best;
    }
    if (running.cause == takeover_cause::evacuated) {
        // The leader still serves, and a replica that returns receives its commits and lets it acknowledge
        // them while the others are stopped.
        return std::nullopt;
    }
    // A replica without a response may be the only one that holds some acknowledged commits, so another
    // replica may lead only once this is ruled out. While that replica or the old leader is unresponsive,
    // both may still be serving callers on the other side of a partition.
    auto const is_leader_silent =
        !is_handover(running.cause) && !running.not_running.contains(running.old_leader);
    auto const elapsed = m_kernel.now() - running.started_at;
    auto const timeout = silent > 0 || is_leader_silent ? silent_replica_timeout : stopped_replica_timeout;
    if (elapsed < timeout) {
        return std::nullopt;
    }
    return furthest >= m_reports->assessment_of(group).highest ? best : std::nullopt;
}

void takeover_service::acquire_lock(std::string const& group, std::string const& member)
{
    auto* const running = find_takeover(group);
    running->lock_acquired_at = m_kernel.now();
    m_lock.acquire(
        m_membership->identity().name, group, member, m_deposes_replaced_leaders,
        [this, group, member, number = running->number](absl::StatusOr<std::uint64_t> const& fence) {
            auto* const current = find_takeover(group, number);
            if (current == nullptr) {
                return;
            }
            if (!fence.ok()) {
                end_takeover(group,
                             absl::IsAborted(fence.status()) ? std::string(fence.status().message())
                                                             : "store did not confirm the failover lock",
                             true);
                return;
            }
            current->fence = *fence;
            m_held_locks.insert(group);
            m_reports->send_report_now();
            send_order(group, member);
        });
}

bool takeover_service::may_order(std::string const& group, std::string const& member) const
{
    // Without a check of fences, a delayed order for another member would replace the new leader.
    auto const found = m_unanswered_orders.find(group);
    return m_deposes_replaced_leaders || found == m_unanswered_orders.end() ||
           found->second.member == member || m_kernel.now() - found->second.sent_at >= max_order_delay;
}

void takeover_service::send_order(std::string const& group, std::string const& member)
{
    auto* const running = find_takeover(group);
    if (running == nullptr) {
        return;
    }
    if (++running->order_attempts > max_order_attempts) {
        end_takeover(group, "platform did not accept a promotion order within the maximum number of attempts",
                     true);
        return;
    }
    if (!may_order(group, member)) {
        end_takeover(group, "platform may still carry out an unanswered order for another member", true);
        return;
    }
    if (m_kernel.now() - running->lock_acquired_at > max_lock_age) {
        // Another VM may have acquired the lock in the meantime.
        acquire_lock(group, member);
        return;
    }
    promotion_order order{group, member, m_membership->identity().name, running->fence};
    m_unanswered_orders[group] = {member, m_kernel.now()};
    m_promote(order, m_kernel.guard<absl::Status>(
                         [this, group, member, number = running->number](absl::Status const& status) {
                             if (find_takeover(group, number) != nullptr) {
                                 handle_order_answer(group, member, status);
                             }
                         }));
}

void takeover_service::handle_order_answer(std::string const& group, std::string const& member,
                                           absl::Status const& status)
{
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["fence"] = Json::UInt64(find_takeover(group)->fence);
    fields["answer"] = status.ok() ? "accepted" : std::string(status.message());
    log("platform answered the promotion order", group, std::move(fields));
    // Earlier attempts were not answered and may still be carried out.
    if (find_takeover(group)->order_attempts == 1 && (status.ok() || absl::IsFailedPrecondition(status))) {
        m_unanswered_orders.erase(group);
    }
    if (status.ok()) {
        log_members_at_order(group);
        await_leadership(group, member, 0);
        return;
    }
    if (absl::IsFailedPrecondition(status)) {
        // The fence is too low or the member is not running; the next takeover acquires the lock again.
        m_held_locks.erase(group);
        end_takeover(group, "platform refused the promotion order", true);
        return;
    }
    m_kernel.start_timer(order_retry_delay, [this, group, member, number = find_takeover(group)->number] {
        if (find_takeover(group, number) != nullptr) {
            send_order(group, member);
        }
    });
}

void takeover_service::await_leadership(std::string const& name, std::string const& member, int tries)
{
    auto* const running = find_takeover(name);
    auto& group = m_groups->group(name);
    auto const* const known = group.find_member(member);
    if (known != nullptr && known->confirmed_term >= running->term) {
        end_takeover(name, "done", false);
        return;
    }
    if (tries >= max_leadership_polls) {
        end_takeover(name, "successor did not confirm its leadership in time", true);
        return;
    }
    group.probe_member(member, control_account);
    m_kernel.start_timer(leadership_poll_period, [this, name, member, tries, number = running->number] {
        if (find_takeover(name, number) != nullptr) {
            await_leadership(name, member, tries + 1);
        }
    });
}

void takeover_service::end_takeover(std::string const& name, std::string_view outcome, bool must_resume)
{
    auto const found = m_takeovers.find(name);
    if (found == m_takeovers.end()) {
        return;
    }
    auto const running = std::move(found->second);
    m_takeovers.erase(found);
    m_next_takeover_at[name] = m_kernel.now() + pause_after_end;
    Json::Value fields(Json::objectValue);
    fields["outcome"] = std::string(outcome);
    fields["after_ms"] = to_milliseconds(m_kernel.now() - running->started_at);
    log("takeover ended", name, std::move(fields));
    m_reports->send_report_now();
    if (!must_resume) {
        return;
    }
    for (auto const& [member, connection] : running->connections) {
        if (!connection->is_open() || member == running->old_leader) {
            continue;
        }
        member_command resume;
        resume.kind = command_kind::resume_receiving;
        connection->send({resume}, command_timeout,
                         [open = connection](std::vector<member_answer> const&) {});
    }
}

takeover_service::takeover* takeover_service::find_takeover(std::string const& group, std::uint64_t number)
{
    auto const found = m_takeovers.find(group);
    if (found == m_takeovers.end() || (number != 0 && found->second->number != number)) {
        return nullptr;
    }
    return found->second.get();
}

void takeover_service::log(std::string_view message, std::string const& group, Json::Value fields) const
{
    fields["group"] = group;
    m_kernel.log(log_level::info, service_name, message, std::move(fields));
}

} // namespace greengagehitch
