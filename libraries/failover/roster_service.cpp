#include "failover/roster_service.h"

#include <algorithm>
#include <utility>

#include "failover/watcher_choice.h"
#include "members/member_drain.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(250);
/// Interval at which the keeper of a roster is chosen again while the group's members stay the same.
constexpr duration choice_period = std::chrono::seconds(2);
/// Age above which the configuration does not show that this VM reaches the store.
constexpr duration max_store_silence = std::chrono::seconds(3);
/// Interval at which the keeper reads the row again. Two VMs may take themselves for the keeper while one
/// hears nothing of the other.
constexpr duration read_period = std::chrono::seconds(10);
/// Delay between a call to the store that failed and the next one.
constexpr duration retry_delay = std::chrono::seconds(1);
constexpr duration probe_period = std::chrono::milliseconds(500);
/// Interval at which a member is probed that runs although the directory does not list it.
constexpr duration running_probe_period = std::chrono::seconds(2);
/// Shorter than the period, so that each attempt has a result.
constexpr duration probe_timeout = std::chrono::milliseconds(400);
/// Time after which a member whose address refuses connections is taken for ended for good.
constexpr duration ended_member_memory = std::chrono::minutes(10);
/// Time that a member may take beyond its drain time until it ends.
constexpr duration max_drain_overtime = std::chrono::seconds(15);
/// Time for which no attempt to connect to a member may have been answered that is taken for ended as
/// planned.
constexpr duration min_silence = std::chrono::seconds(3);
/// Placeholder account for connections that belong to no client account.
constexpr auto control_account = "-";

std::string row_key(std::string const& group)
{
    return std::string(roster_key_prefix) + group;
}

/// Returns whether the directory has an entry of the member now.
bool is_listed(database_group const& group, std::string const& member)
{
    auto const found = group.members().find(member);
    return found != group.members().end() && !found->second.entry.absent_since;
}

bool is_address_listed(database_group const& group, endpoint const& address)
{
    return std::any_of(group.members().begin(), group.members().end(), [&](auto const& each) {
        return !each.second.entry.absent_since && each.second.entry.address == address;
    });
}

std::set<std::string> listed_members(database_group const& group)
{
    std::set<std::string> ids;
    for (auto const& [id, member] : group.members()) {
        if (!member.entry.absent_since) {
            ids.insert(id);
        }
    }
    return ids;
}

/// Returns whether the log of a replica that the directory lists reaches a position.
bool is_held_by_replica(database_group const& group, log_position position)
{
    auto const* const leader = group.leader();
    return leader != nullptr &&
           std::any_of(group.members().begin(), group.members().end(), [&](auto const& each) {
               return each.first != leader->entry.id && !each.second.entry.absent_since &&
                      each.second.applied >= position;
           });
}

} // namespace

