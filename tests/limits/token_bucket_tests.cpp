#include <criterion/criterion.h>

#include "limits/token_bucket.h"

using namespace std::chrono_literals;
using greengagehitch::monotonic_time;
using greengagehitch::token_bucket;

Test(token_bucket, new_bucket_is_empty)
{
    token_bucket bucket(10, 5, monotonic_time(0s));
    cr_assert(bucket.take(monotonic_time(0s)).has_value());
}

Test(token_bucket, refusal_says_when_a_token_comes)
{
    token_bucket bucket(10, 5, monotonic_time(0s));
    auto const wait = bucket.take(monotonic_time(0s));
    cr_assert(not(bucket.take(monotonic_time(*wait)).has_value()));
    cr_assert(bucket.take(monotonic_time(*wait)).has_value());
}

Test(token_bucket, burst_bounds_what_gathers)
{
    token_bucket bucket(10, 5, monotonic_time(0s));
    int admitted = 0;
    while (!bucket.take(monotonic_time(1h))) {
        ++admitted;
    }
    cr_assert(admitted == 5);
}
