#include <criterion/criterion.h>

#include "fleet/zone_evacuations.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr duration limit = 5s;
constexpr monotonic_time start{100s};

} // namespace

Test(zone_evacuations, request_closes_the_zone_before_the_limit_has_passed)
{
    zone_evacuations evacuations;
    cr_assert(evacuations.apply_request("a", {1, 10}, start));
    cr_assert(evacuations.is_evacuated("a"));
    cr_assert(!evacuations.is_evacuated("b"));
    cr_assert(evacuations.may_send("a", limit, start + 2s));
    cr_assert(!evacuations.may_send("a", limit, start + limit));
    cr_assert(evacuations.may_send("b", limit, start + limit));
}

/// A VM that has just started cannot know the age of a request that it finds.
Test(zone_evacuations, request_of_unknown_age_closes_the_zone_at_once)
{
    zone_evacuations evacuations;
    evacuations.replace({{"a", {1, 10}}}, {1, 90}, std::nullopt, start);
    cr_assert(!evacuations.may_send("a", limit, start));
}

Test(zone_evacuations, delayed_change_changes_nothing)
{
    zone_evacuations evacuations;
    evacuations.apply_request("a", {1, 10}, start);
    cr_assert(evacuations.apply_withdrawal("a", {1, 12}));
    cr_assert(!evacuations.apply_request("a", {1, 10}, start));
    cr_assert(!evacuations.is_evacuated("a"));
    // Versions below the last one are newer after a restore of the store.
    cr_assert(evacuations.apply_request("a", {2, 4}, start));
}

Test(zone_evacuations, repeated_request_does_not_extend_the_time)
{
    zone_evacuations evacuations;
    evacuations.apply_request("a", {1, 10}, start);
    cr_assert(!evacuations.apply_request("a", {1, 20}, start + 4s));
    cr_assert(!evacuations.may_send("a", limit, start + limit));
}

Test(zone_evacuations, read_of_all_requests_withdraws_the_others)
{
    zone_evacuations evacuations;
    evacuations.apply_request("a", {1, 10}, start);
    cr_assert(evacuations.replace({{"b", {1, 11}}}, {1, 20}, start, start));
    cr_assert(!evacuations.is_evacuated("a"));
    cr_assert(evacuations.is_evacuated("b"));
    cr_assert(evacuations.last_change() == (store_position{1, 20}));
}

Test(zone_evacuations, request_that_a_restored_store_has_lost_stays_for_a_time)
{
    zone_evacuations evacuations;
    evacuations.apply_request("a", {1, 10}, start);
    cr_assert(!evacuations.replace({}, {2, 5}, start, start));
    cr_assert(evacuations.is_evacuated("a"));
    cr_assert(!evacuations.expire(start + 5s));
    cr_assert(evacuations.requests().empty(), "peers must not take it for one that the store has");
    cr_assert(evacuations.expire(start + 11s));
    cr_assert(!evacuations.is_evacuated("a"));
}
