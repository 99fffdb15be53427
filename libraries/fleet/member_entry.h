#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/store_position.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Entry that a member publishes about itself in the platform's directory.
struct member_entry {
    std::string id;
    std::string group;
    endpoint address;
    std::string availability_zone;
    std::size_t slots = 1; ///< Number of statements that the member executes concurrently.
    bool is_draining = false;
    bool claims_primary = false;  ///< True when the member reports itself as the primary of its group.
    std::uint64_t started_at = 0; ///< Start time; changes when the member restarts with the same id.
    std::uint64_t sequence = 0;   ///< Number by which the member counts its entries since its start.
    duration warm_up_left{};      ///< Time for which the member was still slow when it wrote the entry.
    store_position change;        ///< Position at which the store recorded the entry.
    /// Time since when the store no longer has the entry. It stays in the directory for a while, since
    /// entries of members that run may return.
    std::optional<monotonic_time> absent_since;
};

/// Directory of all members, keyed by member id.
using member_directory = std::map<std::string, member_entry>;

} // namespace greengagehitch
