#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

struct takeover_fixture {
    explicit takeover_fixture(std::uint64_t seed = 1, session_fleet_shape const& shape = {})
        : fleet(shape, seed)
    {
        fleet.clock().run_for(4s);
    }

    session_caller caller(std::size_t vm)
    {
        return {fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                session_fleet::key_of(0)};
    }

    /// Lets one caller at each VM write for `length`; returns the longest time between two successful writes.
    duration write_for(duration length)
    {
        auto const end = fleet.clock().now() + length;
        auto last = fleet.clock().now();
        duration longest{};
        std::vector<session_caller> callers;
        for (std::size_t i = 0; i < fleet.vms(); ++i) {
            if (fleet.is_running(i)) {
                callers.push_back(caller(i));
            }
        }
        while (fleet.clock().now() < end) {
            for (auto& each : callers) {
                if (each.send_and_wait(session_caller::write("x")).is_ok()) {
                    longest = std::max(longest, fleet.clock().now() - last);
                    last = fleet.clock().now();
                }
            }
            fleet.clock().run_for(10ms);
        }
        return longest;
    }

    session_fleet fleet;
};

} // namespace

Test(takeover, unreachable_leader_is_replaced_and_no_acknowledged_commit_is_lost)
{
    takeover_fixture fixture;
    fixture.write_for(1s);
    auto const old = fixture.fleet.group().leader();
    fixture.fleet.group().faults(old).is_down = true;
    fixture.write_for(6s);
    cr_assert(fixture.fleet.group().leader() != old);
    cr_assert(fixture.fleet.promotions() == 1);
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

Test(takeover, replica_that_received_most_is_chosen)
{
    takeover_fixture fixture;
    auto& group = fixture.fleet.group();
    auto const not_receiving = group.ids()[1];
    group.faults(not_receiving).is_replication_cut = true;
    fixture.write_for(1s);
    group.faults(group.leader()).is_down = true;
    fixture.write_for(6s);
    cr_assert(group.leader() == group.ids()[2]);
    cr_assert(group.holds_all_acknowledged());
}

Test(takeover, lagging_group_with_a_live_leader_sees_no_promotion)
{
    takeover_fixture fixture;
    for (auto const& id : fixture.fleet.group().ids()) {
        fixture.fleet.group().faults(id).mean_apply_lag = 3s;
    }
    fixture.write_for(10s);
    cr_assert(fixture.fleet.promotions() == 0);
}

Test(takeover, draining_leader_is_replaced_before_it_shuts_down)
{
    takeover_fixture fixture;
    auto const old = fixture.fleet.group().leader();
    fixture.fleet.drain_member(old);
    auto const gap = fixture.write_for(5s);
    cr_assert(fixture.fleet.group().leader() != old);
    cr_assert(gap < 2s);
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Guards against work at a draining leader until it ends: the hand-over waited for the answer of a member
/// that had drained and left a few seconds before, for longer than a hand-over may last.
Test(takeover, draining_leader_is_replaced_after_another_member_has_drained_and_left)
{
    takeover_fixture fixture;
    auto& group = fixture.fleet.group();
    auto const first = group.leader();
    fixture.fleet.drain_member(first);
    fixture.write_for(4s);
    group.faults(first).is_down = true;
    fixture.write_for(4s);
    auto const second = group.leader();
    cr_assert(second != first);
    fixture.fleet.drain_member(second);
    fixture.write_for(4s);
    cr_assert(group.leader() != first);
    cr_assert(group.leader() != second);
    cr_assert(group.holds_all_acknowledged());
}

Test(takeover, leader_is_not_replaced_while_the_only_up_to_date_replica_is_missing)
{
    takeover_fixture fixture;
    auto& group = fixture.fleet.group();
    group.faults(group.ids()[1]).is_replication_cut = true;
    fixture.write_for(2s);
    // The only replica that holds the newest commits becomes unreachable together with the leader.
    group.faults(group.ids()[2]).is_down = true;
    group.faults(group.ids()[0]).is_down = true;
    fixture.fleet.clock().run_for(6s);
    cr_assert(fixture.fleet.promotions() == 0);
    group.restart(group.ids()[2]);
    fixture.fleet.clock().run_for(8s);
    cr_assert(group.leader() == group.ids()[2]);
    cr_assert(group.holds_all_acknowledged());
}

Test(takeover, no_vm_sends_an_order_with_an_outdated_fence)
{
    takeover_fixture fixture;
    for (int round = 0; round < 3; ++round) {
        auto const old = fixture.fleet.group().leader();
        fixture.fleet.group().faults(old).is_down = true;
        fixture.write_for(5s);
        fixture.fleet.group().restart(old);
        fixture.write_for(2s);
    }
    cr_assert(fixture.fleet.stale_promotion_orders() == 0);
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

Test(takeover, returning_leader_leads_again_with_every_commit_that_it_acknowledged)
{
    takeover_fixture fixture;
    auto& group = fixture.fleet.group();
    // Only the second replica receives commits. It becomes unreachable together with the leader and never
    // returns.
    group.faults(group.ids()[1]).is_replication_cut = true;
    fixture.write_for(2s);
    auto const acknowledged = group.acknowledged();
    group.faults(group.ids()[0]).is_down = true;
    group.faults(group.ids()[2]).is_down = true;
    fixture.fleet.clock().run_for(5s);
    cr_assert(fixture.fleet.promotions() == 0);
    group.restart(group.ids()[0]);
    fixture.write_for(6s);
    cr_assert(group.holds_all_acknowledged());
    cr_assert(group.acknowledged() >= acknowledged);
}

/// Guards against promotions by a zone that is cut off. No leader responds to its VMs, but they must promote
/// no member while the zone is cut off, nor after it is connected again.
Test(takeover, zone_that_is_cut_off_replaces_no_leader)
{
    takeover_fixture fixture;
    fixture.write_for(2s);
    auto const cut = fixture.fleet.vms() - 1;
    auto set_cut = [&fixture, cut](bool is_cut) {
        fixture.fleet.set_peer_cut(cut, is_cut);
        fixture.fleet.set_store_cut(cut, is_cut);
        fixture.fleet.set_member_cut(cut, is_cut);
    };
    set_cut(true);
    std::vector<session_caller> callers;
    for (int i = 0; i < 250; ++i) {
        // Callers at the VM that is cut off keep sending reads, so that it detects the lost members.
        callers.push_back(fixture.caller(cut));
        if (callers.back().is_open()) {
            callers.back().send(session_caller::read("x"));
        }
        fixture.fleet.clock().run_for(20ms);
    }
    set_cut(false);
    fixture.write_for(3s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
}

/// Guards against a group that never commits: the replicas receive nothing from the leader, which answers
/// VMs. It steps down with commits that nobody else has and that nobody saw acknowledged, and was ordered to
/// lead again.
Test(takeover, leader_from_which_no_replica_receives_is_replaced)
{
    takeover_fixture fixture;
    fixture.write_for(1s);
    auto& group = fixture.fleet.group();
    auto const old = group.leader();
    group.faults(old).is_isolated = true;
    fixture.write_for(14s);
    cr_assert(group.leader() != old);
    cr_assert(group.holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: a VM that learned of the last leader only from others takes the
/// leader before it, a replica by now, as the one that stepped down, and its position as the bound of what
/// was acknowledged.
Test(takeover, replica_that_led_an_older_term_does_not_bound_what_was_acknowledged)
{
    for (std::size_t vm = 0; vm < 5; ++vm) {
        takeover_fixture fixture;
        auto& group = fixture.fleet.group();
        std::string const behind = "m-0-bb";
        fixture.fleet.add_unlisted_replica(behind);
        fixture.fleet.list_member(behind);
        fixture.write_for(1s);
        // A late order is carried out.
        group.promote("m-0-b");
        fixture.fleet.clock().run_for(400ms);
        group.faults("m-0-a").is_replication_cut = true;
        group.faults(behind).is_replication_cut = true;
        auto caller = fixture.caller(vm);
        for (int i = 0; i < 40; ++i) {
            caller.send_and_wait(session_caller::write("x"));
        }
        cr_assert(group.leader() == "m-0-b");
        group.crash("m-0-b");
        fixture.fleet.clock().run_for(20s);
        cr_assert(group.leader() != "m-0-b", "nobody was promoted, caller at VM %zu", vm);
        cr_assert(group.holds_all_acknowledged(), "caller at VM %zu, leader %s", vm, group.leader().c_str());
    }
}

/// Guards against commits that wait until a partition of the leader from its replicas ends: a member that has
/// ended and is still listed kept the takeover waiting.
Test(takeover, leader_from_which_no_replica_receives_is_replaced_while_an_ended_member_is_listed)
{
    takeover_fixture fixture;
    auto& group = fixture.fleet.group();
    auto const old = group.leader();
    fixture.write_for(1s);
    group.crash(group.ids()[2]);
    fixture.fleet.clock().run_for(200ms);
    group.faults(group.ids()[1]).is_replication_cut = true;
    std::vector<session_caller> callers;
    for (int i = 0; i < 600 && group.leader() == old; ++i) {
        callers.push_back(fixture.caller(static_cast<std::size_t>(i) % fixture.fleet.vms()));
        callers.back().send(session_caller::write("x"));
        fixture.fleet.clock().run_for(10ms);
    }
    cr_assert(group.leader() != old);
    cr_assert(group.holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: a replica that heard nothing was promoted, since no process knew
/// any more what had been acknowledged. The leader and the only replica that had received the commits crash,
/// and all VMs are killed. The crashed replica returns with its log.
Test(takeover, replica_that_heard_nothing_is_not_promoted_after_all_vms_were_killed)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        takeover_fixture fixture(seed, shape);
        auto& group = fixture.fleet.group();
        group.faults("m-0-b").is_replication_cut = true;
        fixture.write_for(2s);
        group.crash("m-0-a");
        group.crash("m-0-c");
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.kill_vm(vm);
        }
        fixture.fleet.clock().run_for(500ms);
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.start_vm(vm);
        }
        group.faults("m-0-b").is_replication_cut = false;
        fixture.write_for(5s);
        cr_assert(fixture.fleet.promotions() == 0, "seed %llu", static_cast<unsigned long long>(seed));
        group.restart("m-0-c");
        fixture.write_for(4s);
        cr_assert(group.leader() == "m-0-c", "leader %s", group.leader().c_str());
        cr_assert(group.holds_all_acknowledged());
    }
}

/// A replica that ended while the leader went on has nothing that the others lack, so it is not waited for.
Test(takeover, leader_is_replaced_without_the_answer_of_a_replica_that_ended_long_before)
{
    session_fleet_shape shape;
    shape.group.entry_lifetime = 3600ms;
    takeover_fixture fixture(1, shape);
    auto& group = fixture.fleet.group();
    group.crash("m-0-c");
    fixture.write_for(5s);
    group.crash("m-0-a");
    auto const gap = fixture.write_for(6s);
    cr_assert(gap < 4s);
    cr_assert(group.leader() == "m-0-b");
    cr_assert(group.holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: VMs that start do not know a member whose entry has lapsed,
/// although it goes on confirming commits, and take the other members for the whole group.
Test(takeover, member_that_the_directory_has_forgotten_is_awaited_after_all_vms_were_killed)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        takeover_fixture fixture(seed, shape);
        auto& group = fixture.fleet.group();
        fixture.fleet.unlist_member("m-0-c");
        fixture.write_for(4s);
        group.faults("m-0-b").is_replication_cut = true;
        fixture.write_for(2s);
        group.crash("m-0-a");
        group.crash("m-0-c");
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.kill_vm(vm);
        }
        fixture.fleet.clock().run_for(500ms);
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.start_vm(vm);
        }
        group.faults("m-0-b").is_replication_cut = false;
        fixture.write_for(5s);
        cr_assert(fixture.fleet.promotions() == 0, "seed %llu", static_cast<unsigned long long>(seed));
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.write_for(5s);
        cr_assert(group.leader() == "m-0-c", "leader %s", group.leader().c_str());
        cr_assert(group.holds_all_acknowledged());
    }
}

/// Guards against the same loss without any kill: all VMs are restarted by plan, one after the other, between
/// the lapse of the entry and the crashes.
Test(takeover, member_that_the_directory_has_forgotten_is_awaited_after_all_vms_were_restarted_in_turn)
{
    session_fleet_shape shape;
    shape.group.entry_lifetime = 3600ms;
    takeover_fixture fixture(1, shape);
    auto& group = fixture.fleet.group();
    fixture.fleet.unlist_member("m-0-c");
    fixture.write_for(2s);
    group.faults("m-0-b").is_replication_cut = true;
    for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
        fixture.fleet.stop_vm(vm);
        fixture.write_for(500ms);
        fixture.fleet.start_vm(vm);
        fixture.write_for(500ms);
    }
    // The VMs that know of the last commits are lost with the members that hold them.
    for (std::size_t vm = 0; vm + 1 < fixture.fleet.vms(); ++vm) {
        fixture.fleet.kill_vm(vm);
        fixture.fleet.start_vm(vm);
    }
    group.crash("m-0-a");
    group.crash("m-0-c");
    fixture.fleet.kill_vm(fixture.fleet.vms() - 1);
    fixture.fleet.start_vm(fixture.fleet.vms() - 1);
    group.faults("m-0-b").is_replication_cut = false;
    fixture.write_for(5s);
    cr_assert(fixture.fleet.promotions() == 0);
    group.restart("m-0-c");
    fixture.fleet.list_member("m-0-c");
    fixture.write_for(5s);
    cr_assert(group.holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: the only replica that confirmed them has left the directory and
/// ended, all VMs are restarted, and the leader answers while the other replicas still receive nothing.
Test(takeover, commits_that_only_an_ended_member_confirmed_stay_with_their_leader_after_all_vms_were_killed)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        takeover_fixture fixture(seed, shape);
        auto& group = fixture.fleet.group();
        std::string const leaving = "m-0-ba";
        fixture.fleet.add_unlisted_replica(leaving);
        fixture.fleet.list_member(leaving);
        fixture.write_for(1s);
        fixture.fleet.drain_member(leaving);
        group.faults("m-0-b").is_replication_cut = true;
        group.faults("m-0-c").is_replication_cut = true;
        fixture.write_for(2s);
        fixture.fleet.unlist_member(leaving);
        group.crash(leaving);
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.kill_vm(vm);
            fixture.fleet.start_vm(vm);
        }
        std::vector<session_caller> callers;
        for (int i = 0; i < 60; ++i) {
            callers.push_back(fixture.caller(static_cast<std::size_t>(i) % fixture.fleet.vms()));
            callers.back().send(session_caller::write("x"));
            fixture.fleet.clock().run_for(100ms);
        }
        group.faults("m-0-b").is_replication_cut = false;
        group.faults("m-0-c").is_replication_cut = false;
        fixture.write_for(6s);
        cr_assert(group.holds_all_acknowledged(), "seed %llu, leader %s",
                  static_cast<unsigned long long>(seed), group.leader().c_str());
    }
}

