#include <criterion/criterion.h>

#include "watched_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Stated limit for a confirmed change to be in force on all VMs.
constexpr duration configuration_limit = 3s;
constexpr std::size_t zone_size = 12;
/// Rows that VMs wrote in the seconds that a restore loses. Nobody writes them again.
constexpr std::uint64_t lost_writes = 10;
/// Time after the store's return in which the operator writes again what the store has lost.
constexpr auto operator_delay = 100ms;
/// Time after which the platform removes the entry of a member that is silent.
constexpr duration expiry_of_entries = 3'600ms;
/// Time in which all VMs drop a member whose entry was removed; they learn of it one after the other.
constexpr duration drop_limit = 7s;

/// Zone of twelve VMs and one VM of another zone.
struct store_restore_fixture {
    static std::vector<std::string> zones()
    {
        std::vector<std::string> zones(zone_size, "a");
        zones.emplace_back("b");
        return zones;
    }

    /// Makes the store lose the last writes of VMs, the configuration 2 and whatever `lost` wrote. The
    /// operator writes the configuration again at the store's return.
    void lose_writes(std::function<void()> const& lost = [] {})
    {
        auto const copy = fleet.store.contents();
        fleet.store.raise_version(lost_writes);
        fleet.store.put("op", "config", watched_fleet::configuration(2));
        lost();
        fleet.clock().run_for(2s);
        fleet.store.set_available(false);
        fleet.clock().run_for(1s);
        fleet.store.restore(copy);
        fleet.store.put("op", "config", watched_fleet::configuration(2));
    }

    watched_fleet fleet{zones()};
};

} // namespace

/// Guards against a change that is never in force: the store counted past the version that a VM had read
/// before the restore while the VM could not reach it, and assigned a version below that one to the change.
Test(store_restore, change_below_the_version_read_before_the_restore_is_in_force_in_time)
{
    store_restore_fixture fixture;
    fixture.lose_writes();
    auto& fleet = fixture.fleet;
    fleet.store.put("op", "config", watched_fleet::configuration(3));
    fleet.store.raise_version(2 * lost_writes);
    fleet.store.set_available(true);
    fleet.clock().run_for(configuration_limit);
    auto const late = fleet.vms_without(3);
    cr_assert(late.empty(), "%s", late.c_str());
}

/// Guards against a change that reaches most of a zone late: the VM that reads the store for its zone passed
/// on the configuration with the highest version of the store, which was one from before the restore.
Test(store_restore, change_with_a_reassigned_version_is_passed_on_within_the_zone)
{
    store_restore_fixture fixture;
    fixture.lose_writes();
    auto& fleet = fixture.fleet;
    fleet.store.set_available(true);
    fleet.clock().run_for(5s);
    fleet.store.put("op", "config", watched_fleet::configuration(3));
    fleet.clock().run_for(configuration_limit);
    auto const late = fleet.vms_without(3);
    cr_assert(late.empty(), "%s", late.c_str());
}

/// Guards against a busy loop: a reader that asks for changes after a version that the restored store does
/// not have asked for the same one again after each read of the whole table.
Test(store_restore, reader_reads_the_whole_configuration_once_after_a_restore)
{
    store_restore_fixture fixture;
    fixture.lose_writes();
    auto& fleet = fixture.fleet;
    auto const before = fleet.store.calls("vm-0", "/rows-get?table=op");
    fleet.store.set_available(true);
    fleet.clock().run_for(10s);
    auto const reads = fleet.store.calls("vm-0", "/rows-get?table=op") - before;
    cr_assert(reads <= 1, "%zu reads", reads);
}

/// Guards against new work at a member that leaves: VMs refused the directory of the peer that reads the
/// store, since its version was lower than that of their own directory from before the restore.
Test(store_restore, drain_with_a_reassigned_version_is_known_to_all_vms)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fixture.lose_writes(
        [&fleet] { fleet.store.put("servers", "m-0-c", watched_fleet::member("ready", "primary", 2)); });
    fleet.store.set_available(true);
    fleet.clock().run_for(4s);
    fleet.store.put("servers", "m-0-b", watched_fleet::member("draining", "replica", 2));
    fleet.clock().run_for(4s);
    auto const missing = fleet.vms_without_drain("m-0-b");
    cr_assert(missing.empty(), "%s", missing.c_str());
}

