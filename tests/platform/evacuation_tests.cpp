#include <criterion/criterion.h>

#include "watched_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Stated limit for an evacuation to be complete, counted from the store's confirmation of the request.
constexpr duration evacuation_limit = 5s;

/// Operators request evacuations from the store. Zone a has twelve VMs and zone b has one.
struct evacuation_fixture {
    static std::vector<std::string> zones()
    {
        std::vector<std::string> zones(12, "a");
        zones.emplace_back("b");
        return zones;
    }

    void request(std::string const& zone) { fleet.store.put("op", "evacuate/" + zone, "{}"); }

    /// Names of the VMs that do not know a zone to be evacuated.
    std::string vms_without(std::string const& zone)
    {
        std::string names;
        for (std::size_t i = 0; i < fleet.vms(); ++i) {
            names += fleet.state(i).is_evacuated(zone) ? "" : watched_fleet::name(i) + ", ";
        }
        return names;
    }

    bool is_in_force(std::string const& zone)
    {
        auto is_closed = vms_without(zone).empty();
        for (std::size_t i = 0; i < fleet.vms(); ++i) {
            is_closed = is_closed && !fleet.state(i).may_send_to_zone(zone);
        }
        return is_closed;
    }

    bool is_unknown(std::string const& zone)
    {
        auto is_unknown = true;
        for (std::size_t i = 0; i < fleet.vms(); ++i) {
            is_unknown = is_unknown && !fleet.state(i).is_evacuated(zone);
        }
        return is_unknown;
    }

    watched_fleet fleet{zones()};
};

} // namespace

Test(evacuation_request, request_is_in_force_on_all_vms_within_the_limit)
{
    evacuation_fixture fixture;
    fixture.request("a");
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.vms_without("a").empty(), "%s", fixture.vms_without("a").c_str());
    cr_assert(fixture.fleet.state(3).may_send_to_zone("a"), "its leaders may serve until they are replaced");
    fixture.fleet.clock().run_for(evacuation_limit - 2s);
    cr_assert(fixture.is_in_force("a"));
}

Test(evacuation_request, withdrawn_request_is_forgotten_by_all_vms)
{
    evacuation_fixture fixture;
    fixture.request("a");
    fixture.fleet.clock().run_for(2s);
    fixture.fleet.store.erase("op", "evacuate/a");
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.is_unknown("a"));
}

/// Guards against a busy loop: the reader recorded only the position of the configuration, and the store
/// reports any later row at once.
Test(evacuation_request, reader_waits_for_changes_after_a_request)
{
    evacuation_fixture fixture;
    fixture.request("a");
    fixture.fleet.clock().run_for(2s);
    auto const before = fixture.fleet.store.calls("vm-0", "/rows-feed?table=op");
    fixture.fleet.clock().run_for(15s);
    auto const calls = fixture.fleet.store.calls("vm-0", "/rows-feed?table=op") - before;
    cr_assert(calls <= 11, "%zu calls", calls);
}

Test(evacuation_request, vm_that_starts_during_an_evacuation_sends_nothing_to_the_zone)
{
    evacuation_fixture fixture;
    fixture.request("a");
    fixture.fleet.clock().run_for(evacuation_limit);
    fixture.fleet.restart(4);
    while (fixture.fleet.version_at(4) == 0) {
        fixture.fleet.clock().run_for(1ms);
    }
    cr_assert(fixture.fleet.state(4).is_evacuated("a"));
    cr_assert(!fixture.fleet.state(4).may_send_to_zone("a"));
}

/// The store fails right after it has recorded the request.
Test(evacuation_request, request_during_an_outage_is_in_force_soon_after_the_store_returns)
{
    evacuation_fixture fixture;
    fixture.fleet.store.set_available(false);
    fixture.request("b");
    fixture.fleet.clock().run_for(4s);
    fixture.fleet.store.set_available(true);
    fixture.fleet.clock().run_for(evacuation_limit);
    cr_assert(fixture.is_in_force("b"));
}

/// A restore of the store loses the last requests, which operators make again.
Test(evacuation_request, request_that_a_restore_loses_stays_in_force_until_it_is_made_again)
{
    evacuation_fixture fixture;
    auto& store = fixture.fleet.store;
    auto const copy = store.contents();
    store.raise_version(10);
    fixture.request("a");
    fixture.fleet.clock().run_for(evacuation_limit);
    store.restore(copy);
    for (auto i = 0; i < 40; ++i) {
        fixture.fleet.clock().run_for(100ms);
        cr_assert(fixture.is_in_force("a"), "after %d ms", 100 * i);
    }
    fixture.request("a");
    fixture.fleet.clock().run_for(15s);
    cr_assert(fixture.is_in_force("a"));
    store.erase("op", "evacuate/a");
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.is_unknown("a"));
}

Test(evacuation_request, invalid_request_is_logged_once_and_changes_nothing)
{
    evacuation_fixture fixture;
    fixture.fleet.store.put("op", "evacuate/", "{}");
    fixture.fleet.store.put("op", "evacuate/a", "\x01\x02");
    fixture.fleet.clock().run_for(5s);
    cr_assert(fixture.is_unknown("a"));
    cr_assert(fixture.is_unknown(""));
    auto const lines =
        fixture.fleet.log_count("request to evacuate an availability zone is invalid and was ignored");
    // One VM of each of the two zones reads the store, and there are two requests.
    cr_assert(lines == 4, "%zu lines", lines);
}

Test(evacuation_request, request_for_an_unknown_zone_does_not_hide_others)
{
    evacuation_fixture fixture;
    fixture.request("elsewhere");
    fixture.request("a");
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.vms_without("a").empty());
}
