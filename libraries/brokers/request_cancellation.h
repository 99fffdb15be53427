#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace greengagehitch {

/// Tells those who hold a request that its caller has disconnected, so that it must not be sent to a member
/// any more. A request that was sent already is not affected.
class request_cancellation {
public:
    bool is_cancelled() const { return m_is_cancelled; }

    /// Cancels the request and calls the hooks.
    void cancel();

    /// Adds a hook that is called once when the request is cancelled.
    void add_hook(std::function<void()> hook) { m_hooks.push_back(std::move(hook)); }

private:
    bool m_is_cancelled = false;
    std::vector<std::function<void()>> m_hooks;
};

} // namespace greengagehitch