/// Guards against new work at a member that leaves: the copy from before its last entry showed it as ready,
/// and the VMs took this for news until the member had written again.
Test(store_restore, drain_that_the_restore_loses_stays_known)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fixture.lose_writes(
        [&fleet] { fleet.store.put("servers", "m-0-b", watched_fleet::member("draining", "replica", 2)); });
    auto const before = fleet.vms_without_drain("m-0-b");
    cr_assert(before.empty(), "before the restore: %s", before.c_str());
    fleet.store.set_available(true);
    for (auto i = 0; i < 20; ++i) {
        fleet.clock().run_for(100ms);
        auto const missing = fleet.vms_without_drain("m-0-b");
        cr_assert(missing.empty(), "%s", missing.c_str());
    }
}

/// Guards against two holders of a failover lock: a VM that seldom calls the store learned only by its claim
/// that the store had been restored, and could not tell how long ago.
Test(store_restore, vms_that_do_not_read_the_store_learn_of_the_restore_from_peers)
{
    store_restore_fixture fixture;
    fixture.lose_writes();
    auto& fleet = fixture.fleet;
    for (std::size_t i = 1; i < fleet.vms(); ++i) {
        fleet.store.set_cut(watched_fleet::name(i), true);
    }
    fleet.store.set_available(true);
    fleet.clock().run_for(3s);
    for (std::size_t i = 0; i < zone_size; ++i) {
        cr_assert(fleet.era_at(i) == 2, "vm-%zu knows era %lu", i, fleet.era_at(i));
    }
}

/// Guards against a fleet that does not know a VM: the restore lost its entry in the list of VMs, which it
/// wrote again only at the next renewal.
Test(store_restore, vms_renew_their_entries_in_the_list_after_a_restore)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fleet.store.restore({});
    fleet.store.put("op", "config", watched_fleet::configuration(1));
    fleet.clock().run_for(8s);
    auto const& rows = fleet.store.contents().rows;
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        cr_assert(rows.contains({"greengagehitch-vms", watched_fleet::name(i)}), "vm-%zu", i);
    }
}

/// Guards against a withdrawn key that is accepted: the store lost the configuration 2 before any VM had read
/// it, and VMs took the configuration 1 of the copy for the newest until the operator had written again.
Test(store_restore, configuration_of_the_copy_is_not_confirmed_before_the_operator_writes_again)
{
    // The store returns at several times, since VMs try to reach it at times of their own.
    for (auto outage = 1'000ms; outage < 4'000ms; outage += operator_delay / 2) {
        watched_fleet fleet({"a", "b"});
        auto const copy = fleet.store.contents();
        // This VM has read the store up to a version that the copy does not have.
        fleet.store.raise_version(lost_writes);
        fleet.restart(0);
        fleet.clock().run_for(4s);
        fleet.store.put("op", "config", watched_fleet::configuration(2));
        auto const written_at = fleet.clock().now();
        fleet.store.set_rejects_calls(true);
        fleet.store.set_available(false);
        fleet.clock().run_for(outage);
        fleet.store.restore(copy);
        fleet.store.set_available(true);
        for (auto i = 0; i < 10; ++i) {
            fleet.clock().run_for(operator_delay / 10);
            auto const wrong = fleet.vms_that_confirm(1, written_at);
            cr_assert(wrong.empty(), "after an outage of %d ms: %s", static_cast<int>(outage.count()),
                      wrong.c_str());
        }
        fleet.store.put("op", "config", watched_fleet::configuration(2));
        fleet.clock().run_for(configuration_limit);
        auto const late = fleet.vms_without(2);
        cr_assert(late.empty(), "after an outage of %d ms: %s", static_cast<int>(outage.count()),
                  late.c_str());
    }
}

