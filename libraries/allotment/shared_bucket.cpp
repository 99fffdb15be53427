#include "allotment/shared_bucket.h"

#include <algorithm>

namespace greengagehitch {

namespace {

double fraction(share amount)
{
    return static_cast<double>(amount) / static_cast<double>(whole_share);
}

} // namespace

void shared_bucket::set_limits(double rate, double burst, monotonic_time now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    cap(now);
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
    cap(now);
}

void shared_bucket::drop_grant(monotonic_time now)
{
    m_ledger.set_owned(0);
    m_ledger.forget_ended(now);
    m_tokens = 0;
    m_updated = std::max(m_updated, now);
}

double shared_bucket::tokens(monotonic_time now)
{
    refill(now);
    return m_tokens;
}

void shared_bucket::refill(monotonic_time now)
{
    while (m_updated < now) {
        // Shares are constant between two changes, so each stretch counts by its own.
        auto const end = m_ledger.next_change(m_updated, now);
        auto const part = fraction(m_ledger.available(m_updated));
        auto const seconds = std::chrono::duration<double>(end - m_updated).count();
        m_tokens = std::min(part * m_burst, m_tokens + part * m_rate * seconds);
        m_updated = end;
        cap(end);
    }
}

double shared_bucket::cap(monotonic_time now)
{
    auto const room = fraction(m_ledger.available(now)) * m_burst;
    auto const lost = std::max(0.0, m_tokens - room);
    m_tokens -= lost;
    return lost;
}

} // namespace greengagehitch
