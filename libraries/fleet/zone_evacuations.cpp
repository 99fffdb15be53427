#include "fleet/zone_evacuations.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Part of the limit that is reserved for a request on its way to the member.
constexpr duration send_margin = std::chrono::milliseconds(500);
/// Time for operators to make a request again that a restored store has lost.
constexpr duration lost_request_lifetime = std::chrono::seconds(10);

} // namespace

bool zone_evacuations::apply_request(std::string const& zone, store_position change,
                                     std::optional<monotonic_time> requested_after)
{
    if (change <= m_last_change) {
        return false;
    }
    m_last_change = change;
    auto const [entry, is_new] = m_zones.try_emplace(zone, zone_evacuation{change, requested_after, {}});
    entry->second.request = change;
    entry->second.missing_since.reset();
    return is_new;
}

bool zone_evacuations::apply_withdrawal(std::string const& zone, store_position change)
{
    if (change <= m_last_change) {
        return false;
    }
    m_last_change = change;
    return m_zones.erase(zone) != 0;
}

bool zone_evacuations::replace(requests_map const& requests, store_position position,
                               std::optional<monotonic_time> requested_after, monotonic_time now)
{
    auto is_changed = false;
    for (auto const& [zone, request] : requests) {
        auto const [entry, is_new] = m_zones.try_emplace(zone, zone_evacuation{request, requested_after, {}});
        entry->second.request = request;
        entry->second.missing_since.reset();
        is_changed = is_changed || is_new;
        m_last_change = std::max(m_last_change, request);
    }
    for (auto each = m_zones.begin(); each != m_zones.end();) {
        if (requests.contains(each->first)) {
            ++each;
            continue;
        }
        if (position.era > each->second.request.era) {
            each->second.missing_since = each->second.missing_since.value_or(now);
            ++each;
            continue;
        }
        each = m_zones.erase(each);
        m_last_change = std::max(m_last_change, position);
        is_changed = true;
    }
    return is_changed;
}

void zone_evacuations::skip_to(store_position change)
{
    m_last_change = std::max(m_last_change, change);
}

bool zone_evacuations::expire(monotonic_time now)
{
    return std::erase_if(m_zones, [now](auto const& each) {
               auto const& since = each.second.missing_since;
               return since && now - *since >= lost_request_lifetime;
           }) != 0;
}

bool zone_evacuations::may_send(std::string const& zone, duration limit, monotonic_time now) const
{
    auto const found = m_zones.find(zone);
    if (found == m_zones.end()) {
        return true;
    }
    auto const& after = found->second.requested_after;
    return after && now < *after + limit - send_margin;
}

zone_evacuations::requests_map zone_evacuations::requests() const
{
    requests_map requests;
    for (auto const& [zone, evacuation] : m_zones) {
        if (!evacuation.missing_since) {
            requests[zone] = evacuation.request;
        }
    }
    return requests;
}

} // namespace greengagehitch
