#include <criterion/criterion.h>

#include "limits/rate_bounds.h"
#include "limits/token_balance.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct token_balance_fixture {
    monotonic_time start{1h};
    token_balance balance{start};
};

} // namespace

/// Load pattern: a VM without a share serves a burst with tokens of its lender.
Test(token_balance, borrowed_tokens_above_the_capacity_can_be_used)
{
    token_balance_fixture fixture;
    fixture.balance.set_supply(1, 1, fixture.start);
    fixture.balance.add_borrowed(5, fixture.start + 100ms);
    auto const now = fixture.start + 50ms;
    for (int i = 0; i < 5; ++i) {
        cr_assert(fixture.balance.try_take(now));
    }
    cr_assert(!fixture.balance.try_take(now));
}

/// Failure: a VM freezes with borrowed tokens and continues after its lender has lent new ones.
Test(token_balance, borrowed_tokens_of_a_frozen_vm_expire)
{
    token_balance_fixture fixture;
    fixture.balance.add_borrowed(5, fixture.start + lent_token_lifetime);
    cr_assert(!fixture.balance.try_take(fixture.start + lent_token_lifetime));
}

Test(token_balance, loan_of_borrowed_tokens_ends_with_them)
{
    token_balance_fixture fixture;
    fixture.balance.set_supply(10, 10, fixture.start);
    auto const now = fixture.start + 1s;
    fixture.balance.add_borrowed(2, now + 30ms);
    auto const loan = fixture.balance.lend(4, 0, now);
    cr_assert(loan.tokens == 4 && loan.lifetime == 30ms);
    cr_assert(fixture.balance.available(now) < 8.001);
}

Test(token_balance, own_tokens_stay_within_the_capacity)
{
    token_balance_fixture fixture;
    fixture.balance.set_supply(100, 10, fixture.start);
    cr_assert(fixture.balance.lend(1'000, 0, fixture.start + 1h).tokens == 10);
    fixture.balance.set_supply(100, 3, fixture.start + 2h);
    cr_assert(fixture.balance.lend(1'000, 1, fixture.start + 2h).tokens == 2);
}
