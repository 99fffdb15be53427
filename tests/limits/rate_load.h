#pragma once

#include <algorithm>
#include <vector>

#include "session_fleet.h"

namespace greengagehitch::standin {

inline session_fleet_shape shape_with_rate(double rate)
{
    session_fleet_shape shape;
    shape.rate = rate;
    return shape;
}

/// Counts the operations of one account that a fleet admits, in sliding windows.
class admission_count {
public:
    explicit admission_count(virtual_clock& clock) : m_clock(clock) {}

    void record() { m_times.push_back(m_clock.now()); }

    std::size_t max_in(duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_times.size(); ++i) {
            while (m_times[i] - m_times[first] >= window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    /// Returns the number of operations that were admitted at or after `begin` and before `end`.
    std::size_t between(monotonic_time begin, monotonic_time end) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_times.begin(), m_times.end(), [&](auto const& time) { return time >= begin && time < end; }));
    }

    std::size_t total() const { return m_times.size(); }

private:
    virtual_clock& m_clock;
    std::vector<monotonic_time> m_times;
};

/// Requests tokens at randomly chosen VMs of `vms`, on average `per_second` times per second.
inline void request_operations(session_fleet& fleet, std::vector<std::size_t> const& vms, double per_second,
                               duration length, admission_count& admitted, std::size_t& refused)
{
    auto& clock = fleet.clock();
    auto const end = clock.now() + length;
    auto const mean = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / per_second));
    while (clock.now() < end) {
        auto const vm = vms[clock.random_below(vms.size())];
        fleet.vm(vm).sessions().rates().take(session_fleet::account_name(0),
                                             [&admitted, &refused](std::optional<duration> wait) {
                                                 if (wait) {
                                                     ++refused;
                                                 }
                                                 else {
                                                     admitted.record();
                                                 }
                                             });
        clock.run_for(clock.random_interval(mean));
    }
    clock.run_for(std::chrono::milliseconds(100));
}

/// Returns the number of operations that an account may run in a window of five seconds without the
/// tolerance, when the burst equals the rate.
inline double allowance_of_window(double rate)
{
    return 5 * rate + rate;
}

/// Returns the number of operations that the default settings allow in a window of five seconds, when the
/// burst equals the rate.
inline double max_operations_in_window(double rate)
{
    return allowance_of_window(rate) * 1.1 + 20;
}

} // namespace greengagehitch::standin
