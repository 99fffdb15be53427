#include "members/connection_share.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// A member's limit divided by this is the number of connections that the broker leaves to the standby VMs.
constexpr std::size_t reserve_divisor = 6;
/// Time for which a report counts. A member drops the connections of a lost VM after 3 s, and the last report
/// may be one report period old when the VM is lost.
constexpr duration report_lifetime = std::chrono::seconds(4);
/// Age up to which a report may be followed by another: VMs report each second at least.
constexpr duration recent_report_age = std::chrono::milliseconds(1'200);
/// Time after a refusal for which no further connection is opened; other VMs close theirs within this time.
constexpr duration refusal_pause = std::chrono::milliseconds(200);
/// Time in which the limit rises by one connection after the pause. A handshake takes about as long.
constexpr duration recovery_step = std::chrono::milliseconds(20);

} // namespace

std::size_t connection_share::limit(connection_role role, std::size_t accepted, monotonic_time now) const
{
    auto const reserve = std::max<std::size_t>(1, accepted / reserve_divisor);
    // The next standby VM may open its part without a report.
    auto const others = std::max(reserve, left_to_others(now) + reserve / reserve_parts);
    auto const available = accepted - std::min(accepted, others);
    std::size_t limit = 1;
    switch (role) {
    case connection_role::broker:
        limit = available;
        break;
    case connection_role::former_broker:
        limit = std::max(reserve / reserve_parts, std::min(available, m_held_as_broker));
        break;
    case connection_role::standby:
        limit = reserve / reserve_parts;
        break;
    case connection_role::other:
        break;
    }
    if (m_refused_at) {
        auto const recovering = now - *m_refused_at - refusal_pause;
        auto const regained = std::max<duration::rep>(0, recovering / recovery_step);
        limit = std::min(limit, m_held_at_refusal + static_cast<std::size_t>(regained));
    }
    return std::max<std::size_t>(1, limit);
}

void connection_share::record_report(std::string const& vm, std::size_t connections, std::size_t limit,
                                     monotonic_time now)
{
    if (connections == 0) {
        forget(vm);
        return;
    }
    m_reports[vm] = {connections, limit, now};
}

void connection_share::record_refusal(std::size_t held, monotonic_time now)
{
    ++m_refusals;
    m_held_at_refusal = held;
    m_refused_at = now;
}

std::size_t connection_share::left_to_others(monotonic_time now) const
{
    std::size_t left = 0;
    for (auto const& [vm, each] : m_reports) {
        auto const age = now - each.received_at;
        if (age < recent_report_age) {
            left += std::max(each.connections, each.limit);
        }
        else if (age < report_lifetime) {
            left += each.connections;
        }
    }
    return left;
}

} // namespace greengagehitch
