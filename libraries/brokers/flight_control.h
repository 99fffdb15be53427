#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "brokers/recovery_pace.h"
#include "brokers/slot_usage.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Which waiting requests may be sent to a member at this moment.
enum class start_permission {
    none,
    repeatable, ///< Only those that may be run again if their answer is lost.
    any,
};

/// Decides how many requests a broker has in flight at a member, from its slots, its overdue requests and its
/// pace after a start or a failure.
class flight_control {
public:
    /// `on_pace_changed` is called when the state of the pace has changed.
    flight_control(std::size_t slots, bool paces_recovery,
                   std::function<void(recovery_pace const&)> on_pace_changed)
        : m_slots(slots), m_pace(paces_recovery), m_on_pace_changed(std::move(on_pace_changed))
    {
    }

    /// Paces the member, which has just started.
    void record_member_start(monotonic_time now);

    /// Number of requests that may be in flight; 0 for a short time after a trial failed.
    std::size_t limit(monotonic_time now) const { return m_pace.limit(full_limit(), now); }
    /// Number of requests that count towards the limit.
    std::size_t occupied(monotonic_time now) const;
    std::size_t overdue(monotonic_time now) const { return m_usage.overdue(now); }

    start_permission permission(monotonic_time now) const;

    /// Occupies a slot. Returns true if all were occupied, so that the request is a trial.
    bool start(std::uint64_t id, monotonic_time now);
    void record_sent(std::uint64_t id, monotonic_time now, duration usual_time)
    {
        m_usage.record_sent(id, now, usual_time);
    }
    void finish(std::uint64_t id, bool is_answered) { m_usage.finish(id, is_answered); }

    /// Records the outcome of a request sent at `sent_at`, with or without a slot.
    void record_outcome(bool needs_slot, std::optional<member_error> error, monotonic_time sent_at,
                        monotonic_time now, duration usual_time);
    void record_failed_handshake(member_error error, monotonic_time now);

    recovery_pace const& pace() const { return m_pace; }

private:
    std::size_t full_limit() const;
    void update_pace(std::function<void()> const& change);

    std::size_t m_slots;
    slot_usage m_usage;
    recovery_pace m_pace;
    std::function<void(recovery_pace const&)> m_on_pace_changed;
};

} // namespace greengagehitch
