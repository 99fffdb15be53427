#include "entry_index.h"

namespace greengagehitch::standin {

std::size_t entry_index::member_count(std::string const& name)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        update_member(i);
        count += m_members[i].counts.contains(name) ? 1 : 0;
    }
    return count;
}

std::size_t entry_index::count_at_primary(std::string const& name)
{
    std::size_t primary = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        auto const is_newer =
            m_group.member(i).is_primary() && (!m_group.member(primary).is_primary() ||
                                               m_group.member(i).term() > m_group.member(primary).term());
        primary = is_newer ? i : primary;
    }
    update_member(primary);
    auto const& counts = m_members[primary].counts;
    auto const found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

void entry_index::update_member(std::size_t member)
{
    auto& index = m_members[member];
    auto const& log = m_group.member(member).log();
    while (!index.entries.empty() &&
           (index.entries.size() > log.size() || index.entries.back() != log[index.entries.size() - 1])) {
        count_names(*index.entries.back(), index, -1);
        index.entries.pop_back();
    }
    while (index.entries.size() < log.size()) {
        index.entries.push_back(log[index.entries.size()]);
        count_names(*index.entries.back(), index, 1);
    }
}

void entry_index::count_names(log_entry const& entry, member_index& index, int delta)
{
    constexpr std::size_t name_parameter = 1;
    for (auto const& each : entry.statements) {
        if (!each.sql.starts_with("insert into entries")) {
            continue;
        }
        auto const& name = each.parameters[name_parameter].value();
        auto& count = index.counts[name];
        count = delta > 0 ? count + 1 : count - 1;
        if (count == 0) {
            index.counts.erase(name);
        }
    }
}

} // namespace greengagehitch::standin
