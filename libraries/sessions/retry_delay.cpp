#include "sessions/retry_delay.h"

#include <algorithm>

namespace greengagehitch {

namespace {

constexpr duration shortest_queue_time = std::chrono::milliseconds(40);
constexpr duration longest_queue_time = std::chrono::seconds(1);

} // namespace

duration spread_retry_delay(duration earliest, random_source const& random_below)
{
    if (earliest <= duration::zero()) {
        return duration::zero();
    }
    auto const range = static_cast<std::uint64_t>(earliest.count());
    return earliest + duration(static_cast<duration::rep>(random_below(range + 1)));
}

duration expected_queue_time(duration latency, std::size_t in_flight, std::size_t slots)
{
    auto const rounds = (in_flight + std::max<std::size_t>(1, slots)) / std::max<std::size_t>(1, slots);
    return std::clamp<duration>(latency * static_cast<duration::rep>(rounds), shortest_queue_time,
                                longest_queue_time);
}

} // namespace greengagehitch
