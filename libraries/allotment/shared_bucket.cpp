#include "allotment/shared_bucket.h"

#include <algorithm>

namespace greengagehitch {

namespace {

double fraction(share amount)
{
    return static_cast<double>(amount) / static_cast<double>(full_share);
}

} // namespace

void shared_bucket::set_limits(double rate, double burst, monotonic_time now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    drop_excess(now);
}

bool shared_bucket::take(double amount, monotonic_time now)
{
    refill(now);
    if (m_tokens < amount) {
        return false;
    }
    m_tokens -= amount;
    return true;
}

void shared_bucket::add(double amount, monotonic_time now)
{
    refill(now);
    m_tokens += amount;
    drop_excess(now);
}

void shared_bucket::drop_grant(monotonic_time now)
{
    m_ledger.set_owned(0);
    m_ledger.remove_expired(now);
    m_tokens = 0;
    m_refilled_at = std::max(m_refilled_at, now);
}

double shared_bucket::tokens(monotonic_time now)
{
    refill(now);
    return m_tokens;
}

void shared_bucket::refill(monotonic_time now)
{
    while (m_refilled_at < now) {
        // The share is constant between two changes, so each interval is filled at its own rate.
        auto const end = m_ledger.next_change(m_refilled_at, now);
        auto const share_fraction = fraction(m_ledger.available(m_refilled_at));
        auto const seconds = std::chrono::duration<double>(end - m_refilled_at).count();
        m_tokens = std::min(share_fraction * m_burst, m_tokens + share_fraction * m_rate * seconds);
        m_refilled_at = end;
        drop_excess(end);
    }
}

double shared_bucket::drop_excess(monotonic_time now)
{
    auto const capacity = fraction(m_ledger.available(now)) * m_burst;
    auto const excess = std::max(0.0, m_tokens - capacity);
    m_tokens -= excess;
    return excess;
}

} // namespace greengagehitch
