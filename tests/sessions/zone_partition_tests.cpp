#include <algorithm>
#include <deque>

#include <criterion/criterion.h>

#include "session_fleet.h"

// Pattern: a zone is cut off from the others and from the store, with the leader of a group; callers still
// reach its VMs. Requests waited for members behind the cut until their deadlines, and callers of the zone
// stayed with VMs that could not serve them.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

session_fleet_shape make_shape()
{
    session_fleet_shape shape;
    shape.zones = {"a", "a", "a", "b", "b", "b", "c", "c", "c"};
    return shape;
}

struct partition_fixture {
    explicit partition_fixture(session_fleet_shape shape = make_shape()) : fleet(std::move(shape), 1)
    {
        fleet.clock().run_for(4s);
    }

    std::string leader_zone() { return fleet.group().leader().substr(fleet.group().leader().size() - 1); }

    /// Zone of a VM by its index; each has three.
    static std::string zone_of(std::size_t vm) { return std::string(1, "abc"[vm / 3]); }

    struct sent_statement {
        std::size_t vm;
        monotonic_time sent_at;
        std::optional<duration> answered_after;
        bool is_ok = false;
        std::string write; ///< Id of the statement if it writes; empty otherwise.
    };

    /// Sends one read and one statement for the leader through every VM each 50 ms; the sessions stay open.
    void load_for(duration length)
    {
        auto const end = fleet.clock().now() + length;
        while (fleet.clock().now() < end) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                send(vm, read_consistency::every_commit, session_caller::write("x"));
                send(vm, read_consistency::bounded_age, session_caller::read("x"));
            }
            for (int i = 0; i < 50; ++i) {
                fleet.clock().run_for(1ms);
                note_answers();
            }
        }
    }

    void send(std::size_t vm, read_consistency consistency, session_statement statement)
    {
        callers.emplace_back(fleet, vm, session_fleet::database_of(0, consistency), session_fleet::key_of(0));
        sent.push_back({vm, fleet.clock().now(), std::nullopt, false,
                        statement.kind == statement_kind::write ? statement.id : std::string()});
        if (callers.back().is_open()) {
            callers.back().send(std::move(statement));
        }
    }

    void note_answers()
    {
        for (std::size_t i = first_unanswered; i < sent.size(); ++i) {
            if (!sent[i].answered_after && !callers[i].answers().empty()) {
                sent[i].answered_after = fleet.clock().now() - sent[i].sent_at;
                sent[i].is_ok = callers[i].answers().front().is_ok();
            }
        }
        while (first_unanswered < sent.size() && sent[first_unanswered].answered_after) {
            ++first_unanswered;
        }
    }

    /// Longest time to an answer that is no result, of the statements sent through the VMs outside `zone`.
    duration longest_refusal(std::string const& zone, monotonic_time from, monotonic_time to)
    {
        duration longest{};
        for (auto const& each : sent) {
            if (each.sent_at >= from && each.sent_at < to && zone_of(each.vm) != zone && !each.is_ok) {
                longest = std::max(longest, each.answered_after.value_or(1h));
            }
        }
        return longest;
    }

    /// Number of writes that callers know to be committed and that are not in the leader's log.
    std::size_t lost_writes()
    {
        note_answers();
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [this](auto const& each) {
            return each.is_ok && !each.write.empty() && fleet.group().count_in_log(each.write) == 0;
        }));
    }

    std::size_t ready_vms(std::string const& zone)
    {
        std::size_t count = 0;
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            count += zone_of(vm) == zone && fleet.vm(vm).sessions().is_ready() ? 1 : 0;
        }
        return count;
    }

    session_fleet fleet;
    std::deque<session_caller> callers;
    std::vector<sent_statement> sent;
    std::size_t first_unanswered = 0;
};

} // namespace

