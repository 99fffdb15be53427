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
            done(std::optional(table_row{key, value, version, store_time_ms, era}));
        };
        hooks.restored_at = [this] { return restored_at; };
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

    /// Lets the store lose all that was written to the row.
    void restore()
    {
        value.clear();
        version = 0;
        ++era;
        restored_at = now;
    }

    void pass(duration time)
    {
        now += time;
        store_time_ms += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return now; };
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

    lock_claim read()
    {
        std::optional<lock_claim> result;
        lock.read("group", [&result](absl::StatusOr<std::optional<lock_claim>> const& claim) {
            result = claim.ok() ? *claim : std::nullopt;
        });
        cr_assert(result.has_value());
        return *result;
    }

    monotonic_time now{1h};
    std::uint64_t era = 1;
    std::optional<monotonic_time> restored_at;
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
    fixture.store_time_ms += 4'000;
    cr_assert(fixture.acquire("vm-3", "member-b", false).ok());
}

/// Guards against two holders with the same fence: the store was restored to a copy without the first
/// holder's claim, and the second one counted from the beginning again.
Test(failover_lock, fence_after_a_restore_of_the_store_exceeds_those_that_it_lost)
{
    for (auto const checks_fences : {true, false}) {
        failover_lock_fixture fixture;
        cr_assert(fixture.acquire("vm-1", "member-a", checks_fences).ok());
        auto const lost = fixture.acquire("vm-1", "member-b", checks_fences);
        cr_assert(lost.ok());
        fixture.restore();
        fixture.pass(9s);
        auto const next = fixture.acquire("vm-2", "member-c", checks_fences);
        cr_assert(next.ok());
        cr_assert(*next > *lost, "%lu after %lu", *next, *lost);
        auto const renewed = fixture.acquire("vm-2", "member-c", checks_fences);
        cr_assert(*renewed == *next);
    }
}

/// Guards against a second holder while the first still acts: the store was restored to a copy without the
/// first holder's claim, so the lock seemed to be free.
Test(failover_lock, second_holder_waits_for_a_claim_that_a_restore_of_the_store_may_have_lost)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", true).ok());
    fixture.restore();
    fixture.pass(4s);
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", true).status()));
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", false).status()));
    fixture.pass(1s);
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", false).status()));
    cr_assert(fixture.acquire("vm-2", "member-b", true).ok());
}

/// Guards against VMs that end when they read a lock which another writer left with a field of another type,
/// and against a group that never gets a leader again. A lock that cannot be decoded may be held, so it is
/// not given at once.
Test(failover_lock, row_that_cannot_be_decoded_counts_as_held_for_its_lifetime)
{
    for (auto const* const odd :
         {"", "null", "7", "[]", R"({"holder":7,"member":"m","fence":1,"claimed_at_ms":1})",
          R"({"holder":"a","member":[],"fence":1,"claimed_at_ms":1})",
          R"({"holder":"a","member":"m","fence":"1","claimed_at_ms":1})",
          R"({"holder":"a","member":"m","fence":-1,"claimed_at_ms":1})",
          R"({"holder":"a","member":"m","fence":18446744073709551615,"claimed_at_ms":1})",
          R"({"holder":"a","member":"m","fence":1,"claimed_at_ms":1e300})",
          R"({"holder":"a","member":"m","fence":1,"claimed_at_ms":9223372036854775807})",
          R"({"holder":"a"})"}) {
        failover_lock_fixture fixture;
        auto const before = fixture.acquire("b", "m-1", true);
        cr_assert(before.ok());
        fixture.value = odd;
        ++fixture.version;
        cr_assert(!fixture.acquire("b", "m-1", true).ok(), "%s", odd);
        fixture.store_time_ms += 4'000;
        cr_assert(!fixture.acquire("b", "m-1", true).ok(), "%s", odd);
        fixture.store_time_ms += 1'000;
        auto const after = fixture.acquire("b", "m-1", true);
        cr_assert(after.ok(), "%s", odd);
        cr_assert(*after > *before, "%s", odd);
    }
}

