#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace greengagehitch {

/// Token bucket that starts empty, so that a VM that replaces another cannot spend the burst again.
class token_bucket {
public:
    token_bucket(double rate, double burst, monotonic_time now) : m_rate(rate), m_burst(burst), m_updated(now)
    {
    }

    /// Changes rate and burst from `now` on.
    void set_limits(double rate, double burst, monotonic_time now)
    {
        refill(now);
        m_rate = rate;
        m_burst = burst;
        m_tokens = std::min(m_tokens, m_burst);
    }

    /// Takes one token; otherwise returns the time until there is one.
    std::optional<duration> take(monotonic_time now)
    {
        refill(now);
        if (m_tokens >= 1) {
            m_tokens -= 1;
            return std::nullopt;
        }
        constexpr duration longest_wait = std::chrono::hours(1);
        if (m_rate <= 0) {
            return longest_wait;
        }
        auto const wait = std::chrono::duration<double>((1 - m_tokens) / m_rate);
        return std::min(longest_wait, std::chrono::duration_cast<duration>(wait) + duration(1));
    }

    double tokens() const { return m_tokens; }
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }

private:
    void refill(monotonic_time now)
    {
        if (now <= m_updated) {
            return;
        }
        m_tokens =
            std::min(m_burst, m_tokens + m_rate * std::chrono::duration<double>(now - m_updated).count());
        m_updated = now;
    }

    double m_rate;
    double m_burst;
    double m_tokens = 0;
    monotonic_time m_updated;
};

} // namespace greengagehitch
