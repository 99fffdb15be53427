#include <algorithm>
#include <deque>

#include <criterion/criterion.h>

#include "session_fleet.h"

// Pattern: callers behind a cut learn of commits that only a member behind the cut has received, while
// another member is promoted outside.

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

struct contact_fixture {
    explicit contact_fixture(session_fleet_shape const& shape) : fleet(shape, 1)
    {
        fleet.clock().run_for(4s);
    }

    /// Sends one write through each VM every 50 ms.
    void load_for(duration length)
    {
        auto const end = fleet.clock().now() + length;
        while (fleet.clock().now() < end) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                callers.emplace_back(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                                     session_fleet::key_of(0));
                auto const write = session_caller::write("x");
                writes.push_back(write.id);
                if (callers.back().is_open()) {
                    callers.back().send(write);
                }
            }
            fleet.clock().run_for(50ms);
        }
    }

    bool is_delivered(std::size_t write) const
    {
        return !callers[write].answers().empty() && callers[write].answers().front().is_ok();
    }

    /// Number of writes that callers know to be committed and that are not in the leader's log.
    std::size_t lost_writes()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            count += is_delivered(i) && fleet.group().count_in_log(writes[i]) == 0 ? 1 : 0;
        }
        return count;
    }

    session_fleet fleet;
    std::deque<session_caller> callers;
    std::vector<std::string> writes;
};

session_fleet_shape make_shape(std::vector<std::string> zones)
{
    session_fleet_shape shape;
    shape.zones = std::move(zones);
    return shape;
}

} // namespace

/// Guards against lost commits in a fleet of two zones, where contact with one other zone is all there is.
Test(contact, leader_behind_a_cut_in_a_fleet_of_two_zones_loses_no_delivered_commit)
{
    for (auto const start_after : {100ms, 300ms, 500ms, 700ms}) {
        contact_fixture fixture(make_shape({"a", "a", "b", "b", "b"}));
        fixture.load_for(1s);
        fixture.fleet.set_zone_cut("a", true);
        fixture.load_for(start_after);
        fixture.fleet.add_unlisted_replica("m-0-joining-a");
        fixture.load_for(4s);
        fixture.fleet.set_zone_cut("a", false);
        fixture.load_for(3s);
        cr_expect(fixture.lost_writes() == 0,
                  "%zu commits that callers know of are lost, replica after %.0f ms", fixture.lost_writes(),
                  to_milliseconds(start_after));
    }
}

/// Guards against lost commits behind a cut between two zones only: the zone with most VMs replaces the
/// leader while VMs beside it pass successes on, as the third zone answers them.
Test(contact, cut_between_two_zones_while_the_third_hears_both_loses_no_delivered_commit)
{
    std::vector<std::vector<std::string>> const divisions{{"a", "b", "b", "b", "c"},
                                                          {"a", "a", "a", "b", "b", "b", "c", "c", "c"}};
    for (auto const& zones : divisions) {
        for (auto const start_after : {50ms, 100ms, 200ms, 300ms, 500ms, 700ms, 900ms, 1200ms, 1600ms}) {
            contact_fixture fixture(make_shape(zones));
            fixture.load_for(1s);
            fixture.fleet.set_zone_pair_cut("a", "b", true);
            fixture.fleet.group().faults("m-0-b").is_replication_cut = true;
            fixture.load_for(start_after);
            fixture.fleet.add_unlisted_replica("m-0-joining-a");
            fixture.load_for(6s);
            fixture.fleet.set_zone_pair_cut("a", "b", false);
            fixture.fleet.group().faults("m-0-b").is_replication_cut = false;
            fixture.load_for(3s);
            cr_expect(fixture.lost_writes() == 0,
                      "%zu commits that callers know of are lost, %zu VMs, replica after %.0f ms, %zu "
                      "promotions",
                      fixture.lost_writes(), zones.size(), to_milliseconds(start_after),
                      fixture.fleet.promotions());
        }
    }
}

/// Guards against lost commits between the end of a cut and a promotion that the platform carries out later
/// than a second after it.
Test(contact, promotion_carried_out_long_after_a_cut_loses_no_delivered_commit)
{
    for (auto const cut_for : {1000ms, 1400ms, 1800ms}) {
        auto shape = make_shape({"a", "a", "a", "b", "b", "b", "c", "c", "c"});
        shape.group.promotion_time = 3s;
        contact_fixture fixture(shape);
        fixture.load_for(1s);
        fixture.fleet.set_zone_cut("a", true);
        fixture.load_for(350ms);
        fixture.fleet.add_unlisted_replica("m-0-joining-a");
        fixture.load_for(cut_for - 350ms);
        fixture.fleet.set_zone_cut("a", false);
        fixture.load_for(5s);
        cr_expect(fixture.fleet.promotions() == 1, "%zu promotions", fixture.fleet.promotions());
        cr_expect(fixture.lost_writes() == 0, "%zu commits that callers know of are lost, cut for %.0f ms",
                  fixture.lost_writes(), to_milliseconds(cut_for));
    }
}

/// Guards against successes that the first VM of a build withholds, since VMs of earlier builds answer pings
/// without a number.
Test(contact, vm_among_peers_that_do_not_number_pings_passes_successes_on)
{
    contact_fixture fixture(make_shape({"a", "b", "b", "c", "c"}));
    for (std::size_t vm = 1; vm < fixture.fleet.vms(); ++vm) {
        fixture.fleet.set_numbers_no_pings(vm);
    }
    std::size_t delivered = 0;
    constexpr std::size_t sent = 50;
    for (std::size_t i = 0; i < sent; ++i) {
        session_caller caller(fixture.fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        delivered += caller.send_and_wait(session_caller::write("x")).is_ok() ? 1 : 0;
    }
    cr_assert(delivered == sent, "%zu of %zu writes succeeded", delivered, sent);
}

/// Guards against a group without commits: the leader's zone has lost its only VM, which the platform still
/// lists, and the other VMs take the zone for cut off although its members answer.
Test(contact, leader_in_a_zone_that_has_lost_its_only_vm_commits)
{
    contact_fixture fixture(make_shape({"b", "b", "c", "c", "a"}));
    cr_assert(fixture.fleet.group().leader() == "m-0-a");
    constexpr std::size_t only_vm = 4;
    fixture.fleet.kill_vm(only_vm);
    // A commit waits for a replacement of the leader for no longer than a takeover takes.
    fixture.fleet.clock().run_for(4s);
    session_caller caller(fixture.fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                          session_fleet::key_of(0));
    for (int i = 0; i < 10; ++i) {
        cr_expect(caller.send_and_wait(session_caller::write("x")).is_ok(), "write %d", i);
        fixture.fleet.clock().run_for(1s);
    }
}
