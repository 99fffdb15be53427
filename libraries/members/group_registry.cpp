#include "members/group_registry.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "members/leadership_guard.h"
#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

/// Maximum number of connections to a member if the configuration sets none for its group.
constexpr std::size_t default_connection_limit = 4;
constexpr duration idle_limit = std::chrono::seconds(20);
/// Share of the connection limit, in percent, up to which a broker keeps idle connections. The others stay
/// available to a successor, since a member counts the connections of a VM that lost power until it detects
/// the loss seconds later. A connection serves one account only, so fewer would be reopened for each
/// statement where there are more accounts than connections.
constexpr std::size_t kept_idle_percent = 80;
constexpr std::size_t percent = 100;
/// Idle time after which connections beyond the kept number are closed.
constexpr duration surplus_idle_limit = std::chrono::milliseconds(1'500);
/// Interval at which idle connections are closed. It bounds the time until a VM that is no longer the broker
/// of a member releases the member's connections.
constexpr duration sweep_period = std::chrono::milliseconds(200);
/// Interval at which a VM reports the numbers of its connections, also those that have not changed.
constexpr duration complete_report_interval = std::chrono::seconds(1);
/// Shortest interval between two log lines about refused connections.
constexpr duration refusal_log_interval = std::chrono::seconds(1);
/// Time for which the lease of a member that warms up lasts beyond its usual warm-up, since the member may
/// not be running yet.
constexpr duration lease_extra_time = std::chrono::seconds(2);
/// Share of the allowed requests that is used, since a busy VM sends later than it counts.
constexpr double used_share_of_allowance = 0.9;

} // namespace

void group_registry::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_fleet->on_members([this](member_directory const& members) { apply_member_directory(members); });
    m_fleet->on_evacuation(
        [this](std::string const& zone, bool is_evacuated) { log_evacuation(zone, is_evacuated); });
    m_brokers = &m_kernel.find<broker_service>(broker_service::service_name);
    m_kernel.start_periodic(sweep_period, [this] {
        for (auto const& [member, dispatcher] : m_dispatchers) {
            if (dispatcher->connections() == 0) {
                continue;
            }
            dispatcher->trim(idle_limit);
            dispatcher->trim_surplus(dispatcher->connection_limit() * kept_idle_percent / percent,
                                     surplus_idle_limit);
        }
        auto const is_complete = m_kernel.now() >= m_next_complete_report_at;
        if (is_complete) {
            m_next_complete_report_at = m_kernel.now() + complete_report_interval;
        }
        report_connections(is_complete);
        for (auto const& [name, group] : m_groups) {
            group->log_waiting();
        }
    });
    m_brokers->set_connection_hooks(
        [this](std::string const& vm, held_connections const& held) {
            if (m_dispatchers.contains(held.member)) {
                m_shares[held.member].record_report(vm, held.connections, held.limit, m_kernel.now());
            }
        },
        [this](std::string const& vm) {
            for (auto& [member, share] : m_shares) {
                share.forget(vm);
            }
        });
}

void group_registry::report_connections(bool is_complete)
{
    std::vector<held_connections> held;
    for (auto const& [member, dispatcher] : m_dispatchers) {
        auto const connections = dispatcher->connections();
        if (m_brokers->is_broker_of(member)) {
            m_shares[member].record_held_as_broker(connections);
        }
        held_connections const numbers{member, static_cast<std::uint32_t>(connections),
                                       static_cast<std::uint32_t>(dispatcher->connection_limit())};
        auto& reported = m_reported_connections[member];
        if (is_complete || reported.connections != numbers.connections || reported.limit != numbers.limit) {
            reported = numbers;
            held.push_back(numbers);
        }
    }
    m_brokers->report_connections(held);
}

void group_registry::record_open_failure(member_entry const& entry, member_error error)
{
    auto const found = m_dispatchers.find(entry.id);
    if (error != member_error::too_many_connections || found == m_dispatchers.end()) {
        return;
    }
    auto const now = m_kernel.now();
    auto& share = m_shares[entry.id];
    auto const held = found->second->connections();
    if (now >= m_next_refusal_log_at) {
        m_next_refusal_log_at = now + refusal_log_interval;
        Json::Value fields(Json::objectValue);
        fields["member"] = entry.id;
        fields["held"] = Json::UInt64(held);
        fields["limit"] = Json::UInt64(connection_limit(entry.group, entry.id));
        fields["left_to_others"] = Json::UInt64(share.left_to_others(now));
        fields["is_broker"] = m_brokers->is_broker_of(entry.id);
        fields["refusals"] = Json::UInt64(share.refusals() + 1);
        m_kernel.log(log_level::info, service_name, "member refused a connection over its limit",
                     std::move(fields));
    }
    share.record_refusal(held, now);
}

std::vector<group_registry::connection_counts> group_registry::connection_counts_of_members() const
{
    std::vector<connection_counts> counts;
    for (auto const& [member, dispatcher] : m_dispatchers) {
        auto const share = m_shares.find(member);
        counts.push_back({member, dispatcher->connections(), dispatcher->connection_limit(),
                          share == m_shares.end() ? 0 : share->second.refusals(),
                          dispatcher->unmatched_answers()});
    }
    return counts;
}

