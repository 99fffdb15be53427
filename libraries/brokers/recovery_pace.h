#pragma once

#include <array>
#include <cstdint>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// State of a member as its broker paces it.
enum class pace_state {
    full,  ///< All slots are used.
    trial, ///< The member has just started or failed; one request at a time tests it.
    ramp,  ///< The member answers again; the number of requests in flight follows its answers.
};

inline constexpr std::array pace_state_names{
    enum_name<pace_state>{pace_state::full, "full"},
    enum_name<pace_state>{pace_state::trial, "trial"},
    enum_name<pace_state>{pace_state::ramp, "ramp"},
};

/// Limit on the requests in flight at a member that has just started or recovered. It grows once as many
/// answers in a row were on time as fit into it: twofold at first, and by one after it was halved by a late,
/// rejected or failed request. It is halved at most once for the requests in flight at that moment. The full
/// limit is in use again after a full set of answers on time, and after `max_ramp` at the latest.
class recovery_pace {
public:
    /// Failures in a row after which the member is tested again with one request.
    static constexpr std::size_t failures_before_trial = 3;
    /// Pause after a trial that failed.
    static constexpr duration trial_interval = std::chrono::milliseconds(100);
    /// Time for which a trial waits for a request that may be run again.
    static constexpr duration repeatable_wait = std::chrono::milliseconds(300);
    static constexpr duration max_ramp = std::chrono::seconds(5);

    /// A disabled pace always allows the full limit.
    explicit recovery_pace(bool is_enabled) : m_is_enabled(is_enabled) {}

    /// Starts with a trial, for a member that has just started.
    void begin(monotonic_time now);

    /// Returns the number of requests that may be in flight; `full_limit` unless the member is paced.
    std::size_t limit(std::size_t full_limit, monotonic_time now) const;
    /// Returns true if only a request that may be run again should start, as the first one after a failure.
    bool requires_repeatable(monotonic_time now) const;

    /// Records an answer to a request sent at `sent_at`. `usual_time` is the usual time to an answer; zero if
    /// it is not known, and then the first answer sets the measure.
    void record_answer(std::size_t full_limit, monotonic_time sent_at, monotonic_time now,
                       duration usual_time);
    /// Records that the member rejected a request or failed to run it.
    void record_rejection(monotonic_time sent_at, monotonic_time now);
    /// Records that a request was not answered, or that no connection could be opened.
    void record_failure(monotonic_time now);

    pace_state state() const { return m_state; }
    /// Time from the last trial that succeeded to full use; zero before the first one.
    duration last_ramp() const { return m_last_ramp; }

private:
    void shrink(monotonic_time sent_at, monotonic_time now);
    void finish(monotonic_time now);

    bool m_is_enabled;
    pace_state m_state = pace_state::full;
    std::size_t m_window = 1;
    bool m_has_shrunk = false; ///< Whether the limit was halved in this ramp.
    std::size_t m_on_time_in_row = 0;
    std::size_t m_failures_in_row = 0;
    duration m_measure{};        ///< Time of the first answer of the ramp.
    monotonic_time m_entered_at; ///< Time at which the state was entered.
    monotonic_time m_next_trial_at;
    monotonic_time m_shrunk_at;
    duration m_last_ramp{};
};

} // namespace greengagehitch
