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

/// Calls `change` with each row of a status in an answer.
void change_statuses(batch_answer& answer, std::function<void(result_row&)> const& change)
{
    for (auto& result : answer.results) {
        if (result.rows.size() == 1 && result.rows.front().size() == status_columns) {
            change(result.rows.front());
        }
    }
}

std::string shifted(parameter const& number, std::int64_t by)
{
    return fmt::to_string(std::max<std::int64_t>(0, std::stoll(number.value()) + by));
}

/// Runs sessions over a fleet that `prepare` has broken, and counts what the checks find.
class broken_run {
public:
    explicit broken_run(std::function<void(virtual_fleet&)> const& prepare, workload_options options = {})
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

    std::size_t count(invariant kind) const { return m_load.violations().count(kind); }
    bool is_clean() const { return m_load.violations().is_empty(); }

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

Test(broken_variant, whole_fleet_breaks_no_promise)
{
    cr_assert(broken_run([](virtual_fleet& fleet) { set_lag(fleet, 1s); }).is_clean());
}

Test(broken_variant, replica_that_claims_to_have_applied_more_breaks_read_your_writes)
{
    broken_run const run([](virtual_fleet& fleet) {
        set_lag(fleet, 1s);
        fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
            change_statuses(answer, [](result_row& row) {
                row[applied_column] =
                    row[role_column] == "replica" ? shifted(row[applied_column], 100) : row[applied_column];
            });
        });
    });
    cr_assert(run.count(invariant::read_your_writes) > 0);
}

Test(broken_variant, replica_that_claims_to_hold_more_breaks_acknowledged_writes)
{
    broken_run const run([](virtual_fleet& fleet) {
        fleet.databases().group("db-1").set_cut_off(0, true);
        fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
            change_statuses(answer, [](result_row& row) {
                row[received_column] = row[role_column] == "replica" ? shifted(row[received_column], 1000)
                                                                     : row[received_column];
            });
        });
    });
    cr_assert(run.count(invariant::acknowledged_write_lost) > 0);
}

Test(broken_variant, commit_that_is_reported_as_rejected_breaks_not_run)
{
    broken_run const run([](virtual_fleet& fleet) {
        fleet.databases().set_answer_filter([&fleet](batch const& question, batch_answer& answer) {
            auto const is_commit = question.statements.size() > 2 && answer.is_ok() &&
                                   question.statements[question.statements.size() - 2].sql == "commit" &&
                                   question.statements.front().sql == "begin read write";
            if (is_commit && fleet.clock().random_share() < 0.1) {
                answer.results.resize(2);
                answer.failure = database_failure{database_error::statement_failed, "23514", "check"};
            }
        });
    });
    cr_assert(run.count(invariant::not_run_that_ran) > 0);
}

Test(broken_variant, rows_of_another_request_break_own_answers)
{
    broken_run const run([](virtual_fleet& fleet) {
        auto const last = std::make_shared<parameter>();
        fleet.databases().set_answer_filter([last](batch const& /*question*/, batch_answer& answer) {
            for (auto& result : answer.results) {
                if (result.rows.size() == 1 && result.rows.front().size() == 2) {
                    std::swap(result.rows.front()[1], *last);
                }
            }
        });
    });
    cr_assert(run.count(invariant::foreign_answer) > 0);
}

Test(broken_variant, outcome_that_is_not_recorded_doubles_deposits)
{
    workload_options options;
    options.deposit_share = 0.6;
    broken_run const run(
        [](virtual_fleet& fleet) {
            fleet.databases().set_lost_answer_share(0.1);
            fleet.databases().set_request_filter([](batch& question) {
                for (auto& each : question.statements) {
                    if (each.sql.find("into database_group.outcomes") != std::string::npos) {
                        each = {"select 1", {}};
                    }
                }
            });
        },
        options);
    cr_assert(run.count(invariant::write_doubled) > 0);
}

Test(broken_variant, primary_that_shows_an_older_position_breaks_freshness)
{
    workload_options options;
    options.fresh_read_share = 1;
    broken_run const run(
        [](virtual_fleet& fleet) {
            set_lag(fleet, 4s);
            fleet.databases().set_answer_filter([](batch const& /*question*/, batch_answer& answer) {
                change_statuses(answer, [](result_row& row) {
                    if (row[role_column] == "primary") {
                        row[applied_column] = shifted(row[applied_column], -500);
                    }
                });
            });
        },
        options);
    cr_assert(run.count(invariant::stale_read) > 0);
}

Test(broken_variant, reply_that_is_dropped_breaks_the_promise_of_an_answer)
{
    broken_run const run([](virtual_fleet& fleet) { fleet.set_dropped_reply_share(0.01); });
    cr_assert(run.count(invariant::call_without_answer) > 0);
}