Json::Value group_registry::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [name, group] : m_groups) {
        state[name] = group->dump();
    }
    return state;
}

database_group& group_registry::group(std::string const& name)
{
    auto& entry = m_groups[name];
    if (!entry) {
        database_group::dependencies dependencies{
            m_kernel,
            m_membership->identity().availability_zone,
            [this](member_entry const& member, member_request request, reply_callback done) {
                m_brokers->run(member, std::move(request), std::move(done));
            },
            [this](member_entry const& member) { add_member(member); },
            [this](member_entry const& member) { remove_member(member); },
            [this](std::string const& zone) { return m_fleet->is_evacuated(zone); },
            [this](std::string const& zone) { return m_fleet->may_send_to_zone(zone); },
            [this](std::string const& zone) { return m_brokers->is_partitioned(zone); },
            [this] { return m_brokers->is_cut_off(); },
            [this, name] {
                auto const* const limits = limits_of(name);
                return limits == nullptr ? duration::zero() : limits->warm_up_time;
            }};
        entry = std::make_unique<database_group>(name, std::move(dependencies));
        m_group_of_hash[hash_name(name)] = entry.get();
    }
    return *entry;
}

database_group* group_registry::find_group(name_hash hash) const
{
    auto const found = m_group_of_hash.find(hash);
    return found == m_group_of_hash.end() ? nullptr : found->second;
}

void group_registry::add_member(member_entry const& entry)
{
    member_dispatcher::options options;
    options.slots = entry.slots;
    options.paces_recovery = m_paces_recovery;
    options.has_just_started = m_has_directory;
    options.connection_limit = [this, group = entry.group, member = entry.id] {
        return connection_limit(group, member);
    };
    options.on_open_failed = [this, entry](member_error error) {
        record_open_failure(entry, error);
        group(entry.group).record_failure(entry.id, error);
        if (error != member_error::too_many_connections) {
            group(entry.group).record_absence(entry.id);
        }
    };
    options.on_connection_lost = [this, entry] { group(entry.group).record_absence(entry.id); };
    options.warm_up = gate_of(entry);
    options.may_send = [this, zone = entry.availability_zone] { return m_fleet->may_send_to_zone(zone); };
    options.on_contact = [this, entry] {
        group(entry.group).record_response(entry.id);
        group(entry.group).record_contact(entry.id);
    };
    if (m_deposes_replaced_leaders) {
        options.guard = make_promotion_guard(entry);
    }
    else {
        guard_leadership(entry, options);
    }
    auto dispatcher = std::make_shared<member_dispatcher>(
        m_kernel, m_connection_hooks, backend_connection_target{entry.address, entry.group, entry.id, {}},
        std::move(options));
    m_dispatchers[entry.id] = dispatcher;
    m_brokers->add_dispatcher(entry, std::move(dispatcher));
}

void group_registry::guard_leadership(member_entry const& entry, member_dispatcher::options& options)
{
    auto const guard =
        std::make_shared<leadership_guard>(m_kernel, [this, entry](leadership_guard::result_callback done) {
            group(entry.group).query_replicas(entry.id, std::move(done));
        });
    options.check_leadership = [guard](std::function<void(bool)> done) { guard->check(std::move(done)); };
    options.on_commit = [this, guard, name = entry.group](monotonic_time sent_at) {
        if (replicates_synchronously(name)) {
            guard->record_replicated_commit(sent_at);
        }
    };
}

std::shared_ptr<promotion_guard> group_registry::make_promotion_guard(member_entry const& entry) const
{
    return std::make_shared<promotion_guard>(
        m_kernel, [this, group = entry.group, leader = entry.id](promotion_guard::lookup_callback done) {
            if (m_look_for_orders) {
                m_look_for_orders(group, leader, std::move(done));
            }
            else {
                done({true, std::nullopt});
            }
        });
}

void group_registry::record_leader_doubt(database_group const& group)
{
    auto const* const leader = group.leader();
    auto const found = leader == nullptr ? m_dispatchers.end() : m_dispatchers.find(leader->entry.id);
    if (found != m_dispatchers.end()) {
        found->second->record_doubt();
    }
}

group_limits const* group_registry::limits_of(std::string const& group) const
{
    auto const& configuration = m_fleet->configuration();
    if (!configuration) {
        return nullptr;
    }
    auto const limits = configuration->groups.find(group);
    return limits == configuration->groups.end() ? nullptr : &limits->second;
}

bool group_registry::replicates_synchronously(std::string const& group) const
{
    auto const* const limits = limits_of(group);
    return limits != nullptr && limits->synchronous_replicas > 0;
}

