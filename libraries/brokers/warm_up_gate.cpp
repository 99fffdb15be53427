#include "brokers/warm_up_gate.h"

#include <memory>

namespace greengagehitch {

namespace {

/// Delay before a waiting request is considered again while the lease is being claimed.
constexpr duration claim_poll_period = std::chrono::milliseconds(5);
/// Time after a claim that was refused before the next one.
constexpr duration claim_retry_delay = std::chrono::milliseconds(700);

} // namespace

std::optional<duration> warm_up_gate::expected_wait(std::size_t ahead)
{
    auto const limit = m_hooks.limit();
    if (!limit) {
        return duration::zero();
    }
    if (!holds_lease()) {
        claim();
        return m_is_claiming ? std::optional(claim_poll_period) : std::nullopt;
    }
    m_pace.set_limit(*limit);
    return m_pace.expected_wait(ahead, m_hooks.now());
}

bool warm_up_gate::try_take()
{
    auto const limit = m_hooks.limit();
    if (!limit) {
        return true;
    }
    if (!holds_lease()) {
        claim();
        return false;
    }
    m_pace.set_limit(*limit);
    return m_pace.try_take(m_hooks.now());
}

void warm_up_gate::claim()
{
    auto const now = m_hooks.now();
    if (m_is_claiming || (m_refused_at && now - *m_refused_at < claim_retry_delay)) {
        return;
    }
    m_is_claiming = true;
    m_hooks.claim([this](std::optional<monotonic_time> ends_at) {
        m_is_claiming = false;
        m_lease_ends_at = ends_at;
        m_refused_at = ends_at ? std::nullopt : std::optional(m_hooks.now());
    });
}

} // namespace greengagehitch
