#include "brokers/flight_control.h"

namespace greengagehitch {

namespace {

/// Number of requests sent to a member beyond its number of slots, so that a slot that becomes free need not
/// wait for the next request to arrive over the network.
constexpr std::size_t requests_beyond_slots = 1;

} // namespace

std::size_t flight_control::full_limit() const
{
    return m_slots + requests_beyond_slots;
}

void flight_control::record_member_start(monotonic_time now)
{
    update_pace([&] { m_pace.begin(now); });
}

std::size_t flight_control::occupied(monotonic_time now) const
{
    // A trial does not wait for requests that were lost when the member failed.
    return m_pace.state() == pace_state::trial ? m_usage.in_time(now) : m_usage.occupied(now);
}

start_permission flight_control::permission(monotonic_time now) const
{
    if (occupied(now) < limit(now)) {
        return m_pace.requires_repeatable(now) ? start_permission::repeatable : start_permission::any;
    }
    auto const is_trial = m_pace.state() != pace_state::trial && m_usage.allows_trial(now);
    return is_trial ? start_permission::repeatable : start_permission::none;
}

bool flight_control::start(std::uint64_t id, monotonic_time now)
{
    auto const is_trial = occupied(now) >= limit(now);
    if (is_trial) {
        m_usage.record_trial(now);
    }
    m_usage.start(id);
    return is_trial;
}

void flight_control::record_outcome(bool needs_slot, std::optional<member_error> error,
                                    monotonic_time sent_at, monotonic_time now, duration usual_time)
{
    if (!error) {
        // Commands that need no slot show that the member answers, but not how fast it works.
        if (needs_slot || m_pace.state() == pace_state::trial) {
            update_pace([&] { m_pace.record_answer(full_limit(), sent_at, now, usual_time); });
        }
    }
    else if (*error == member_error::busy || *error == member_error::failed) {
        update_pace([&] { m_pace.record_rejection(sent_at, now); });
    }
    else if (!is_answer(*error)) {
        update_pace([&] { m_pace.record_failure(now); });
    }
}

void flight_control::record_failed_handshake(member_error error, monotonic_time now)
{
    if (error != member_error::too_many_connections && error != member_error::busy) {
        update_pace([&] { m_pace.record_failure(now); });
    }
}

void flight_control::update_pace(std::function<void()> const& change)
{
    auto const before = m_pace.state();
    change();
    if (m_pace.state() != before && m_on_pace_changed) {
        m_on_pace_changed(m_pace);
    }
}

} // namespace greengagehitch