/// Guards against a late order that no VM knows of: its holder is gone, and the row looks as if nothing were
/// outstanding.
Test(failover_lock, claim_is_open_until_its_orders_are_settled)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", true).ok());
    fixture.pass(2s);
    auto const open = fixture.read();
    cr_assert(!open.is_settled);
    cr_assert(open.holder == "vm-1" && open.member == "member-a");
    cr_assert(open.age == 2s);
    fixture.lock.settle("group", true);
    cr_assert(fixture.read().is_settled);
    cr_assert(fixture.read().fence == open.fence);
    cr_assert(fixture.read().age == 2s);
    cr_assert(fixture.acquire("vm-1", "member-a", true).ok());
    cr_assert(!fixture.read().is_settled);
}

/// Guards against a late order that no VM knows of: the next holder orders nothing, and its claim has
/// replaced that of the order.
Test(failover_lock, claim_that_replaced_an_open_one_is_settled_only_by_an_answered_order)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", true).ok());
    fixture.pass(5s);
    failover_lock next{fixture.core, fixture.hooks};
    for (auto const* const member : {"member-b", "member-c"}) {
        next.acquire("vm-2", "group", member, true,
                     [](absl::StatusOr<std::uint64_t> const& fence) { cr_assert(fence.ok()); });
    }
    next.settle("group", false);
    cr_assert(!fixture.read().is_settled);
    next.settle("group", true);
    cr_assert(fixture.read().is_settled);
}

/// Guards against a lock that its new holder loses: the last holder settles its claim late.
Test(failover_lock, claim_that_was_replaced_is_not_settled_by_its_holder)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", true).ok());
    fixture.pass(5s);
    failover_lock next{fixture.core, fixture.hooks};
    next.acquire("vm-2", "group", "member-b", true,
                 [](absl::StatusOr<std::uint64_t> const& fence) { cr_assert(fence.ok()); });
    fixture.lock.settle("group", true);
    cr_assert(fixture.read().holder == "vm-2");
    cr_assert(!fixture.read().is_settled);
}

/// Guards against needless takeovers during an upgrade: VMs of the earlier build write no mark.
Test(failover_lock, claim_without_a_mark_counts_as_settled)
{
    failover_lock_fixture fixture;
    fixture.value = R"({"holder":"vm-1","member":"member-a","fence":7,"claimed_at_ms":500})";
    fixture.version = 7;
    cr_assert(fixture.read().is_settled);
    cr_assert(!fixture.read().is_marked);
}

/// Guards against a late order that no VM knows of: its claim cannot be decoded any more, and the claim that
/// replaced it looks as if nothing were outstanding.
Test(failover_lock, claim_that_replaced_an_undecodable_one_is_settled_only_by_an_answered_order)
{
    failover_lock_fixture fixture;
    fixture.value = "damaged";
    fixture.version = 7;
    cr_assert(!fixture.acquire("vm-2", "member-b", true).ok());
    fixture.pass(5s);
    cr_assert(fixture.acquire("vm-2", "member-b", true).ok());
    fixture.lock.settle("group", false);
    cr_assert(!fixture.read().is_settled);
    fixture.lock.settle("group", true);
    cr_assert(fixture.read().is_settled);
}

/// Guards against two orders for different members where no fence is checked: the first holder sends its
/// order as late after its claim as it may, and the platform carries it out as late as it can.
Test(failover_lock, second_holder_waits_for_an_order_that_was_sent_late_after_its_claim)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "member-a", false).ok());
    fixture.pass(max_lock_age + max_order_delay - 1ms);
    cr_assert(absl::IsAborted(fixture.acquire("vm-2", "member-b", false).status()));
    fixture.pass(1ms);
    cr_assert(fixture.acquire("vm-2", "member-b", false).ok());
}

/// Guards against commits that a late order rolls back: the last claim names the present leader, but an order
/// under the claim before it, for another member, may still be carried out.
Test(failover_lock, claim_that_replaces_an_open_one_says_so)
{
    failover_lock_fixture fixture;
    cr_assert(fixture.acquire("vm-1", "a", true).ok());
    cr_assert(!fixture.read().replaces_open);
    cr_assert(fixture.acquire("vm-1", "a", true).ok());
    cr_assert(!fixture.read().replaces_open);
    fixture.pass(5s);
    cr_assert(fixture.acquire("vm-2", "b", true).ok());
    cr_assert(fixture.read().replaces_open);
    cr_assert(fixture.acquire("vm-2", "b", true).ok());
    cr_assert(fixture.read().replaces_open);
    fixture.lock.settle("group", true);
    cr_assert(fixture.acquire("vm-2", "a", true).ok());
    cr_assert(!fixture.read().replaces_open);
}
