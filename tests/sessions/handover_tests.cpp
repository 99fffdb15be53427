#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Longest time for which a member serves after it has announced that it leaves.
constexpr duration drain_limit = 7s;

/// Failure pattern: a leader announces that it leaves, while other members crash, return or join and callers
/// keep writing.
struct handover_fixture {
    handover_fixture()
    {
        fleet.clock().run_for(4s);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            for (int i = 0; i < 2; ++i) {
                callers.emplace_back(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                                     session_fleet::key_of(0));
                sent.push_back(0);
            }
        }
        write_until([] { return false; }, 1s);
    }

    virtual_database_group& group() { return fleet.group(); }

    /// Lets each caller that waits for no answer write every 10 ms, until `is_reached` returns true or
    /// `limit` has passed. Returns whether it was reached.
    bool write_until(std::function<bool()> const& is_reached, duration limit)
    {
        auto const end = fleet.clock().now() + limit;
        while (!is_reached() && fleet.clock().now() < end) {
            for (std::size_t i = 0; i < callers.size(); ++i) {
                if (callers[i].answers().size() == sent[i]) {
                    callers[i].send(session_caller::write("x"));
                    ++sent[i];
                }
            }
            fleet.clock().run_for(10ms);
        }
        return is_reached();
    }

    bool was_ordered() const { return fleet.promotions() > 0; }
    bool is_replaced() { return group().leader() != old_leader; }

    session_fleet fleet{{}, 1};
    std::vector<session_caller> callers;
    std::vector<std::size_t> sent; ///< Number of statements that each caller has sent.
    std::string const old_leader = fleet.group().leader();
};

} // namespace

/// Guards against a lost acknowledged commit: a replica that restarts has forgotten the order to stop
/// receiving, so the old leader acknowledges through it commits that the successor lacks.
Test(handover, replica_that_returns_after_the_order_makes_the_old_leader_acknowledge_nothing)
{
    handover_fixture fixture;
    auto const replica = fixture.group().ids()[2];
    fixture.group().crash(replica);
    fixture.fleet.drain_member(fixture.old_leader);
    cr_assert(fixture.write_until([&] { return fixture.was_ordered(); }, drain_limit));
    fixture.group().restart(replica);
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against a lost acknowledged commit: a replica that joins is in no directory yet, so the old leader
/// acknowledges through it commits that the successor lacks.
Test(handover, replica_that_joins_after_the_order_makes_the_old_leader_acknowledge_nothing)
{
    handover_fixture fixture;
    fixture.fleet.drain_member(fixture.old_leader);
    cr_assert(fixture.write_until([&] { return fixture.was_ordered(); }, drain_limit));
    fixture.fleet.add_unlisted_replica("m-0-joining-b");
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against a lost acknowledged commit: as before, but the replica has received all along.
Test(handover, replica_that_no_vm_knows_makes_the_old_leader_acknowledge_nothing_that_is_lost)
{
    handover_fixture fixture;
    fixture.fleet.add_unlisted_replica("m-0-joining-b");
    fixture.fleet.drain_member(fixture.old_leader);
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against work at a draining leader until it ends: the replicas crash as it begins to drain and
/// return seconds later.
Test(handover, leader_that_drains_while_its_replicas_are_down_is_replaced_after_they_return)
{
    handover_fixture fixture;
    auto const replicas = std::vector(fixture.group().ids().begin() + 1, fixture.group().ids().end());
    fixture.fleet.drain_member(fixture.old_leader);
    for (auto const& replica : replicas) {
        fixture.group().crash(replica);
    }
    fixture.write_until([] { return false; }, 2s);
    for (auto const& replica : replicas) {
        fixture.group().restart(replica);
    }
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit - 2s));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against a group without a leader: the successor crashes once its order was accepted, while other
/// members hold every commit. The takeover went on asking it, and made the draining leader lead again.
Test(handover, successor_that_crashes_before_it_leads_is_replaced_by_another)
{
    std::string successor;
    {
        handover_fixture undisturbed;
        undisturbed.fleet.drain_member(undisturbed.old_leader);
        cr_assert(undisturbed.write_until([&] { return undisturbed.is_replaced(); }, drain_limit));
        successor = undisturbed.group().leader();
    }
    handover_fixture fixture;
    fixture.fleet.drain_member(fixture.old_leader);
    auto const drained_at = fixture.fleet.clock().now();
    cr_assert(fixture.write_until([&] { return fixture.was_ordered(); }, drain_limit));
    fixture.group().crash(successor);
    cr_assert(!fixture.is_replaced());
    auto const left = drained_at + drain_limit - fixture.fleet.clock().now();
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, left));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against a group without a leader: the platform carries out no orders for a time, and a leader that
/// still served had stepped down before that was known. The limit is that of
/// draining_leader_is_replaced_before_it_shuts_down.
Test(handover, leader_goes_on_serving_while_the_platform_carries_out_no_order)
{
    handover_fixture fixture;
    fixture.fleet.set_orders_fail(true);
    fixture.fleet.drain_member(fixture.old_leader);
    auto& group = fixture.group();
    auto const end = fixture.fleet.clock().now() + 5s;
    while (fixture.fleet.clock().now() < end) {
        auto const before = group.acknowledged();
        cr_assert(fixture.write_until([&] { return group.acknowledged() > before; }, 2s));
    }
    fixture.fleet.set_orders_fail(false);
    cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit));
    cr_assert(group.holds_all_acknowledged());
}

