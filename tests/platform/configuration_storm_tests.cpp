#include <algorithm>

#include <criterion/criterion.h>

#include "watched_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Age of the configuration above which a VM reports that it is not ready and closes idle sessions.
constexpr duration readiness_age_limit = 3'200ms;

/// Changes the configuration at these intervals for 20 s, and returns the highest age of a configuration that
/// a VM had.
duration highest_age_beside_changes(watched_fleet& fleet, duration interval)
{
    std::uint64_t version = 1;
    duration highest{};
    auto next_change_at = fleet.clock().now();
    for (auto const end = fleet.clock().now() + 20s; fleet.clock().now() < end;) {
        if (fleet.clock().now() >= next_change_at) {
            next_change_at += interval;
            fleet.store.put("op", "config", watched_fleet::configuration(++version));
        }
        fleet.clock().run_for(10ms);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            highest = std::max(highest, fleet.state(vm).configuration_age().value_or(readiness_age_limit));
        }
    }
    fleet.clock().run_for(2s);
    cr_assert(fleet.vms_without(version).empty(), "%s", fleet.vms_without(version).c_str());
    return highest;
}

} // namespace

/// Guards against statements that are cut beside changes in quick succession: VMs that receive the
/// configuration from the reader of their zone hardly ever had the version of the reader's last status reply,
/// so that nothing confirmed their configuration. They reported that they were not ready, closed sessions
/// whose next statement was on its way, and at last refused all keys.
Test(configuration_storm, vms_whose_reader_is_a_version_ahead_confirm_their_configuration)
{
    for (auto const interval : {50ms, 100ms, 150ms, 200ms, 250ms, 330ms}) {
        watched_fleet fleet({"a", "a", "a", "a", "a", "a", "b", "b"});
        auto const highest = highest_age_beside_changes(fleet, interval);
        cr_assert(highest <= readiness_age_limit, "%.0f ms old beside changes each %lld ms",
                  to_milliseconds(highest), static_cast<long long>(interval.count()));
    }
}
