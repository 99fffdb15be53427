#include <deque>

#include <criterion/criterion.h>

#include "failover/roster_service.h"
#include "session_fleet.h"

// Pattern: a member that the directory no longer lists confirms commits, and is lost together with the leader
// and with all VMs. The VMs that start take the members that they know for the whole group.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Interval of the writes of each VM while nothing happens.
constexpr duration calm_period = 200ms;
/// Time for which a member serves after it has reported that it drains.
constexpr duration drain_time = 7s;

session_fleet_shape make_shape()
{
    session_fleet_shape shape;
    shape.group.entry_lifetime = 3600ms;
    return shape;
}

struct roster_fixture {
    roster_fixture() : fleet(make_shape(), 1) { fleet.clock().run_for(4s); }

    std::string row_key() { return std::string(roster_key_prefix) + fleet.group().name(); }

    /// Sends one write through each VM in each period.
    void load_for(duration length, duration period = 20ms)
    {
        auto const end = fleet.clock().now() + length;
        while (fleet.clock().now() < end) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                send_write(vm);
            }
            fleet.clock().run_for(std::min<duration>(period, end - fleet.clock().now()));
        }
    }

    void send_write(std::size_t vm)
    {
        if (!fleet.is_running(vm)) {
            return;
        }
        callers.emplace_back(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                             session_fleet::key_of(0));
        auto const write = session_caller::write("x");
        writes.push_back(write.id);
        if (callers.back().is_open()) {
            callers.back().send(write);
        }
    }

    /// Number of writes that callers know to be committed.
    std::size_t delivered_writes() const
    {
        std::size_t count = 0;
        for (auto const& each : callers) {
            count += !each.answers().empty() && each.answers().front().is_ok() ? 1 : 0;
        }
        return count;
    }

    /// Number of writes that callers know to be committed and that are not in the leader's log.
    std::size_t lost_writes()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            auto const& answers = callers[i].answers();
            count += !answers.empty() && answers.front().is_ok() && fleet.group().count_in_log(writes[i]) == 0
                         ? 1
                         : 0;
        }
        return count;
    }

    /// Ends members and kills all VMs, which start again after `down_for`.
    void lose(std::vector<std::string> const& members, duration down_for)
    {
        for (auto const& id : members) {
            fleet.group().crash(id);
        }
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.kill_vm(vm);
        }
        fleet.clock().run_for(down_for);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.start_vm(vm);
        }
    }

    void set_replication_cut(std::vector<std::string> const& members, bool is_cut)
    {
        for (auto const& id : members) {
            fleet.group().faults(id).is_replication_cut = is_cut;
        }
    }

    /// Lets a member's machine answer no VM, or all of them again. The member goes on replicating.
    void set_silent(std::string const& member, bool is_silent)
    {
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.set_member_silent(vm, member, is_silent);
        }
    }

    /// Replaces a replica as planned. Its machine is gone as well, so nothing at its address answers.
    void release(std::string const& member, std::string const& replacement)
    {
        fleet.add_unlisted_replica(replacement);
        fleet.list_member(replacement);
        load_for(3s, calm_period);
        fleet.drain_member(member);
        load_for(drain_time, calm_period);
        fleet.group().crash(member);
        set_silent(member, true);
        fleet.unlist_member(member);
    }

    /// Kills the VMs one after the other, each 5 s after the one before, and starts each again at once.
    void restart_vms_in_turn()
    {
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.kill_vm(vm);
            load_for(500ms, calm_period);
            fleet.start_vm(vm);
            load_for(4500ms, calm_period);
        }
    }

    /// Returns the share of the writes from `first_write` on that callers know to be committed.
    double served_share_since(std::size_t first_write) const
    {
        std::size_t served = 0;
        for (auto i = first_write; i < callers.size(); ++i) {
            auto const& answers = callers[i].answers();
            served += !answers.empty() && answers.front().is_ok() ? 1 : 0;
        }
        return callers.size() == first_write
                   ? 0
                   : static_cast<double>(served) / static_cast<double>(callers.size() - first_write);
    }

    session_fleet fleet;
    std::deque<session_caller> callers;
    std::vector<std::string> writes;
};

