#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/time.h"

namespace greengagehitch {

enum class timer_id : std::uint64_t { none = 0 };

/// Queue of callbacks by due time. Callbacks with the same due time run in the order in which they were
/// added, so a run repeats exactly. The loop has no clock and no thread: its owner says what time it is.
class event_loop {
public:
    event_loop() = default;

    /// Adds a callback that is due at `due`.
    timer_id start_timer(monotonic_time due, std::function<void()> callback);

    /// Forgets a callback. Unknown and finished timers are ignored.
    void cancel_timer(timer_id timer);

    /// Runs the callbacks that are due at `now`, those that they add included.
    /// Returns the number of callbacks run.
    std::size_t run_due(monotonic_time now);

    /// Runs the earliest callback, whatever its due time, and returns that time; nothing when idle.
    std::optional<monotonic_time> run_next(std::function<void(monotonic_time)> const& set_now);

    /// Due time of the earliest callback.
    std::optional<monotonic_time> next_due() const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry_key {
        monotonic_time due;
        std::uint64_t sequence = 0;
        auto operator<=>(entry_key const&) const = default;
    };

    std::uint64_t m_next_sequence = 1;
    std::map<entry_key, std::function<void()>> m_entries;
    std::unordered_map<std::uint64_t, monotonic_time> m_due_by_sequence;
};

} // namespace greengagehitch
