#include "brokers/return_pace.h"

#include <algorithm>

namespace greengagehitch {

duration return_pace::assign(int priority, monotonic_time now, duration room_in, duration interval)
{
    auto& next = m_next[priority];
    next = std::min(std::max(next, now + room_in) + interval, now + max_delay);
    return next - now;
}

} // namespace greengagehitch
