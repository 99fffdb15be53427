#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "session_fleet.h"

// Pattern: a leader stands still with open connections. A VM orders another member to lead, a replica that
// was stopped restarts and receives again, and the leader goes on with the commits that were in flight.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// What happens after the order. Times count from the order.
struct standstill_scenario {
    duration order_delay{}; ///< Time until the platform carries out the order; 0 if it answers.
    std::optional<duration> replica_after; ///< Time at which the replica that was not ordered restarts.
    duration leader_after{};               ///< Time at which the old leader goes on.
    std::optional<duration> killed_after = std::nullopt; ///< Time at which the VM that ordered is killed.
};

enum class commit_kind { single_write, transaction };

struct standstill_fixture {
    explicit standstill_fixture(std::uint64_t seed, commit_kind kind = commit_kind::single_write)
        : fleet(make_shape(), seed), m_kind(kind)
    {
        fleet.change_configuration([](served_configuration& configuration) {
            for (auto& [database, work] : configuration.classes) {
                work.statement_timeout = 2s;
            }
        });
        fleet.clock().run_for(4s);
        load_for(1s);
    }

    static session_fleet_shape make_shape()
    {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        return shape;
    }

    /// Lets a caller at each VM begin a commit every 20 ms, each in a session of its own.
    void load_until(monotonic_time time)
    {
        while (fleet.clock().now() < time) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                if (fleet.is_running(vm)) {
                    start_commit(vm);
                }
            }
            for (int i = 0; i < 10; ++i) {
                fleet.clock().run_for(2ms);
                send_commits();
            }
        }
    }

    void load_for(duration length) { load_until(fleet.clock().now() + length); }

    /// Plays the scenario until three seconds after the order was carried out.
    void play(standstill_scenario const& scenario)
    {
        auto& group = fleet.group();
        std::string const old = group.leader();
        if (scenario.order_delay > duration::zero()) {
            fleet.set_order_delay(scenario.order_delay);
        }
        group.stand_still(old);
        auto const limit = fleet.clock().now() + 8s;
        auto const sent = fleet.sent_orders();
        while (fleet.sent_orders() == sent && fleet.clock().now() < limit) {
            load_for(20ms);
        }
        cr_assert(fleet.sent_orders() > sent, "no VM ordered a promotion");
        auto const ordered_at = fleet.clock().now();
        std::string const other = replica_that_was_not_ordered(old);
        std::vector<std::pair<duration, std::function<void()>>> events;
        if (scenario.replica_after) {
            events.emplace_back(*scenario.replica_after, [&] {
                group.crash(other);
                group.restart(other);
            });
        }
        if (scenario.killed_after) {
            events.emplace_back(*scenario.killed_after, [&] { fleet.kill_vm(fleet.delayed_order_vm()); });
        }
        events.emplace_back(scenario.leader_after, [&] {
            fleet.set_order_delay(std::nullopt);
            group.go_on(old);
        });
        std::stable_sort(events.begin(), events.end(),
                         [](auto const& left, auto const& right) { return left.first < right.first; });
        for (auto const& [after, event] : events) {
            load_until(ordered_at + after);
            event();
        }
        load_until(ordered_at + scenario.order_delay + 3s);
    }

    void check(standstill_scenario const& scenario, std::uint64_t seed)
    {
        auto const milliseconds = [](duration time) { return to_milliseconds(time); };
        play(scenario);
        auto const before = count_delivered();
        load_for(2s);
        auto const lost = lost_commits();
        auto const has_committed = count_delivered() > before;
        cr_expect(
            lost == 0 && has_committed,
            "%zu commits that callers know of are lost, %s; seed %lu, order after %.0f ms, replica back "
            "after %.0f ms, leader after %.0f ms",
            lost, has_committed ? "commits" : "commits nothing", static_cast<unsigned long>(seed),
            milliseconds(scenario.order_delay), milliseconds(scenario.replica_after.value_or(-1ms)),
            milliseconds(scenario.leader_after));
    }

    /// Number of commits that callers know of and that the leader's log lacks.
    std::size_t lost_commits() const
    {
        auto const counts = fleet_log_counts();
        return static_cast<std::size_t>(
            std::count_if(m_commits.begin(), m_commits.end(), [&counts](auto const& each) {
                return is_delivered(each) && !counts.contains(each.write);
            }));
    }

    std::size_t count_delivered() const
    {
        return static_cast<std::size_t>(std::count_if(m_commits.begin(), m_commits.end(), is_delivered));
    }

    std::size_t count_in_doubt() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_commits.begin(), m_commits.end(), [](auto const& each) {
                return each.is_whole() && each.caller.answers().back().error == session_error::in_doubt;
            }));
    }

    mutable session_fleet fleet;

