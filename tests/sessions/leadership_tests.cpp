#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Fleet on a platform that does not depose a replaced leader: it goes on accepting transactions until it is
/// ordered to step down, or until it learns of its successor.
struct leadership_fixture {
    explicit leadership_fixture(bool vms_rely_on_fences = false) : fleet(shape(vms_rely_on_fences), 1)
    {
        fleet.clock().run_for(4s);
    }

    static session_fleet_shape shape(bool vms_rely_on_fences)
    {
        session_fleet_shape shape;
        shape.vms_rely_on_fences = vms_rely_on_fences;
        shape.group.deposes_replaced_leader = false;
        return shape;
    }

    /// Lets callers at all VMs read and write for `length`, as many as arrive every 20 ms.
    void serve_for(duration length)
    {
        auto const end = fleet.clock().now() + length;
        while (fleet.clock().now() < end) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                send(vm, session_caller::read("x"));
                send(vm, session_caller::write("x"));
            }
            fleet.clock().run_for(20ms);
        }
    }

    void send(std::size_t vm, session_statement statement)
    {
        session_caller caller(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        if (!caller.is_open()) {
            return;
        }
        fleet.group().note_read(statement.id);
        caller.send(std::move(statement));
        callers.push_back(std::move(caller));
    }

    std::size_t answered() const
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](auto const& each) {
            return !each.answers().empty() && each.answers().front().is_ok();
        }));
    }

    session_fleet fleet;
    std::vector<session_caller> callers;
};

} // namespace

/// Guards against reads at a replaced leader. A zone is cut off together with the leader; its VMs still reach
/// the leader, while the other zones promote a successor and commit there.
Test(leadership, replaced_leader_behind_a_zone_cut_runs_no_stale_read)
{
    leadership_fixture fixture;
    fixture.serve_for(1s);
    fixture.fleet.set_zone_cut("a", true);
    fixture.serve_for(6s);
    fixture.fleet.set_zone_cut("a", false);
    fixture.serve_for(3s);
    cr_assert(fixture.fleet.promotions() == 1, "%zu promotions", fixture.fleet.promotions());
    cr_assert(fixture.fleet.group().stale_reads() == 0, "%zu stale reads",
              fixture.fleet.group().stale_reads());
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Shows that the check above finds the fault: VMs that rely on the platform to depose the leader read at the
/// replaced one.
Test(leadership, proof_that_relies_on_fences_runs_stale_reads_behind_a_zone_cut)
{
    leadership_fixture fixture(true);
    fixture.serve_for(1s);
    fixture.fleet.set_zone_cut("a", true);
    fixture.serve_for(6s);
    cr_assert(fixture.fleet.group().stale_reads() > 0);
}

/// Guards against reads at a leader that was replaced while it drains. It is reachable by all VMs and goes on
/// accepting transactions after the promotion.
Test(leadership, draining_leader_runs_no_stale_read_after_its_replacement)
{
    leadership_fixture fixture;
    fixture.serve_for(1s);
    auto const old = fixture.fleet.group().leader();
    fixture.fleet.drain_member(old);
    fixture.serve_for(4s);
    cr_assert(fixture.fleet.group().leader() != old);
    cr_assert(fixture.fleet.group().stale_reads() == 0, "%zu stale reads",
              fixture.fleet.group().stale_reads());
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Callers of an idle group must not be refused because no commit proves that its leader leads: the replicas
/// are asked instead.
Test(leadership, reads_of_a_group_without_commits_are_served)
{
    leadership_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        session_caller caller(fixture.fleet, 3, session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
        fixture.fleet.clock().run_for(1s);
    }
    cr_assert(fixture.fleet.promotions() == 0);
}
