#include "members/connection_share.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// A member's limit divided by this is the number of connections that the broker leaves to the standby VMs.
constexpr std::size_t reserve_divisor = 6;
/// Time for which a report counts. A member drops the connections of a lost VM after 3 s, and the last report
/// may be one report period old when the VM is lost.
constexpr duration report_lifetime = std::chrono::seconds(4);
/// Time after a refusal for which no further connection is opened; other VMs close theirs within this time.
constexpr duration refusal_pause = std::chrono::milliseconds(200);
/// Time in which the limit rises by one connection after the pause. A handshake takes about as long.
constexpr duration recovery_step = std::chrono::milliseconds(20);

} // namespace

std::size_t connection_share::limit(connection_role role, std::size_t accepted, monotonic_time now) const
{
    auto const reserve = std::max<std::size_t>(1, accepted / reserve_divisor);
    std::size_t limit = 1;
    if (role == connection_role::broker) {
        auto const others = std::max(reserve, held_by_others(now));
        limit = accepted - std::min(accepted, others);
    }
    else if (role == connection_role::standby) {
        limit = reserve / reserve_parts;
    }
    if (m_refused_at) {
        auto const recovering = now - *m_refused_at - refusal_pause;
        auto const regained = std::max<duration::rep>(0, recovering / recovery_step);
        limit = std::min(limit, m_held_at_refusal + static_cast<std::size_t>(regained));
    }
    return std::max<std::size_t>(1, limit);
}

void connection_share::record_report(std::string const& vm, std::size_t connections, monotonic_time now)
{
    if (connections == 0) {
        forget(vm);
        return;
    }
    m_reports[vm] = {connections, now};
}

void connection_share::record_refusal(std::size_t held, monotonic_time now)
{
    ++m_refusals;
    m_held_at_refusal = held;
    m_refused_at = now;
}

std::size_t connection_share::held_by_others(monotonic_time now) const
{
    std::size_t held = 0;
    for (auto const& [vm, each] : m_reports) {
        if (now - each.received_at < report_lifetime) {
            held += each.connections;
        }
    }
    return held;
}

} // namespace greengagehitch
