#pragma once

#include <functional>
#include <optional>

#include "base/time.h"
#include "brokers/request_pace.h"

namespace greengagehitch {

/// Holds back requests to a member while it warms up after its start, during which it serves slowly. All VMs
/// together send at most a number of requests in any second, which the VM that holds the member's lease
/// sends.
class warm_up_gate {
public:
    struct hooks {
        std::function<monotonic_time()> now;
        /// Returns the number of requests that the member accepts in a second, or no value if it is not
        /// warming up.
        std::function<std::optional<std::size_t>()> limit;
        /// Claims the lease; the callback receives its end, or no value if this VM does not get it.
        std::function<void(std::function<void(std::optional<monotonic_time>)>)> claim;
    };

    explicit warm_up_gate(hooks hooks) : m_hooks(std::move(hooks)) {}

    /// Returns the time until a request can be sent after `ahead` others, or no value if another VM sends the
    /// requests to the member. Claims the lease if this VM needs it; the wait is a retry delay until then.
    std::optional<duration> expected_wait(std::size_t ahead);

    /// Counts a request that is sent now. Returns false if it must not be sent.
    bool try_take();

private:
    void claim();
    bool holds_lease() const { return m_lease_ends_at && m_hooks.now() < *m_lease_ends_at; }

    hooks m_hooks;
    request_pace m_pace{0};
    std::optional<monotonic_time> m_lease_ends_at;
    std::optional<monotonic_time> m_refused_at; ///< Time at which this VM last did not get the lease.
    bool m_is_claiming = false;
};

} // namespace greengagehitch
