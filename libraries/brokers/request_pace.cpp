#include "brokers/request_pace.h"

namespace greengagehitch {

namespace {

constexpr duration window = std::chrono::seconds(1);
/// Stands for a wait without an end where no request is allowed.
constexpr duration endless_wait = std::chrono::hours(1);

} // namespace

bool request_pace::try_take(monotonic_time now)
{
    forget_old(now);
    if (m_sent.size() >= m_limit) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

duration request_pace::expected_wait(std::size_t ahead, monotonic_time now)
{
    forget_old(now);
    if (m_limit == 0) {
        return endless_wait;
    }
    if (m_sent.size() + ahead < m_limit) {
        return duration::zero();
    }
    // The request follows the one that is sent `m_limit` requests before it by one window.
    auto const predecessor = m_sent.size() + ahead - m_limit;
    auto const windows = static_cast<duration::rep>(predecessor / m_limit);
    auto const index = predecessor % m_limit;
    auto const base = index < m_sent.size() ? m_sent[index] : now;
    return base + window * (windows + 1) - now;
}

void request_pace::forget_old(monotonic_time now)
{
    while (!m_sent.empty() && now - m_sent.front() > window) {
        m_sent.pop_front();
    }
}

} // namespace greengagehitch
