#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace greengagehitch {

/// Slots of one member that are occupied by requests of its broker. A request whose answer is overdue may be
/// running still, or its answer is lost; it stops counting once the member has answered a request that was
/// sent later. While every counted request is overdue, one more may start at intervals as a trial.
class slot_usage {
public:
    /// Occupies a slot; the request is not sent yet.
    void start(std::uint64_t id);
    /// Records that the request was sent, and the usual time to its answer.
    void record_sent(std::uint64_t id, monotonic_time now, duration usual_time);
    /// Frees the slot. `is_answered` tells whether the member answered the request.
    void finish(std::uint64_t id, bool is_answered);

    /// Number of slots that are occupied.
    std::size_t occupied(monotonic_time now) const;
    /// Returns true if one more request may be sent as a trial although all slots are occupied.
    bool allows_trial(monotonic_time now) const;
    void record_trial(monotonic_time now) { m_last_trial_at = now; }

    /// Number of requests whose answer is overdue.
    std::size_t overdue(monotonic_time now) const;

private:
    struct request {
        bool is_sent = false;
        monotonic_time sent_at;
        monotonic_time overdue_at;

        bool is_overdue(monotonic_time now) const { return is_sent && now >= overdue_at; }
    };

    bool counts(request const& request, monotonic_time now) const
    {
        return !request.is_overdue(now) || m_last_answered_sent_at <= request.sent_at;
    }

    std::map<std::uint64_t, request> m_requests;
    /// Latest time at which a request was sent that was answered.
    monotonic_time m_last_answered_sent_at;
    monotonic_time m_last_trial_at;
};

} // namespace greengagehitch
