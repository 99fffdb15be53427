#pragma once

#include "base/time.h"

namespace greengagehitch {

/// Tells refused callers of one client account when to retry, so that they return one after the other at the
/// pace at which this VM's operations are admitted, instead of all together.
class return_schedule {
public:
    /// Returns the time after which a caller that is refused now should retry. `pace` is the number of
    /// operations per second that are admitted here. `spread` is a random number in [0, 1); it distributes
    /// the callers for whom the schedule is too long.
    duration next(double pace, double spread, monotonic_time now);

private:
    monotonic_time m_last_return; ///< Time at which the last scheduled caller retries.
};

} // namespace greengagehitch
