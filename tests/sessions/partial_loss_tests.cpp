#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "session_fleet.h"

// Pattern: a leader runs and serves most VMs, and a VM that has lost it orders another member to lead. A
// replica that was stopped restarts, receives again, and confirms commits that the ordered member lacks.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

using caller_pointer = std::unique_ptr<session_caller>;

struct partial_loss_fixture {
    explicit partial_loss_fixture(std::uint64_t seed, duration statement_timeout = 1s)
        : fleet(make_shape(), seed)
    {
        fleet.change_configuration([statement_timeout](served_configuration& configuration) {
            for (auto& [database, work] : configuration.classes) {
                work.statement_timeout = statement_timeout;
            }
        });
        fleet.clock().run_for(4s);
        old = fleet.group().leader();
    }

    static session_fleet_shape make_shape()
    {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        return shape;
    }

    caller_pointer open(std::size_t vm)
    {
        return std::make_unique<session_caller>(fleet, vm,
                                                session_fleet::database_of(0, read_consistency::every_commit),
                                                session_fleet::key_of(0));
    }

    void set_replication_cut(bool is_cut)
    {
        for (auto const& id : fleet.group().ids()) {
            fleet.group().faults(id).is_replication_cut = is_cut && id != old;
        }
    }

    /// Cuts a VM off from the leader, and VM 0 from the store, so that another VM acts for the group. Orders
    /// count from here on.
    void lose_leader_at(std::size_t vm)
    {
        fleet.set_store_cut(0, true);
        fleet.set_member_silent(vm, old, true);
        m_sent_orders = fleet.sent_orders();
    }

    /// Notes the time of the order, and restarts the replica that it does not name `replica_after` later.
    void follow_order(duration replica_after)
    {
        auto const now = fleet.clock().now();
        if (!ordered_at && fleet.sent_orders() > m_sent_orders) {
            ordered_at = now;
        }
        if (!ordered_at || now < *ordered_at + replica_after || std::exchange(m_has_restarted, true)) {
            return;
        }
        auto& group = fleet.group();
        auto const& ids = group.ids();
        std::string const other = *std::find_if(ids.begin(), ids.end(), [this](std::string const& id) {
            return id != old && id != fleet.last_ordered();
        });
        group.faults(other).is_replication_cut = false;
        group.crash(other);
        group.restart(other);
    }

    bool is_before(duration after_order) const
    {
        return !ordered_at || fleet.clock().now() < *ordered_at + after_order;
    }

    mutable session_fleet fleet;
    std::string old; ///< Leader at the start.
    std::optional<monotonic_time> ordered_at;

private:
    std::size_t m_sent_orders = 0;
    bool m_has_restarted = false;
};

bool is_success(session_caller const& caller, std::size_t index)
{
    return caller.answers().size() > index && caller.answers()[index].is_ok();
}

/// Three VMs suspect the leader since a commit timed out, though it serves all but one VM again. A caller
/// commits all the while. Returns the number of commits that it knows of and that are lost.
std::size_t play_loss_by_one_vm(std::uint64_t seed, duration replica_after,
                                std::optional<duration> order_delay)
{
    partial_loss_fixture fixture(seed, 250ms);
    auto& fleet = fixture.fleet;
    std::vector<caller_pointer> callers;
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        callers.push_back(fixture.open(vm));
        callers.back()->send_and_wait(session_caller::write("x"));
    }
    fleet.set_order_delay(order_delay);
    fixture.set_replication_cut(true);
    for (std::size_t vm = 1; vm <= 3; ++vm) {
        callers[vm]->send(session_caller::write("x"));
    }
    fleet.clock().run_for(500ms);
    fixture.set_replication_cut(false);
    fixture.lose_leader_at(4);
    std::vector<std::pair<caller_pointer, std::string>> writers; ///< Each with the id of its write.
    auto const lapse = order_delay.value_or(0ms) + 1500ms;
    for (int tick = 0; tick < 8'000 && fixture.is_before(lapse); ++tick) {
        fixture.follow_order(replica_after);
        if (tick % 10 == 0) {
            auto writer = fixture.open(0);
            auto const write = session_caller::write("x");
            if (writer->is_open()) {
                writer->send(write);
                writers.emplace_back(std::move(writer), write.id);
            }
        }
        fleet.clock().run_for(1ms);
    }
    cr_assert(fixture.ordered_at.has_value(), "no VM ordered a promotion");
    auto const counts = fleet.group().log_counts();
    return static_cast<std::size_t>(std::count_if(writers.begin(), writers.end(), [&](auto const& each) {
        return is_success(*each.first, 0) && !counts.contains(each.second);
    }));
}

