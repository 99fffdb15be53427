#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <sys/epoll.h>

#include "kernel/event_loop.h"
#include "reactor/file_descriptor.h"

namespace greengagehitch {

/// Runs one thread's events: ready file descriptors, timers, and callbacks that other threads post.
class reactor {
public:
    using ready_callback = std::function<void(std::uint32_t events)>;

    reactor();

    /// Watches a descriptor for epoll events. Watching it again changes the events and the callback.
    void watch(int descriptor, std::uint32_t events, ready_callback callback);
    void unwatch(int descriptor);

    monotonic_time now() const;
    timer_id start_timer(duration delay, std::function<void()> callback);
    void cancel_timer(timer_id timer) { m_timers.cancel_timer(timer); }

    /// Runs `callback` on the reactor's thread. May be called from any thread.
    void post(std::function<void()> callback);

    /// Runs `callback` after each round of events.
    void set_after_iteration(std::function<void()> callback) { m_after_iteration = std::move(callback); }

    /// Runs until stop().
    void run();
    void stop() { m_is_stopped = true; }

    /// Runs one round: waits for events up to `max_wait`.
    void run_once(duration max_wait);

private:
    void run_posted();

    file_descriptor m_epoll;
    file_descriptor m_wake_up;
    std::unordered_map<int, std::shared_ptr<ready_callback>> m_callbacks;
    event_loop m_timers;
    std::function<void()> m_after_iteration;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
    bool m_is_stopped = false;
};

} // namespace greengagehitch
