#include "kernel/kernel.h"

#include <utility>

namespace greengagehitch {

namespace {

/// Phases of periodic callbacks are chosen below this, which is above all periods.
constexpr duration max_phase = std::chrono::minutes(1);

} // namespace

kernel::kernel(kernel_hooks hooks) : m_hooks(std::move(hooks)) {}

kernel::~kernel()
{
    m_lifetime.reset();
    // A service may refer to services registered before it, so they are destroyed in reverse order.
    while (!m_services.empty()) {
        m_services.pop_back();
    }
}

timer_id kernel::start_timer(duration delay, std::function<void()> callback)
{
    return m_hooks.start_timer(delay, guard(std::move(callback)));
}

void kernel::start_periodic(duration period, std::function<void()> callback)
{
    auto const repeat = std::make_shared<std::function<void()>>();
    *repeat = [this, period, callback = std::move(callback), weak = std::weak_ptr(repeat)] {
        callback();
        if (auto const next = weak.lock()) {
            start_timer(time_to_next(period), [next] { (*next)(); });
        }
    };
    start_timer(time_to_next(period), [repeat] { (*repeat)(); });
}

duration kernel::time_to_next(duration period)
{
    if (!m_phase) {
        m_phase =
            duration(static_cast<duration::rep>(random_below(static_cast<std::uint64_t>(max_phase.count()))));
    }
    return period - (now().time_since_epoch() + *m_phase) % period;
}

void kernel::log(log_level level, std::string_view service, std::string_view message,
                 Json::Value fields) const
{
    m_hooks.log(log_record{level, std::string(service), std::string(message), std::move(fields)});
}

void kernel::add(std::unique_ptr<service> new_service)
{
    VERIFY(find_service(new_service->name()) == nullptr);
    m_services.push_back(std::move(new_service));
}

void kernel::start()
{
    for (auto const& each : m_services) {
        each->start();
    }
}

Json::Value kernel::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& each : m_services) {
        state[std::string(each->name())] = each->dump();
    }
    return state;
}

service* kernel::find_service(std::string_view name) const
{
    for (auto const& each : m_services) {
        if (each->name() == name) {
            return each.get();
        }
    }
    return nullptr;
}

} // namespace greengagehitch
