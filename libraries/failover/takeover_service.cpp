#include "failover/takeover_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "failover/watcher_choice.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(100);
/// Time for which a group may have no known leader before a takeover starts, since the leader may be listed
/// in the directory again.
constexpr duration vanished_leader_timeout = std::chrono::milliseconds(1'500);
/// Minimum time between the end of a takeover that interfered with the group and the start of the next one.
constexpr duration pause_after_end = std::chrono::milliseconds(1'500);
/// Interval at which it is decided anew whether this VM has to act for a group.
constexpr duration responsibility_period = std::chrono::milliseconds(300);
/// Time after the start of this VM within which it hears of the other VMs. Before, each VM would take itself
/// for the one that has to act.
constexpr duration peer_discovery_time = std::chrono::seconds(1);
constexpr duration lock_read_retry_delay = std::chrono::milliseconds(500);
/// Age of the configuration from which on the store counts as unavailable, so that its answer is not awaited.
constexpr duration store_contact_time = std::chrono::seconds(2);
/// Placeholder account for probes, which belong to no client account.
constexpr auto control_account = "-";

} // namespace

void takeover_service::start()
{
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_reports = &m_kernel.find<report_service>(report_service::service_name);
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_rosters = &m_kernel.find<roster_service>(roster_service::service_name);
    m_brokers = &m_kernel.find<broker_service>(broker_service::service_name);
    m_reports->set_holds_failover_lock(
        [this](std::string const& group) { return m_held_locks.contains(group); });
    m_order_lookup.emplace(order_lookup::dependencies{
        m_kernel, m_lock, *m_groups, *m_brokers,
        [this] {
            auto const age = m_fleet->configuration_age();
            return age && *age < store_contact_time;
        },
        [this](std::string const& group) { return has_outstanding_order(group); }});
    m_groups->set_order_lookup(
        [this](std::string const& group, std::string const& leader, promotion_guard::lookup_callback done) {
            m_order_lookup->run(group, leader, std::move(done));
        });
    m_started_at = m_kernel.now();
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value takeover_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& group : m_held_locks) {
        state["held"].append(group);
    }
    for (auto const& [group, running] : m_takeovers) {
        state["running"][group] = std::string(find_name(takeover_cause_names, running->cause()));
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
    if (m_deposes_replaced_leaders) {
        watch_responsibility(group);
    }
    if (auto const running = m_takeovers.find(group.name()); running != m_takeovers.end()) {
        auto const current = running->second;
        current->tick();
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
        if (has_outstanding_order(group.name())) {
            return takeover_cause::vanished;
        }
        auto const since = m_leaderless_since.emplace(group.name(), m_kernel.now()).first->second;
        group.refresh_leader_position(control_account);
        return m_kernel.now() - since >= vanished_leader_timeout ? std::optional(takeover_cause::vanished)
                                                                 : std::nullopt;
    }
    m_leaderless_since.erase(group.name());
    if (has_outstanding_order(group.name())) {
        return takeover_cause::suspected;
    }
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

bool takeover_service::has_outstanding_order(std::string const& group) const
{
    auto const last = m_last_orders.find(group);
    return m_deposes_replaced_leaders && last != m_last_orders.end() && last->second &&
           last->second->may_be_carried_out(m_kernel.now());
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
    auto const name = group.name();
    auto const newest = group.leader_positions().newest();
    auto const term = std::max({group.confirmed_term(), group.highest_acknowledged().term,
                                newest ? newest->position.term : 0}) +
                      1;
    auto const* const leader = group.leader();
    group_takeover::dependencies dependencies{
        m_kernel,
        m_lock,
        m_connection_hooks,
        m_promote,
        *m_groups,
        m_membership->identity().name,
        m_deposes_replaced_leaders,
        [this, name] { return m_reports->assessment_of(m_groups->group(name)).highest; },
        [this, name, cause] {
            auto& current = m_groups->group(name);
            auto const current_cause = find_cause(current);
            return current.leader() == nullptr ||
                   (current_cause && is_handover(*current_cause) == is_handover(cause));
        },
        [this](std::string const& zone, monotonic_time time) {
            return m_reports->heard_zone_since(zone, time);
        },
        [this, name](roster_callback done) { m_rosters->read(name, std::move(done)); },
        [this](std::string const& zone) {
            return !m_brokers->is_silent(zone) && m_brokers->contact().is_undecided(zone);
        },
        m_last_orders[name],
        [this, name](monotonic_time time) {
            auto const& read_at = m_lock_watches[name].read_at;
            return read_at && *read_at >= time;
        },
        [this, name] { return should_start_takeover(m_groups->group(name)); },
        [this, name](bool is_held) {
            if (!is_held) {
                m_held_locks.erase(name);
                return;
            }
            m_held_locks.insert(name);
            m_reports->send_report_now();
        },
        [this, name] { handle_end(name); }};
    auto const started = std::make_shared<group_takeover>(
        name, cause, leader != nullptr ? leader->entry.id : group.last_leader(), term,
        std::move(dependencies));
    m_takeovers[name] = started;
    started->start();
    if (m_deposes_replaced_leaders) {
        request_lock_read(m_lock_watches[name]);
        read_lock(name);
    }
}

void takeover_service::watch_responsibility(database_group const& group)
{
    auto const now = m_kernel.now();
    if (now - m_started_at < peer_discovery_time) {
        return;
    }
    auto& watch = m_lock_watches[group.name()];
    if (now >= watch.next_check_at) {
        watch.next_check_at = now + responsibility_period;
        auto const was_responsible = std::exchange(watch.is_responsible, should_start_takeover(group));
        if (!watch.is_responsible && !m_takeovers.contains(group.name())) {
            watch.must_read = false;
        }
        else if (watch.is_responsible && !was_responsible) {
            request_lock_read(watch);
        }
    }
    if (watch.must_read && now >= watch.next_read_at) {
        read_lock(group.name());
    }
}

void takeover_service::request_lock_read(lock_watch& watch)
{
    watch.must_read = true;
    watch.requested_at = m_kernel.now();
}

void takeover_service::read_lock(std::string const& group)
{
    auto& watch = m_lock_watches[group];
    if (std::exchange(watch.is_reading, true)) {
        return;
    }
    auto const asked_at = m_kernel.now();
    m_lock.read(group, [this, group, asked_at](absl::StatusOr<std::optional<lock_claim>> const& claim) {
        auto& reading = m_lock_watches[group];
        reading.is_reading = false;
        if (!claim.ok()) {
            reading.next_read_at = m_kernel.now() + lock_read_retry_delay;
            return;
        }
        reading.must_read = reading.requested_at > asked_at;
        reading.read_at = asked_at;
        if (*claim) {
            handle_claim(group, **claim);
        }
        if (auto const running = m_takeovers.find(group); running != m_takeovers.end()) {
            auto const current = running->second;
            current->handle_lock_read();
        }
    });
}

void takeover_service::handle_claim(std::string const& group, lock_claim const& claim)
{
    auto& last = m_last_orders[group];
    if (claim.is_settled) {
        // No order under this fence or a lower one can be carried out any more.
        if (claim.is_marked && last && last->fence <= claim.fence) {
            Json::Value fields(Json::objectValue);
            fields["group"] = group;
            fields["member"] = last->member;
            fields["fence"] = Json::UInt64(last->fence);
            fields["settled_fence"] = Json::UInt64(claim.fence);
            m_kernel.log(log_level::info, service_name,
                         "promotion order that was not answered is void, since a claim was settled",
                         std::move(fields));
            last.reset();
        }
        return;
    }
    // The holder may have sent its order this long after the claim.
    unanswered_order const found{claim.member, m_kernel.now() - claim.age + max_lock_age, claim.fence};
    auto const is_own = m_held_locks.contains(group) && claim.holder == m_membership->identity().name;
    if (is_own || !found.may_be_carried_out(m_kernel.now()) || (last && last->fence >= found.fence)) {
        return;
    }
    last = found;
    Json::Value fields(Json::objectValue);
    fields["group"] = group;
    fields["holder"] = claim.holder;
    fields["member"] = claim.member;
    fields["fence"] = Json::UInt64(claim.fence);
    fields["age_ms"] = to_milliseconds(claim.age);
    m_kernel.log(log_level::info, service_name,
                 "another VM may have sent a promotion order that was not answered", std::move(fields));
}

void takeover_service::handle_end(std::string const& group)
{
    auto const ended = std::move(m_takeovers.at(group));
    m_takeovers.erase(group);
    // A search that disturbed nobody goes on at once, as the leader still has to be replaced. So does the
    // search for a successor of a new leader that leaves, which disturbs nobody, either.
    auto const next_cause = find_cause(m_groups->group(group));
    auto const must_be_handed_over = !is_handover(ended->cause()) && next_cause && is_handover(*next_cause);
    auto const needs_pause = ended->has_interfered() && !must_be_handed_over;
    m_next_takeover_at[group] = m_kernel.now() + (needs_pause ? pause_after_end : duration::zero());
    m_reports->send_report_now();
}

} // namespace greengagehitch
