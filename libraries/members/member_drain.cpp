#include "members/member_drain.h"

namespace greengagehitch {

namespace {

/// Part of the limit that is reserved for the time until a VM learns that the member drains, and for a
/// statement that waits in the member's queue or is on its way.
constexpr duration drain_margin = std::chrono::seconds(2);

} // namespace

bool takes_new_work(group_member const& member, monotonic_time now)
{
    return !member.draining_since || now - *member.draining_since < member_drain_limit - drain_margin;
}

} // namespace greengagehitch
