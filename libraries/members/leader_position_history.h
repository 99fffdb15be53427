#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "database/group_contract.h"

namespace greengagehitch {

/// Proven bounds on a group's log: "the leader's log ended at `position` for a question that was sent at
/// `sent_at`", so the position covers every commit that was acknowledged before that time.
class leader_position_history {
public:
    struct sample {
        monotonic_time sent_at;
        log_position position;
    };

    /// Takes in a proven answer of a leader.
    void add(log_position position, monotonic_time sent_at);

    /// Lowest position that covers all commits acknowledged before `time`; empty when nothing covers it. The
    /// lowest one lets most replicas answer.
    std::optional<log_position> position_covering(monotonic_time time) const;

    /// Time up to which a log that ends at `position` holds what was acknowledged; empty when it is at the
    /// end of what is known, or before it.
    std::optional<monotonic_time> covered_until(log_position position) const;

    /// Time by which the leader's log is known to have held `position`; empty when it is beyond all samples.
    std::optional<monotonic_time> reached_at(log_position position) const;

    std::optional<sample> newest() const;

private:
    std::deque<sample> m_samples; ///< Both parts grow.
};

} // namespace greengagehitch
