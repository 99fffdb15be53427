#include "limits/lender_requests.h"

#include <utility>

namespace greengagehitch {

namespace {

/// Time after which an unanswered token request counts as lost.
constexpr duration grant_timeout = std::chrono::milliseconds(60);
/// Time for which a lender that did not answer is not asked again.
constexpr duration silent_lender_pause = std::chrono::milliseconds(300);

} // namespace

void lender_requests::expire(monotonic_time now)
{
    std::erase_if(m_requests, [&](auto const& each) {
        auto const is_lost = now - each.second.sent_at >= grant_timeout;
        if (is_lost) {
            m_pauses[each.second.lender] = {now + silent_lender_pause, true};
        }
        return is_lost;
    });
    std::erase_if(m_pauses, [now](auto const& each) { return each.second.until <= now; });
}

bool lender_requests::is_silent(std::string const& lender) const
{
    auto const pause = m_pauses.find(lender);
    return pause != m_pauses.end() && pause->second.is_silent;
}

std::optional<std::string> lender_requests::choose_lender(lenders const& lenders) const
{
    for (auto const& lender : {lenders.of_zone, lenders.of_fleet}) {
        if (lender == lenders.own_name || is_silent(lender)) {
            continue;
        }
        return m_pauses.contains(lender) ? std::nullopt : std::optional(lender);
    }
    for (auto const& lender : lenders.of_other_zones()) {
        if (lender != lenders.own_name && lender != lenders.of_fleet && !m_pauses.contains(lender)) {
            return lender;
        }
    }
    return std::nullopt;
}

void lender_requests::add(std::uint64_t number, request sent)
{
    m_asked_at = sent.sent_at;
    m_requests[number] = std::move(sent);
}

std::optional<lender_requests::request> lender_requests::take(std::uint64_t number, std::string const& lender)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end() || found->second.lender != lender) {
        return std::nullopt;
    }
    auto result = std::move(found->second);
    m_requests.erase(found);
    return result;
}

void lender_requests::pause(std::string const& lender, duration length, monotonic_time now)
{
    m_pauses[lender] = {now + length, false};
}

} // namespace greengagehitch