/// Guards against requests with keys that stay refused: a configuration that the operator does not write
/// again, since the restore has not lost one, must be confirmed all the same.
Test(store_restore, configuration_that_was_not_lost_is_confirmed_again)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    auto const copy = fleet.store.contents();
    fleet.store.raise_version(lost_writes);
    fleet.store.set_available(false);
    fleet.clock().run_for(1s);
    fleet.store.restore(copy);
    fleet.store.set_available(true);
    auto const returned_at = fleet.clock().now();
    fleet.clock().run_for(5s);
    auto const confirmed = fleet.vms_that_confirm(1, returned_at);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        cr_assert(confirmed.find(watched_fleet::name(i) + ",") != std::string::npos, "%s: %s",
                  watched_fleet::name(i).c_str(), confirmed.c_str());
    }
}

/// Guards against requests that are sent to members that have left: the copy from before showed their
/// entries, which VMs took for those of new members until the platform removed them again.
Test(store_restore, member_that_left_before_the_restore_is_not_listed_again)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fixture.lose_writes([&fleet] {
        fleet.store.erase("servers", "m-0-b");
        fleet.clock().run_for(6s);
    });
    cr_assert(fleet.vms_that_list("m-0-b").empty(), "before the restore: %s",
              fleet.vms_that_list("m-0-b").c_str());
    fleet.store.set_available(true);
    for (duration time{}; time < expiry_of_entries; time += 100ms) {
        fleet.clock().run_for(100ms);
        auto const wrong = fleet.vms_that_list("m-0-b");
        cr_assert(wrong.empty(), "after %.0f ms: %s", to_milliseconds(time), wrong.c_str());
    }
    fleet.store.erase("servers", "m-0-b");
    fleet.clock().run_for(10s);
    cr_assert(fleet.vms_that_list("m-0-b").empty());
}

/// Guards against requests that are sent to a member that has left: VMs keep a member for a while after its
/// entry disappeared, and a restore within that time made them take it for one that has returned. The VM of
/// zone b reads the store itself and has not seen the removal.
Test(store_restore, member_that_left_right_before_the_restore_is_dropped_as_soon_as_without_it)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    auto const copy = fleet.store.contents();
    fleet.store.erase("servers", "m-0-b");
    fleet.clock().run_for(1s);
    fleet.store.restore(copy);
    fleet.clock().run_for(expiry_of_entries);
    fleet.store.erase("servers", "m-0-b");
    fleet.clock().run_for(drop_limit - 1s - expiry_of_entries);
    for (std::size_t i = 0; i < zone_size; ++i) {
        cr_assert(!fleet.state(i).members().contains("m-0-b"), "vm-%zu", i);
    }
}

Test(store_restore, member_that_left_without_a_restore_is_dropped_in_time)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fleet.store.erase("servers", "m-0-b");
    fleet.clock().run_for(drop_limit);
    auto const wrong = fleet.vms_that_list("m-0-b");
    cr_assert(wrong.empty(), "%s", wrong.c_str());
}

/// The entry of a live member expired, for instance since the member could not reach the store.
Test(store_restore, removed_member_that_writes_again_after_the_restore_is_listed)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fixture.lose_writes([&fleet] {
        fleet.store.erase("servers", "m-0-b");
        fleet.clock().run_for(6s);
    });
    fleet.store.set_available(true);
    fleet.clock().run_for(500ms);
    fleet.store.put("servers", "m-0-b", watched_fleet::member("ready", "replica", 2));
    fleet.clock().run_for(3s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        cr_assert(fleet.state(i).members().contains("m-0-b"), "vm-%zu", i);
    }
}

/// Guards against a live member that is never used again: its heartbeats leave the restored entry as it is,
/// and the platform does not remove it.
Test(store_restore, restored_entry_that_the_store_keeps_is_listed_in_the_end)
{
    store_restore_fixture fixture;
    auto& fleet = fixture.fleet;
    fixture.lose_writes([&fleet] {
        fleet.store.erase("servers", "m-0-b");
        fleet.clock().run_for(6s);
    });
    fleet.store.set_available(true);
    fleet.clock().run_for(12s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        cr_assert(fleet.state(i).members().contains("m-0-b"), "vm-%zu", i);
    }
}