void roster_service::start()
{
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_reports = &m_kernel.find<report_service>(report_service::service_name);
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value roster_service::dump() const
{
    Json::Value dumped(Json::objectValue);
    for (auto const& [group, state] : m_states) {
        if (!state.is_keeper || !state.stored) {
            continue;
        }
        auto& fields = dumped[group];
        fields["version"] = Json::UInt64(state.stored->version);
        for (auto const& [id, entry] : state.stored->roster.entries()) {
            fields[entry.log_bound ? "bounded" : "members"].append(id);
        }
    }
    return dumped;
}

void roster_service::read(std::string const& group, roster_callback done) const
{
    m_platform.read_row(
        row_key(group),
        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>([done = std::move(done)](auto const& row) {
            if (!row.ok()) {
                done(row.status());
                return;
            }
            if (!*row || (*row)->version == 0) {
                done(member_roster());
                return;
            }
            auto roster = member_roster::try_decode((*row)->value);
            done(roster ? absl::StatusOr<member_roster>(*std::move(roster))
                        : absl::DataLossError("roster cannot be decoded"));
        }));
}

void roster_service::tick()
{
    if (m_membership->is_leaving()) {
        return;
    }
    for (auto const& [name, group] : m_groups->groups()) {
        check_group(*group);
    }
}

bool roster_service::is_keeper_of(std::string const& group) const
{
    auto const age = m_fleet->configuration_age();
    if (!age || *age >= max_store_silence) {
        return false;
    }
    auto candidates = m_reports->peers_with_store();
    candidates.push_back(m_membership->identity().name);
    return choose_first(group, candidates) == m_membership->identity().name;
}

void roster_service::check_group(database_group& group)
{
    auto& state = m_states[group.name()];
    auto const now = m_kernel.now();
    auto listed = listed_members(group);
    if (listed != state.listed || now >= state.next_choice_at) {
        state.listed = std::move(listed);
        state.next_choice_at = now + choice_period;
        state.is_keeper = is_keeper_of(group.name());
    }
    if (!state.is_keeper) {
        state.stored.reset();
        state.wanted.reset();
        state.undecodable_since.reset();
        state.probes.clear();
        return;
    }
    if (state.stored) {
        probe_unlisted_members(group, state);
    }
    if (state.is_calling || now < state.next_call_at) {
        return;
    }
    if (!state.stored || now >= state.next_read_at) {
        read_row(group.name());
        return;
    }
    auto const updated = updated_roster(group, state);
    // A write of this VM or of the keeper before it that was not answered may be carried out for as long as
    // the row has the version that it was made for, so the row is written once even if nothing has changed.
    if (updated != state.stored->roster || !state.stored->is_settled) {
        write_row(group.name(), updated);
    }
}

void roster_service::read_row(std::string const& group)
{
    m_states[group].is_calling = true;
    m_platform.read_row(row_key(group), m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                                            [this, group, asked_at = m_kernel.now()](auto const& row) {
                                                auto& state = m_states[group];
                                                state.is_calling = false;
                                                if (!row.ok()) {
                                                    state.next_call_at = m_kernel.now() + retry_delay;
                                                    return;
                                                }
                                                auto const read = row->value_or(table_row{});
                                                if (read.read_at_ms != 0) {
                                                    state.clock = {read.read_at_ms, asked_at, m_kernel.now()};
                                                }
                                                handle_row(group, read);
                                            }));
}

void roster_service::handle_row(std::string const& group, table_row const& row)
{
    auto& state = m_states[group];
    auto const now = m_kernel.now();
    state.next_read_at = now + read_period;
    if (state.stored && state.stored->version == row.version) {
        return;
    }
    auto roster = row.version == 0 ? std::optional(member_roster()) : member_roster::try_decode(row.value);
    if (!roster) {
        if (!state.undecodable_since) {
            state.undecodable_since = now;
            Json::Value fields(Json::objectValue);
            fields["version"] = Json::UInt64(row.version);
            log("roster of the group cannot be decoded", group, std::move(fields));
        }
        // While no leader answers, a takeover must not take the listed members for all.
        auto const newest = m_groups->group(group).leader_positions().newest();
        if (!state.wanted && (!newest || newest->sent_at < *state.undecodable_since)) {
            m_groups->group(group).refresh_leader_position(control_account);
            state.next_call_at = now + retry_delay;
            return;
        }
    }
    state.undecodable_since.reset();
    auto stored = roster.value_or(member_roster());
    if (state.wanted) {
        stored.merge(*state.wanted);
    }
    state.stored = {row.version, std::move(stored), false};
}

void roster_service::write_row(std::string const& group, member_roster const& roster)
{
    auto& writing = m_states[group];
    writing.is_calling = true;
    writing.wanted = roster;
    Json::Value fields(Json::objectValue);
    for (auto const& [id, entry] : roster.entries()) {
        fields[entry.log_bound ? "bounded" : "members"].append(id);
    }
    m_platform.put_row(row_key(group), writing.stored->version, roster.encode(),
                       m_kernel.guard<absl::StatusOr<std::uint64_t>>(
                           [this, group, roster, written = std::move(fields)](auto const& version) {
                               auto& state = m_states[group];
                               state.is_calling = false;
                               if (version.ok()) {
                                   state.stored = {*version, roster, true};
                                   log("roster of the group was written", group, written);
                                   return;
                               }
                               // Another VM may have written it, or this write may still take effect.
                               state.stored.reset();
                               state.next_call_at = m_kernel.now() + retry_delay;
                               auto failed = written;
                               failed["reason"] = std::string(version.status().message());
                               log("roster of the group was not written", group, std::move(failed));
                           }));
}

