#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "fault_schedule.h"
#include "measure_report.h"
#include "workload.h"

namespace greengagehitch {

namespace {

using namespace std::chrono_literals;

/// Time under load after the last fault.
constexpr duration recovery_time = 5s;
/// Time without load after that, long enough for every call to be answered.
constexpr duration drain_time = 45s;
constexpr duration mean_fault_interval = 1500ms;

int run_soak(duration length, std::uint64_t seed, bool is_bagmati)
{
    auto const shape = is_bagmati ? standin::bagmati_shape() : standin::umuganda_shape();
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    standin::virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(2s);
    standin::workload load(fleet, setup, {});
    standin::fault_schedule faults(fleet, mean_fault_interval);
    load.start();
    faults.start();
    fleet.clock().run_for(length);
    faults.stop();
    fleet.clock().run_for(recovery_time);
    load.stop();
    fleet.clock().run_for(drain_time);
    load.check_at_end();
    measure_report report("soak");
    auto const& results = load.results();
    report.add_figure("seed", Json::UInt64(seed));
    report.add_figure("shape", shape.name);
    report.add_figure("virtual_seconds", std::chrono::duration<double>(length).count());
    report.add_figure("faults", Json::UInt64(faults.history().size()));
    report.add_figure("calls", Json::UInt64(results.calls));
    report.add_figure("acknowledged", Json::UInt64(results.acknowledged));
    report.add_figure("not_run", Json::UInt64(results.not_run));
    report.add_figure("unknown", Json::UInt64(results.unknown));
    report.add_figure("reads", Json::UInt64(results.reads));
    report.add_figure("replica_reads", Json::UInt64(results.replica_reads));
    std::size_t violations = 0;
    if (!load.violations().is_empty()) {
        violations = load.violations().lines().size();
        for (auto const& line : faults.history()) {
            fmt::print("{}\n", line);
        }
        for (auto const& line : load.violations().lines()) {
            fmt::print("violation: {}\n", line);
        }
    }
    report.add_minimum("acknowledged", 1, static_cast<double>(results.acknowledged));
    report.add_exact("violations", 0, static_cast<double>(violations));
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command_line(
            "Injects random faults under load in virtual time and checks the consistency guarantees", ' ',
            "0.1.0");
        TCLAP::ValueArg<int> seconds("", "seconds", "virtual seconds with fault injection", false, 60,
                                     "seconds", command_line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random numbers", false, 1, "seed",
                                            command_line);
        TCLAP::SwitchArg bagmati(
            "", "bagmati", "use the deployment shape of Bagmati instead of that of Umuganda", command_line);
        command_line.parse(argc, argv);
        return greengagehitch::run_soak(std::chrono::seconds(seconds.getValue()), seed.getValue(),
                                        bagmati.getValue());
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return 1;
    }
}
