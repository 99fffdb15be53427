#include "brokers/recovery_pace.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Multiple of the usual time after which an answer is late; run times of the same class vary by less.
constexpr int late_factor = 3;

} // namespace

void recovery_pace::begin(monotonic_time now)
{
    if (!m_is_enabled) {
        return;
    }
    m_state = pace_state::trial;
    m_entered_at = now;
    m_next_trial_at = now;
    m_window = 1;
    m_on_time_in_row = 0;
}

std::size_t recovery_pace::limit(std::size_t full_limit, monotonic_time now) const
{
    switch (m_state) {
    case pace_state::full:
        return full_limit;
    case pace_state::trial:
        return now < m_next_trial_at ? 0 : 1;
    case pace_state::ramp:
        return std::min(m_window, full_limit);
    }
    return full_limit;
}

bool recovery_pace::requires_repeatable(monotonic_time now) const
{
    return m_state == pace_state::trial && now < m_next_trial_at + repeatable_wait;
}

void recovery_pace::record_answer(std::size_t full_limit, monotonic_time sent_at, monotonic_time now,
                                  duration usual_time)
{
    m_failures_in_row = 0;
    if (m_state == pace_state::full) {
        return;
    }
    auto const time = now - sent_at;
    if (m_state == pace_state::trial) {
        if (sent_at < m_entered_at) {
            // The answer is to a request that was sent before the member failed.
            return;
        }
        m_state = pace_state::ramp;
        m_entered_at = now;
        m_shrunk_at = sent_at;
        m_window = 1;
        m_has_shrunk = false;
        m_on_time_in_row = 0;
        m_measure = time;
    }
    if (now - m_entered_at >= max_ramp) {
        finish(now);
        return;
    }
    if (time > late_factor * (usual_time > duration::zero() ? usual_time : m_measure)) {
        shrink(sent_at, now);
        return;
    }
    if (++m_on_time_in_row < m_window) {
        return;
    }
    if (m_window >= full_limit) {
        finish(now);
        return;
    }
    m_on_time_in_row = 0;
    m_window = std::min(m_has_shrunk ? m_window + 1 : 2 * m_window, full_limit);
}

void recovery_pace::record_rejection(monotonic_time sent_at, monotonic_time now)
{
    m_failures_in_row = 0;
    if (m_state == pace_state::trial) {
        m_next_trial_at = now + trial_interval;
    }
    else if (m_state == pace_state::ramp) {
        shrink(sent_at, now);
    }
}

void recovery_pace::record_failure(monotonic_time now)
{
    if (!m_is_enabled) {
        return;
    }
    if (m_state == pace_state::trial) {
        m_next_trial_at = now + trial_interval;
        return;
    }
    if (++m_failures_in_row >= failures_before_trial) {
        begin(now);
        m_next_trial_at = now + trial_interval;
        m_failures_in_row = 0;
    }
    else if (m_state == pace_state::ramp) {
        shrink(now, now);
    }
}

void recovery_pace::shrink(monotonic_time sent_at, monotonic_time now)
{
    m_on_time_in_row = 0;
    if (sent_at < m_shrunk_at) {
        // The request was in flight when the limit was last halved.
        return;
    }
    m_window = std::max<std::size_t>(1, m_window / 2);
    m_has_shrunk = true;
    m_shrunk_at = now;
}

void recovery_pace::finish(monotonic_time now)
{
    m_state = pace_state::full;
    m_last_ramp = now - m_entered_at;
}

} // namespace greengagehitch
