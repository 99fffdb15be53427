#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t zone_size = 12;

/// Zone of twelve VMs, whose store can be made unreachable.
struct store_reader_fixture {
    static session_fleet_shape shape()
    {
        session_fleet_shape shape;
        shape.zones.assign(zone_size, "a");
        shape.zones.emplace_back("b");
        return shape;
    }

    store_reader_fixture() { fleet.clock().run_for(4s); }

    /// Number of VMs of the zone that read the configuration from the store.
    std::size_t readers()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < zone_size; ++i) {
            count += fleet.vm(i).reports().reads_configuration_for_zone() ? 1 : 0;
        }
        return count;
    }

    session_fleet fleet{shape(), 1};
};

} // namespace

Test(store_reader, one_vm_reads_the_store_for_its_zone)
{
    store_reader_fixture fixture;
    cr_assert(fixture.readers() == 1, "%zu readers", fixture.readers());
}

/// Load pattern: the store turns a whole zone away. If all its VMs called the store at the same time, each
/// call would be charged and the store would be busy with refusals when it returns.
Test(store_reader, zone_without_the_store_lets_its_vms_try_one_after_the_other)
{
    store_reader_fixture fixture;
    for (std::size_t i = 0; i < zone_size; ++i) {
        fixture.fleet.set_store_cut(i, true);
    }
    fixture.fleet.clock().run_for(2'900ms);
    cr_assert(fixture.readers() <= zone_size / 2, "%zu readers", fixture.readers());
    fixture.fleet.clock().run_for(1'300ms);
    cr_assert(fixture.readers() == zone_size, "%zu readers", fixture.readers());
}
