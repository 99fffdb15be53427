#include "limits/lender_lease.h"

#include <algorithm>
#include <functional>

#include "limits/lease_vote.h"

namespace greengagehitch {

namespace {

/// Age of the votes at which a lender that uses its share requests them again.
constexpr duration renewal_age = std::chrono::milliseconds(80);
/// Shortest time between two requests.
constexpr duration request_period = std::chrono::milliseconds(20);
/// Time for which operations wait for a lease. It covers a lost request.
constexpr duration pending_time = std::chrono::milliseconds(60);

} // namespace

monotonic_time lender_lease::valid_until() const
{
    if (m_votes_needed == 0) {
        return monotonic_time::max();
    }
    if (m_counted_until.size() < m_votes_needed) {
        return {};
    }
    std::vector<monotonic_time> ends;
    for (auto const& [elector, until] : m_counted_until) {
        ends.push_back(until);
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[m_votes_needed - 1];
}

bool lender_lease::is_request_due(monotonic_time now) const
{
    auto const until = valid_until();
    return until != monotonic_time::max() && until - now <= counted_vote_length - renewal_age &&
           (!m_requested_at || now - *m_requested_at >= request_period);
}

bool lender_lease::is_pending(monotonic_time now) const
{
    return !is_valid(now) && m_wanted_since && now - *m_wanted_since < pending_time;
}

monotonic_time lender_lease::next_request_at() const
{
    return m_requested_at ? *m_requested_at + request_period : monotonic_time();
}

void lender_lease::begin_request(std::uint64_t number, std::vector<std::string> const& electors,
                                 monotonic_time now)
{
    if (is_valid(now)) {
        m_wanted_since.reset();
    }
    else if (!m_wanted_since || now - *m_requested_at >= pending_time) {
        m_wanted_since = now;
    }
    m_requested_at = now;
    std::erase_if(m_counted_until, [now](auto const& each) { return each.second <= now; });
    std::erase_if(m_requests,
                  [now](auto const& each) { return now - each.second.sent_at >= counted_vote_length; });
    for (auto const& elector : electors) {
        m_requests[number++] = {elector, now};
    }
}

std::optional<monotonic_time> lender_lease::take_request(std::uint64_t number, std::string const& elector)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end() || found->second.elector != elector) {
        return std::nullopt;
    }
    auto const sent_at = found->second.sent_at;
    m_requests.erase(found);
    return sent_at;
}

void lender_lease::add_vote(std::string const& elector, monotonic_time sent_at)
{
    auto& until = m_counted_until[elector];
    until = std::max(until, sent_at + counted_vote_length);
    if (is_valid(sent_at)) {
        m_wanted_since.reset();
    }
}

void lender_lease::clear()
{
    m_counted_until.clear();
    m_requests.clear();
    m_wanted_since.reset();
}

} // namespace greengagehitch
