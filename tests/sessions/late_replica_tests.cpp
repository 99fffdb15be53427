#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "session_fleet.h"

// Pattern: the old leader is back, as the leader, between the order to promote another member and the start
// of that one's term. Meanwhile a replica that was stopped restarts, or a replica joins. It receives from the
// old leader, which so acknowledges commits that the ordered member lacks.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

enum class loss { crash, cut };

/// Times after the order to promote m-0-b.
struct late_events {
    duration leader_after{};               ///< The old leader is back, or its cut ends.
    std::optional<duration> replica_after; ///< m-0-c restarts.
    std::optional<duration> joins_after;   ///< m-0-cc joins, which no directory lists.
};

struct late_replica_fixture {
    explicit late_replica_fixture(std::uint64_t seed) : fleet(make_shape(), seed)
    {
        fleet.clock().run_for(4s);
        write_until(fleet.clock().now() + 1s);
    }

    static session_fleet_shape make_shape()
    {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        return shape;
    }

    /// Lets two callers at each VM write, each as soon as it has an answer.
    void write_once()
    {
        callers.resize(2 * fleet.vms());
        for (std::size_t i = 0; i < callers.size(); ++i) {
            auto& own = callers[i];
            if (!own.caller || !own.caller->is_open() || own.caller->was_closed()) {
                own = {std::make_unique<session_caller>(
                           fleet, i % fleet.vms(),
                           session_fleet::database_of(0, read_consistency::every_commit),
                           session_fleet::key_of(0)),
                       0};
            }
            if (own.caller->is_open() && own.caller->answers().size() == own.sent) {
                own.caller->send(session_caller::write("x"));
                ++own.sent;
            }
        }
    }

    void write_until(monotonic_time time)
    {
        while (fleet.clock().now() < time) {
            write_once();
            fleet.clock().run_for(5ms);
        }
    }

    /// Writes until a VM sends an order to promote; returns whether one did within `limit`.
    bool write_until_order(duration limit)
    {
        auto const sent = fleet.sent_orders();
        auto const end = fleet.clock().now() + limit;
        while (fleet.sent_orders() == sent && fleet.clock().now() < end) {
            write_once();
            for (int i = 0; i < 5 && fleet.sent_orders() == sent; ++i) {
                fleet.clock().run_for(1ms);
            }
        }
        return fleet.sent_orders() > sent;
    }

    /// Loses the leader until a VM has ordered the promotion of m-0-b, and plays what happens then.
    void play(loss how, late_events const& events)
    {
        auto& group = fleet.group();
        std::string const old = group.leader();
        auto const set_cut = [&](bool is_cut) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                fleet.set_member_silent(vm, old, is_cut);
            }
        };
        if (how == loss::crash) {
            group.crash(old);
        }
        else {
            set_cut(true);
        }
        cr_assert(write_until_order(10s), "no VM ordered a promotion");
        auto const ordered_at = fleet.clock().now();
        std::vector<std::pair<duration, std::function<void()>>> steps;
        steps.emplace_back(events.leader_after, [&] {
            if (how == loss::crash) {
                group.restart(old);
            }
            else {
                set_cut(false);
            }
        });
        if (events.replica_after) {
            steps.emplace_back(*events.replica_after, [&] {
                group.crash("m-0-c");
                group.restart("m-0-c");
            });
        }
        if (events.joins_after) {
            steps.emplace_back(*events.joins_after, [&] { fleet.add_unlisted_replica("m-0-cc"); });
        }
        std::stable_sort(steps.begin(), steps.end(),
                         [](auto const& left, auto const& right) { return left.first < right.first; });
        for (auto const& [after, step] : steps) {
            write_until(ordered_at + after);
            step();
        }
        write_until(ordered_at + 4s);
        cr_assert(group.leader() == "m-0-b");
    }

    struct caller_state {
        std::unique_ptr<session_caller> caller;
        std::size_t sent = 0;
    };

    session_fleet fleet;
    std::vector<caller_state> callers;
};

constexpr std::uint64_t seeds = 3;

} // namespace

/// Guards against lost acknowledged commits: the leader crashed and is back, as the leader, right after the
/// order to promote another member. A replica that was stopped restarts, so that it receives again, before
/// that one leads.
Test(late_replica, replica_that_restarts_beside_a_leader_that_is_back_confirms_no_commit_that_is_lost)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto const leader_after : {0ms, 50ms, 150ms, 200ms}) {
            for (auto const replica_after : {20ms, 60ms, 100ms}) {
                late_replica_fixture fixture(seed);
                auto& group = fixture.fleet.group();
                fixture.play(loss::crash, {leader_after, leader_after + replica_after, {}});
                cr_expect(group.holds_all_acknowledged(),
                          "%zu lost; seed %lu, leader back after %ld ms, replica %ld ms later",
                          group.lost_commits(), static_cast<unsigned long>(seed),
                          static_cast<long>(leader_after.count()), static_cast<long>(replica_after.count()));
            }
        }
    }
}

/// Guards against lost acknowledged commits: as before, but the leader was cut off from all VMs and the cut
/// ends right after the order.
Test(late_replica, replica_that_restarts_beside_a_leader_whose_cut_ends_confirms_no_commit_that_is_lost)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto const leader_after : {0ms, 50ms, 150ms, 200ms}) {
            for (auto const replica_after : {20ms, 60ms, 100ms}) {
                late_replica_fixture fixture(seed);
                auto& group = fixture.fleet.group();
                fixture.play(loss::cut, {leader_after, leader_after + replica_after, {}});
                cr_expect(group.holds_all_acknowledged(),
                          "%zu lost; seed %lu, cut ends after %ld ms, replica back %ld ms later",
                          group.lost_commits(), static_cast<unsigned long>(seed),
                          static_cast<long>(leader_after.count()), static_cast<long>(replica_after.count()));
            }
        }
    }
}

/// Guards against lost acknowledged commits: as in the first test, but a replica joins that the directory
/// does not list yet.
Test(late_replica, replica_that_joins_beside_a_leader_that_is_back_confirms_no_commit_that_is_lost)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto const leader_after : {0ms, 50ms, 150ms, 200ms}) {
            late_replica_fixture fixture(seed);
            auto& group = fixture.fleet.group();
            fixture.play(loss::crash, {leader_after, std::nullopt, leader_after});
            cr_expect(group.holds_all_acknowledged(), "%zu lost; seed %lu, leader back after %ld ms",
                      group.lost_commits(), static_cast<unsigned long>(seed),
                      static_cast<long>(leader_after.count()));
        }
    }
}

/// A leader that is back while its replicas stay stopped lets nothing be lost.
Test(late_replica, leader_that_is_back_beside_stopped_replicas_loses_no_commit)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto const how : {loss::crash, loss::cut}) {
            for (auto const leader_after : {0ms, 50ms, 150ms, 250ms, 400ms}) {
                late_replica_fixture fixture(seed);
                auto& group = fixture.fleet.group();
                fixture.play(how, {leader_after, {}, {}});
                cr_expect(group.holds_all_acknowledged(), "%zu lost; seed %lu, leader back after %ld ms",
                          group.lost_commits(), static_cast<unsigned long>(seed),
                          static_cast<long>(leader_after.count()));
            }
        }
    }
}
