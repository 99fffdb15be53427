#pragma once

#include <map>
#include <string>
#include <vector>

#include "database_group/database_group.h"

namespace greengagehitch::standin {

/// Index of the entry names in the logs of a group's members. Each lookup adds only the changes of a log
/// since the previous lookup, so that a check after each event stays cheap.
class entry_index {
public:
    explicit entry_index(database_group& group) : m_group(group), m_members(group.size()) {}

    /// Returns the number of members whose log contains an entry with this name.
    std::size_t member_count(std::string const& name);

    /// Returns how often the name occurs in the log of the primary with the highest term.
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
