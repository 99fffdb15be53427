#include <algorithm>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "brokers/request_pace.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr std::size_t limit = 20;

std::size_t most_in_a_second(std::vector<monotonic_time> const& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] > 1s) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

} // namespace

/// Load pattern: callers return in bursts to a member that has just started.
Test(request_pace, bursts_never_exceed_the_limit_in_any_second)
{
    request_pace pace(limit);
    std::mt19937 random(1);
    std::vector<monotonic_time> sent;
    monotonic_time now{100s};
    for (auto i = 0; i < 20'000; ++i) {
        now += std::chrono::microseconds(random() % (i % 400 < 200 ? 1'000 : 90'000));
        if (pace.try_take(now)) {
            sent.push_back(now);
        }
    }
    cr_assert(most_in_a_second(sent) == limit, "%zu requests", most_in_a_second(sent));
}

/// Load pattern: a queue stands before the member. The estimate decides what is refused at once.
Test(request_pace, queue_is_served_as_estimated)
{
    request_pace pace(limit);
    monotonic_time const start{100s};
    auto now = start;
    for (std::size_t i = 0; i < 3 * limit; ++i) {
        auto const estimate = pace.expected_wait(3 * limit - 1 - i, now);
        now += pace.expected_wait(0, now);
        while (!pace.try_take(now)) {
            now += 1ms;
        }
        cr_assert(estimate <= 3s && estimate + now >= start + 2s);
    }
    cr_assert(now - start <= 2'100ms, "the whole queue takes two windows after the first");
}
