#include <cmath>
#include <deque>
#include <map>

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

constexpr std::size_t seeds_per_shape = 20;
constexpr duration settle_time = 2s;
constexpr duration run_time = 30s;
constexpr duration lag_change_period = 5s;
constexpr duration position_sample_period = 5ms;
constexpr double shortest_lag_ms = 5;
constexpr double longest_lag_ms = 2'000;
/// Time after a session's last write during which the pinned baseline policy reads from the primary.
constexpr duration pin_time = 1s;

/// Replica reads and consistency violations of one baseline policy. The policies are only computed; no read
/// is sent under them.
struct policy_figures {
    std::size_t replica_reads = 0; ///< Reads that the policy would send to a replica.
    std::size_t violations = 0;    ///< Those for which the replica had not applied the required position.
};

struct run_figures {
    std::size_t reads = 0;               ///< All reads.
    std::size_t eligible = 0;            ///< Reads for which at least one replica was recent enough.
    std::size_t eligible_at_replica = 0; ///< Eligible reads that a replica served.
    std::size_t at_replica = 0;          ///< Reads that a replica served.
    std::size_t late = 0;                ///< Reads answered after their delay target.
    std::size_t refused = 0;             ///< Reads that no member served.
    std::size_t violations = 0;          ///< Violations of the consistency guarantees by the fleet.
    policy_figures any_replica;          ///< Policy that always reads from a replica, whatever its position.
    policy_figures pinned; ///< Like any_replica, but reads from the primary for pin_time after a write.

    /// Fraction of the eligible reads that replicas served; 1 if no read was eligible.
    double eligible_replica_share() const
    {
        return eligible == 0 ? 1 : static_cast<double>(eligible_at_replica) / static_cast<double>(eligible);
    }
};

/// Test oracle for reads. It knows the actual log positions of all members, which no VM does, and determines
/// for each read that arrives at a VM whether a replica could serve it.
class read_oracle {
public:
    read_oracle(virtual_fleet& fleet, standin::workload& load)
        : m_fleet(fleet), m_codec(entry_vm::make_session_codec(virtual_fleet::fleet_secret))
    {
        load.set_read_observer([this](auto const& event) { evaluate_read(event); },
                               [this](std::uint64_t id, served_by source) { record_answer(id, source); });
        sample_positions();
    }

    run_figures const& figures() const { return m_figures; }

private:
    /// Log position that the primary had applied at one time.
    struct position_sample {
        monotonic_time at;
        log_position position;
    };

    void sample_positions()
    {
        for (auto const& name : m_fleet.databases().names()) {
            auto const status = m_fleet.databases().group(name).member(0).status("");
            m_position_samples[name].push_back({m_fleet.now(), status.applied});
        }
        m_fleet.clock().start_timer(position_sample_period, [this] { sample_positions(); });
    }

    /// Log position that a read must include: that of its session token, or for classes with a freshness
    /// limit that of the primary (member 0) at the oldest permitted time.
    log_position required_position(standin::workload::read_event const& event) const
    {
        if (event.class_name == "own_reads") {
            return event.token.empty()
                       ? log_position{}
                       : m_codec.decode(event.token, event.account).token.position(event.database);
        }
        auto const freshness = event.class_name == "reads_1s" ? duration(1s) : duration(10s);
        log_position position;
        for (auto const& each : m_position_samples.at(event.database)) {
            if (each.at > m_fleet.now() - freshness) {
                break;
            }
            position = each.position;
        }
        return position;
    }

    void evaluate_read(standin::workload::read_event const& event)
    {
        auto const minimum_position = required_position(event);
        auto& group = m_fleet.databases().group(event.database);
        auto const has_applied = [&group, minimum_position](std::size_t member) {
            return group.member(member).status("").applied >= minimum_position;
        };
        auto const is_eligible = has_applied(1) || has_applied(2);
        m_eligibility[event.id] = is_eligible;
        ++m_figures.reads;
        m_figures.eligible += is_eligible ? 1 : 0;
        auto const chosen_member = 1 + event.id % 2;
        auto const is_violation = !has_applied(chosen_member);
        ++m_figures.any_replica.replica_reads;
        m_figures.any_replica.violations += is_violation ? 1 : 0;
        auto const is_pinned = event.last_write && m_fleet.now() - *event.last_write < pin_time;
        m_figures.pinned.replica_reads += is_pinned ? 0 : 1;
        m_figures.pinned.violations += !is_pinned && is_violation ? 1 : 0;
    }

    void record_answer(std::uint64_t id, served_by source)
    {
        auto const is_replica_read = source == served_by::replica;
        m_figures.at_replica += is_replica_read ? 1 : 0;
        m_figures.eligible_at_replica += is_replica_read && m_eligibility[id] ? 1 : 0;
        m_figures.refused += source == served_by::none ? 1 : 0;
        m_eligibility.erase(id);
    }