/// Time for which VMs are down, so that the entries of members that ended with them have lapsed.
constexpr duration long_outage = 4s;
/// Time after the machines are back from which on at least min_served_share of the writes is to be served.
constexpr duration recovery_time = 12s;
constexpr double min_served_share = 0.25;

} // namespace

/// Guards against lost acknowledged commits: a member that joined is in the directory and confirms commits
/// before the roster lists it, and is lost with the leader and all VMs.
Test(roster, member_that_joined_and_is_lost_with_all_vms_before_it_was_written_loses_no_commit)
{
    for (auto lost_after = 100ms; lost_after <= 1000ms; lost_after += 50ms) {
        roster_fixture fixture;
        std::string const joining = "m-0-bb";
        fixture.load_for(500ms);
        fixture.fleet.add_unlisted_replica(joining);
        fixture.fleet.list_member(joining);
        fixture.set_replication_cut({"m-0-b", "m-0-c"}, true);
        fixture.load_for(lost_after);
        fixture.fleet.unlist_member(joining);
        fixture.lose({"m-0-a", joining}, long_outage);
        fixture.set_replication_cut({"m-0-b", "m-0-c"}, false);
        fixture.load_for(5s);
        fixture.fleet.group().restart(joining);
        fixture.fleet.list_member(joining);
        fixture.load_for(5s);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, members and VMs lost after %lld ms",
                  fixture.lost_writes(), static_cast<long long>(lost_after.count()));
    }
}

/// Guards against lost acknowledged commits: a write of the roster that was not answered is carried out
/// seconds later, when the member whose log it bounds runs again.
Test(roster, late_write_bounds_no_member_that_runs_again)
{
    for (auto const returns_after : {700ms, 1200ms, 1700ms, 2500ms}) {
        roster_fixture fixture;
        auto& group = fixture.fleet.group();
        fixture.load_for(500ms);
        group.crash("m-0-c");
        fixture.load_for(2s);
        fixture.fleet.faults_of_row(fixture.row_key()).write_delay = 6s;
        // The entry lapses after 3.6 s, and the address is probed until it has refused twice.
        fixture.load_for(1600ms);
        fixture.load_for(returns_after);
        fixture.fleet.faults_of_row(fixture.row_key()).write_delay.reset();
        group.restart("m-0-c");
        fixture.load_for(9s);
        fixture.fleet.unlist_member("m-0-c");
        fixture.load_for(2s);
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, member back after %lld ms",
                  fixture.lost_writes(), static_cast<long long>(returns_after.count()));
    }
}

/// Guards against the same with the keeper that wrote gone: its write is carried out while the next keeper
/// keeps the roster.
Test(roster, late_write_of_a_former_keeper_bounds_no_member_that_runs_again)
{
    for (auto const returns_after : {100ms, 700ms, 1200ms}) {
        roster_fixture fixture;
        auto& group = fixture.fleet.group();
        fixture.load_for(500ms);
        group.crash("m-0-c");
        fixture.load_for(2s);
        fixture.fleet.faults_of_row(fixture.row_key()).write_delay = 8s;
        fixture.load_for(2900ms);
        fixture.fleet.faults_of_row(fixture.row_key()).write_delay.reset();
        // Any of the VMs may be the keeper; each of them is stopped once.
        for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
            fixture.fleet.kill_vm(vm);
            fixture.load_for(50ms);
            fixture.fleet.start_vm(vm);
        }
        fixture.load_for(returns_after);
        group.restart("m-0-c");
        fixture.load_for(9s);
        fixture.fleet.unlist_member("m-0-c");
        fixture.load_for(2s);
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, member back after %lld ms",
                  fixture.lost_writes(), static_cast<long long>(returns_after.count()));
    }
}

