#include <criterion/criterion.h>

#include <functional>

#include <fmt/format.h>

#include "fault_schedule.h"
#include "workload.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t role_column = 1;
constexpr std::size_t received_column = 3;
constexpr std::size_t applied_column = 5;
constexpr std::size_t status_columns = 7;

/// Calls `modify` with each row of `database_group.status` in an answer.
void modify_status_rows(batch_answer& answer, std::function<void(result_row&)> const& modify)
{
    for (auto& result : answer.results) {
        if (result.rows.size() == 1 && result.rows.front().size() == status_columns) {
            modify(result.rows.front());
        }
    }
}

std::string add_to_position(parameter const& number, std::int64_t offset)
{
    return fmt::to_string(std::max<std::int64_t>(0, std::stoll(number.value()) + offset));
}

/// Runs a workload on a fleet after `prepare` has introduced a fault, and counts the violations that its
/// checks detect. The tests guard against checks that overlook a violation.
class faulty_fleet_run {
public:
    explicit faulty_fleet_run(std::function<void(virtual_fleet&)> const& prepare,
                              workload_options options = {})
        : m_setup(make_setup(umuganda_shape(), 8, 1e6, 1e6)), m_fleet(umuganda_shape(), 3),
          m_load(m_fleet, m_setup, options)
    {
        m_fleet.store_configuration(m_setup.document, m_setup.keys);
        m_fleet.start_all();
        m_fleet.clock().run_for(2s);
        prepare(m_fleet);
        m_load.start();
        m_fleet.clock().run_for(10s);
        m_load.stop();
        m_fleet.clock().run_for(40s);
        m_load.check_at_end();
    }

    std::size_t count(violation_kind kind) const { return m_load.violations().count(kind); }
    bool has_no_violations() const { return m_load.violations().is_empty(); }

private:
    fleet_setup m_setup;
    virtual_fleet m_fleet;
    workload m_load;
};

void set_lag(virtual_fleet& fleet, duration lag)
{
    for (auto const& name : fleet.databases().names()) {
        for (std::size_t i = 0; i < fleet.shape().members; ++i) {
            fleet.databases().group(name).member(i).switches().lag = lag;
        }
    }
}

} // namespace

Test(broken_variant, unmodified_fleet_has_no_violations)
{
    cr_assert(faulty_fleet_run([](virtual_fleet& fleet) { set_lag(fleet, 1s); }).has_no_violations());
}

Test(broken_variant, replica_reporting_a_later_applied_position_violates_read_your_writes)
{
    faulty_fleet_run const run([](virtual_fleet& fleet) {
        set_lag(fleet, 1s);
        fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
            modify_status_rows(answer, [](result_row& row) {
                row[applied_column] = row[role_column] == "replica"
                                          ? add_to_position(row[applied_column], 100)
                                          : row[applied_column];
            });
        });
    });
    cr_assert(run.count(violation_kind::read_your_writes) > 0);
}

Test(broken_variant, replica_reporting_a_later_received_position_loses_acknowledged_writes)
{
    faulty_fleet_run const run([](virtual_fleet& fleet) {
        fleet.databases().group("db-1").set_cut_off(0, true);
        fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
            modify_status_rows(answer, [](result_row& row) {
                row[received_column] = row[role_column] == "replica"
                                           ? add_to_position(row[received_column], 1000)
                                           : row[received_column];
            });
        });
    });
    cr_assert(run.count(violation_kind::acknowledged_write_lost) > 0);
}

Test(broken_variant, commit_reported_as_rejected_violates_not_run)
{
    faulty_fleet_run const run([](virtual_fleet& fleet) {
        fleet.databases().set_answer_filter([&fleet](batch const& request, batch_answer& answer) {
            auto const is_commit = request.statements.size() > 2 && answer.is_ok() &&
                                   request.statements[request.statements.size() - 2].sql == "commit" &&
                                   request.statements.front().sql == "begin read write";
            if (is_commit && fleet.clock().random_share() < 0.1) {
                answer.results.resize(2);
                answer.failure = database_failure{database_error::statement_failed, "23514", "check"};
            }
        });
    });
    cr_assert(run.count(violation_kind::executed_write_reported_not_run) > 0);
}

Test(broken_variant, rows_of_another_request_are_detected)
{
    faulty_fleet_run const run([](virtual_fleet& fleet) {
        auto const last = std::make_shared<parameter>();
        fleet.databases().set_answer_filter([last](batch const& /*question*/, batch_answer& answer) {
            for (auto& result : answer.results) {
                if (result.rows.size() == 1 && result.rows.front().size() == 2) {
                    std::swap(result.rows.front()[1], *last);
                }
            }
        });
    });
    cr_assert(run.count(violation_kind::mismatched_answer) > 0);
}

Test(broken_variant, unrecorded_outcome_duplicates_deposits)
{
    workload_options options;
    options.deposit_share = 0.6;
    faulty_fleet_run const run(
        [](virtual_fleet& fleet) {
            fleet.databases().set_lost_answer_share(0.1);
            fleet.databases().set_request_filter([](batch& request) {
                for (auto& each : request.statements) {
                    if (each.sql.find("into database_group.outcomes") != std::string::npos) {
                        each = {"select 1", {}};
                    }
                }
            });
        },
        options);
    cr_assert(run.count(violation_kind::duplicated_write) > 0);
}

Test(broken_variant, primary_reporting_an_older_position_violates_freshness)
{
    workload_options options;
    options.fresh_read_share = 1;
    faulty_fleet_run const run(
        [](virtual_fleet& fleet) {
            set_lag(fleet, 4s);
            fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
                modify_status_rows(answer, [](result_row& row) {
                    if (row[role_column] == "primary") {
                        row[applied_column] = add_to_position(row[applied_column], -500);
                    }
                });
            });
        },
        options);
    cr_assert(run.count(violation_kind::stale_read) > 0);
}

Test(broken_variant, dropped_reply_leaves_a_call_unanswered)
{
    faulty_fleet_run const run([](virtual_fleet& fleet) { fleet.set_dropped_reply_share(0.01); });
    cr_assert(run.count(violation_kind::unanswered_call) > 0);
}
