#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/time.h"

namespace greengagehitch {

enum class timer_id : std::uint64_t { none = 0 };

/// Queue of callbacks, ordered by due time. Callbacks with the same due time run in the order in which they
/// were added, so that runs are reproducible. The loop has neither a clock nor a thread: its owner passes the
/// current time.
class event_loop {
public:
    event_loop() = default;

    /// Adds a callback that runs at `due`.
    timer_id start_timer(monotonic_time due, std::function<void()> callback);

    /// Removes the callback of a timer. Unknown and expired timers are ignored.
    void cancel_timer(timer_id timer);

    /// Runs all callbacks that are due at `now`, including due ones that these callbacks add. Returns the
    /// number of callbacks that ran.
    std::size_t run_due(monotonic_time now);

    /// Calls `set_now`, unless it is empty, with the due time of the earliest callback, then runs that
    /// callback even if it is not due yet. Returns the due time, or std::nullopt when no callback is waiting.
    std::optional<monotonic_time> run_next(std::function<void(monotonic_time)> const& set_now);

    /// Returns the due time of the earliest callback, or std::nullopt when no callback is waiting.
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
