#include "routing/group_directory.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

constexpr duration description_period = std::chrono::seconds(5);
constexpr duration missing_description_period = std::chrono::milliseconds(300);
constexpr double description_reads_per_second = 10;
constexpr duration open_timeout = std::chrono::seconds(1);
constexpr duration refresh_spacing = std::chrono::milliseconds(20);
constexpr duration refresh_timeout = std::chrono::milliseconds(400);
/// Number of connections, out of a VM's share, that are reserved for the control channel.
constexpr std::size_t control_connections = 1;

std::string group_row_key(std::string const& database)
{
    return "groups/" + database;
}

member_sample to_sample(member_view const& view, monotonic_time now)
{
    member_sample sample;
    if (!view.latest) {
        return sample;
    }
    auto const& status = view.latest->status;
    sample.term = status.term;
    sample.is_primary = status.role == member_role::primary;
    sample.received_term = status.received.term;
    sample.received_position = status.received.position;
    sample.applied_term = status.applied.term;
    sample.applied_position = status.applied.position;
    sample.age_us = static_cast<std::uint64_t>(to_microseconds(now - view.latest->asked_at));
    return sample;
}

Json::Value dump_member(member_description const& description, member_view const& view, monotonic_time now)
{
    Json::Value entry(Json::objectValue);
    entry["member"] = description.name;
    entry["availability_zone"] = description.availability_zone;
    entry["apply_lag_ms"] = to_milliseconds(view.apply_lag);
    entry["round_trip_ms"] = to_milliseconds(view.round_trip);
    entry["is_failing"] = view.failing_since.has_value();
    if (view.latest) {
        auto const& status = view.latest->status;
        entry["term"] = Json::UInt64(status.term);
        entry["role"] = std::string(find_name(member_role_names, status.role));
        entry["received"] = Json::UInt64(status.received.position);
        entry["applied"] = Json::UInt64(status.applied.position);
        entry["age_ms"] = to_milliseconds(now - view.latest->asked_at);
    }
    return entry;
}

} // namespace

group_directory::group_directory(kernel& kernel, platform_hooks const& platform,
                                 database_hooks const& database)
    : m_kernel(kernel), m_platform(platform), m_database(database)
{
}

void group_directory::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_configuration->on_change([this] { apply_configuration(); });
    m_membership->on_message<group_state>([this](peer_state const& /*peer*/, group_state const& state) {
        handle_group_state(state, m_kernel.now());
    });
    m_membership->on_message<group_state_request>(
        [this](peer_state const& peer, group_state_request const& request) {
            if (auto const* const group = find(request.database)) {
                m_membership->send(peer.name, make_group_state(*group, true));
            }
        });
    m_kernel.start_periodic(missing_description_period, [this] {
        for (auto const& database : m_configured_databases) {
            if (!m_groups.contains(database)) {
                read_description(database);
                request_state_from_peer(database);
            }
        }
    });
    m_kernel.start_periodic(m_membership->store_poll_period(description_period, description_reads_per_second),
                            [this] {
                                for (auto const& database : m_configured_databases) {
                                    read_description(database);
                                }
                            });
}

Json::Value group_directory::dump() const
{
    auto const now = m_kernel.now();
    Json::Value state(Json::objectValue);
    for (auto const& [name, group] : m_groups) {
        auto const& view = group->view;
        Json::Value entry(Json::objectValue);
        entry["term"] = Json::UInt64(view.term());
        entry["primary"] = view.primary() ? view.description().members[*view.primary()].name : "";
        entry["members"] = Json::Value(Json::arrayValue);
        for (std::size_t i = 0; i < view.size(); ++i) {
            auto member = dump_member(view.description().members[i], view.member(i), now);
            member["pool"] = group->pools[i]->dump();
            entry["members"].append(std::move(member));
        }
        state[name] = std::move(entry);
    }
    return state;
}

active_group* group_directory::find(std::string const& database)
{
    auto const found = m_groups.find(database);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void group_directory::observe(active_group& group, std::size_t member, member_status const& status,
                              monotonic_time asked_at)
{
    auto const old_term = group.view.term();
    auto const old_primary = group.view.primary();
    group.view.observe(member, status, asked_at, m_kernel.now());
    notify_if_primary_changed(group, old_term, old_primary);
    for (auto const& hook : m_on_observation) {
        hook(group);
    }
}

void group_directory::observe_failure(active_group& group, std::size_t member,
                                      database_failure const& failure)
{
    if (failure.error == database_error::too_many_connections) {
        return;
    }
    group.view.observe_failure(member, m_kernel.now());
    if (m_on_failure) {
        m_on_failure(group, member);
    }
}

void group_directory::handle_group_state(group_state const& state, monotonic_time received_at)
{
    if (!m_configured_databases.contains(state.database)) {
        return;
    }
    auto* group = find(state.database);
    if (group == nullptr && !state.description.empty()) {
        apply_description(state.database, state.description);
        group = find(state.database);
    }
    if (group == nullptr || state.samples.size() != group->view.size()) {
        return;
    }
    auto const old_term = group->view.term();
    auto const old_primary = group->view.primary();
    for (std::size_t i = 0; i < state.samples.size(); ++i) {
        auto const& sample = state.samples[i];
        // The transit time of the message is unbounded, so the age of its samples is unknown. They are used
        // only to learn of a newer term, its primary and its commits; positions of members come from this
        // VM's own status requests.
        if (sample.term == state.term && sample.is_primary) {
            group->view.record_primary(state.term, i);
            group->view.record_commit({sample.applied_term, sample.applied_position}, received_at);
        }
    }
    notify_if_primary_changed(*group, old_term, old_primary);
}

void group_directory::probe(active_group& group, std::size_t member, duration timeout)
{
    if (group.is_probe_running[member]) {
        return;
    }
    group.is_probe_running[member] = true;
    auto const asked_at = m_kernel.now();
    auto const marker = next_marker();
    batch sql_batch;
    sql_batch.statements.push_back(group_contract::status(marker));
    group.channels[member]->send_batch(
        std::move(sql_batch), timeout,
        [this, name = group.name, member, marker, asked_at,
         alive = m_kernel.lifetime()](batch_answer const& answer) {
            if (alive.expired()) {
                return;
            }
            auto* const current_group = find(name);
            if (current_group == nullptr || member >= current_group->view.size()) {
                return;
            }
            current_group->is_probe_running[member] = false;
            if (!answer.is_ok()) {
                observe_failure(*current_group, member, *answer.failure);
                return;
            }
            auto const status = group_contract::parse_status(answer.results.front());
            if (status && status->marker == marker) {
                observe(*current_group, member, *status, asked_at);
            }
        });
}

void group_directory::refresh(active_group& group)
{
    auto const now = m_kernel.now();
    if (group.last_refresh_at && now - *group.last_refresh_at < refresh_spacing) {
        return;
    }
    group.last_refresh_at = now;
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        probe(group, i, refresh_timeout);
    }
}