/// Guards against new work at a leader whose drain limit has passed while nobody can replace it: statements
/// that had waited for a leader were sent to it. Its other members drain as well, so no takeover begins.
Test(handover, leader_past_its_drain_limit_gets_no_new_work_and_callers_are_refused_at_once)
{
    handover_fixture fixture;
    auto& clock = fixture.fleet.clock();
    for (auto const& id : fixture.group().ids()) {
        fixture.fleet.drain_member(id);
    }
    auto const drained_at = clock.now();
    auto const before = fixture.group().acknowledged();
    cr_assert(fixture.write_until([&] { return fixture.group().acknowledged() > before; }, 1s),
              "the leader serves until its limit");
    clock.run_for(drained_at + drain_limit - clock.now());
    cr_assert(fixture.group().leader() == fixture.old_leader);
    for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
        session_caller caller(fixture.fleet, vm,
                              session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        auto const write = session_caller::write("x");
        std::vector<session_statement> const first{session_caller::read("x"), write};
        for (auto const& statement : first) {
            auto const sent_at = clock.now();
            auto const answer = caller.send_and_wait(statement);
            cr_assert(answer.error == session_error::busy, "VM %zu", vm);
            cr_assert(answer.retry_after > 0ms);
            cr_assert(clock.now() - sent_at <= 10ms);
        }
        caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN"));
        auto const answer = caller.send_and_wait(session_caller::write("x"));
        cr_assert(answer.error == session_error::busy, "VM %zu, first statement of a transaction", vm);
        cr_assert(fixture.group().count_in_log(write.id) == 0);
    }
}

/// Guards against transactions that are ended needlessly: one that began before the drain limit goes on.
Test(handover, transaction_that_began_before_the_drain_limit_commits_after_it)
{
    handover_fixture fixture;
    auto& clock = fixture.fleet.clock();
    for (auto const& id : fixture.group().ids()) {
        fixture.fleet.drain_member(id);
    }
    auto const drained_at = clock.now();
    clock.run_for(4s);
    session_caller caller(fixture.fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                          session_fleet::key_of(0));
    caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN"));
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    while (clock.now() < drained_at + drain_limit) {
        cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
        clock.run_for(300ms);
    }
    auto const commit = session_caller::make_statement(statement_kind::commit, "COMMIT");
    cr_assert(caller.send_and_wait(commit).is_ok());
    cr_assert(fixture.group().count_in_log(write.id) == 1);
}

/// Guards against work at a draining leader until it ends: the successor of a crashed leader announced that
/// it leaves once it was ordered, and its replacement waited for the pause between two takeovers.
Test(handover, successor_that_drains_before_it_leads_is_replaced_without_a_pause)
{
    handover_fixture fixture;
    fixture.fleet.delay_next_order(1s);
    fixture.group().crash(fixture.old_leader);
    cr_assert(fixture.write_until([&] { return fixture.fleet.sent_orders() > 0; }, drain_limit));
    auto const successor = fixture.fleet.delayed_order();
    fixture.fleet.drain_member(successor);
    cr_assert(fixture.write_until([&] { return fixture.group().leader() == successor; }, drain_limit));
    cr_assert(fixture.write_until([&] { return fixture.group().leader() != successor; }, 1500ms));
    fixture.write_until([] { return false; }, 1s);
    cr_assert(fixture.group().holds_all_acknowledged());
}

/// Guards against a leader that has to be replaced at once: of two replicas that hold the same commits, the
/// one that does not drain succeeds a crashed leader.
Test(handover, replica_that_drains_does_not_succeed_a_crashed_leader_while_another_can)
{
    for (std::size_t index = 1; index <= 2; ++index) {
        handover_fixture fixture;
        auto const draining = fixture.group().ids()[index];
        fixture.fleet.drain_member(draining);
        fixture.write_until([] { return false; }, 1s);
        fixture.group().crash(fixture.old_leader);
        cr_assert(fixture.write_until([&] { return fixture.is_replaced(); }, drain_limit));
        cr_assert(fixture.group().leader() != draining);
        cr_assert(fixture.group().holds_all_acknowledged());
    }
}
