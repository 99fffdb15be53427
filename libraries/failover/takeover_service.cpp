#include "failover/takeover_service.h"

#include <algorithm>
#include <utility>

#include "failover/watcher_choice.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(100);
/// A leader that is missing from the directory may be on its way back into it.
constexpr duration vanished_patience = std::chrono::milliseconds(1'500);
/// Members answer such questions without waiting for a slot; a second without one means out of reach.
constexpr duration question_timeout = std::chrono::milliseconds(500);
constexpr duration question_period = std::chrono::milliseconds(250);
/// Time after which a choice may be made without a replica that does not run. By then each VM has reported
/// the commits that it saw before the others were stopped.
constexpr duration dead_replica_patience = std::chrono::milliseconds(1'300);
/// The same for one that is silent. VMs behind a partition with it have stopped serving keyed requests by
/// then, since they cannot hear of withdrawn keys.
constexpr duration silent_replica_patience = std::chrono::seconds(11);
/// A takeover that did not get anywhere is given up, so that the group may go on as it was.
constexpr duration longest_takeover = std::chrono::seconds(14);
/// A leader that is about to leave still serves, but cannot commit while its replicas are stopped.
constexpr duration longest_handover = std::chrono::milliseconds(2'000);
constexpr duration pause_after_end = std::chrono::milliseconds(1'500);
constexpr duration order_retry = std::chrono::milliseconds(300);
constexpr int most_orders = 25;
constexpr duration lead_poll = std::chrono::milliseconds(60);
constexpr int most_lead_polls = 50;
/// An order is given only on a claim that is younger than this.
constexpr duration fresh_claim = std::chrono::milliseconds(1'400);
/// Connections for questions to members belong to no client account.
constexpr auto control_account = "-";

} // namespace

void takeover_service::start()
{
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_reports = &m_kernel.find<report_service>(report_service::service_name);
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_reports->set_holds_failover_lock([this](std::string const& group) { return m_held.contains(group); });
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value takeover_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& group : m_held) {
        state["held"].append(group);
    }
    for (auto const& [group, running] : m_running) {
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
        look_at(*group);
    }
}

void takeover_service::look_at(database_group& group)
{
    auto const now = m_kernel.now();
    if (auto* const running = find(group.name())) {
        auto const limit = running->cause == takeover_cause::draining && !running->is_ordering
                               ? longest_handover
                               : longest_takeover;
        if (now - running->started > limit) {
            end(group.name(), "given up", true);
        }
        else if (!running->is_ordering && now - running->questions_at >= question_period) {
            stop_replicas(group.name());
            decide(group.name());
        }
        return;
    }
    auto const cause = find_cause(group);
    if (!cause) {
        return;
    }
    auto const pause = m_not_before.find(group.name());
    if ((pause != m_not_before.end() && now < pause->second) || !is_my_turn(group)) {
        return;
    }
    begin(group, *cause);
}

std::optional<takeover_cause> takeover_service::find_cause(database_group& group)
{
    if (group.members().size() < 2) {
        return std::nullopt;
    }
    auto* const leader = group.leader();
    if (leader == nullptr) {
        auto const since = m_leaderless_since.emplace(group.name(), m_kernel.now()).first->second;
        group.refresh_evidence(control_account);
        return m_kernel.now() - since >= vanished_patience ? std::optional(takeover_cause::vanished)
                                                           : std::nullopt;
    }
    m_leaderless_since.erase(group.name());
    auto const opinion = m_reports->assessment_of(group);
    if (opinion.suspects * 2 > opinion.voters) {
        return takeover_cause::suspected;
    }
    auto const has_successor =
        std::any_of(group.members().begin(), group.members().end(), [leader](auto const& each) {
            return each.first != leader->entry.id && !each.second.entry.is_draining;
        });
    if (leader->entry.is_draining && has_successor) {
        return takeover_cause::draining;
    }
    return std::nullopt;
}

bool takeover_service::is_my_turn(database_group const& group) const
{
    auto const opinion = m_reports->assessment_of(group);
    auto const with_store = m_reports->peers_with_store();
    auto const own_age = m_fleet->configuration_age();
    auto const has_store = own_age && *own_age < std::chrono::seconds(3);
    if (!has_store || m_reports->is_cut_off()) {
        return false;
    }
    if (m_held.contains(group.name())) {
        return true;
    }
    auto const holder_is_fit =
        std::find(with_store.begin(), with_store.end(), opinion.duty_holder) != with_store.end();
    if (holder_is_fit) {
        return false;
    }
    auto candidates = with_store;
    candidates.push_back(m_membership->identity().name);
    return choose_first(group.name(), candidates) == m_membership->identity().name;
}

void takeover_service::begin(database_group& group, takeover_cause cause)
{
    auto running = std::make_unique<takeover>();
    running->number = m_next_number++;
    running->cause = cause;
    running->started = m_kernel.now();
    auto const newest = group.evidence().newest();
    running->term = std::max({group.proven_term(), group.highest_acknowledged().term,
                              newest ? newest->position.term : 0}) +
                    1;
    auto const* const leader = group.leader();
    running->old_leader = leader != nullptr ? leader->entry.id : group.last_leader();
    auto const name = group.name();
    m_running[name] = std::move(running);
    Json::Value fields(Json::objectValue);
    fields["cause"] = std::string(find_name(takeover_cause_names, cause));
    fields["state"] = group.dump();
    log("takeover begins", name, std::move(fields));
    stop_replicas(name);
}

void takeover_service::stop_replicas(std::string const& name)
{
    auto* const running = find(name);
    auto& group = m_groups->group(name);
    running->questions_at = m_kernel.now();
    running->expected.clear();
    std::map<std::string, member_entry> asked;
    for (auto const& [id, member] : group.members()) {
        asked[id] = member.entry;
    }
    for (auto const& [id, former] : group.former_members()) {
        asked[id] = former.entry;
    }
    for (auto const& [id, entry] : asked) {
        member_command command;
        command.term = running->term;
        if (id == running->old_leader) {
            if (running->cause == takeover_cause::draining || running->is_old_leader_stopped) {
                continue;
            }
            // An old leader that can still be reached must not go on acknowledging.
            command.kind = command_kind::step_down;
            ask(name, entry, std::move(command));
            continue;
        }
        running->expected.insert(id);
        if (!running->heard.contains(id)) {
            command.kind = command_kind::stop_receiving;
            ask(name, entry, std::move(command));
        }
    }
}

void takeover_service::ask(std::string const& name, member_entry const& member, member_command command)
{
    auto* const running = find(name);
    if (running == nullptr) {
        return;
    }
    auto const id = member.id;
    auto& link = running->links[id];
    auto const number = running->number;
    auto const send = [this, name, id, number, command = std::move(command)](link_pointer const& open) {
        open->send({command}, question_timeout,
                   [this, name, id, number](std::vector<member_answer> const& answers) {
                       if (find(name, number) != nullptr) {
                           take_standing(name, id, answers.front());
                       }
                   });
    };
    if (link && link->is_open()) {
        send(link);
        return;
    }
    if (link && !link->is_closed()) {
        return;
    }
    link = std::make_shared<member_link>(m_kernel, m_links,
                                         link_target{member.address, name, id, control_account});
    link->open(question_timeout,
               [this, name, id, number, send, started = m_kernel.now()](member_answer const& answer) {
                   auto* const current = find(name, number);
                   if (current == nullptr) {
                       return;
                   }
                   if (answer.is_ok()) {
                       send(current->links[id]);
                       return;
                   }
                   if (m_kernel.now() - started < question_timeout) {
                       note_unanswered(name, id, answer);
                   }
               });
}

void takeover_service::note_unanswered(std::string const& name, std::string const& member,
                                       member_answer const& answer)
{
    // A refusal at once comes from a machine on which the member does not run; silence may be a partition.
    auto const is_dead = answer.error == member_error::refused || answer.error == member_error::wrong_member;
    if (is_dead && find(name)->dead.insert(member).second) {
        Json::Value fields(Json::objectValue);
        fields["member"] = member;
        log("member does not run", name, std::move(fields));
        decide(name);
    }
}

void takeover_service::take_standing(std::string const& name, std::string const& member,
                                     member_answer const& answer)
{
    auto* const running = find(name);
    if (!answer.is_ok() || !answer.standing) {
        Json::Value fields(Json::objectValue);
        fields["member"] = member;
        fields["error"] = answer.error ? std::string(find_name(member_error_names, *answer.error)) : "no row";
        log("member did not answer the takeover", name, std::move(fields));
        return;
    }
    auto const& standing = *answer.standing;
    if (member == running->old_leader) {
        running->is_old_leader_stopped = true;
        running->heard[member] = {standing.received, true};
    }
    else if (standing.role == member_role::primary && standing.term >= running->term) {
        m_groups->group(name).hear_of_leader(member, standing.term);
        end(name, "another leader exists", true);
        return;
    }
    else {
        auto const* const known = m_groups->group(name).find_member(member);
        running->heard[member] = {standing.received, known == nullptr || known->entry.is_draining};
    }
    decide(name);
}

void takeover_service::decide(std::string const& name)
{
    auto* const running = find(name);
    if (running == nullptr || running->is_ordering) {
        return;
    }
    auto const chosen = choose(m_groups->group(name), *running);
    if (!chosen) {
        return;
    }
    running->is_ordering = true;
    Json::Value fields(Json::objectValue);
    fields["member"] = *chosen;
    fields["term"] = Json::UInt64(running->heard[*chosen].received.term);
    fields["position"] = Json::UInt64(running->heard[*chosen].received.position);
    fields["heard"] = Json::UInt64(running->heard.size());
    fields["after_ms"] = to_milliseconds(m_kernel.now() - running->started);
    log("successor is chosen", name, std::move(fields));
    claim_duty(name, *chosen);
}

std::optional<std::string> takeover_service::choose(database_group& group, takeover const& running) const
{
    // An old leader that stepped down holds everything that was acknowledged.
    auto const old_leader = running.heard.find(running.old_leader);
    auto const has_old_leader = old_leader != running.heard.end();
    auto candidates = running.expected;
    if (has_old_leader) {
        candidates.insert(running.old_leader);
    }
    log_position furthest;
    std::size_t unheard = 0;
    std::size_t silent = 0;
    for (auto const& id : candidates) {
        auto const found = running.heard.find(id);
        if (found == running.heard.end()) {
            ++unheard;
            silent += running.dead.contains(id) ? 0 : 1;
            continue;
        }
        furthest = std::max(furthest, found->second.received);
    }
    std::optional<std::string> best;
    for (auto const& id : candidates) {
        auto const found = running.heard.find(id);
        auto const is_fit = found != running.heard.end() && found->second.received == furthest &&
                            group.members().contains(id);
        if (is_fit && (!best || (running.heard.at(*best).is_draining && !found->second.is_draining))) {
            best = id;
        }
    }
    if (!best || unheard == 0 || has_old_leader) {
        return best;
    }
    // What a replica that was not heard may alone hold must be ruled out before another one leads. While it
    // or the old leader is silent, both may be at work behind a partition.
    auto const is_leader_silent =
        running.cause != takeover_cause::draining && !running.dead.contains(running.old_leader);
    auto const elapsed = m_kernel.now() - running.started;
    auto const patience = silent > 0 || is_leader_silent ? silent_replica_patience : dead_replica_patience;
    if (elapsed < patience) {
        return std::nullopt;
    }
    return furthest >= m_reports->assessment_of(group).highest ? best : std::nullopt;
}

void takeover_service::claim_duty(std::string const& group, std::string const& member)
{
    auto* const running = find(group);
    running->claimed_at = m_kernel.now();
    m_claims.claim(
        m_membership->identity().name, group, member,
        [this, group, member, number = running->number](absl::StatusOr<std::uint64_t> const& fence) {
            auto* const current = find(group, number);
            if (current == nullptr) {
                return;
            }
            if (!fence.ok()) {
                end(group,
                    absl::IsAborted(fence.status()) ? "another VM holds the duty" : "store did not answer",
                    true);
                return;
            }
            current->fence = *fence;
            m_held.insert(group);
            m_reports->send_report_now();
            give_order(group, member);
        });
}

void takeover_service::give_order(std::string const& group, std::string const& member)
{
    auto* const running = find(group);
    if (running == nullptr) {
        return;
    }
    if (++running->orders > most_orders) {
        end(group, "orders were not carried out", true);
        return;
    }
    if (m_kernel.now() - running->claimed_at > fresh_claim) {
        // Another VM may have taken the duty meanwhile.
        claim_duty(group, member);
        return;
    }
    promotion_order order{group, member, m_membership->identity().name, running->fence};
    m_promote(order, m_kernel.guard<absl::Status>(
                         [this, group, member, number = running->number](absl::Status const& status) {
                             if (find(group, number) != nullptr) {
                                 take_order_answer(group, member, status);
                             }
                         }));
}

void takeover_service::take_order_answer(std::string const& group, std::string const& member,
                                         absl::Status const& status)
{
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["fence"] = Json::UInt64(find(group)->fence);
    fields["answer"] = status.ok() ? "accepted" : std::string(status.message());
    log("promotion was ordered", group, std::move(fields));
    if (status.ok()) {
        await_lead(group, member, 0);
        return;
    }
    if (absl::IsFailedPrecondition(status)) {
        // The fence is too low, or the member is not running: the next attempt asks anew.
        m_held.erase(group);
        end(group, "order was refused", true);
        return;
    }
    m_kernel.start_timer(order_retry, [this, group, member, number = find(group)->number] {
        if (find(group, number) != nullptr) {
            give_order(group, member);
        }
    });
}

void takeover_service::await_lead(std::string const& name, std::string const& member, int tries)
{
    auto* const running = find(name);
    auto& group = m_groups->group(name);
    auto const* const known = group.find_member(member);
    if (known != nullptr && known->proven_term >= running->term) {
        end(name, "done", false);
        return;
    }
    if (tries >= most_lead_polls) {
        end(name, "successor does not lead", true);
        return;
    }
    group.note_overdue(member, control_account);
    m_kernel.start_timer(lead_poll, [this, name, member, tries, number = running->number] {
        if (find(name, number) != nullptr) {
            await_lead(name, member, tries + 1);
        }
    });
}

void takeover_service::end(std::string const& name, std::string_view outcome, bool must_resume)
{
    auto const found = m_running.find(name);
    if (found == m_running.end()) {
        return;
    }
    auto const running = std::move(found->second);
    m_running.erase(found);
    m_not_before[name] = m_kernel.now() + pause_after_end;
    Json::Value fields(Json::objectValue);
    fields["outcome"] = std::string(outcome);
    fields["after_ms"] = to_milliseconds(m_kernel.now() - running->started);
    log("takeover ends", name, std::move(fields));
    m_reports->send_report_now();
    if (!must_resume) {
        return;
    }
    for (auto const& [member, link] : running->links) {
        if (!link->is_open() || member == running->old_leader) {
            continue;
        }
        member_command resume;
        resume.kind = command_kind::resume_receiving;
        link->send({resume}, question_timeout, [open = link](std::vector<member_answer> const&) {});
    }
}

takeover_service::takeover* takeover_service::find(std::string const& group, std::uint64_t number)
{
    auto const found = m_running.find(group);
    if (found == m_running.end() || (number != 0 && found->second->number != number)) {
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
