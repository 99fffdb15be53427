#pragma once

#include <compare>
#include <cstdint>

namespace greengagehitch {

/// Position in the history of the platform's store. A store that is restored from an older copy enters a new
/// era and assigns the versions after the copy again, so that versions alone are comparable only within an
/// era.
struct store_position {
    std::uint64_t era = 0; ///< 0 for stores that show no era.
    std::uint64_t version = 0;

    auto operator<=>(store_position const&) const = default;
};

} // namespace greengagehitch
