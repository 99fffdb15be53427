#pragma once

#include <optional>

#include "base/time.h"

namespace greengagehitch {

/// Shows from attempts to connect to the address of a member whether a process of its group runs there. A
/// single refusal proves nothing, since a network partition may refuse connections as well.
class absence_evidence {
public:
    /// Records that the host refused the attempt that was made at `started_at`.
    void record_refusal(monotonic_time started_at);
    /// Records that a member answered, or that the attempt had no result.
    void record_other_result();

    /// Returns the time of the first of the refusals that nothing has interrupted since; std::nullopt if the
    /// last attempt was not refused.
    std::optional<monotonic_time> refused_since() const { return m_refused_since; }

    /// Returns whether nothing has run at the address since refused_since(). `heard_zone` tells that VMs in
    /// the member's availability zone were in contact since then.
    bool is_absent(bool heard_zone) const { return m_refusals > 1 && heard_zone; }
    /// Returns whether an attempt since the last refusal had another result.
    bool is_contradicted() const { return m_is_contradicted; }

private:
    std::optional<monotonic_time> m_refused_since;
    int m_refusals = 0;
    bool m_is_contradicted = false;
};

} // namespace greengagehitch