void group_directory::on_next_primary(std::string const& database, std::function<void()> callback)
{
    m_primary_waiters[database].push_back(std::move(callback));
}

group_state group_directory::make_group_state(active_group const& group, bool with_description) const
{
    group_state state;
    state.database = group.name;
    state.term = group.view.term();
    if (auto const primary = group.view.primary()) {
        state.primary = group.view.description().members[*primary].name;
    }
    state.description = with_description ? group.description_text : std::string();
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        state.samples.push_back(to_sample(group.view.member(i), m_kernel.now()));
    }
    return state;
}

void group_directory::apply_configuration()
{
    auto const& current = m_configuration->current();
    m_configured_databases.clear();
    for (auto const& [name, work] : current->document.classes) {
        m_configured_databases.insert(work.databases.begin(), work.databases.end());
    }
    for (auto const& database : m_configured_databases) {
        m_membership->add_subscription(database);
        if (!m_groups.contains(database)) {
            read_description(database);
            request_state_from_peer(database);
        }
    }
}

void group_directory::read_description(std::string const& database)
{
    m_platform.read_row(group_row_key(database), m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                                                     [this, database](auto const& row) {
                                                         if (row.ok() && *row) {
                                                             apply_description(database, (*row)->value);
                                                         }
                                                     }));
}

void group_directory::apply_description(std::string const& database, std::string const& text)
{
    auto description = try_parse_group(database, text);
    if (!description.ok()) {
        Json::Value fields;
        fields["error"] = std::string(description.status().message());
        m_kernel.log(log_level::error, service_name, "ignored a malformed description of a database group",
                     std::move(fields));
        return;
    }
    auto* group = find(database);
    if (group != nullptr && group->description_text == text) {
        return;
    }
    if (group == nullptr) {
        group = m_groups.emplace(database, std::make_unique<active_group>(*description)).first->second.get();
        group->name = database;
    }
    group->view.set_description(*std::move(description));
    group->description_text = text;
    build_connections(*group);
    refresh(*group);
}

void group_directory::build_connections(active_group& group)
{
    group.pools.clear();
    group.channels.clear();
    group.is_probe_running.assign(group.view.size(), false);
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        auto const& address = group.view.description().members[i].address;
        member_pool::options options;
        options.open_timeout = open_timeout;
        options.max_connections = [this, &group] { return connection_limit(group); };
        options.on_failure = [this, &group, i](database_failure const& failure) {
            observe_failure(group, i, failure);
        };
        group.pools.push_back(
            std::make_shared<member_pool>(m_kernel, m_database, address, std::move(options)));
        group.channels.push_back(std::make_shared<control_channel>(m_kernel, m_database, address));
        group.pools.back()->warm_up();
    }
}

std::size_t group_directory::connection_limit(active_group const& group) const
{
    if (m_connection_limit) {
        return m_connection_limit(group);
    }
    auto const share =
        group.view.description().max_connections / std::max<std::size_t>(1, m_membership->fleet_size());
    return std::max<std::size_t>(1, share > control_connections ? share - control_connections : 1);
}

void group_directory::notify_if_primary_changed(active_group& group, std::uint64_t old_term,
                                                std::optional<std::size_t> old_primary)
{
    if (group.view.term() == old_term && group.view.primary() == old_primary) {
        return;
    }
    Json::Value fields;
    fields["database"] = group.name;
    fields["term"] = Json::UInt64(group.view.term());
    fields["primary"] =
        group.view.primary() ? group.view.description().members[*group.view.primary()].name : "";
    m_kernel.log(log_level::info, service_name, "primary changed", std::move(fields));
    if (!group.view.primary()) {
        return;
    }
    auto const waiters = std::exchange(m_primary_waiters[group.name], {});
    for (auto const& each : waiters) {
        each();
    }
}

void group_directory::request_state_from_peer(std::string const& database)
{
    std::vector<std::string> reachable;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (m_membership->is_reachable(peer)) {
            reachable.push_back(name);
        }
    }
    if (!reachable.empty()) {
        m_membership->send(reachable[m_kernel.random_below(reachable.size())], group_state_request{database});
    }
}

} // namespace greengagehitch
