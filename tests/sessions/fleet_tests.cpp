#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Number of peers in zone a that a VM can reach.
std::size_t reachable_peers(session_vm& vm)
{
    auto const state = vm.dump();
    std::size_t count = 0;
    for (auto const& peer : state["membership"]["peers"]) {
        count += peer["availability_zone"].asString() == "a" && peer["is_reachable"].asBool() ? 1 : 0;
    }
    return count;
}

} // namespace

/// Guards against VMs that stay unknown to their peers. VMs that start at the same time read a list which
/// does not contain the others yet.
Test(fleet, unlisted_vms_are_known_to_all_peers_within_a_second)
{
    session_fleet_shape shape;
    shape.zones.assign(30, "a");
    session_fleet fleet(shape, 6);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        fleet.kill_vm(i);
        fleet.set_listed(i, false);
    }
    fleet.clock().run_for(20s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        // A VM is listed only once it starts, so each VM reads only those that started before it.
        fleet.set_listed(i, true);
        fleet.start_vm(i);
        fleet.clock().run_for(10ms);
    }
    fleet.clock().run_for(1s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        cr_assert(reachable_peers(fleet.vm(i)) == fleet.vms() - 1, "VM %zu knows %zu peers", i,
                  reachable_peers(fleet.vm(i)));
    }
}
