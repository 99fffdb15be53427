#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

/// Guards against a state that grows with each VM that was ever replaced: the last contact with a broker was
/// kept after its VM had left the fleet.
Test(broker_service, contact_with_a_vm_that_left_the_fleet_is_forgotten)
{
    session_fleet fleet({}, 1);
    fleet.clock().run_for(4s);
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        session_caller caller(fleet, vm, session_fleet::database_of(0, read_consistency::bounded_age),
                              session_fleet::key_of(0));
        for (int i = 0; i < 20; ++i) {
            cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
        }
    }
    auto const contacts = [&fleet](std::size_t vm) {
        return fleet.vm(vm).brokers().dump()["contacts"].asUInt();
    };
    auto const before = contacts(0);
    cr_assert(before > 0);
    for (std::size_t vm = 1; vm < fleet.vms(); ++vm) {
        fleet.kill_vm(vm);
        fleet.set_listed(vm, false);
    }
    fleet.clock().run_for(6min);
    cr_assert(contacts(0) == 0, "%u of %u", contacts(0), before);
}
