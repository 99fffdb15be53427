#pragma once

#include <map>

#include "base/time.h"

namespace greengagehitch {

/// Assigns times of return to refused requests, so that callers return one after the other, at the rate at
/// which they are served.
class return_pace {
public:
    static constexpr duration max_delay = std::chrono::milliseconds(1'000);

    /// Returns the delay until the request should return: after `room_in`, and one `interval` after the last
    /// one of its priority.
    duration assign(int priority, monotonic_time now, duration room_in, duration interval);

private:
    std::map<int, monotonic_time> m_next; ///< Time assigned last, by priority.
};

} // namespace greengagehitch