    virtual_fleet& m_fleet;
    session_codec m_codec;
    /// Keyed by database name; oldest sample first.
    std::map<std::string, std::deque<position_sample>> m_position_samples;
    /// Whether a replica could serve the read; keyed by read id.
    std::map<std::uint64_t, bool> m_eligibility;
    run_figures m_figures;
};

/// Gives each member a random replication lag between shortest_lag_ms and longest_lag_ms, distributed
/// evenly on a logarithmic scale, and repeats this every lag_change_period.
void randomize_lags(virtual_fleet& fleet)
{
    for (auto const& name : fleet.databases().names()) {
        for (std::size_t i = 0; i < fleet.shape().members; ++i) {
            auto const spread = std::log(longest_lag_ms / shortest_lag_ms) * fleet.clock().random_share();
            auto const lag = std::chrono::duration<double, std::milli>(shortest_lag_ms * std::exp(spread));
            fleet.databases().group(name).member(i).switches().lag =
                std::chrono::duration_cast<duration>(lag);
        }
    }
    fleet.clock().start_timer(lag_change_period, [&fleet] { randomize_lags(fleet); });
}

run_figures run_workload(deployment_shape const& shape, std::uint64_t seed)
{
    auto const setup = standin::make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    randomize_lags(fleet);
    fleet.clock().run_for(settle_time);
    standin::workload_options options;
    options.sessions = 40;
    options.write_share = 0.1;
    options.deposit_share = 0.02;
    options.fresh_read_share = 0.5;
    standin::workload load(fleet, setup, options);
    read_oracle oracle(fleet, load);
    load.start();
    fleet.clock().run_for(run_time);
    load.stop();
    fleet.clock().run_for(settle_time);
    load.check_at_end();
    auto figures = oracle.figures();
    figures.late = load.results().late_reads;
    figures.violations = load.violations().lines().size();
    return figures;
}

int measure(std::uint64_t first_seed)
{
    measure_report report("replica_reads");
    run_figures totals;
    double worst_share = 1;
    for (auto const& shape : {standin::umuganda_shape(), standin::bagmati_shape()}) {
        double worst_share_of_shape = 1;
        auto const results =
            run_in_parallel<run_figures>(seeds_per_shape, [&shape, first_seed](std::size_t i) {
                return run_workload(shape, first_seed + i);
            });
        for (auto const& result : results) {
            worst_share_of_shape = std::min(worst_share_of_shape, result.eligible_replica_share());
            totals.reads += result.reads;
            totals.eligible += result.eligible;
            totals.eligible_at_replica += result.eligible_at_replica;
            totals.at_replica += result.at_replica;
            totals.late += result.late;
            totals.refused += result.refused;
            totals.violations += result.violations;
            totals.any_replica.replica_reads += result.any_replica.replica_reads;
            totals.any_replica.violations += result.any_replica.violations;
            totals.pinned.replica_reads += result.pinned.replica_reads;
            totals.pinned.violations += result.pinned.violations;
        }
        report.add_figure(shape.name + "_worst_share", worst_share_of_shape);
        worst_share = std::min(worst_share, worst_share_of_shape);
    }
    auto const share_of_reads = [&totals](std::size_t count) {
        return static_cast<double>(count) / static_cast<double>(totals.reads);
    };
    report.add_figure("reads", Json::UInt64(totals.reads));
    report.add_figure("eligible_share_of_reads", share_of_reads(totals.eligible));
    report.add_figure("replica_share_of_reads", share_of_reads(totals.at_replica));
    report.add_figure("mean_share_of_eligible", totals.eligible_replica_share());
    report.add_figure("refused", Json::UInt64(totals.refused));
    report.add_figure("baseline_always_primary_share", 0.0);
    report.add_figure("baseline_any_replica_share", share_of_reads(totals.any_replica.replica_reads));
    report.add_figure("baseline_any_replica_violations", Json::UInt64(totals.any_replica.violations));
    report.add_figure("baseline_pinned_1s_share", share_of_reads(totals.pinned.replica_reads));
    report.add_figure("baseline_pinned_1s_violations", Json::UInt64(totals.pinned.violations));
    report.add_minimum("replica_share_of_eligible", 0.95, worst_share);
    report.add_exact("consistency_violations", 0, static_cast<double>(totals.violations));
    report.add_exact("reads_late_for_replica", 0, static_cast<double>(totals.late));
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    return greengagehitch::run_seeded_measurement(
        argc, argv, "Measures the share of reads that replicas serve, in virtual time",
        greengagehitch::measure);
}
