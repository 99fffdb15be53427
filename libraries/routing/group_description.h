#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "database/batch.h"

namespace greengagehitch {

/// One member of a database group, from the platform's table.
struct member_description {
    std::string name;
    std::string availability_zone;
    member_address address;
};

/// Database group as the platform describes it in the row groups/NAME.
struct group_description {
    std::string name;
    std::size_t max_connections = 0; ///< To each member, for the whole fleet.
    std::size_t slots = 0;           ///< Statements that a member runs at once.
    std::vector<member_description> members;

    std::optional<std::size_t> find_member(std::string const& name) const;
    std::size_t majority() const { return members.size() / 2 + 1; }
};

absl::StatusOr<group_description> try_parse_group(std::string const& name, std::string const& json);

} // namespace greengagehitch
