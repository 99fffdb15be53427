#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_record.h"
#include "base/time.h"
#include "base/verify.h"
#include "kernel/event_loop.h"
#include "kernel/service.h"

namespace greengagehitch {

/// Functions that the owner of a kernel provides. A daemon and a test pass different clocks, random sources,
/// timers and logs.
struct kernel_hooks {
    std::function<monotonic_time()> now;
    std::function<std::uint64_t()> random;
    std::function<timer_id(duration, std::function<void()>)> start_timer;
    std::function<void(timer_id)> cancel_timer;
    log_sink log;
};

/// Registry of the services of one entry VM, with the clock, timers, random source and log that they share.
class kernel {
public:
    explicit kernel(kernel_hooks hooks);
    ~kernel();
    kernel(kernel const&) = delete;
    kernel& operator=(kernel const&) = delete;
    kernel(kernel&&) = delete;
    kernel& operator=(kernel&&) = delete;

    monotonic_time now() const { return m_hooks.now(); }
    std::uint64_t random() const { return m_hooks.random(); }

    /// Random number in [0, bound).
    std::uint64_t random_below(std::uint64_t bound) const
    {
        return bound == 0 ? 0 : m_hooks.random() % bound;
    }

    /// Starts a timer. Its callback does not run once the kernel is destroyed.
    timer_id start_timer(duration delay, std::function<void()> callback);
    void cancel_timer(timer_id timer) { m_hooks.cancel_timer(timer); }

    /// Runs `callback` every `period` until the kernel is destroyed. Callbacks whose periods are multiples of
    /// each other run together, so that an idle VM seldom wakes up, but VMs run them at different times.
    void start_periodic(duration period, std::function<void()> callback);

    void log(log_level level, std::string_view service, std::string_view message,
             Json::Value fields = {}) const;

    /// Adds a service. No service with the same name may be registered yet.
    void add(std::unique_ptr<service> new_service);

    /// Starts all services in the order of their registration.
    void start();

    /// Finds a service by name and type. Aborts the process when there is no such service, since that is a
    /// programming error.
    template <typename Service>
    Service& find(std::string_view name) const
    {
        auto* const found = dynamic_cast<Service*>(find_service(name));
        VERIFY(found != nullptr);
        return *found;
    }

    /// Wraps a callback so that it does nothing once the kernel is destroyed.
    template <typename... Arguments, typename Callback>
    std::function<void(Arguments...)> guard(Callback callback) const
    {
        return [alive = std::weak_ptr<bool>(m_lifetime),
                callback = std::move(callback)](Arguments... arguments) {
            if (!alive.expired()) {
                callback(std::forward<Arguments>(arguments)...);
            }
        };
    }

    /// Pointer that expires when the kernel is destroyed. Callbacks that the hooks hold may outlive the
    /// kernel, so their objects check the pointer before they call the kernel or its services.
    std::weak_ptr<bool> lifetime() const { return m_lifetime; }

    /// Returns the state of all services, keyed by service name.
    Json::Value dump() const;

private:
    /// Returns the time until the next run of callbacks with this period.
    duration time_to_next(duration period);

    service* find_service(std::string_view name) const;

    kernel_hooks m_hooks;
    std::optional<duration> m_phase; ///< Offset of periodic callbacks; chosen at random for each VM.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
    std::vector<std::unique_ptr<service>> m_services;
};

} // namespace greengagehitch
