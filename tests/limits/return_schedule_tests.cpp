#include <set>

#include <criterion/criterion.h>

#include "limits/return_schedule.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

/// Load pattern: a burst of callers is refused at the same moment.
Test(return_schedule, callers_refused_together_return_no_faster_than_they_are_served)
{
    constexpr double pace = 40;
    return_schedule schedule;
    monotonic_time const now{1h};
    duration previous{};
    for (int i = 0; i < 30; ++i) {
        auto const wait = schedule.next(pace, 0, now);
        cr_assert(wait - previous >= 25ms, "two callers return together");
        previous = wait;
    }
}

/// Load pattern: far more callers are refused than can be served while they wait.
Test(return_schedule, callers_beyond_the_schedule_are_spread_below_a_bound)
{
    return_schedule schedule;
    monotonic_time const now{1h};
    std::set<duration> waits;
    for (int i = 0; i < 1'000; ++i) {
        waits.insert(schedule.next(1, i / 1'000.0, now));
    }
    cr_assert(*waits.rbegin() <= 2s && *waits.begin() > 0s);
    cr_assert(waits.size() > 900, "callers return together");
}

Test(return_schedule, schedule_is_empty_again_after_a_pause)
{
    return_schedule schedule;
    monotonic_time const now{1h};
    for (int i = 0; i < 100; ++i) {
        schedule.next(10, 0.5, now);
    }
    cr_assert(schedule.next(10, 0.5, now + 10s) <= 300ms);
}
