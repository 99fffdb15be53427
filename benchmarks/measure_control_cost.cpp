#include <cmath>
#include <ctime>
#include <fstream>

#include <fmt/core.h>
#include <unistd.h>

#include "fleet_setup.h"
#include "measure_main.h"
#include "measure_report.h"
#include "virtual_fleet.h"

namespace greengagehitch {

namespace {

using namespace std::chrono_literals;

constexpr double target_fleet_size = 1'700;
constexpr double microseconds_per_second = 1e6;
constexpr duration warm_up_time = 10s;
constexpr duration measurement_time = 20s;
constexpr std::size_t zone_count = 13;

/// Resources that the control plane needs per VM at one fleet size.
struct vm_cost {
    double vms = 0;              ///< Number of VMs in the fleet.
    double bytes_per_second = 0; ///< Sent in datagrams, IP and UDP headers included.
    double core_share = 0;       ///< Fraction of one processor core.
    double memory_mb = 0;        ///< Resident memory in units of 1024 * 1024 bytes.
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double resident_mb()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    constexpr double megabyte = 1024.0 * 1024.0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / megabyte;
}

vm_cost measure_size(std::size_t vms, std::uint64_t seed)
{
    auto shape = standin::umuganda_shape();
    shape.vms = vms;
    shape.zones.clear();
    for (std::size_t i = 0; i < zone_count; ++i) {
        shape.zones.push_back(fmt::format("zone-{}", i + 1));
    }
    // Each VM opens a connection and a control channel to each member, and max_connections must allow all of
    // them.
    shape.max_connections = 4 * vms;
    auto const memory_before = resident_mb();
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    standin::virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(warm_up_time);
    auto const bytes_before = fleet.datagram_bytes();
    auto const processor_before = processor_seconds();
    fleet.clock().run_for(measurement_time);
    auto const seconds = std::chrono::duration<double>(measurement_time).count();
    auto const count = static_cast<double>(vms);
    return {count, static_cast<double>(fleet.datagram_bytes() - bytes_before) / seconds / count,
            (processor_seconds() - processor_before) / seconds / count,
            (resident_mb() - memory_before) / count};
}

/// Extrapolates a figure to target_fleet_size along the line through the second and the last measurement,
/// over the logarithm of the fleet size. The first measurement is left out because in so small a fleet each
/// VM receives reports from all others, which is not the case in larger fleets.
double extrapolate(std::vector<vm_cost> const& costs, double vm_cost::*figure)
{
    auto const& first = costs[1];
    auto const& last = costs.back();
    auto const slope = std::max(0.0, (last.*figure - first.*figure) / std::log2(last.vms / first.vms));
    return last.*figure + slope * std::log2(target_fleet_size / last.vms);
}

int measure(std::uint64_t seed)
{
    measure_report report("control_cost");
    std::vector<vm_cost> costs;
    for (auto const vms : {8UL, 32UL, 128UL, 300UL}) {
        auto const cost_at_size = measure_size(vms, seed);
        costs.push_back(cost_at_size);
        report.add_figure(fmt::format("bytes_per_second_at_{}", vms), cost_at_size.bytes_per_second);
        report.add_figure(fmt::format("core_share_at_{}", vms), cost_at_size.core_share);
        report.add_figure(fmt::format("memory_mb_at_{}", vms), cost_at_size.memory_mb);
        report.add_figure(fmt::format("microseconds_per_second_at_{}", vms),
                          cost_at_size.core_share * microseconds_per_second);
    }
    report.add_maximum("core_share", 0.019, extrapolate(costs, &vm_cost::core_share));
    report.add_maximum("memory_mb", 128, extrapolate(costs, &vm_cost::memory_mb));
    report.add_maximum("bytes_per_second", 6'144, extrapolate(costs, &vm_cost::bytes_per_second));
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    return greengagehitch::run_seeded_measurement(
        argc, argv, "Measures the control-plane cost per VM at several fleet sizes", greengagehitch::measure);
}