/// The latency target of the classes is 300 ms, and a quarter of it is the longest time to a refusal.
Test(zone_partition, statement_that_only_the_lost_leader_can_run_is_refused_at_once)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    auto const zone = fixture.leader_zone();
    fixture.fleet.set_zone_cut(zone, true);
    auto const cut_at = fixture.fleet.clock().now();
    fixture.load_for(1200ms);
    fixture.fleet.clock().run_for(2s);
    fixture.note_answers();
    auto const longest = fixture.longest_refusal(zone, cut_at + 1s, cut_at + 1200ms);
    cr_assert(longest <= 75ms, "refused after %.0f ms", to_milliseconds(longest));
}

Test(zone_partition, leader_behind_the_cut_is_replaced_and_nothing_is_lost)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    auto const zone = fixture.leader_zone();
    fixture.fleet.set_zone_cut(zone, true);
    fixture.load_for(5s);
    fixture.fleet.set_zone_cut(zone, false);
    fixture.load_for(2s);
    cr_assert(fixture.fleet.promotions() == 1, "%zu promotions", fixture.fleet.promotions());
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// A VM that starts behind the cut has no report of other zones, so that its own zone looked like the
/// majority.
Test(zone_partition, vms_that_start_behind_the_cut_replace_no_leader)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    cr_assert(fixture.leader_zone() != "b");
    fixture.fleet.set_zone_cut("b", true);
    for (std::size_t const vm : {std::size_t{3}, std::size_t{4}}) {
        fixture.fleet.kill_vm(vm);
        fixture.fleet.start_vm(vm);
    }
    fixture.load_for(4s);
    fixture.fleet.set_zone_cut("b", false);
    fixture.load_for(6s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
}

Test(zone_partition, vms_of_the_cut_zone_leave_rotation_early_and_return_quickly)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    fixture.fleet.set_zone_cut("a", true);
    fixture.load_for(1500ms);
    cr_assert(fixture.ready_vms("a") == 0, "%zu VMs of the zone are ready", fixture.ready_vms("a"));
    cr_assert(fixture.ready_vms("b") == 3 && fixture.ready_vms("c") == 3);
    fixture.fleet.set_zone_cut("a", false);
    fixture.load_for(1s);
    cr_assert(fixture.ready_vms("a") == 3, "%zu VMs of the zone are ready", fixture.ready_vms("a"));
}

/// Callers that have no statement outstanding come back through VMs that can serve them.
Test(zone_partition, idle_sessions_of_the_cut_zone_are_closed)
{
    partition_fixture fixture;
    std::vector<session_caller> idle;
    for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
        idle.emplace_back(fixture.fleet, vm, session_fleet::database_of(0, read_consistency::bounded_age),
                          session_fleet::key_of(0));
    }
    fixture.load_for(1s);
    fixture.fleet.set_zone_cut("a", true);
    fixture.load_for(5s);
    for (std::size_t vm = 0; vm < idle.size(); ++vm) {
        cr_assert(idle[vm].was_closed() == (fixture.zone_of(vm) == "a"), "VM %zu", vm);
    }
}

Test(zone_partition, vms_stay_ready_while_the_store_is_lost_to_all)
{
    partition_fixture fixture;
    for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
        fixture.fleet.set_store_cut(vm, true);
    }
    fixture.load_for(2500ms);
    cr_assert(fixture.ready_vms("a") + fixture.ready_vms("b") + fixture.ready_vms("c") == 9);
}

/// All VMs of the other zones are killed, but the members there answer.
Test(zone_partition, vm_whose_peers_are_all_down_stays_ready)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    for (std::size_t vm = 3; vm < fixture.fleet.vms(); ++vm) {
        fixture.fleet.kill_vm(vm);
    }
    for (int i = 0; i < 40; ++i) {
        for (std::size_t vm = 0; vm < 3; ++vm) {
            fixture.send(vm, read_consistency::bounded_age, session_caller::read("x"));
        }
        fixture.fleet.clock().run_for(50ms);
        cr_assert(fixture.ready_vms("a") == 3);
    }
}

