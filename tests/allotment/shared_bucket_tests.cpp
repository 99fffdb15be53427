#include <criterion/criterion.h>

#include "allotment/shared_bucket.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

monotonic_time at(std::chrono::milliseconds time)
{
    return monotonic_time(time);
}

/// Returns a bucket that owns half of a rate of 100 requests per second and of a burst of 20.
shared_bucket half_bucket()
{
    shared_bucket bucket(at(0ms));
    bucket.set_limits(100, 20, at(0ms));
    bucket.change_ledger(at(0ms), [](share_ledger& ledger) { ledger.set_owned(full_share / 2); });
    return bucket;
}

} // namespace

Test(shared_bucket, new_bucket_is_empty_and_fills_by_its_share)
{
    auto bucket = half_bucket();
    cr_assert(not(bucket.take(1, at(0ms))));
    cr_assert(bucket.take(5, at(100ms)));
    cr_assert(not(bucket.take(1, at(100ms))));
}

Test(shared_bucket, burst_is_bounded_by_the_share)
{
    auto bucket = half_bucket();
    cr_assert(bucket.tokens(at(10'000ms)) == 10);
}

Test(shared_bucket, loan_counts_only_until_its_end)
{
    auto bucket = half_bucket();
    bucket.take(bucket.tokens(at(1'000ms)), at(1'000ms));
    bucket.change_ledger(at(1'000ms), [](share_ledger& ledger) {
        ledger.borrow({"peer", 1}, full_share / 2, at(1'000ms), 50ms);
    });
    // 50 ms at the full rate, then 50 ms at half of it.
    cr_assert(bucket.tokens(at(1'100ms)) > 7.4 && bucket.tokens(at(1'100ms)) < 7.6);
}

Test(shared_bucket, paused_borrower_cannot_use_an_expired_loan)
{
    auto bucket = half_bucket();
    bucket.change_ledger(at(0ms), [](share_ledger& ledger) {
        ledger.borrow({"peer", 1}, full_share / 2, at(0ms), 50ms);
    });
    cr_assert(bucket.tokens(at(60'000ms)) <= 10);
    cr_assert(bucket.ledger().available(at(60'000ms)) == full_share / 2);
}

Test(shared_bucket, lent_share_is_available_again_only_after_the_margin)
{
    share_ledger ledger;
    ledger.set_owned(full_share / 2);
    ledger.lend(full_share / 4, at(0ms), 1'000ms, [] { return 1; });
    cr_assert(ledger.available(at(1'050ms)) == full_share / 4);
    cr_assert(ledger.available(at(1'101ms)) == full_share / 2);
}

Test(shared_bucket, loan_of_a_borrowed_share_ends_before_that_share_expires)
{
    share_ledger ledger;
    ledger.borrow({"peer", 1}, 100, at(0ms), 500ms);
    auto const parts = ledger.lend(100, at(100ms), 1'000ms, [] { return 1; });
    cr_assert(parts.size() == 1);
    cr_assert(parts.front().length <= 364ms);
    cr_assert(ledger.available(at(200ms)) == 0);
    cr_assert(ledger.available(at(501ms)) == 0);
}

Test(shared_bucket, loans_never_exceed_the_available_share)
{
    share_ledger ledger;
    ledger.set_owned(50);
    ledger.borrow({"peer", 1}, 30, at(0ms), 1'000ms);
    std::uint64_t number = 0;
    share sum = 0;
    for (auto const& part : ledger.lend(200, at(0ms), 500ms, [&number] { return ++number; })) {
        sum += part.amount;
    }
    cr_assert(sum == 80);
    cr_assert(ledger.available(at(1ms)) == 0);
}

Test(shared_bucket, tokens_above_the_capacity_of_a_smaller_share_are_dropped)
{
    auto bucket = half_bucket();
    bucket.tokens(at(10'000ms));
    auto const lost = bucket.change_ledger(at(10'000ms), [](share_ledger& ledger) {
        ledger.lend(full_share / 4, at(10'000ms), 1s, [] { return 1; });
    });
    cr_assert(lost == 5);
    cr_assert(bucket.tokens(at(10'000ms)) == 5);
}

Test(shared_bucket, expired_loan_cannot_be_prolonged)
{
    share_ledger ledger;
    ledger.set_owned(full_share);
    ledger.lend(10, at(0ms), 100ms, [] { return 1; });
    cr_assert(ledger.prolong(1, at(100ms), 100ms)->amount == 10);
    cr_assert(not(ledger.prolong(1, at(300ms), 100ms).has_value()));
}
