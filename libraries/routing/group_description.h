#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "database/batch.h"

namespace greengagehitch {

/// One member of a database group, as described in the platform's table.
struct member_description {
    std::string name;
    std::string availability_zone;
    member_address address;
};

/// Database group as described by the row groups/NAME of the platform's table.
struct group_description {
    std::string name;
    std::size_t max_connections = 0; ///< Maximum number of connections to each member, summed over the fleet.
    std::size_t slots = 0;           ///< Number of statements that a member runs concurrently.
    std::vector<member_description> members;

    /// Index of the member with this name; std::nullopt if no member has it.
    std::optional<std::size_t> find_member(std::string const& name) const;
    /// Smallest number of members that is a majority.
    std::size_t majority() const { return members.size() / 2 + 1; }
};

/// Parses the JSON text of a row groups/NAME. Fails when it is malformed, or has no members or no
/// connections.
absl::StatusOr<group_description> try_parse_group(std::string const& name, std::string const& json);

} // namespace greengagehitch