member_roster roster_service::updated_roster(database_group& group, group_state& state)
{
    auto roster = state.stored->roster;
    auto const store_time_ms =
        state.clock ? std::optional(state.clock->latest_ms(m_kernel.now())) : std::nullopt;
    for (auto const& [id, member] : group.members()) {
        if (!member.entry.absent_since) {
            roster.add_listed(member.entry, store_time_ms);
        }
    }
    add_former_members(group, roster);
    for (auto const& [id, entry] : state.stored->roster.entries()) {
        // The member that now runs at the address has the log, and an entry of its own.
        if (!is_listed(group, id) && is_address_listed(group, entry.address)) {
            roster.remove(id);
        }
    }
    for (auto const& [id, probed] : state.probes) {
        update_unlisted(group, state, id, probed, roster);
    }
    return roster;
}

void roster_service::update_unlisted(database_group& group, group_state const& state, std::string const& id,
                                     probe const& probed, member_roster& roster) const
{
    auto const found = state.stored->roster.entries().find(id);
    if (found == state.stored->roster.entries().end()) {
        return;
    }
    auto const& entry = found->second;
    if (update_planned_leave(group, id, entry, probed, planned_end(state, entry), roster)) {
        return;
    }
    auto const& evidence = probed.evidence;
    if (evidence.is_contradicted()) {
        roster.set_log_bound(id, std::nullopt);
        return;
    }
    auto const since = evidence.refused_since();
    if (!since || !evidence.is_absent(m_reports->heard_zone_since(entry.availability_zone, *since))) {
        return;
    }
    auto const newest = group.leader_positions().newest();
    auto const& bound = entry.log_bound;
    if (bound && m_kernel.now() - *since >= ended_member_memory && is_held_by_replica(group, *bound)) {
        roster.remove(id);
    }
    else if (!bound && newest && newest->sent_at >= *since) {
        // What the member received before it ended is in the leader's log.
        roster.set_log_bound(id, newest->position);
    }
    else if (!bound) {
        group.refresh_leader_position(control_account);
    }
}

bool roster_service::update_planned_leave(database_group& group, std::string const& id,
                                          roster_entry const& entry, probe const& probed,
                                          std::optional<monotonic_time> ended_at, member_roster& roster) const
{
    // A process that answers later than the one that drained has ended is another one, which may receive.
    if (probed.answered_at && (ended_at ? *probed.answered_at >= *ended_at : entry.has_left)) {
        roster.withdraw_leave(id);
        return true;
    }
    auto const now = m_kernel.now();
    auto const& since = probed.unanswered_since;
    auto const is_silent =
        since && now - *since >= min_silence && m_reports->heard_zone_since(entry.availability_zone, *since);
    if (!ended_at || now < *ended_at || !is_silent) {
        return entry.has_left;
    }
    auto const newest = group.leader_positions().newest();
    if (entry.has_left) {
        if (now - *since >= ended_member_memory && is_held_by_replica(group, *entry.log_bound)) {
            roster.remove(id);
        }
    }
    else if (newest && newest->sent_at >= std::max(*ended_at, *since)) {
        // What the member received before it ended is in the leader's log.
        roster.set_left(id, newest->position);
    }
    else {
        group.refresh_leader_position(control_account);
        return false;
    }
    return true;
}

std::optional<monotonic_time> roster_service::planned_end(group_state const& state, roster_entry const& entry)
{
    if (!entry.leave || !state.clock) {
        return std::nullopt;
    }
    auto const longest =
        std::chrono::ceil<std::chrono::milliseconds>(member_drain_limit + max_drain_overtime);
    return state.clock->surely_reached_at(entry.leave->reported_at_ms + longest.count());
}