/// Guards against lost acknowledged commits: an order that the platform did not answer is carried out seconds
/// later, after the leader has returned and has acknowledged commits that the ordered member did not receive.
Test(takeover, unanswered_order_replaces_no_leader_that_has_returned_and_acknowledged_commits)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        takeover_fixture fixture(seed, shape);
        auto& group = fixture.fleet.group();
        fixture.write_for(1s);
        auto const old = group.leader();
        fixture.fleet.delay_next_order(6s);
        group.crash(old);
        // Callers that wait for the leader show all VMs that it is gone.
        std::vector<session_caller> writers;
        for (std::size_t i = 0; i < 100 && fixture.fleet.delayed_order().empty(); ++i) {
            writers.push_back(fixture.caller(i % fixture.fleet.vms()));
            writers.back().send(session_caller::write("x"));
            fixture.fleet.clock().run_for(20ms);
        }
        auto const ordered = fixture.fleet.delayed_order();
        cr_assert(!ordered.empty());
        std::string const other = ordered == "m-0-b" ? "m-0-c" : "m-0-b";
        // The takeover loses its evidence, so it does not repeat the order before the leader is back.
        group.crash(other);
        fixture.fleet.clock().run_for(1s);
        cr_assert(group.leader() == old, "the order has been repeated and accepted");
        group.restart(old);
        // Reads show all VMs that the leader is back.
        std::vector<session_caller> readers;
        for (std::size_t i = 0; i < 40; ++i) {
            readers.push_back(fixture.caller(i % fixture.fleet.vms()));
            readers.back().send(session_caller::read("x"));
            fixture.fleet.clock().run_for(50ms);
        }
        group.faults(ordered).is_replication_cut = true;
        group.restart(other);
        auto const before = group.acknowledged();
        fixture.write_for(8s);
        cr_assert(group.acknowledged() > before);
        cr_assert(group.holds_all_acknowledged(), "seed %llu, leader %s",
                  static_cast<unsigned long long>(seed), group.leader().c_str());
    }
}

