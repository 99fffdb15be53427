#include <criterion/criterion.h>

#include <absl/strings/str_split.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t vm_of_replica_zone = 2;

/// Fleet in which one replica, in the zone of the VM that reads, has received nothing for a while.
struct fleet_with_lagging_replica {
    explicit fleet_with_lagging_replica(duration behind) : fleet({}, 1)
    {
        fleet.clock().run_for(4s);
        fleet.group().faults(replica).is_replication_cut = true;
        write_for(behind);
    }

    void write_for(duration time)
    {
        session_caller writer(fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        for (auto const end = fleet.clock().now() + time; fleet.clock().now() < end;) {
            cr_assert(writer.send_and_wait(session_caller::write("x")).is_ok());
            fleet.clock().run_for(40ms);
        }
    }

    session_fleet fleet;
    std::string const replica = "m-0-b";
};

} // namespace

/// Guards against reads that are older than their class allows. A replica further behind than the history of
/// the leader's positions reaches looks as far behind as the history is long; the minimum position that each
/// read carries must keep it from answering all the same.
Test(lagging_replica, replica_behind_the_whole_history_answers_no_bounded_read)
{
    fleet_with_lagging_replica lagging(12s);
    auto& fleet = lagging.fleet;
    session_caller writer(fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                          session_fleet::key_of(0));
    session_caller reader(fleet, vm_of_replica_zone,
                          session_fleet::database_of(0, read_consistency::bounded_age),
                          session_fleet::key_of(1));
    for (int i = 0; i < 100; ++i) {
        writer.send(session_caller::write("x"));
        auto const required = fleet.group().acknowledged_before(fleet.clock().now() - 1500ms);
        auto const read = reader.send_and_wait(session_caller::read("x"));
        cr_assert(read.is_ok());
        cr_assert(*read.position >= required);
        std::vector<std::string> const words = absl::StrSplit(read.rows.at(0), ' ');
        cr_assert(words.at(1) != lagging.replica);
        fleet.clock().run_for(40ms);
    }
}

/// Guards against reads that are sent to a replica which cannot answer them. After its start a VM knew the
/// leader's positions of a short time only, and expected a replica that was seconds behind to have caught up
/// with them.
Test(lagging_replica, started_vm_sends_no_reads_to_a_replica_that_is_far_behind)
{
    fleet_with_lagging_replica lagging(6s);
    auto& fleet = lagging.fleet;
    fleet.kill_vm(vm_of_replica_zone);
    lagging.write_for(3s);
    fleet.start_vm(vm_of_replica_zone);
    fleet.clock().run_for(300ms);
    session_caller writer(fleet, 0, session_fleet::database_of(0, read_consistency::every_commit),
                          session_fleet::key_of(0));
    session_caller reader(fleet, vm_of_replica_zone,
                          session_fleet::database_of(0, read_consistency::bounded_age),
                          session_fleet::key_of(1));
    auto const before = fleet.group().arrival_times(lagging.replica).size();
    for (int i = 0; i < 30; ++i) {
        writer.send(session_caller::write("x"));
        cr_assert(reader.send_and_wait(session_caller::read("x")).is_ok());
        fleet.clock().run_for(20ms);
    }
    auto const sent = fleet.group().arrival_times(lagging.replica).size() - before;
    // The first read finds out that the replica is behind.
    cr_assert(sent <= 1, "%zu reads", sent);
}
