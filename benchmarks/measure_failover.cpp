#include <algorithm>

#include <fmt/core.h>

#include "fleet_setup.h"
#include "measure_main.h"
#include "measure_report.h"
#include "parallel_runs.h"
#include "workload.h"

namespace greengagehitch {

namespace {

using namespace std::chrono_literals;
using standin::deployment_shape;
using standin::virtual_fleet;

constexpr duration warm_up_time = 2s;
constexpr duration longest_gap = 15s;
constexpr duration probe_period = 10ms;
constexpr std::size_t seeds_per_shape = 20;

/// Failure that a run injects: `killed` stops the primary, `cut_off` isolates its zone from the other zones
/// and the platform, and `cut_off_store_down` makes the platform's store unavailable as well.
enum class fault { killed, cut_off, cut_off_store_down };

constexpr std::array fault_names{
    enum_name<fault>{fault::killed, "killed"},
    enum_name<fault>{fault::cut_off, "cut_off_but_accepting"},
    enum_name<fault>{fault::cut_off_store_down, "cut_off_and_store_down"},
};

/// Longest gaps between two successful calls.
struct gap_result {
    double write_gap_ms = 0;
    double read_gap_ms = 0;
};

void inject_fault(virtual_fleet& fleet, fault kind)
{
    auto const zone = fleet.databases().zone_of("db-1", 0);
    if (kind == fault::killed) {
        fleet.databases().group("db-1").member(0).kill();
        return;
    }
    if (kind == fault::cut_off_store_down) {
        fleet.platform().set_down(true);
    }
    fleet.cut_zone(zone, true, true);
}

/// Measures the longest time without an acknowledged write, and the longest without an answered read, as
/// observed by callers outside the primary's zone.
gap_result measure_gap(deployment_shape const& shape, std::uint64_t seed, fault kind)
{
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(warm_up_time + duration(fleet.clock().random_below(500'000'000)));
    auto const zone = fleet.databases().zone_of("db-1", 0);
    std::vector<std::size_t> vms_outside_zone;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.zone_of(i) != zone) {
            vms_outside_zone.push_back(i);
        }
    }
    auto last_write = fleet.now();
    auto last_read = fleet.now();
    gap_result result;
    std::function<void()> const send_probes = [&] {
        caller_request write;
        write.class_name = "bookings";
        write.database = "db-1";
        write.key = setup.key_of_account.at(standin::account_name(0));
        write.statements.push_back(
            {"insert into entries (session, name, value) values ('gap', 'gap', 1)", {}});
        fleet.call(vms_outside_zone[fleet.clock().random_below(vms_outside_zone.size())], write,
                   [&](caller_response const& response) {
                       if (std::holds_alternative<caller_answer>(response)) {
                           result.write_gap_ms =
                               std::max(result.write_gap_ms, to_milliseconds(fleet.now() - last_write));
                           last_write = fleet.now();
                       }
                   });
        auto read = write;
        read.class_name = "own_reads";
        read.statements.front().sql = "select 1";
        fleet.call(vms_outside_zone[fleet.clock().random_below(vms_outside_zone.size())], read,
                   [&](caller_response const& response) {
                       if (std::holds_alternative<caller_answer>(response)) {
                           result.read_gap_ms =
                               std::max(result.read_gap_ms, to_milliseconds(fleet.now() - last_read));
                           last_read = fleet.now();
                       }
                   });
    };
    auto const run_probes = [&](duration length) {
        for (auto const end = fleet.now() + length; fleet.now() < end;) {
            send_probes();
            fleet.clock().run_for(probe_period);
        }
    };
    run_probes(500ms);
    result = {};
    inject_fault(fleet, kind);
    run_probes(longest_gap / 3);
    result.write_gap_ms = std::max(result.write_gap_ms, to_milliseconds(fleet.now() - last_write));
    return result;
}

/// Counts promotions during 10 minutes in which no database fails. 5 % of the datagrams are lost, and one
/// zone cannot reach the platform.
std::size_t count_needless_promotions(deployment_shape const& shape, std::uint64_t seed)
{
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(warm_up_time);
    std::size_t promotions = 0;
    fleet.set_trace([&promotions](std::string const& line) {
        promotions += line.find("promoted a member") != std::string::npos ? 1 : 0;
    });
    fleet.network().set_loss(0.05);
    fleet.network().set_cut(shape.zones.back(), standin::virtual_network::platform, true);
    standin::workload_options options;
    options.sessions = 6;
    options.think_time = 500ms;
    standin::workload load(fleet, setup, options);
    load.start();
    fleet.clock().run_for(10min);
    return promotions;
}

