#include "brokers/slot_usage.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Multiple of the usual time after which an answer is overdue; covers long statements of the same class.
constexpr int overdue_factor = 4;
constexpr duration min_overdue_time = std::chrono::milliseconds(80);
constexpr duration trial_interval = std::chrono::milliseconds(100);

} // namespace

void slot_usage::start(std::uint64_t id)
{
    m_requests[id];
}

void slot_usage::record_sent(std::uint64_t id, monotonic_time now, duration usual_time)
{
    auto const found = m_requests.find(id);
    if (found != m_requests.end()) {
        found->second = {true, now, now + std::max(min_overdue_time, usual_time * overdue_factor)};
    }
}

void slot_usage::finish(std::uint64_t id, bool is_answered)
{
    auto const found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    if (is_answered && found->second.is_sent) {
        m_last_answered_sent_at = std::max(m_last_answered_sent_at, found->second.sent_at);
    }
    m_requests.erase(found);
}

std::size_t slot_usage::occupied(monotonic_time now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_requests.begin(), m_requests.end(), [&](auto const& each) { return counts(each.second, now); }));
}

bool slot_usage::allows_trial(monotonic_time now) const
{
    return now - m_last_trial_at >= trial_interval &&
           std::all_of(m_requests.begin(), m_requests.end(), [&](auto const& each) {
               return each.second.is_overdue(now) || !counts(each.second, now);
           });
}

std::size_t slot_usage::overdue(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [now](auto const& each) { return each.second.is_overdue(now); }));
}

} // namespace greengagehitch
