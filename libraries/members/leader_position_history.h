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

    /// Returns the lowest known position that covers all commits acknowledged before `time`, or std::nullopt
    /// if no sample does. The lowest position allows the most replicas to answer.
    std::optional<log_position> position_covering(monotonic_time time) const;

    /// Returns the time up to which a log that ends at `position` holds all acknowledged commits. Returns
    /// std::nullopt if there are no samples or `position` is not below the newest sample. The time is not
    /// known for a position below all samples; the result is then before all times that classes of work read.
    std::optional<monotonic_time> covered_until(log_position position) const;

    /// Returns the send time of the first sample at or above `position`, or std::nullopt if `position` is
    /// above all samples.
    std::optional<monotonic_time> reached_at(log_position position) const;

    /// Returns the newest sample, or std::nullopt if there are no samples.
    std::optional<sample> newest() const;

private:
    std::deque<sample> m_samples; ///< Sorted by ascending time and position.
};

} // namespace greengagehitch
