#pragma once

#include <algorithm>

namespace greengagehitch {

/// Bounds retries to a share of the requests, so that retries cannot turn a slow database into a flooded one.
class retry_budget {
public:
    void count_request() { m_tokens = std::min(max_tokens, m_tokens + share_of_requests); }

    /// Takes a retry out of the budget; false when it is spent.
    bool try_take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    static constexpr double share_of_requests = 0.2;
    static constexpr double max_tokens = 100;

    double m_tokens = max_tokens;
};

} // namespace greengagehitch
