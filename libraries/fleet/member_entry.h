#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings/daemon_settings.h"

namespace greengagehitch {

/// What a member says of itself in the platform's directory.
struct member_entry {
    std::string id;
    std::string group;
    endpoint address;
    std::string availability_zone;
    std::size_t slots = 1; ///< Statements that it runs at once.
    bool is_draining = false;
    bool claims_primary = false;
    std::uint64_t started_at = 0; ///< Changes when the member starts anew under its id.
    std::uint64_t change = 0;     ///< Grows with each change of the entry.
};

/// Directory of all members, by id.
using member_directory = std::map<std::string, member_entry>;

} // namespace greengagehitch