/// The leader is cut off from its replicas and from one VM. Commits time out, one at a time. Returns the
/// number of commits that callers know of and that are lost, or no value if no VM gave an order.
std::optional<std::size_t> play_stuck_commits(std::uint64_t seed, std::size_t silent, duration replica_after)
{
    partial_loss_fixture fixture(seed, 250ms);
    auto& fleet = fixture.fleet;
    std::vector<caller_pointer> readers;
    std::vector<caller_pointer> writers;
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        readers.push_back(fixture.open(vm));
        writers.push_back(fixture.open(vm));
    }
    std::vector<std::vector<std::string>> writes(fleet.vms()); ///< Ids of the writes of each writer.
    std::size_t last = fleet.vms() - 1;
    std::size_t tick = 0;
    auto const step = [&] {
        if (tick++ % 20 == 0) {
            readers[tick / 20 % readers.size()]->send(session_caller::read("x"));
        }
        auto const next = (last + 1) % writers.size();
        if (writers[last]->answers().size() == writes[last].size() && writers[next]->is_open()) {
            auto const write = session_caller::write("x");
            writes[next].push_back(write.id);
            writers[next]->send(write);
            last = next;
        }
        fleet.clock().run_for(1ms);
    };
    for (int i = 0; i < 1'000; ++i) {
        step();
    }
    fixture.set_replication_cut(true);
    fixture.lose_leader_at(silent);
    for (int i = 0; i < 12'000 && fixture.is_before(1500ms); ++i) {
        fixture.follow_order(replica_after);
        step();
    }
    auto const counts = fleet.group().log_counts();
    std::size_t lost = 0;
    for (std::size_t vm = 0; vm < writers.size(); ++vm) {
        for (std::size_t i = 0; i < writes[vm].size(); ++i) {
            lost += is_success(*writers[vm], i) && !counts.contains(writes[vm][i]) ? 1 : 0;
        }
    }
    return fixture.ordered_at ? std::optional(lost) : std::nullopt;
}

/// Transaction that has written, and reads until it commits.
struct open_transaction {
    explicit open_transaction(caller_pointer opened) : caller(std::move(opened))
    {
        auto const statement = session_caller::write("x");
        write = statement.id;
        caller->send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN"));
        caller->send_and_wait(statement);
    }
    void send(session_statement const& statement) const
    {
        if (caller->is_open() && !caller->was_closed()) {
            caller->send(statement);
        }
    }

    caller_pointer caller;
    std::string write;
    std::size_t commit = 0; ///< Index of the answer to COMMIT; 0 until it is sent.
};

} // namespace

/// Guards against lost acknowledged commits: a lookup clears the leader just before the claim, and the order
/// and the restart of the replica follow before the next report of a suspicion.
Test(partial_loss, commits_of_a_leader_that_only_the_vm_that_orders_has_lost_are_not_lost)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (auto const replica_after : {5ms, 20ms, 60ms, 150ms}) {
            for (auto const& order_delay : {std::optional<duration>(), std::optional<duration>(2200ms)}) {
                auto const lost = play_loss_by_one_vm(seed, replica_after, order_delay);
                cr_expect(lost == 0, "%zu lost; seed %lu, replica %.0f ms after the order, which is %s", lost,
                          static_cast<unsigned long>(seed), to_milliseconds(replica_after),
                          order_delay ? "late" : "prompt");
            }
        }
    }
}

/// Guards against lost acknowledged commits: no commit has waited for long when a replica that was stopped
/// restarts, since each one before it has timed out.
Test(partial_loss, commits_that_time_out_one_after_the_other_are_not_lost)
{
    std::size_t played = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (std::size_t silent = 0; silent < 5; ++silent) {
            for (auto const replica_after : {5ms, 40ms}) {
                auto const lost = play_stuck_commits(seed, silent, replica_after);
                played += lost ? 1 : 0;
                cr_expect(!lost || *lost == 0,
                          "%zu lost; seed %lu, VM %zu silent, replica %.0f ms after the order",
                          lost.value_or(0), static_cast<unsigned long>(seed), silent,
                          to_milliseconds(replica_after));
            }
        }
    }
    cr_assert(played > 0, "no VM ordered a promotion");
}

/// Guards against lost acknowledged commits: the leader lapses from the directory while transactions are open
/// at it, so that its broker hears of no suspicion any more.
Test(partial_loss, transactions_at_a_leader_that_lapsed_are_not_lost)
{
    std::size_t played = 0;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        for (std::size_t silent = 0; silent < 5; ++silent) {
            partial_loss_fixture fixture(seed, 2s);
            auto& fleet = fixture.fleet;
            std::vector<open_transaction> open;
            for (std::size_t i = 0; i < 15; ++i) {
                if (i % fleet.vms() != silent) {
                    open.emplace_back(fixture.open(i % fleet.vms()));
                }
            }
            fixture.lose_leader_at(silent);
            fleet.unlist_member(fixture.old);
            std::size_t next = 0;
            for (int tick = 0; tick < 16'000 && fixture.is_before(1s); ++tick) {
                fixture.follow_order(20ms);
                if (tick % 40 == 0) {
                    for (auto const& each : open) {
                        if (each.commit == 0) {
                            each.send(session_caller::read("x"));
                        }
                    }
                }
                auto const may_commit = fixture.ordered_at && !fixture.is_before(5ms);
                if (may_commit && tick % 20 == 0 && next < open.size()) {
                    auto& each = open[next++];
                    each.commit = each.caller->answers().size();
                    each.send(session_caller::make_statement(statement_kind::commit, "COMMIT"));
                }
                fleet.clock().run_for(1ms);
            }
            fleet.clock().run_for(3s);
            played += fixture.ordered_at ? 1 : 0;
            auto const counts = fleet.group().log_counts();
            auto const lost = std::count_if(open.begin(), open.end(), [&counts](auto const& each) {
                auto const& answers = each.caller->answers();
                return each.commit != 0 && !answers.empty() && answers.back().is_ok() &&
                       answers.size() > each.commit && !counts.contains(each.write);
            });
            cr_expect(lost == 0, "%ld lost; seed %lu, VM %zu silent", static_cast<long>(lost),
                      static_cast<unsigned long>(seed), silent);
        }
    }
    cr_assert(played > 0, "no VM ordered a promotion");
}
