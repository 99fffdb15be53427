#pragma once

#include <cstdint>
#include <functional>

#include "base/time.h"

namespace greengagehitch {

/// Returns a random number below its argument.
using random_source = std::function<std::uint64_t(std::uint64_t)>;

/// Returns a delay between `earliest` and twice that, so that callers that were refused together come back
/// one after the other, none of them before it is expected to be served.
duration spread_retry_delay(duration earliest, random_source const& random_below);

/// Expected time until a member has answered the statements that are in flight there, at least a few
/// milliseconds, and at most a second, after which the estimate is worth nothing.
duration expected_queue_time(duration latency, std::size_t in_flight, std::size_t slots);

} // namespace greengagehitch
