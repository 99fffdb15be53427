#include <criterion/criterion.h>

#include "sessions/retry_delay.h"

// Pattern: callers that were refused together came back together after an equal delay, and were refused
// again.

using namespace std::chrono_literals;
using namespace greengagehitch;

Test(retry_delay, callers_refused_together_come_back_spread_and_none_too_early)
{
    std::uint64_t state = 1;
    auto const random_below = [&state](std::uint64_t bound) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        return (state >> 33U) % bound;
    };
    constexpr std::size_t callers = 1000;
    constexpr std::size_t slices = 10;
    std::array<std::size_t, slices> arrivals{};
    for (std::size_t i = 0; i < callers; ++i) {
        auto const delay = spread_retry_delay(300ms, random_below);
        cr_assert(delay >= 300ms && delay <= 600ms);
        ++arrivals[std::min<std::size_t>(slices - 1, static_cast<std::size_t>((delay - 300ms) / 30ms))];
    }
    for (auto const count : arrivals) {
        cr_assert(count < 2 * callers / slices, "%zu callers come back within 30 ms", count);
    }
}

Test(retry_delay, delay_follows_the_queue_of_the_member)
{
    cr_assert(expected_queue_time(30ms, 20, 4) == 180ms);
    cr_assert(expected_queue_time(30ms, 8, 4) < expected_queue_time(30ms, 20, 4));
    cr_assert(expected_queue_time(1s, 100, 1) == 1s);
    cr_assert(expected_queue_time(0ms, 0, 0) > 0ms);
}
