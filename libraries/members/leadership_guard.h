#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "kernel/kernel.h"

namespace greengagehitch {

/// Time after the sending of a request for which its answer proves that no successor leads: a commit that a
/// replica received, or a replica that still receives from its leader. A takeover first stops the replicas,
/// which ends the supply of new proofs, and then waits this time before it orders the promotion, unless the
/// old leader has confirmed that it stepped down.
inline constexpr duration leadership_proof_lifetime = std::chrono::milliseconds(600);

/// Proof that a member is the only leader of its group, as far as the broker of the member knows.
///
/// On a platform that does not check fences, a replaced leader accepts transactions until it learns of its
/// successor, so its own answers prove nothing. Requests that only the leader may run are therefore sent
/// only while a proof is recent enough.
class leadership_guard {
public:
    using result_callback = std::function<void(bool is_proven)>;

    /// Asks the group's members whether a replica still receives from the member, and passes true if one
    /// does.
    using query_hook = std::function<void(result_callback)>;

    leadership_guard(kernel& kernel, query_hook query) : m_kernel(kernel), m_query(std::move(query)) {}

    /// Records that a replica received a commit of the member, which was sent at `sent_at`.
    void record_replicated_commit(monotonic_time sent_at);

    /// Calls `done` with whether the member is proven to be the only leader, at once if a proof is recent
    /// enough.
    void check(result_callback done);

private:
    bool is_proven() const;
    void start_query();

    kernel& m_kernel;
    query_hook m_query;
    std::optional<monotonic_time>
        m_proven_at; ///< Send time of the latest request that proved the leadership.
    std::optional<monotonic_time> m_failed_at; ///< Time at which the last query failed.
    std::vector<result_callback> m_waiting;    ///< Checks that wait for the running query.
};

} // namespace greengagehitch