private:
    /// A single write, or a transaction of one write.
    struct caller_commit {
        caller_commit(session_fleet& fleet, std::size_t vm)
            : caller(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                     session_fleet::key_of(0))
        {
        }
        bool is_whole() const { return next.empty() && caller.answers().size() == sent; }

        session_caller caller;
        std::string write;                    ///< Id of the write statement.
        std::deque<session_statement> next{}; ///< Statements that are still to be sent.
        std::size_t sent = 0;
    };

    static bool is_delivered(caller_commit const& each)
    {
        return each.sent != 0 && each.is_whole() && each.caller.answers().back().is_ok();
    }

    std::map<std::string, std::size_t> fleet_log_counts() const { return fleet.group().log_counts(); }

    void start_commit(std::size_t vm)
    {
        auto& added = m_commits.emplace_back(fleet, vm);
        if (!added.caller.is_open()) {
            return;
        }
        auto const write = session_caller::write("x");
        added.write = write.id;
        if (m_kind == commit_kind::transaction) {
            added.next.push_back(session_caller::make_statement(statement_kind::begin, "BEGIN"));
        }
        added.next.push_back(write);
        if (m_kind == commit_kind::transaction) {
            added.next.push_back(session_caller::make_statement(statement_kind::commit, "COMMIT"));
        }
        m_running.push_back(&added);
    }

    /// Sends the next statement of each commit whose last one succeeded.
    void send_commits()
    {
        std::erase_if(m_running, [](caller_commit* each) {
            auto const& answers = each->caller.answers();
            if (answers.size() < each->sent) {
                return false;
            }
            if (!answers.empty() && !answers.back().is_ok()) {
                each->next.clear();
            }
            if (each->next.empty() || each->caller.was_closed()) {
                return true;
            }
            each->caller.send(each->next.front());
            each->next.pop_front();
            ++each->sent;
            return false;
        });
    }

    std::string replica_that_was_not_ordered(std::string const& old) const
    {
        auto const& ids = fleet.group().ids();
        auto const& ordered = fleet.last_ordered();
        return *std::find_if(ids.begin(), ids.end(),
                             [&](std::string const& id) { return id != old && id != ordered; });
    }

    commit_kind m_kind;
    std::deque<caller_commit> m_commits;
    std::vector<caller_commit*> m_running; ///< Commits with statements that are to be sent or answered.
};

void check_all(std::vector<standstill_scenario> const& scenarios,
               commit_kind kind = commit_kind::single_write)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (auto const& scenario : scenarios) {
            standstill_fixture(seed, kind).check(scenario, seed);
        }
    }
}

} // namespace

/// Guards against lost acknowledged commits: the platform carries out the order at once, and a commit that
/// was sent before the standstill is answered before the new term.
Test(standstill, commit_in_flight_that_a_restarted_replica_confirms_is_not_acknowledged)
{
    check_all({{0ms, 20ms, 100ms}, {0ms, 50ms, 150ms}, {0ms, 150ms, 250ms}, {0ms, 200ms, 280ms}});
}

/// Guards against lost acknowledged commits: as before, with an order that is carried out late. The VM that
/// gave it may be gone.
Test(standstill, commit_in_flight_beside_a_late_order_is_not_acknowledged)
{
    check_all(
        {{2200ms, 100ms, 200ms}, {2200ms, 100ms, 1s}, {3s, 100ms, 300ms, 100ms}, {3s, 200ms, 1500ms, 100ms}});
}

/// Guards against lost acknowledged commits of transactions, whose last statement is the one in flight.
Test(standstill, transaction_in_flight_that_a_restarted_replica_confirms_is_not_acknowledged)
{
    check_all({{0ms, 50ms, 150ms}, {2200ms, 100ms, 200ms}}, commit_kind::transaction);
}

/// Guards against answers that are left open without need: the leader stands still for a moment, and nobody
/// is ordered to replace it.
Test(standstill, commits_of_a_leader_that_soon_goes_on_are_acknowledged)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (auto const length : {50ms, 200ms, 400ms}) {
            standstill_fixture fixture(seed);
            auto& group = fixture.fleet.group();
            std::string const leader = group.leader();
            auto const before = fixture.count_delivered();
            group.stand_still(leader);
            fixture.load_for(length);
            group.go_on(leader);
            fixture.load_for(1s);
            cr_expect(group.leader() == leader && fixture.fleet.sent_orders() == 0);
            cr_expect(fixture.count_in_doubt() == 0, "%zu answers are left open, seed %lu, %.0f ms",
                      fixture.count_in_doubt(), static_cast<unsigned long>(seed), to_milliseconds(length));
            cr_expect(fixture.count_delivered() > before + 100);
        }
    }
}
