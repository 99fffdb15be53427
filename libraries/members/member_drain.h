#pragma once

#include "members/database_group.h"

namespace greengagehitch {

/// Time from the store's confirmation that a member drains until it must get no new work.
inline constexpr duration member_drain_limit = std::chrono::seconds(7);

/// Returns whether new work may be sent to a member at `now`: single statements, and the first one of a
/// transaction.
bool takes_new_work(group_member const& member, monotonic_time now);

} // namespace greengagehitch
