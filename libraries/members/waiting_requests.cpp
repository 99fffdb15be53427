#include "members/waiting_requests.h"

namespace greengagehitch {

std::uint64_t waiting_requests::add(wait_reason reason, monotonic_time now)
{
    auto const number = m_next_number++;
    m_requests[number] = {reason, now};
    return number;
}

void waiting_requests::set_reason(std::uint64_t number, wait_reason reason)
{
    if (auto const found = m_requests.find(number); found != m_requests.end()) {
        found->second.reason = reason;
    }
}

void waiting_requests::remove(std::uint64_t number)
{
    m_requests.erase(number);
}

waiting_requests::summary waiting_requests::sum_up(monotonic_time now) const
{
    summary result;
    for (auto const& [number, request] : m_requests) {
        ++result.counts[static_cast<std::size_t>(request.reason)];
    }
    if (!m_requests.empty()) {
        result.longest = now - m_requests.begin()->second.arrived_at;
    }
    return result;
}

} // namespace greengagehitch
