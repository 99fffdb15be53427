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
