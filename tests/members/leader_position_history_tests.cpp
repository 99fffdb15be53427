#include <criterion/criterion.h>

#include "members/leader_position_history.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr monotonic_time start{1h};

/// History with a new position each 100 ms.
leader_position_history make_history(duration length)
{
    leader_position_history history;
    for (duration passed{}; passed <= length; passed += 100ms) {
        history.add({1, 1'000 + static_cast<std::uint64_t>(passed / 100ms)}, start + passed);
    }
    return history;
}

} // namespace

Test(leader_position_history, position_between_samples_is_covered_until_the_sample_before_it)
{
    auto const history = make_history(1s);
    cr_assert(history.covered_until({1, 1'004}) == start + 400ms);
    cr_assert(history.covered_until({1, 1'000}) == start);
}

Test(leader_position_history, position_that_is_not_below_the_newest_sample_has_no_limit)
{
    auto const history = make_history(1s);
    cr_assert(!history.covered_until({1, 1'010}));
    cr_assert(!leader_position_history().covered_until({1, 1'010}));
}

/// Guards against a replica that is judged younger than it is. Nothing is known of the time up to which a
/// position older than all samples was covered, but it was taken for the time of the oldest sample: 0.5 s for
/// a replica that is minutes behind, at a VM that has just started.
Test(leader_position_history, position_older_than_all_samples_is_not_covered_when_they_begin)
{
    auto const young = make_history(500ms);
    cr_assert(young.covered_until({1, 10}) <= start - 10s);
    auto const full = make_history(30s);
    auto const oldest = full.position_covering(start);
    cr_assert(oldest);
    cr_assert(full.covered_until({1, 10}) <= start + 20s - 10s);
}
