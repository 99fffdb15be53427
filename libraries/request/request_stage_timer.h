#pragma once

#include <array>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Stage of the processing of a request. `evidence` is the wait until a majority of the group holds a commit.
enum class request_stage {
    admission,
    replica_wait,
    connection_wait,
    database,
    evidence,
    resolution,
    primary_wait
};

inline constexpr std::array request_stage_names{
    enum_name<request_stage>{request_stage::admission, "admission"},
    enum_name<request_stage>{request_stage::replica_wait, "replica_wait"},
    enum_name<request_stage>{request_stage::connection_wait, "connection_wait"},
    enum_name<request_stage>{request_stage::database, "database"},
    enum_name<request_stage>{request_stage::evidence, "evidence"},
    enum_name<request_stage>{request_stage::resolution, "resolution"},
    enum_name<request_stage>{request_stage::primary_wait, "primary_wait"},
};

/// Measures the time that a request spends in each stage.
class request_stage_timer {
public:
    explicit request_stage_timer(monotonic_time started) : m_entered(started) {}

    /// Ends the current stage at `now` and starts `stage`.
    void enter(request_stage stage, monotonic_time now)
    {
        m_spent[static_cast<std::size_t>(m_stage)] += now - m_entered;
        m_stage = stage;
        m_entered = now;
    }

    duration spent(request_stage stage) const { return m_spent[static_cast<std::size_t>(stage)]; }

private:
    std::array<duration, request_stage_names.size()> m_spent{};
    request_stage m_stage = request_stage::admission;
    monotonic_time m_entered;
};

} // namespace greengagehitch
