#include "database_group.h"

namespace greengagehitch::standin {

namespace {

constexpr std::uint64_t initial_term = 1;
constexpr auto initial_claimant = "platform";

/// Returns the length of the longest common prefix of two logs. Entries with the same index and term are
/// identical, and so are all entries before them.
std::size_t common_prefix_size(group_member const& left, group_member const& right)
{
    auto size = std::min(left.log().size(), right.log().size());
    while (size > 0 && left.log()[size - 1]->term != right.log()[size - 1]->term) {
        --size;
    }
    return size;
}

} // namespace

database_group::database_group(std::string const& unique_prefix, std::vector<std::string> const& member_names,
                               group_hooks hooks)
    : m_hooks(std::move(hooks)), m_is_cut_off(member_names.size(), false)
{
    for (auto const& name : member_names) {
        m_members.push_back(std::make_unique<group_member>(name, unique_prefix, m_hooks,
                                                           [this](group_member&) { ship_log(); }));
    }
    for (auto const& each : m_members) {
        each->fence(initial_term + 1, initial_claimant);
    }
    m_members.front()->promote(initial_term + 1, initial_claimant);
}

void database_group::seed(std::vector<std::string> const& statements)
{
    for (auto const& each : m_members) {
        each->seed(statements);
    }
}

void database_group::set_link_cut(std::size_t left, std::size_t right, bool is_cut)
{
    auto const link = std::minmax(left, right);
    if (is_cut) {
        m_cut_links.insert(link);
    }
    else {
        m_cut_links.erase(link);
    }
}

bool database_group::is_connected(std::size_t from, std::size_t to) const
{
    return !m_is_cut_off[from] && !m_is_cut_off[to] && !m_cut_links.contains(std::minmax(from, to));
}

void database_group::ship_log()
{
    for (std::size_t from = 0; from < m_members.size(); ++from) {
        ship_log_from(from);
    }
}

void database_group::ship_log_from(std::size_t from)
{
    auto& primary = *m_members[from];
    if (!primary.is_primary() || primary.switches().is_killed || primary.switches().is_paused) {
        return;
    }
    for (std::size_t to = 0; to < m_members.size(); ++to) {
        if (to != from && is_connected(from, to)) {
            ship_log_between(from, to);
        }
    }
}

void database_group::ship_log_between(std::size_t from, std::size_t to)
{
    auto const& primary = *m_members[from];
    auto const prefix = common_prefix_size(primary, *m_members[to]);
    std::vector<std::shared_ptr<log_entry const>> suffix(
        primary.log().begin() + static_cast<std::ptrdiff_t>(prefix), primary.log().end());
    auto const term = primary.term();
    m_hooks.start_timer(m_ship_delay, [this, lifetime = std::weak_ptr(m_lifetime), from, to, term, prefix,
                                       suffix = std::move(suffix)] {
        if (!lifetime.expired() && is_connected(from, to)) {
            m_members[to]->receive(term, prefix, suffix);
        }
    });
}

} // namespace greengagehitch::standin
