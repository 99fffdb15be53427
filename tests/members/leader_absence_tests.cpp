#include <criterion/criterion.h>

#include "members/leader_absence.h"

// Pattern: a group loses its leader for longer than a request may wait. Requests waited until their
// deadlines, and the retries of all callers came back after the same delay.

using namespace std::chrono_literals;
using namespace greengagehitch;

Test(leader_absence, expected_wait_shrinks_as_the_absence_goes_on)
{
    leader_absence absence;
    monotonic_time const start{1h};
    absence.update(false, start);
    cr_assert(absence.is_absent());
    auto const first = absence.expected_wait(start);
    cr_assert(absence.expected_wait(start + 500ms) == first - 500ms);
}

Test(leader_absence, usual_length_follows_the_absences_that_were_seen)
{
    leader_absence absence;
    monotonic_time now{1h};
    for (int i = 0; i < 12; ++i) {
        absence.update(false, now);
        now += 3s;
        absence.update(true, now);
        now += 10s;
    }
    absence.update(false, now);
    cr_assert(absence.expected_wait(now) > 2800ms && absence.expected_wait(now) < 3200ms);
}

Test(leader_absence, short_gaps_do_not_shorten_the_expected_takeover)
{
    leader_absence absence;
    monotonic_time now{1h};
    auto const usual = absence.expected_wait(now);
    for (int i = 0; i < 20; ++i) {
        absence.update(false, now);
        now += 20ms;
        absence.update(true, now);
    }
    cr_assert(absence.expected_wait(now) == usual);
}

Test(leader_absence, absence_beyond_its_usual_length_is_expected_to_last_longer)
{
    leader_absence absence;
    monotonic_time const start{1h};
    absence.update(false, start);
    cr_assert(absence.expected_wait(start + 20s) > absence.expected_wait(start + 3s));
}