std::shared_ptr<warm_up_gate> group_registry::gate_of(member_entry const& entry)
{
    auto const address = entry.address.to_string();
    auto& gate = m_warm_up_gates[address];
    if (gate) {
        return gate;
    }
    warm_up_gate::hooks hooks;
    hooks.now = [this] { return m_kernel.now(); };
    hooks.limit = [this, name = entry.group, address = entry.address] {
        return warm_up_limit(name, address);
    };
    hooks.claim = [this, name = entry.group,
                   address](std::function<void(std::optional<monotonic_time>)> done) {
        auto const& self = m_membership->identity();
        auto const* const limits = limits_of(name);
        auto const lifetime =
            (limits == nullptr ? duration::zero() : limits->warm_up_time) + lease_extra_time;
        m_warm_up_lease.claim(fmt::format("{}/{}", self.name, self.incarnation), address, lifetime,
                              [this, address, done = std::move(done)](std::optional<monotonic_time> ends_at) {
                                  Json::Value fields(Json::objectValue);
                                  fields["address"] = address;
                                  fields["is_holder"] = ends_at.has_value();
                                  m_kernel.log(log_level::info, service_name,
                                               "lease of a member that warms up was claimed",
                                               std::move(fields));
                                  done(ends_at);
                              });
    };
    gate = std::make_shared<warm_up_gate>(std::move(hooks));
    return gate;
}

std::optional<std::size_t> group_registry::warm_up_limit(std::string const& name, endpoint const& address)
{
    auto const* const limits = limits_of(name);
    if (limits == nullptr || limits->warm_up_time == duration::zero()) {
        return std::nullopt;
    }
    auto const& members = group(name).members();
    auto const is_warming_up = std::any_of(members.begin(), members.end(), [&](auto const& each) {
        return each.second.entry.address == address && group(name).is_warming_up(each.second);
    });
    if (!is_warming_up) {
        return std::nullopt;
    }
    auto const allowed = limits->warm_up_rate * m_warm_up.rate_factor + m_warm_up.tolerated_requests;
    return static_cast<std::size_t>(allowed * used_share_of_allowance);
}

void group_registry::remove_member(member_entry const& entry)
{
    auto const found = m_dispatchers.find(entry.id);
    if (found == m_dispatchers.end()) {
        return;
    }
    found->second->shut_down();
    m_brokers->remove_dispatcher(entry.id);
    m_dispatchers.erase(found);
    m_shares.erase(entry.id);
    m_reported_connections.erase(entry.id);
}

std::size_t group_registry::connection_limit(std::string const& name, std::string const& member) const
{
    auto const& configuration = m_fleet->configuration();
    auto const limits = configuration ? configuration->groups.find(name)
                                      : std::map<std::string, group_limits>::const_iterator{};
    if (!configuration || limits == configuration->groups.end() || limits->second.max_connections == 0) {
        return default_connection_limit;
    }
    auto const order = m_brokers->order_of(member);
    auto const rank = std::find(order.begin(), order.end(), m_membership->identity().name) - order.begin();
    auto role = connection_role::other;
    if (m_brokers->is_broker_of(member)) {
        role = connection_role::broker;
    }
    else if (m_brokers->is_used_as_broker_of(member) && !m_membership->is_leaving()) {
        role = connection_role::former_broker;
    }
    else if (rank < std::min<std::ptrdiff_t>(connection_share::reserve_parts, std::ssize(order)) ||
             m_membership->is_leaving()) {
        role = connection_role::standby;
    }
    static connection_share const empty;
    auto const share = m_shares.find(member);
    return (share == m_shares.end() ? empty : share->second)
        .limit(role, limits->second.max_connections, m_kernel.now());
}

void group_registry::log_evacuation(std::string const& zone, bool is_evacuated) const
{
    Json::Value fields(Json::objectValue);
    fields["availability_zone"] = zone;
    fields["is_evacuated"] = is_evacuated;
    fields["led_groups"] = Json::Value(Json::arrayValue);
    std::size_t members = 0;
    for (auto const& [name, group] : m_groups) {
        for (auto const& [id, member] : group->members()) {
            members += member.entry.availability_zone == zone ? 1 : 0;
        }
        auto const* const leader = group->leader();
        if (leader != nullptr && leader->entry.availability_zone == zone) {
            fields["led_groups"].append(name);
        }
    }
    fields["members"] = Json::UInt64(members);
    if (members == 0 && !m_groups.empty()) {
        m_kernel.log(log_level::warning, service_name,
                     "no member is listed in the evacuated availability zone", std::move(fields));
        return;
    }
    m_kernel.log(log_level::info, service_name, "evacuation applies to the members of the availability zone",
                 std::move(fields));
}

void group_registry::apply_member_directory(member_directory const& members)
{
    std::map<std::string, std::vector<member_entry>> by_group;
    for (auto const& [name, group] : m_groups) {
        by_group[name];
    }
    for (auto const& [id, entry] : members) {
        by_group[entry.group].push_back(entry);
    }
    for (auto const& [name, entries] : by_group) {
        group(name).set_members(entries);
    }
    m_has_directory = m_has_directory || !members.empty();
}

} // namespace greengagehitch
