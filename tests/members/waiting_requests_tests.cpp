#include <criterion/criterion.h>

#include "members/waiting_requests.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

// Pattern: callers of a group wait, and neither logs nor metrics told how many, for what and how long.

Test(waiting_requests, statements_are_counted_by_the_reason_for_which_they_wait_last)
{
    waiting_requests requests;
    monotonic_time const start{1h};
    auto const first = requests.add(wait_reason::next_attempt, start);
    auto const second = requests.add(wait_reason::leader, start + 100ms);
    requests.set_reason(first, wait_reason::member_answer);
    auto summary = requests.sum_up(start + 300ms);
    cr_assert(summary.counts[static_cast<std::size_t>(wait_reason::member_answer)] == 1);
    cr_assert(summary.counts[static_cast<std::size_t>(wait_reason::leader)] == 1);
    cr_assert(summary.counts[static_cast<std::size_t>(wait_reason::next_attempt)] == 0);
    cr_assert(summary.longest == 300ms);
    requests.remove(first);
    // A late attempt of a statement that was answered already.
    requests.set_reason(first, wait_reason::leader);
    cr_assert(requests.sum_up(start + 300ms).longest == 200ms);
    requests.remove(second);
    summary = requests.sum_up(start + 300ms);
    cr_assert(summary.longest == 0ms);
    cr_assert(summary.counts[static_cast<std::size_t>(wait_reason::leader)] == 0);
}
