#include <criterion/criterion.h>

#include "failover/failover_lock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Lock over a store of one row that answers at once, with a clock that the test sets.
struct failover_lock_fixture {
    failover_lock_fixture()
    {
        hooks.read_row = [this](std::string const& key, auto done) {
            done(std::optional(table_row{key, value, version, store_time_ms}));
        };
        hooks.put_row = [this](std::string const&, std::uint64_t expected, std::string const& written,
                               auto done) {
            if (expected != version) {
                done(absl::AbortedError("row has another version"));
                return;
            }
            value = written;
            done(++version);
        };
    }

    static kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [] { return monotonic_time{}; };
        hooks.log = [](log_record const&) {};
        return hooks;
    }

    absl::StatusOr<std::uint64_t> acquire(std::string const& holder, std::string const& member,
                                          bool checks_fences)
    {
        absl::StatusOr<std::uint64_t> result = absl::UnknownError("no answer");
        lock.acquire(holder, "group", member, checks_fences,
                     [&result](absl::StatusOr<std::uint64_t> const& fence) { result = fence; });
        return result;
    }

    kernel core{make_kernel_hooks()};
    platform_hooks hooks;
    std::string value;
    std::uint64_t version = 0;
    std::int64_t store_time_ms = 1'000;
    failover_lock lock{core, hooks};
};

} // namespace

Test(failover_lock, second_holder_gets_the_lock_after_its_lifetime_with_a_higher_fence)
{
    failover_lock_fixture fixture;
    auto const first = fixture.acquire("vm-1", "member-a", true);
    cr_assert(first.ok());
    fixture.store_time_ms += 4'000;
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", true).status()));
    fixture.store_time_ms += 1'000;
    auto const second = fixture.acquire("vm-2", "member-b", true);
    cr_assert(second.ok());
    cr_assert(*second > *first);
}

/// Guards against two orders for different members round a hand-over of the lock: without a check of fences,
/// an order of the first holder that the platform delays would replace the leader that the second promoted.
Test(failover_lock, second_holder_waits_for_orders_of_the_first_where_no_fence_is_checked)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", false).ok());
    fixture.store_time_ms += 5'000;
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", false).status()));
    cr_assert(fixture.acquire("vm-2", "member-a", false).ok());
    fixture.store_time_ms += 5'000;
    cr_assert(absl::IsAborted(fixture.acquire("vm-3", "member-b", false).status()));
    fixture.store_time_ms += 3'000;
    cr_assert(fixture.acquire("vm-3", "member-b", false).ok());
}
