// Load patterns at one member: a full queue, a slow member, more accounts than connections, lost answers.

#include <criterion/criterion.h>

#include "brokers/admission.h"
#include "brokers/slot_usage.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

service_times times_of(duration value)
{
    service_times times;
    for (int i = 0; i < 200; ++i) {
        times.record(0, value);
    }
    return times;
}

} // namespace

Test(admission, request_for_a_member_with_a_free_slot_starts_at_once)
{
    auto const decision = decide_admission({0, 0ms, 1s}, {4, 5, {}, 0ms, 1}, times_of(25ms));
    cr_assert(decision.result == admission_result::admitted);
    cr_assert(decision.expected_start == 0ms);
}

Test(admission, request_behind_a_long_queue_is_refused_with_the_time_of_room)
{
    // Five in flight at 25 ms each: one starts every 5 ms, and 40 of them take 200 ms.
    member_load const load{5, 5, {{0, 39}}, 0ms, 1};
    auto const decision = decide_admission({0, 75ms, 1s}, load, times_of(25ms));
    cr_assert(decision.result == admission_result::queue_too_long);
    cr_assert(decision.expected_start > 190ms && decision.expected_start < 210ms);
    cr_assert(decision.room_in > 115ms && decision.room_in < 135ms);
}

Test(admission, work_that_would_end_after_its_time_limit_is_refused)
{
    auto const decision = decide_admission({0, 500ms, 40ms}, {0, 5, {}, 0ms, 1}, times_of(80ms));
    cr_assert(decision.result == admission_result::finish_too_late);
}

Test(admission, account_without_connection_is_refused_if_none_comes_in_time)
{
    auto const decision = decide_admission({0, 50ms, 1s}, {0, 5, {}, 60ms, 1}, times_of(25ms));
    cr_assert(decision.result == admission_result::connection_too_late);
}

Test(admission, member_that_turns_slow_is_noticed_within_its_next_answers)
{
    auto times = times_of(25ms);
    for (int i = 0; i < 32; ++i) {
        times.record(0, 200ms);
    }
    cr_assert(times.expected(0) > 150ms);
}

Test(admission, waits_longer_than_expected_raise_the_next_expectation)
{
    wait_corrections corrections;
    for (int i = 0; i < 64; ++i) {
        corrections.record(2, 20ms, 60ms);
    }
    cr_assert(corrections.factor(2) > 2.5 && corrections.factor(2) <= 3);
    cr_assert(corrections.factor(0) == 1);
}

Test(slot_usage, lost_answers_free_their_slots_once_a_later_request_is_answered)
{
    slot_usage slots;
    monotonic_time const start{1h};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        slots.start(id);
        slots.record_sent(id, start, 20ms);
    }
    cr_assert(slots.occupied(start + 200ms) == 4);
    slots.start(5);
    slots.record_sent(5, start + 10ms, 20ms);
    slots.finish(5, true);
    cr_assert(slots.occupied(start + 50ms) == 4);
    cr_assert(slots.occupied(start + 200ms) == 0);
    cr_assert(slots.overdue(start + 200ms) == 4);
}

Test(slot_usage, silent_member_gets_bounded_trials)
{
    slot_usage slots;
    monotonic_time now{1h};
    std::uint64_t id = 1;
    for (; id <= 5; ++id) {
        slots.start(id);
        slots.record_sent(id, now, 20ms);
    }
    cr_assert(!slots.allows_trial(now + 50ms));
    std::size_t trials = 0;
    for (auto const end = now + 2s; now < end; now += 1ms) {
        if (slots.occupied(now) >= 5 && slots.allows_trial(now)) {
            slots.record_trial(now);
            slots.start(id);
            slots.record_sent(id++, now, 20ms);
            ++trials;
        }
    }
    cr_assert(trials >= 15 && trials <= 20, "%zu trials", trials);
}
