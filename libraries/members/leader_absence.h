#pragma once

#include <optional>

#include "base/time.h"

namespace greengagehitch {

/// Measures how long a group is without a reachable leader, and estimates from earlier absences when it will
/// have one again. A request is refused at once if its time ends before that, with a delay after which a
/// retry is expected to be served. Reads no clock.
class leader_absence {
public:
    /// Records whether the leader is reachable now.
    void update(bool is_reachable, monotonic_time now);

    bool is_absent() const { return m_since.has_value(); }
    /// Expected time until the leader is reachable; never below `shortest_wait`. An absence that lasts longer
    /// than usual is expected to last as long again as it exceeds the usual length.
    duration expected_wait(monotonic_time now) const;

    static constexpr duration shortest_wait = std::chrono::milliseconds(100);

private:
    std::optional<monotonic_time> m_since; ///< Start of the current absence.
    duration m_usual_length = std::chrono::milliseconds(1'500);
};

} // namespace greengagehitch