/// Number of deposits, and of those whose effect differs from the reported outcome.
struct deposit_result {
    std::size_t deposits = 0;      ///< Deposits that were answered, whatever the answer.
    std::size_t duplicated = 0;    ///< Deposits that were applied more than once.
    std::size_t lost = 0;          ///< Acknowledged deposits that are missing.
    std::size_t false_not_run = 0; ///< Deposits that were reported as not run but were applied.
};

/// Runs deposits while 5 % of the databases' answers are lost, and checks afterwards that each deposit was
/// applied as reported.
deposit_result run_deposits(deployment_shape const& shape, std::uint64_t seed)
{
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(warm_up_time);
    fleet.databases().set_lost_answer_share(0.05);
    standin::workload_options options;
    options.deposit_share = 1;
    options.sessions = 12;
    standin::workload load(fleet, setup, options);
    load.start();
    constexpr std::size_t minimum_answered = 600;
    while (load.results().acknowledged + load.results().not_run + load.results().unknown < minimum_answered) {
        fleet.clock().run_for(1s);
    }
    load.stop();
    fleet.databases().set_lost_answer_share(0);
    fleet.clock().run_for(40s);
    load.check_at_end();
    using standin::violation_kind;
    auto const& violation_counts = load.violations();
    return {load.results().acknowledged + load.results().not_run + load.results().unknown,
            violation_counts.count(violation_kind::duplicated_write),
            violation_counts.count(violation_kind::acknowledged_write_lost),
            violation_counts.count(violation_kind::executed_write_reported_not_run)};
}

int measure(std::uint64_t first_seed)
{
    measure_report report("failover");
    std::vector<double> write_gaps;
    std::vector<double> read_gaps;
    std::size_t promotions = 0;
    deposit_result deposits;
    for (auto const& shape : {standin::umuganda_shape(), standin::bagmati_shape()}) {
        for (auto const& kind : fault_names) {
            std::vector<double> write_gaps_of_fault;
            auto const results = run_in_parallel<gap_result>(seeds_per_shape, [&](std::size_t i) {
                return measure_gap(shape, first_seed + i, kind.value);
            });
            for (auto const& result : results) {
                write_gaps_of_fault.push_back(result.write_gap_ms);
                read_gaps.push_back(result.read_gap_ms);
            }
            write_gaps.insert(write_gaps.end(), write_gaps_of_fault.begin(), write_gaps_of_fault.end());
            auto const name = fmt::format("{}_{}", shape.name, kind.name);
            report.add_figure(name + "_write_gap_median_ms", quantile(write_gaps_of_fault, 0.5));
            report.add_figure(name + "_write_gap_worst_ms", quantile(write_gaps_of_fault, 1));
        }
        for (auto const count : run_in_parallel<std::size_t>(seeds_per_shape, [&](std::size_t i) {
                 return count_needless_promotions(shape, first_seed + i);
             })) {
            promotions += count;
        }
        for (auto const& result : run_in_parallel<deposit_result>(
                 seeds_per_shape, [&](std::size_t i) { return run_deposits(shape, first_seed + i); })) {
            deposits.deposits += result.deposits;
            deposits.duplicated += result.duplicated;
            deposits.lost += result.lost;
            deposits.false_not_run += result.false_not_run;
        }
    }
    report.add_figure("seeds_per_shape", Json::UInt64(seeds_per_shape));
    report.add_figure("read_gap_worst_ms", quantile(read_gaps, 1));
    report.add_figure("deposits", Json::UInt64(deposits.deposits));
    report.add_figure("quiet_minutes", Json::UInt64(10UL * 2 * seeds_per_shape));
    report.add_maximum("write_gap_median_ms", 1'000, quantile(write_gaps, 0.5));
    report.add_maximum("write_gap_worst_ms", 2'000, quantile(write_gaps, 1));
    report.add_exact("needless_promotions", 0, static_cast<double>(promotions));
    report.add_exact("acknowledged_writes_lost", 0, static_cast<double>(deposits.lost));
    report.add_exact("doubled_deposits", 0, static_cast<double>(deposits.duplicated));
    report.add_exact("false_not_run", 0, static_cast<double>(deposits.false_not_run));
    report.add_minimum("deposits", 10'000, static_cast<double>(deposits.deposits));
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    return greengagehitch::run_seeded_measurement(
        argc, argv,
        "Measures write and read gaps, needless promotions and lost writes of failover in virtual time",
        greengagehitch::measure);
}
