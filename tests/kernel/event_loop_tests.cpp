#include <criterion/criterion.h>

#include <string>

#include "kernel/event_loop.h"

using namespace std::chrono_literals;
using greengagehitch::event_loop;
using greengagehitch::monotonic_time;

Test(event_loop, timers_with_the_same_due_time_run_in_start_order)
{
    event_loop loop;
    std::string order;
    loop.start_timer(monotonic_time(2s), [&order] { order += 'c'; });
    loop.start_timer(monotonic_time(1s), [&order] { order += 'a'; });
    loop.start_timer(monotonic_time(1s), [&order] { order += 'b'; });
    loop.run_due(monotonic_time(2s));
    cr_assert(order == std::string("abc"));
}

Test(event_loop, cancelled_timer_does_not_run)
{
    event_loop loop;
    bool has_run = false;
    auto const timer = loop.start_timer(monotonic_time(1s), [&has_run] { has_run = true; });
    loop.cancel_timer(timer);
    loop.run_due(monotonic_time(2s));
    cr_assert(not(has_run));
    cr_assert(loop.size() == 0);
}

Test(event_loop, timer_that_is_not_due_is_kept)
{
    event_loop loop;
    loop.start_timer(monotonic_time(2s), [] {});
    cr_assert(loop.run_due(monotonic_time(1s)) == 0);
    cr_assert(loop.size() == 1);
}
