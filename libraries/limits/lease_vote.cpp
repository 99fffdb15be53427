#include "limits/lease_vote.h"

#include <algorithm>

namespace greengagehitch {

bool lease_vote::request(std::string const& candidate, std::uint64_t number, bool is_first_choice,
                         monotonic_time now)
{
    auto const is_renewal = m_holder == candidate;
    if (!is_renewal && now < m_given_until) {
        return false;
    }
    auto const is_first_vote = m_holder.empty();
    if (is_first_vote && !is_first_choice) {
        return false;
    }
    m_holder = candidate;
    m_number = number;
    m_given_until = now + vote_length;
    return is_renewal || is_first_vote;
}

void lease_vote::release(std::string const& holder, std::uint64_t number, monotonic_time now)
{
    if (holder == m_holder && number > m_number) {
        m_given_until = std::min(m_given_until, now);
    }
}

} // namespace greengagehitch
