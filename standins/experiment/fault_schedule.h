#pragma once

#include <functional>
#include <string>
#include <vector>

#include "virtual_fleet.h"

namespace greengagehitch::standin {

/// Injects random faults at random times and repairs each after a random delay. Several faults, also of the
/// same kind, may be active at once.
class fault_schedule {
public:
    fault_schedule(virtual_fleet& fleet, duration mean_interval)
        : m_fleet(fleet), m_mean_interval(mean_interval)
    {
    }

    void start() { schedule_next(); }

    /// Stops injecting faults and repairs all that are active. The lags of members keep their last values.
    void stop();

    /// Returns descriptions of the injected faults with their virtual times, for traces.
    std::vector<std::string> const& history() const { return m_history; }

private:
    void schedule_next();
    void inject_fault();
    void record_fault(std::string const& description);
    void repair_later(duration max_delay, std::function<void()> repair);

    void kill_vm();
    void pause_vm();
    void cut_zone();
    void kill_member();
    void pause_member();
    void disconnect_member_from_vms();
    void disconnect_member_from_group();
    void inject_platform_fault();
    void inject_network_fault();
    void drop_database_answers();
    void change_lag();

    std::string random_database();
    std::size_t random_member() { return m_fleet.clock().random_below(m_fleet.shape().members); }

    virtual_fleet& m_fleet;
    duration m_mean_interval;
    bool m_is_running = true;
    std::vector<std::string> m_history;
};

} // namespace greengagehitch::standin
