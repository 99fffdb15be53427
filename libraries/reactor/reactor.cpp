#include "reactor/reactor.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

#include <sys/eventfd.h>

#include "base/verify.h"

namespace greengagehitch {

namespace {

constexpr std::size_t max_events_per_iteration = 256;
constexpr duration max_idle_wait = std::chrono::seconds(1);

} // namespace

reactor::reactor() : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wake_up(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(m_epoll.is_valid());
    VERIFY(m_wake_up.is_valid());
    watch(m_wake_up.get(), EPOLLIN, [this](std::uint32_t /*events*/) {
        std::uint64_t count = 0;
        // Reading only resets the event; run_posted() takes the posted callbacks under the lock.
        [[maybe_unused]] auto const size = ::read(m_wake_up.get(), &count, sizeof(count));
        run_posted();
    });
}

void reactor::watch(int descriptor, std::uint32_t events, ready_callback callback)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    auto const is_new = !m_callbacks.contains(descriptor);
    auto const code = epoll_ctl(m_epoll.get(), is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, descriptor, &event);
    VERIFY(code == 0);
    m_callbacks[descriptor] = std::make_shared<ready_callback>(std::move(callback));
}

void reactor::unwatch(int descriptor)
{
    if (m_callbacks.erase(descriptor) != 0) {
        epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

monotonic_time reactor::now() const
{
    // CLOCK_BOOTTIME includes time during which the machine was suspended, in which leases expire and
    // confirmed positions become outdated.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return monotonic_time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

timer_id reactor::start_timer(duration delay, std::function<void()> callback)
{
    return m_timers.start_timer(now() + std::max(delay, duration::zero()), std::move(callback));
}

void reactor::post(std::function<void()> callback)
{
    {
        std::lock_guard const lock(m_mutex);
        m_posted.push_back(std::move(callback));
    }
    std::uint64_t const one = 1;
    [[maybe_unused]] auto const size = ::write(m_wake_up.get(), &one, sizeof(one));
}

void reactor::run()
{
    while (!m_is_stopped) {
        run_once(max_idle_wait);
    }
}

void reactor::run_once(duration max_wait)
{
    auto wait = max_wait;
    if (auto const due = m_timers.next_due()) {
        wait = std::clamp(*due - now(), duration::zero(), max_wait);
    }
    std::array<epoll_event, max_events_per_iteration> events{};
    // Not every Linux kernel has epoll_pwait2(), so waits are rounded up to whole milliseconds.
    auto const milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    auto const count =
        epoll_wait(m_epoll.get(), events.data(), events.size(), static_cast<int>(milliseconds));
    for (int i = 0; i < count; ++i) {
        auto const& event = events[static_cast<std::size_t>(i)];
        auto const found = m_callbacks.find(event.data.fd);
        if (found != m_callbacks.end()) {
            // Holds a reference, because the callback may unwatch its own descriptor.
            auto const callback = found->second;
            (*callback)(event.events);
        }
    }
    m_timers.run_due(now());
    if (m_after_iteration) {
        m_after_iteration();
    }
}

void reactor::run_posted()
{
    std::vector<std::function<void()>> posted;
    {
        std::lock_guard const lock(m_mutex);
        posted.swap(m_posted);
    }
    for (auto const& callback : posted) {
        callback();
    }
}

} // namespace greengagehitch