/// Guards against lost acknowledged commits: a member is listed only while the store rejects the roster's
/// row, and goes on confirming commits.
Test(roster, member_that_joined_and_lost_the_store_while_the_row_was_rejected_is_awaited)
{
    for (auto const rejected_for : {2s, 5s, 10s}) {
        roster_fixture fixture;
        std::string const joining = "m-0-bb";
        fixture.load_for(500ms);
        fixture.fleet.faults_of_row(fixture.row_key()).rejects_writes = true;
        fixture.fleet.add_unlisted_replica(joining);
        fixture.fleet.list_member(joining);
        fixture.load_for(1s);
        fixture.fleet.unlist_member(joining);
        fixture.load_for(rejected_for - 1s);
        fixture.fleet.faults_of_row(fixture.row_key()).rejects_writes = false;
        fixture.load_for(3s);
        fixture.set_replication_cut({"m-0-b", "m-0-c"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", joining}, 500ms);
        fixture.set_replication_cut({"m-0-b", "m-0-c"}, false);
        fixture.load_for(5s);
        fixture.fleet.group().restart(joining);
        fixture.fleet.list_member(joining);
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, row rejected for %lld s",
                  fixture.lost_writes(), static_cast<long long>(rejected_for.count()));
    }
}

/// Guards against lost acknowledged commits: the row cannot be decoded and is written anew without the
/// members that the directory has forgotten.
Test(roster, row_that_cannot_be_decoded_is_not_replaced_by_one_without_a_forgotten_member)
{
    for (bool const do_members_change : {false, true}) {
        roster_fixture fixture;
        fixture.fleet.unlist_member("m-0-c");
        fixture.load_for(4s);
        fixture.fleet.set_row(fixture.row_key(), "?");
        if (do_members_change) {
            fixture.fleet.add_unlisted_replica("m-0-bb");
            fixture.fleet.list_member("m-0-bb");
        }
        fixture.load_for(3s);
        auto const others = do_members_change ? std::vector<std::string>{"m-0-b", "m-0-bb"}
                                              : std::vector<std::string>{"m-0-b"};
        fixture.set_replication_cut(others, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut(others, false);
        fixture.load_for(5s);
        fixture.fleet.group().restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, members %s", fixture.lost_writes(),
                  do_members_change ? "change" : "stay");
    }
}

/// Guards against lost acknowledged commits: a member that had ended starts again, behind a cut from the
/// store, confirms commits and ends with the leader and all VMs before its address was probed again.
Test(roster, member_that_ran_between_two_probes_loses_no_commit)
{
    for (auto ran_for = 100ms; ran_for <= 1000ms; ran_for += 100ms) {
        roster_fixture fixture;
        auto& group = fixture.fleet.group();
        fixture.load_for(500ms);
        group.crash("m-0-c");
        fixture.fleet.unlist_member("m-0-c");
        fixture.load_for(8s);
        group.restart("m-0-c");
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(ran_for);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, member ran for %lld ms",
                  fixture.lost_writes(), static_cast<long long>(ran_for.count()));
    }
}

/// Guards against lost acknowledged commits: a member that the directory does not list refuses connections of
/// one VM only, the keeper of the roster, which bounds its log while it goes on confirming commits.
Test(roster, member_that_refuses_one_vm_only_is_not_taken_for_ended)
{
    for (std::size_t vm = 0; vm < 5; ++vm) {
        roster_fixture fixture;
        auto& group = fixture.fleet.group();
        fixture.load_for(500ms);
        fixture.fleet.set_member_refused(vm, "m-0-c", true);
        fixture.fleet.unlist_member("m-0-c");
        fixture.load_for(6s);
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.fleet.set_member_refused(vm, "m-0-c", false);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, VM %zu is refused",
                  fixture.lost_writes(), vm);
    }
}

