#pragma once

#include <chrono>
#include <cstdint>

namespace greengagehitch {

using duration = std::chrono::nanoseconds;

/// Monotonic clock type for time points. The current time comes from a hook that the owner of an entry VM
/// provides, so the type has no now().
struct monotonic_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using monotonic_time = monotonic_clock::time_point;

/// Returns `value` in whole microseconds, rounded toward zero, for logs and state dumps.
inline std::int64_t to_microseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

/// Returns `value` in milliseconds, including the fraction, for logs and measurements.
inline double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace greengagehitch
