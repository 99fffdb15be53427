#pragma once

#include <algorithm>

namespace greengagehitch {

/// Limits retries to a fraction of the requests, so that retries do not overload a database that is slow
/// already.
class retry_budget {
public:
    /// Counts a request, which adds a fraction of a retry to the budget.
    void count_request() { m_tokens = std::min(max_tokens, m_tokens + retries_per_request); }

    /// Removes one retry from the budget; returns false if less than one is left.
    bool try_take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Number of retries that are left.
    double tokens() const { return m_tokens; }

private:
    /// Number of retries that each request adds to the budget.
    static constexpr double retries_per_request = 0.2;
    static constexpr double max_tokens = 100;

    double m_tokens = max_tokens;
};

} // namespace greengagehitch
