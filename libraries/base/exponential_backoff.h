#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "base/time.h"

namespace greengagehitch {

/// Delays between attempts at an operation that fails. Each failure doubles the delay up to a maximum, and a
/// random part keeps many VMs from trying at the same time.
class exponential_backoff {
public:
    /// `random` returns uniformly distributed numbers over its whole range.
    exponential_backoff(duration shortest, duration longest, std::function<std::uint64_t()> random)
        : m_shortest(shortest), m_longest(longest), m_random(std::move(random)), m_next(shortest)
    {
    }

    /// Returns the delay before the next attempt, between half of the current delay and all of it.
    duration record_failure()
    {
        auto const delay = m_next;
        m_next = std::min(2 * m_next, m_longest);
        auto const half = delay / 2;
        return half + duration(static_cast<duration::rep>(m_random() %
                                                          (static_cast<std::uint64_t>(half.count()) + 1)));
    }

    void record_success() { m_next = m_shortest; }

private:
    duration m_shortest;
    duration m_longest;
    std::function<std::uint64_t()> m_random;
    duration m_next;
};

} // namespace greengagehitch
