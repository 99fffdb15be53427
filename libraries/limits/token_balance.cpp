#include "limits/token_balance.h"

#include <algorithm>
#include <cmath>

#include "limits/rate_bounds.h"

namespace greengagehitch {

namespace {

/// Times around the accrual of a token may differ by rounding errors.
constexpr double rounding_tolerance = 1e-9;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void token_balance::update(monotonic_time now)
{
    if (now > m_refilled_at) {
        m_own = std::min(m_capacity, m_own + m_rate * seconds(now - m_refilled_at));
        m_refilled_at = now;
    }
    while (!m_borrowed.empty() && m_borrowed.front().expires_at <= now) {
        m_borrowed.pop_front();
    }
}

void token_balance::set_supply(double rate, double capacity, monotonic_time now)
{
    update(now);
    m_rate = rate;
    m_capacity = capacity;
    m_own = std::min(m_own, capacity);
}

void token_balance::recover(duration length, monotonic_time now)
{
    update(now);
    m_own = std::max(m_own, std::min(m_capacity, m_rate * seconds(length)));
}

bool token_balance::try_take(monotonic_time now)
{
    return lend(1, 0, now).tokens != 0;
}

token_balance::loan token_balance::lend(std::uint32_t wanted, double kept, monotonic_time now)
{
    auto const spare = std::floor(available(now) - kept + rounding_tolerance);
    loan result{0, lent_token_lifetime};
    if (spare < 1) {
        return result;
    }
    result.tokens = static_cast<std::uint32_t>(std::min(spare, static_cast<double>(wanted)));
    auto missing = result.tokens;
    while (missing > 0 && !m_borrowed.empty()) {
        auto& first = m_borrowed.front();
        auto const used = std::min(missing, first.tokens);
        result.lifetime = std::min(result.lifetime, first.expires_at - now);
        missing -= used;
        first.tokens -= used;
        if (first.tokens == 0) {
            m_borrowed.pop_front();
        }
    }
    m_own = std::max(0.0, m_own - missing);
    return result;
}

void token_balance::add_borrowed(std::uint32_t tokens, monotonic_time expires_at)
{
    if (tokens == 0) {
        return;
    }
    auto const position = std::upper_bound(
        m_borrowed.begin(), m_borrowed.end(), expires_at,
        [](monotonic_time time, borrowed_tokens const& each) { return time < each.expires_at; });
    m_borrowed.insert(position, {tokens, expires_at});
}

void token_balance::drop_own(monotonic_time now)
{
    update(now);
    m_own = 0;
}

double token_balance::borrowed() const
{
    double total = 0;
    for (auto const& each : m_borrowed) {
        total += each.tokens;
    }
    return total;
}

double token_balance::available(monotonic_time now)
{
    update(now);
    return (now < m_usable_until ? m_own : 0) + borrowed();
}

double token_balance::held(monotonic_time now)
{
    update(now);
    return m_own + borrowed();
}

duration token_balance::time_until(double tokens, monotonic_time now)
{
    auto const missing = tokens - available(now);
    if (missing <= 0) {
        return duration::zero();
    }
    if (m_rate <= 0 || tokens > std::max(1.0, m_capacity)) {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / m_rate)) +
           std::chrono::microseconds(1);
}

} // namespace greengagehitch
