#include <algorithm>
#include <array>

#include <criterion/criterion.h>

#include "watched_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t members = 3;

/// One VM and a directory that the store returns in three parts.
struct large_directory_fixture {
    std::size_t parts_read() { return fleet.store.calls("vm-0", "/rows-get?table=servers"); }

    watched_fleet fleet{{"a"}, members / 3};
};

} // namespace

/// Guards against live members that are taken to have left: while one read of the whole directory went from
/// part to part, another began and dropped the parts that the first had received.
Test(store_watcher, whole_reads_of_a_slow_store_keep_all_members)
{
    large_directory_fixture fixture;
    auto& fleet = fixture.fleet;
    fleet.store.set_latency(900ms);
    fleet.store.put("servers", "m-0-a", watched_fleet::member("draining", "replica", 2));
    fleet.store.discard_history();
    auto lowest = members;
    for (auto i = 0; i < 200; ++i) {
        fleet.clock().run_for(100ms);
        lowest = std::min(lowest, fleet.state(0).members().size());
    }
    auto const missing = fleet.log_count("member is missing from the directory");
    cr_assert(missing == 0, "%zu times a member was taken to be missing; %zu listed at least", missing,
              lowest);
    cr_assert(lowest == members);
    cr_assert(fleet.vms_without_drain("m-0-a").empty());
}

/// Guards against a change that is never seen: the position of the last part was recorded for the whole
/// directory, and an entry of the first part had changed since that part was read.
Test(store_watcher, entry_that_changes_while_the_directory_is_read_is_seen)
{
    large_directory_fixture fixture;
    auto& fleet = fixture.fleet;
    fleet.store.set_latency(400ms);
    fleet.store.raise_version(1);
    fleet.store.discard_history();
    auto const parts_before = fixture.parts_read();
    while (fixture.parts_read() < parts_before + 2) {
        fleet.clock().run_for(10ms);
    }
    fleet.store.put("servers", "m-0-a", watched_fleet::member("draining", "replica", 2));
    fleet.store.raise_version(1);
    fleet.clock().run_for(10s);
    cr_assert(fleet.vms_without_drain("m-0-a").empty());
}

/// Guards against a busy loop: a store that never has the requested changes was read in whole and asked
/// for changes again without a delay.
Test(store_watcher, store_that_keeps_no_history_is_read_at_a_bounded_rate)
{
    /// Calls in ten seconds: two for each of the delays, which grow to between 0.5 s and 1 s.
    constexpr std::size_t max_calls = 50;
    watched_fleet fleet({"a"});
    fleet.store.set_keeps_history(false);
    auto const before =
        fleet.store.calls("vm-0", "/rows-get?table=op") + fleet.store.calls("vm-0", "/rows-feed?table=op");
    fleet.store.put("op", "config", watched_fleet::configuration(2));
    fleet.clock().run_for(10s);
    auto const calls = fleet.store.calls("vm-0", "/rows-get?table=op") +
                       fleet.store.calls("vm-0", "/rows-feed?table=op") - before;
    cr_assert(calls <= max_calls, "%zu calls", calls);
    cr_assert(fleet.vms_without(2).empty());
    fleet.store.put("op", "config", watched_fleet::configuration(3));
    fleet.clock().run_for(3s);
    cr_assert(fleet.vms_without(3).empty());
}

/// Guards against a busy loop: each answer starts the next read, so that an answer that came twice would
/// start two reads, each of whose answers would start two more.
Test(store_watcher, store_that_answers_twice_is_read_as_often_as_one_that_answers_once)
{
    std::array<std::size_t, 2> calls{};
    for (std::size_t run = 0; run < calls.size(); ++run) {
        watched_fleet fleet({"a"});
        if (run == 1) {
            fleet.store.set_repetition_delay(50ms);
        }
        for (auto step = 0; step < 800; ++step) {
            if (step % 100 == 0) {
                auto const version = 2 + static_cast<std::uint64_t>(step) / 100;
                fleet.store.put("op", "config", watched_fleet::configuration(version));
            }
            fleet.clock().run_for(10ms);
            calls[run] = fleet.store.calls("vm-0", "/rows-");
            // Each read starts the next, so the run would not end.
            cr_assert(run == 0 || calls[1] <= 2 * calls[0], "%zu calls instead of %zu after %d ms", calls[1],
                      calls[0], 10 * step);
        }
        cr_assert(fleet.vms_without(9).empty());
    }
    cr_assert(calls[1] <= calls[0], "%zu calls instead of %zu", calls[1], calls[0]);
}
