#include <limits>

#include <criterion/criterion.h>

#include "base/exponential_backoff.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

/// Guards against VMs that call a store which turns them away at a constant rate, all at the same time.
Test(exponential_backoff, delays_double_up_to_the_maximum_and_start_anew_after_a_success)
{
    exponential_backoff backoff(250ms, 1s, [] { return std::numeric_limits<std::uint64_t>::max(); });
    for (auto const expected : {250ms, 500ms, 1000ms, 1000ms}) {
        auto const delay = backoff.record_failure();
        cr_assert(delay >= expected / 2 && delay <= expected);
    }
    backoff.record_success();
    cr_assert(backoff.record_failure() <= 250ms);
}
