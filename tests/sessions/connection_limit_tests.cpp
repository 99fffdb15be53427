#include <algorithm>
#include <list>

#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Fleet whose callers use more accounts than a member accepts connections, and which records the greatest
/// number of connections of one member.
class busy_fleet {
public:
    explicit busy_fleet(std::size_t max_connections, std::size_t vms_per_zone = 3, duration interval = 2ms)
        : m_fleet(make_shape(max_connections, vms_per_zone), 5), m_interval(interval)
    {
        run_for(4s);
    }

    session_fleet& fleet() { return m_fleet; }
    std::size_t peak() const { return m_peak; }
    std::size_t refused() { return m_fleet.group().refused_connections(); }

    /// Sends statements at the interval, with the accounts and VMs in turn.
    void run_for(duration time)
    {
        auto const end = m_fleet.clock().now() + time;
        while (m_fleet.clock().now() < end) {
            ++m_sent;
            auto const vm = m_sent % m_fleet.vms();
            if (m_fleet.is_running(vm)) {
                m_callers.emplace_back(m_fleet, vm,
                                       session_fleet::database_of(0, read_consistency::every_commit),
                                       session_fleet::key_of(m_sent % accounts));
                if (m_callers.back().is_open()) {
                    m_callers.back().send(session_caller::read("x"));
                }
                else {
                    m_callers.pop_back();
                }
            }
            m_fleet.clock().run_for(m_interval);
            for (auto const& id : m_fleet.group().ids()) {
                m_peak = std::max(m_peak, m_fleet.group().connections(id));
            }
            std::erase_if(m_callers, [](auto& each) {
                if (each.answers().empty() && !each.was_closed()) {
                    return false;
                }
                each.disconnect();
                return true;
            });
        }
    }

private:
    static constexpr std::size_t accounts = 60;

    static session_fleet_shape make_shape(std::size_t max_connections, std::size_t vms_per_zone)
    {
        session_fleet_shape shape;
        shape.zones.clear();
        for (std::size_t i = 0; i < 3 * vms_per_zone; ++i) {
            shape.zones.emplace_back(1, "abc"[i % 3]);
        }
        shape.accounts = accounts;
        shape.group.max_connections = max_connections;
        return shape;
    }

    session_fleet m_fleet;
    duration m_interval;
    std::list<session_caller> m_callers;
    std::size_t m_sent = 0;
    std::size_t m_peak = 0;
};

} // namespace

/// Load pattern: rolling restart of all VMs while the accounts need more connections than a member accepts.
Test(connection_limit, rolling_restart_keeps_members_within_their_limit)
{
    busy_fleet busy(24);
    for (std::size_t vm = 0; vm < busy.fleet().vms(); ++vm) {
        busy.fleet().stop_vm(vm);
        while (busy.fleet().is_running(vm)) {
            busy.run_for(100ms);
        }
        busy.fleet().start_vm(vm);
        busy.run_for(1s);
    }
    cr_assert(busy.peak() <= 24, "%zu connections, %zu refused", busy.peak(), busy.refused());
    cr_assert(busy.refused() == 0, "%zu refused", busy.refused());
}

/// Failure: all VMs are killed and return at the same time.
Test(connection_limit, fleet_wide_restart_keeps_members_within_their_limit)
{
    busy_fleet busy(24);
    for (std::size_t vm = 0; vm < busy.fleet().vms(); ++vm) {
        busy.fleet().kill_vm(vm);
    }
    busy.run_for(500ms);
    for (std::size_t vm = 0; vm < busy.fleet().vms(); ++vm) {
        busy.fleet().start_vm(vm);
    }
    busy.run_for(5s);
    cr_assert(busy.peak() <= 24, "%zu connections, %zu refused", busy.peak(), busy.refused());
    cr_assert(busy.refused() == 0, "%zu refused", busy.refused());
}

/// Failure: VMs are killed one after the other, among them each broker.
Test(connection_limit, lost_brokers_keep_members_within_their_limit)
{
    busy_fleet busy(24);
    for (std::size_t vm = 0; vm < busy.fleet().vms(); ++vm) {
        busy.fleet().kill_vm(vm);
        busy.run_for(1s);
        busy.fleet().start_vm(vm);
        busy.run_for(2s);
    }
    cr_assert(busy.peak() <= 24, "%zu connections, %zu refused", busy.peak(), busy.refused());
    cr_assert(busy.refused() == 0, "%zu refused", busy.refused());
}

/// Load pattern: a member accepts fewer connections than the fleet has VMs.
Test(connection_limit, fewer_connections_than_vms_are_enough_for_all_vms)
{
    busy_fleet busy(6, 8, 20ms);
    busy.run_for(3s);
    cr_assert(busy.peak() <= 6, "%zu connections, %zu refused", busy.peak(), busy.refused());
    session_caller caller(busy.fleet(), 0, session_fleet::database_of(0, read_consistency::every_commit),
                          session_fleet::key_of(0));
    cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
}
