#include <criterion/criterion.h>

#include <rapidcheck.h>

#include "fault_schedule.h"
#include "workload.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Runs a workload on a fleet under random faults. Returns true if some writes were acknowledged and no
/// consistency violation was detected.
bool run_has_no_violations(deployment_shape const& shape, std::uint64_t seed)
{
    auto const setup = make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.store_configuration(setup.document, setup.keys);
    fleet.start_all();
    fleet.clock().run_for(2s);
    workload load(fleet, setup, {});
    fault_schedule faults(fleet, 700ms);
    load.start();
    faults.start();
    fleet.clock().run_for(15s);
    faults.stop();
    fleet.clock().run_for(5s);
    load.stop();
    fleet.clock().run_for(45s);
    load.check_at_end();
    return load.violations().is_empty() && load.results().acknowledged > 0;
}

/// Checks runs with seeds that rapidcheck generates; CI sets rapidcheck's own seed through RC_PARAMS.
bool has_no_violations_for_random_seeds(deployment_shape const& shape)
{
    return rc::check([&shape] {
        auto const seed = *rc::gen::arbitrary<std::uint32_t>();
        RC_ASSERT(run_has_no_violations(shape, seed));
    });
}

} // namespace

Test(chaos, no_violations_under_all_faults_in_three_zones)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=4 noshrink=1", 0);
    cr_assert(has_no_violations_for_random_seeds(umuganda_shape()));
}

Test(chaos, no_violations_under_all_faults_in_four_zones)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=4 noshrink=1", 0);
    cr_assert(has_no_violations_for_random_seeds(bagmati_shape()));
}