std::int64_t roster_service::store_clock::latest_ms(monotonic_time now) const
{
    return time_ms + std::chrono::ceil<std::chrono::milliseconds>(now - asked_at).count();
}

monotonic_time roster_service::store_clock::surely_reached_at(std::int64_t time) const
{
    return answered_at + std::chrono::milliseconds(time - time_ms);
}

void roster_service::add_former_members(database_group const& group, member_roster& roster) const
{
    auto const add = [&](member_entry const& entry) {
        if (!is_address_listed(group, entry.address)) {
            roster.add_former(entry);
        }
    };
    for (auto const& [id, member] : group.members()) {
        if (member.entry.absent_since) {
            add(member.entry);
        }
    }
    for (auto const& [id, former] : group.former_members()) {
        if (m_kernel.now() - former.removed_at < ended_member_memory) {
            add(former.entry);
        }
    }
}

void roster_service::probe_unlisted_members(database_group const& group, group_state& state)
{
    auto const now = m_kernel.now();
    auto const& entries = state.stored->roster.entries();
    std::erase_if(state.probes, [&](auto const& each) {
        auto const entry = entries.find(each.first);
        return entry == entries.end() || is_listed(group, each.first) ||
               is_address_listed(group, entry->second.address);
    });
    for (auto const& [id, entry] : entries) {
        // A listed member at the address has the log, and an entry of its own.
        if (is_listed(group, id) || is_address_listed(group, entry.address)) {
            continue;
        }
        auto& probed = state.probes[id];
        if (probed.connection && probed.connection->is_open()) {
            probed.connection.reset();
        }
        if (now < probed.next_at) {
            continue;
        }
        probed.next_at = now + probe_period;
        probed.connection = std::make_shared<backend_connection>(
            m_kernel, m_connection_hooks,
            backend_connection_target{entry.address, group.name(), {}, control_account});
        probed.connection->open(probe_timeout,
                                m_kernel.guard<member_answer>(
                                    [this, name = group.name(), id = id, started_at = now,
                                     opened = std::weak_ptr(probed.connection)](member_answer const& answer) {
                                        // The connection reports its end also when it is destroyed.
                                        if (!opened.expired()) {
                                            handle_probe(name, id, answer, started_at);
                                        }
                                    }));
    }
}

void roster_service::handle_probe(std::string const& group, std::string const& member,
                                  member_answer const& answer, monotonic_time started_at)
{
    auto const state = m_states.find(group);
    if (state == m_states.end() || !state->second.probes.contains(member)) {
        return;
    }
    auto& probed = state->second.probes.at(member);
    auto const was_refused = probed.evidence.refused_since().has_value();
    auto const was_contradicted = probed.evidence.is_contradicted();
    // A member of another group at the address shows as well that none of this group runs there.
    auto const is_refused = answer.is_refused_by_host || answer.error == member_error::wrong_member;
    if (is_refused) {
        probed.evidence.record_refusal(started_at);
    }
    else {
        probed.evidence.record_other_result();
    }
    // An attempt that fails at once in another way says nothing, for example while this VM lacks descriptors.
    auto const had_no_result =
        answer.error == member_error::refused && m_kernel.now() - started_at >= probe_timeout;
    if (is_refused || had_no_result) {
        probed.unanswered_since = probed.unanswered_since.value_or(started_at);
    }
    else {
        probed.unanswered_since.reset();
    }
    if (answer.error != member_error::refused && !is_refused) {
        probed.answered_at = m_kernel.now();
    }
    if (answer.is_ok()) {
        probed.next_at = m_kernel.now() + running_probe_period;
    }
    if (is_refused ? was_refused : was_contradicted) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["member"] = member;
    fields["is_running"] = answer.is_ok();
    fields["error"] = answer.error ? std::string(find_name(member_error_names, *answer.error)) : "";
    log("member that the directory does not list was probed", group, std::move(fields));
}

void roster_service::log(std::string_view message, std::string const& group, Json::Value fields) const
{
    fields["group"] = group;
    m_kernel.log(log_level::info, service_name, message, std::move(fields));
}

} // namespace greengagehitch