/// Guards against lost acknowledged commits: behind a cut that refuses connections, the members of the other
/// zones seemed not to run, and the store gave the failover lock, though the leader went on acknowledging.
Test(zone_partition, zone_whose_connections_are_refused_replaces_no_leader_though_it_reaches_the_store)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    std::string const zone = "c";
    cr_assert(fixture.leader_zone() != zone);
    fixture.fleet.set_zone_refused(zone, true);
    fixture.load_for(13s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
    fixture.fleet.set_zone_refused(zone, false);
    fixture.load_for(2s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: the leader that leaves is out of reach for most VMs and
/// acknowledges through its replacement, which is in no directory yet.
Test(zone_partition, leader_that_leaves_behind_a_cut_loses_no_commit_that_its_replacement_received)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    auto const old_leader = fixture.fleet.group().leader();
    auto const zone = fixture.leader_zone();
    fixture.fleet.add_unlisted_replica("m-0-joining-" + zone);
    fixture.fleet.drain_member(old_leader);
    fixture.fleet.set_zone_refused(zone, true);
    fixture.load_for(5s);
    fixture.fleet.list_member("m-0-joining-" + zone);
    fixture.fleet.set_zone_refused(zone, false);
    fixture.load_for(3s);
    cr_assert(fixture.fleet.group().leader() != old_leader);
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Guards against a healthy leader that is deposed after a cut: a takeover that began behind the cut goes on
/// with what its VM believed there.
Test(zone_partition, takeover_that_began_behind_a_cut_deposes_no_leader_that_answers_again)
{
    partition_fixture fixture;
    fixture.load_for(1s);
    auto const zone = fixture.leader_zone() == "a" ? "b" : "a";
    fixture.fleet.set_zone_refused(zone, true);
    fixture.load_for(5s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
    fixture.fleet.set_zone_refused(zone, false);
    fixture.load_for(3s);
    cr_assert(fixture.fleet.promotions() == 0, "%zu promotions", fixture.fleet.promotions());
}

/// Guards against lost acknowledged commits: a replica that no VM outside the cut knows starts beside the
/// leader, which acknowledges through it while the others are stopped and one of them is promoted.
Test(zone_partition, leader_behind_a_cut_with_a_replica_that_starts_there_loses_no_delivered_commit)
{
    for (auto const start_after : {100ms, 300ms, 500ms, 700ms}) {
        partition_fixture fixture;
        fixture.load_for(1s);
        auto const old_leader = fixture.fleet.group().leader();
        auto const zone = fixture.leader_zone();
        fixture.fleet.set_zone_cut(zone, true);
        fixture.load_for(start_after);
        fixture.fleet.add_unlisted_replica("m-0-joining-" + zone);
        fixture.load_for(4s);
        fixture.fleet.set_zone_cut(zone, false);
        fixture.load_for(3s);
        cr_expect(fixture.fleet.group().leader() != old_leader);
        cr_expect(fixture.lost_writes() == 0,
                  "%zu commits that callers know of are lost, replica after %.0f ms", fixture.lost_writes(),
                  to_milliseconds(start_after));
    }
}

/// Guards against lost acknowledged commits: the cut ends after the promotion was ordered and before it takes
/// effect, and the old leader acknowledges through a replica that the successor does not know.
Test(zone_partition, commits_between_the_end_of_a_cut_and_the_promotion_ordered_during_it_are_not_lost)
{
    for (auto const cut_for : {800ms, 1000ms, 1200ms, 1400ms, 1600ms}) {
        auto shape = make_shape();
        shape.group.promotion_time = 600ms;
        partition_fixture fixture(shape);
        fixture.load_for(1s);
        auto const zone = fixture.leader_zone();
        fixture.fleet.set_zone_cut(zone, true);
        fixture.load_for(350ms);
        fixture.fleet.add_unlisted_replica("m-0-joining-" + zone);
        fixture.load_for(cut_for - 350ms);
        fixture.fleet.set_zone_cut(zone, false);
        fixture.load_for(3s);
        cr_expect(fixture.lost_writes() == 0, "%zu commits that callers know of are lost, cut for %.0f ms",
                  fixture.lost_writes(), to_milliseconds(cut_for));
    }
}