/// Guards against lost acknowledged commits: the leader has ended, and the only replica that received the
/// commits refuses connections of one VM only, the one that runs the takeover.
Test(takeover, replica_that_refuses_one_vm_only_is_not_left_out)
{
    for (std::size_t vm = 0; vm < 5; ++vm) {
        for (bool const do_all_vms_restart : {false, true}) {
            takeover_fixture fixture;
            auto& group = fixture.fleet.group();
            group.faults("m-0-b").is_replication_cut = true;
            fixture.write_for(2s);
            fixture.fleet.set_member_refused(vm, "m-0-a", true);
            fixture.fleet.set_member_refused(vm, "m-0-c", true);
            fixture.write_for(1s);
            group.crash("m-0-a");
            for (std::size_t i = 0; do_all_vms_restart && i < fixture.fleet.vms(); ++i) {
                fixture.fleet.kill_vm(i);
                fixture.fleet.start_vm(i);
            }
            group.faults("m-0-b").is_replication_cut = false;
            fixture.write_for(20s);
            cr_expect(group.leader() != "m-0-b", "VM %zu is refused, VMs %s", vm,
                      do_all_vms_restart ? "restart" : "stay");
            cr_expect(group.holds_all_acknowledged(), "VM %zu is refused", vm);
        }
    }
}

/// Guards against a leader that serves other VMs and is replaced because it refuses connections of one VM.
Test(takeover, leader_and_replica_that_refuse_one_vm_only_are_not_replaced)
{
    for (std::size_t vm = 0; vm < 5; ++vm) {
        takeover_fixture fixture;
        auto& group = fixture.fleet.group();
        group.faults("m-0-b").is_replication_cut = true;
        fixture.write_for(2s);
        fixture.fleet.set_member_refused(vm, "m-0-a", true);
        fixture.fleet.set_member_refused(vm, "m-0-c", true);
        fixture.write_for(8s);
        cr_expect(fixture.fleet.promotions() == 0, "VM %zu is refused, %zu promotions", vm,
                  fixture.fleet.promotions());
        cr_expect(group.holds_all_acknowledged(), "VM %zu is refused", vm);
    }
}
