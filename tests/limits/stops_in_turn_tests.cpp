#include <set>
#include <string>

#include <criterion/criterion.h>

#include "rate_load.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr duration stop_interval = 1260ms;
/// Time from the stop of a VM, when its callers leave, until its next process runs.
constexpr duration restart_time = 2600ms;

/// A fleet of 8 VMs in three zones with one account, whose VMs stop and start in turn.
class stops_fixture {
public:
    stops_fixture(double rate, std::uint64_t seed)
        : m_rate(rate), m_seed(seed), m_fleet(make_shape(rate), seed), m_admitted(m_fleet.clock())
    {
        m_fleet.clock().run_for(6s);
    }

    session_fleet& fleet() { return m_fleet; }

    /// Requests operations at the VMs that do not shut down, at a multiple of the sustained rate.
    void demand(double multiple, duration length)
    {
        std::vector<std::size_t> vms;
        for (std::size_t vm = 0; vm < m_fleet.vms(); ++vm) {
            if (m_fleet.is_running(vm) && !m_stopping.contains(vm)) {
                vms.push_back(vm);
            }
        }
        request_operations(m_fleet, vms, multiple * allowance_of_window(m_rate) / 5, length, m_admitted,
                           m_refused);
    }

    /// Stops each VM once, in turn, and starts it again. The demand rises after the first stop and falls
    /// after the last one.
    void stop_all_in_turn(double multiple)
    {
        for (std::size_t vm = 0; vm < m_fleet.vms(); ++vm) {
            m_stopping.insert(vm);
            m_fleet.stop_vm(vm);
            m_fleet.clock().start_timer(restart_time, [this, vm] { restart(vm); });
            demand(vm == 0 ? 0.2 : multiple, stop_interval);
        }
        demand(0.2, 8s);
    }

    void assert_every_window_is_within_the_bound() const
    {
        auto const most = static_cast<double>(m_admitted.max_in(5s));
        cr_assert(most <= max_operations_in_window(m_rate),
                  "seed %llu: %.0f operations in a window, %.0f allowed",
                  static_cast<unsigned long long>(m_seed), most, max_operations_in_window(m_rate));
    }

private:
    static session_fleet_shape make_shape(double rate)
    {
        auto shape = shape_with_rate(rate);
        shape.zones = {"a", "b", "c", "a", "b", "c", "a", "b"};
        shape.latency = 3ms;
        return shape;
    }

    void restart(std::size_t vm)
    {
        if (m_fleet.is_running(vm)) {
            m_fleet.kill_vm(vm);
        }
        m_fleet.start_vm(vm);
        m_stopping.erase(vm);
    }

    double m_rate;
    std::uint64_t m_seed;
    session_fleet m_fleet;
    admission_count m_admitted;
    std::size_t m_refused = 0;
    std::set<std::size_t> m_stopping;
};

} // namespace

/// Failure: VMs stop and start in turn while an account asks for several times its rate.
Test(stops_in_turn, account_beyond_its_rate_exceeds_no_window)
{
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        stops_fixture fixture(206, seed);
        fixture.stop_all_in_turn(4);
        fixture.stop_all_in_turn(4);
        fixture.assert_every_window_is_within_the_bound();
    }
}
