#pragma once

#include <map>
#include <string>
#include <vector>

#include "database_group/database_group.h"

namespace greengagehitch::standin {

/// Index of the names that the members of a group hold in their logs. It follows the logs step by step, so
/// that asking after each event stays cheap.
class entry_index {
public:
    explicit entry_index(database_group& group) : m_group(group), m_members(group.size()) {}

    /// Number of members whose log holds an entry of this name.
    std::size_t member_count(std::string const& name);

    /// Number of times that the primary of the highest term holds the name.
    std::size_t count_at_primary(std::string const& name);

private:
    struct member_index {
        std::vector<std::shared_ptr<log_entry const>> entries;
        std::map<std::string, std::size_t> counts;
    };

    void update_member(std::size_t member);
    static void count_names(log_entry const& entry, member_index& index, int delta);

    database_group& m_group;
    std::vector<member_index> m_members;
};

} // namespace greengagehitch::standin
