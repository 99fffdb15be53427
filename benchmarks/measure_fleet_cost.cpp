#include <algorithm>
#include <ctime>
#include <deque>

#include <fmt/core.h>

#include "measure_main.h"
#include "measure_report.h"
#include "session_fleet.h"

namespace greengagehitch {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t zone_count = 5;
constexpr std::size_t vms_per_group = 15;
constexpr double accounts_per_vm = 0.65;
constexpr std::size_t operations_per_vm_and_second = 8;
constexpr duration start_time = 14s;
constexpr duration serving_time = 10s;
constexpr duration step = 5ms;
constexpr duration caller_lifetime = 3s;

/// Resources per VM at one fleet size.
struct vm_cost {
    double start_ms = 0;         ///< Processor time in the first `start_time`, in milliseconds.
    double serving_ms = 0;       ///< Processor time for each second of `serving_time`, in milliseconds.
    double bytes_per_second = 0; ///< Datagrams sent while serving.
    double served_share = 0;     ///< Operations that succeeded, as a fraction of those sent.
};

double processor_ms()
{
    return 1e3 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Sends reads and writes of all accounts to all VMs and counts the successful ones.
class fleet_load {
public:
    fleet_load(standin::session_fleet& fleet, standin::session_fleet_shape const& shape)
        : m_fleet(fleet), m_shape(shape)
    {
    }

    void run_for(duration length)
    {
        auto const operations = operations_per_vm_and_second * m_fleet.vms() *
                                static_cast<std::size_t>(length / step) *
                                static_cast<std::size_t>(step / 1ms) / 1'000;
        auto const steps = static_cast<std::size_t>(length / step);
        for (std::size_t i = 0; i < steps; ++i) {
            while (m_sent * steps < operations * (i + 1)) {
                start_operation();
            }
            m_fleet.clock().run_for(step);
            discard_old_callers();
        }
    }

    double served_share()
    {
        while (!m_callers.empty()) {
            discard_first_caller();
        }
        return static_cast<double>(m_served) / static_cast<double>(std::max<std::size_t>(1, m_sent));
    }

private:
    struct running_caller {
        monotonic_time started_at;
        std::unique_ptr<standin::session_caller> caller;
    };

    void start_operation()
    {
        ++m_sent;
        auto& clock = m_fleet.clock();
        auto const consistency =
            clock.random_below(7) == 0 ? read_consistency::every_commit : read_consistency::own_writes;
        auto caller = std::make_unique<standin::session_caller>(
            m_fleet, clock.random_below(m_fleet.vms()),
            standin::session_fleet::database_of(clock.random_below(m_shape.groups), consistency),
            standin::session_fleet::key_of(clock.random_below(m_shape.accounts)));
        if (!caller->is_open()) {
            return;
        }
        caller->send(clock.random_below(6) == 0 ? standin::session_caller::write("x")
                                                : standin::session_caller::read("x"));
        m_callers.push_back({clock.now(), std::move(caller)});
    }

    void discard_old_callers()
    {
        while (!m_callers.empty() && m_fleet.clock().now() - m_callers.front().started_at > caller_lifetime) {
            discard_first_caller();
        }
    }

    void discard_first_caller()
    {
        auto const& answers = m_callers.front().caller->answers();
        m_served += !answers.empty() && answers.front().is_ok() ? 1 : 0;
        m_callers.front().caller->disconnect();
        m_callers.pop_front();
    }

    standin::session_fleet& m_fleet;
    standin::session_fleet_shape const& m_shape;
    std::deque<running_caller> m_callers;
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
};

vm_cost measure_size(std::size_t vms, std::uint64_t seed)
{
    standin::session_fleet_shape shape;
    shape.zones.clear();
    for (std::size_t i = 0; i < vms; ++i) {
        shape.zones.push_back(std::string(1, static_cast<char>('a' + i % zone_count)));
    }
    shape.groups = std::max<std::size_t>(1, vms / vms_per_group);
    shape.accounts =
        std::max<std::size_t>(2, static_cast<std::size_t>(accounts_per_vm * static_cast<double>(vms)));
    shape.rate = 100;
    shape.group.max_connections = 4 * vms;
    auto const count = static_cast<double>(vms);
    auto const before = processor_ms();
    standin::session_fleet fleet(shape, seed);
    fleet.clock().run_for(start_time);
    vm_cost cost;
    cost.start_ms = (processor_ms() - before) / count;
    auto const bytes_before = fleet.datagram_bytes();
    auto const serving_before = processor_ms();
    fleet_load load(fleet, shape);
    load.run_for(serving_time);
    auto const seconds = std::chrono::duration<double>(serving_time).count();
    cost.serving_ms = (processor_ms() - serving_before) / seconds / count;
    cost.bytes_per_second = static_cast<double>(fleet.datagram_bytes() - bytes_before) / seconds / count;
    cost.served_share = load.served_share();
    return cost;
}

int measure(std::uint64_t seed)
{
    measure_report report("fleet_cost");
    std::vector<vm_cost> costs;
    for (auto const vms : {30UL, 100UL, 295UL}) {
        auto const cost = measure_size(vms, seed);
        costs.push_back(cost);
        report.add_figure(fmt::format("start_ms_at_{}", vms), cost.start_ms);
        report.add_figure(fmt::format("serving_ms_per_second_at_{}", vms), cost.serving_ms);
        report.add_figure(fmt::format("bytes_per_second_at_{}", vms), cost.bytes_per_second);
        report.add_figure(fmt::format("served_share_at_{}", vms), cost.served_share);
    }
    auto const& smallest = costs.front();
    auto const& largest = costs.back();
    report.add_maximum("processor_growth", 1.3, largest.serving_ms / smallest.serving_ms);
    report.add_minimum("served_share", 0.95, largest.served_share);
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    return greengagehitch::run_seeded_measurement(
        argc, argv, "Measures the cost per VM of fleets that serve sessions, at several sizes",
        greengagehitch::measure);
}
