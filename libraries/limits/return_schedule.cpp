#include "limits/return_schedule.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Shortest and longest time after which a caller is told to retry.
constexpr duration min_return = std::chrono::milliseconds(50);
constexpr duration max_return = std::chrono::seconds(2);
/// Fraction of the admitted operations that returning callers get; the rest is for new ones.
constexpr double share_for_returns = 0.5;
/// Smallest pace, in operations per second.
constexpr double min_pace = 1;

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

duration return_schedule::next(double pace, double spread, monotonic_time now)
{
    auto const interval = from_seconds(1 / (std::max(min_pace, pace) * share_for_returns));
    auto const latest = now + max_return;
    auto const next = std::max(m_last_return, now + min_return) + interval;
    if (next > latest) {
        // The callers beyond the schedule cannot all be served. They are spread over its second half, so that
        // they do not return together.
        return max_return / 2 + from_seconds(spread * std::chrono::duration<double>(max_return / 2).count());
    }
    m_last_return = next;
    return next - now;
}

} // namespace greengagehitch
