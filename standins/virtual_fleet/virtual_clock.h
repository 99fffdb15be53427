#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

#include "kernel/event_loop.h"

namespace greengagehitch::standin {

/// Virtual time with an event queue and a random number generator. Runs with the same seed are identical.
class virtual_clock {
public:
    explicit virtual_clock(std::uint64_t seed) : m_random(seed) {}

    monotonic_time now() const { return m_now; }

    timer_id start_timer(duration delay, std::function<void()> callback)
    {
        return m_loop.start_timer(m_now + std::max(delay, duration::zero()), std::move(callback));
    }

    void cancel_timer(timer_id timer) { m_loop.cancel_timer(timer); }

    /// Runs all events that are due up to `end`, then sets the time to `end`.
    void run_until(monotonic_time end)
    {
        while (m_loop.next_due() && *m_loop.next_due() <= end) {
            m_loop.run_next([this](monotonic_time due) { m_now = std::max(m_now, due); });
            ++m_events;
        }
        m_now = end;
    }

    void run_for(duration length) { run_until(m_now + length); }

    std::mt19937_64& random() { return m_random; }

    /// Returns a uniformly distributed number in [0, 1).
    double random_share() { return static_cast<double>(m_random() >> 11U) * 0x1.0p-53; }

    /// Returns a number in [0, bound), or 0 if `bound` is 0.
    std::uint64_t random_below(std::uint64_t bound) { return bound == 0 ? 0 : m_random() % bound; }

    /// Returns an exponentially distributed time with the given mean.
    duration random_interval(duration mean)
    {
        auto const factor = -std::log(1.0 - random_share());
        return duration(static_cast<duration::rep>(static_cast<double>(mean.count()) * factor));
    }

    /// Returns the number of events that have run.
    std::uint64_t events() const { return m_events; }

private:
    event_loop m_loop;
    monotonic_time m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random;
    std::uint64_t m_events = 0;
};

} // namespace greengagehitch::standin