/// Guards against a group that nobody leads any more: a member was replaced as planned, and nothing answers
/// at its address, so each takeover by VMs that have started since waits for it.
Test(roster, member_that_was_replaced_as_planned_and_is_silent_holds_up_no_later_takeover)
{
    for (bool const do_vms_restart : {false, true}) {
        roster_fixture fixture;
        fixture.load_for(500ms);
        fixture.release("m-0-c", "m-0-cc");
        fixture.load_for(do_vms_restart ? 10s : 35s, calm_period);
        if (do_vms_restart) {
            fixture.restart_vms_in_turn();
            fixture.fleet.group().crash("m-0-a");
        }
        else {
            fixture.lose({"m-0-a"}, 1s);
        }
        fixture.load_for(recovery_time, calm_period);
        auto const first_write = fixture.writes.size();
        fixture.load_for(8s, calm_period);
        cr_expect(fixture.served_share_since(first_write) >= min_served_share,
                  "%.3f of the writes served, %s", fixture.served_share_since(first_write),
                  do_vms_restart ? "VMs restarted in turn" : "all VMs lost");
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost", fixture.lost_writes());
    }
}

/// Guards against lost acknowledged commits: a member that drains is cut off from the store and from all VMs.
/// It receives and confirms until its end, and is lost with the leader and all VMs before.
Test(roster, draining_member_that_is_silent_has_no_bound_before_its_planned_end)
{
    for (auto const silent_for : {4s, 8s, 12s}) {
        roster_fixture fixture;
        fixture.load_for(500ms);
        fixture.fleet.drain_member("m-0-c");
        fixture.load_for(2s);
        fixture.fleet.unlist_member("m-0-c");
        fixture.set_silent("m-0-c", true);
        fixture.load_for(silent_for, calm_period);
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        fixture.set_silent("m-0-c", false);
        fixture.fleet.group().restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, member silent for %lld s",
                  fixture.lost_writes(), static_cast<long long>(silent_for.count()));
    }
}

/// Guards against lost acknowledged commits: a member that did not report that it drains is cut off from the
/// store and from all VMs, and goes on confirming commits for as long as it runs.
Test(roster, silent_member_that_did_not_drain_has_no_bound)
{
    for (auto const silent_for : {10s, 40s}) {
        roster_fixture fixture;
        fixture.load_for(500ms);
        fixture.fleet.unlist_member("m-0-c");
        fixture.set_silent("m-0-c", true);
        fixture.load_for(silent_for, calm_period);
        fixture.set_replication_cut({"m-0-b"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b"}, false);
        fixture.load_for(5s);
        fixture.set_silent("m-0-c", false);
        fixture.fleet.group().restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, member silent for %lld s",
                  fixture.lost_writes(), static_cast<long long>(silent_for.count()));
    }
}

/// Guards against lost acknowledged commits: a member that drained has ended, and one that does not drain
/// runs at its address without an entry. It answers VMs for a while, then goes on confirming commits in
/// silence.
Test(roster, member_that_runs_at_the_address_after_a_planned_end_is_awaited)
{
    for (auto const returns_after : {2s, 30s}) {
        roster_fixture fixture;
        auto& group = fixture.fleet.group();
        fixture.load_for(500ms);
        fixture.release("m-0-c", "m-0-cc");
        fixture.load_for(returns_after, calm_period);
        fixture.set_silent("m-0-c", false);
        group.restart("m-0-c");
        fixture.load_for(30s, calm_period);
        fixture.set_silent("m-0-c", true);
        fixture.load_for(30s, calm_period);
        fixture.set_replication_cut({"m-0-b", "m-0-cc"}, true);
        fixture.load_for(1s);
        fixture.lose({"m-0-a", "m-0-c"}, 500ms);
        fixture.set_replication_cut({"m-0-b", "m-0-cc"}, false);
        fixture.load_for(5s);
        fixture.set_silent("m-0-c", false);
        group.restart("m-0-c");
        fixture.fleet.list_member("m-0-c");
        fixture.load_for(5s);
        cr_expect(fixture.delivered_writes() != 0);
        cr_expect(fixture.lost_writes() == 0, "%zu commits are lost, address in use after %lld s",
                  fixture.lost_writes(), static_cast<long long>(returns_after.count()));
    }
}
