#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "database/group_contract.h"

namespace greengagehitch {

/// History of a group leader's log positions over the last seconds. Each sample means that the confirmed
/// leader's log ended at `position` in the answer to a request sent at `sent_at`, so that the position covers
/// every commit that was acknowledged before that time.
class leader_position_history {
public:
    struct sample {
        monotonic_time sent_at;
        log_position position;
    };

    /// Adds the position from an answer of a confirmed leader.
    void add(log_position position, monotonic_time sent_at);

    /// Returns the lowest known position that covers all commits acknowledged before `time`, or nothing when
    /// no sample does. The lowest position allows the most replicas to answer.
    std::optional<log_position> position_covering(monotonic_time time) const;

    /// Returns the time up to which a log that ends at `position` holds all acknowledged commits. Returns
    /// nothing when there are no samples, or when `position` is not below the newest one. For a position
    /// before all samples, returns the time of the oldest.
    std::optional<monotonic_time> covered_until(log_position position) const;

    /// Returns the send time of the first sample that reached `position`, or nothing when it is beyond all
    /// samples.
    std::optional<monotonic_time> reached_at(log_position position) const;

    std::optional<sample> newest() const;

private:
    std::deque<sample> m_samples; ///< Sorted by ascending time and position.
};

} // namespace greengagehitch
