#include "members/leader_absence.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Absences below this are lost requests or hand-overs, and tell nothing about takeovers.
constexpr duration shortest_takeover = std::chrono::milliseconds(300);
constexpr duration longest_usual_length = std::chrono::seconds(6);
constexpr int smoothing_divisor = 3;

} // namespace

void leader_absence::update(bool is_reachable, monotonic_time now)
{
    if (!is_reachable) {
        m_since = m_since.value_or(now);
        return;
    }
    if (!m_since) {
        return;
    }
    auto const length = now - *std::exchange(m_since, std::nullopt);
    if (length >= shortest_takeover) {
        m_usual_length += (std::min(length, longest_usual_length) - m_usual_length) / smoothing_divisor;
    }
}

duration leader_absence::expected_wait(monotonic_time now) const
{
    auto const elapsed = m_since ? now - *m_since : duration::zero();
    auto const rest = elapsed < m_usual_length ? m_usual_length - elapsed : elapsed - m_usual_length;
    return std::clamp<duration>(rest, shortest_wait, longest_usual_length);
}

} // namespace greengagehitch
