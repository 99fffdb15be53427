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

/// Event loop of one thread. It runs callbacks for ready file descriptors and timers, and callbacks that
/// other threads post.
class reactor {
public:
    using ready_callback = std::function<void(std::uint32_t events)>;

    reactor();

    /// Monitors a descriptor for epoll events. A second call for the same descriptor replaces the events and
    /// the callback.
    void watch(int descriptor, std::uint32_t events, ready_callback callback);
    void unwatch(int descriptor);

    monotonic_time now() const;
    timer_id start_timer(duration delay, std::function<void()> callback);
    void cancel_timer(timer_id timer) { m_timers.cancel_timer(timer); }

    /// Runs `callback` on the reactor's thread. May be called from any thread.
    void post(std::function<void()> callback);

    /// Sets a callback that runs at the end of each iteration of the event loop.
    void set_after_iteration(std::function<void()> callback) { m_after_iteration = std::move(callback); }

    /// Runs the event loop until stop() is called.
    void run();
    void stop() { m_is_stopped = true; }

    /// Runs one iteration of the event loop, which waits for events for at most `max_wait`.
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
