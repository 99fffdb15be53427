#include "members/group_registry.h"

#include <algorithm>
#include <set>

namespace greengagehitch {

namespace {

/// Used while the configuration names no bound for a group.
constexpr std::size_t default_max_links = 4;
constexpr duration idle_limit = std::chrono::seconds(20);
constexpr duration sweep_period = std::chrono::seconds(2);

} // namespace

void group_registry::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_fleet->on_members([this](member_directory const& members) { take_members(members); });
    m_kernel.start_periodic(sweep_period, [this] {
        for (auto const& [name, group] : m_groups) {
            for (auto const& [id, member] : group->members()) {
                member.pool->close_idle(idle_limit);
            }
        }
    });
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
        entry = std::make_unique<database_group>(
            name, database_group::dependencies{m_kernel, m_links, m_membership->identity().availability_zone,
                                               [this, name](std::string const&) { return max_links(name); }});
    }
    return *entry;
}

std::size_t group_registry::max_links(std::string const& name) const
{
    auto const& configuration = m_fleet->configuration();
    if (!configuration) {
        return default_max_links;
    }
    auto const limits = configuration->groups.find(name);
    if (limits == configuration->groups.end() || limits->second.max_connections == 0) {
        return default_max_links;
    }
    auto const& zone = m_membership->identity().availability_zone;
    std::set<std::string> zones{zone};
    std::size_t in_zone = m_membership->is_leaving() ? 1 : 0;
    for (auto const& vm : m_membership->live_vms()) {
        auto const its_zone = m_membership->availability_zone_of(vm);
        zones.insert(its_zone);
        in_zone += its_zone == zone ? 1 : 0;
    }
    auto const parts = zones.size() * std::max<std::size_t>(1, in_zone);
    return std::max<std::size_t>(1, limits->second.max_connections / parts);
}

void group_registry::take_members(member_directory const& members)
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
}

} // namespace greengagehitch
