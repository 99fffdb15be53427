#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace greengagehitch {

/// Bounds the number of requests in each second that slides over time.
class request_pace {
public:
    /// `limit` is the number of requests that any span of one second may contain.
    explicit request_pace(std::size_t limit) : m_limit(limit) {}

    void set_limit(std::size_t limit) { m_limit = limit; }

    /// Counts a request that is sent now. Returns false, and counts nothing, if it would exceed the limit.
    bool try_take(monotonic_time now);

    /// Returns the time until a request can be sent after `ahead` others.
    duration expected_wait(std::size_t ahead, monotonic_time now);

private:
    void forget_old(monotonic_time now);

    std::size_t m_limit;
    std::deque<monotonic_time> m_sent; ///< Send times within the last second, in order.
};

} // namespace greengagehitch
