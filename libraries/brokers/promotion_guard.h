#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "kernel/kernel.h"

namespace greengagehitch {

/// Time after a claim of the failover lock after which no order under it is carried out any more, with the
/// time that the leader's VMs need to notice its return.
inline constexpr duration order_lapse_time = std::chrono::milliseconds(17'500);

/// Decides whether commits may be sent to one member: only if no order to promote another member, given while
/// this one was away, can still replace it.
///
/// Such an order outlives the VM that gave it. The replica that it names receives nothing, while another one,
/// which has restarted, may confirm commits; the order rolls these back. So this VM looks for orders once it
/// has a connection to the member, and again whenever the member may have been away since. It may not have
/// been as long as its process answers without a gap: a connection that was open while the process answered
/// on another one belongs to the same process.
class promotion_guard : public std::enable_shared_from_this<promotion_guard> {
public:
    using result_callback = std::function<void(bool)>;
    /// Finds out whether an order may still replace the member, and passes true if none can; calls back once,
    /// perhaps at once.
    using lookup_hook = std::function<void(result_callback)>;

    promotion_guard(kernel& kernel, lookup_hook look_for_orders)
        : m_kernel(kernel), m_look_for_orders(std::move(look_for_orders))
    {
    }

    /// Records an answer of the member to a request that was sent at `sent_at`, on a connection that was
    /// opened at `opened_at`.
    void record_answer(monotonic_time opened_at, monotonic_time sent_at);

    /// Records that this VM found the member out of reach.
    void record_absence();

    /// Records that another VM, which sends a commit now, found the member out of reach a short time ago.
    void record_reported_absence();

    /// Calls `done` with whether a commit may be sent on an open connection that was opened at `opened_at`;
    /// at once if that is known, and after `max_wait` at the latest.
    void check(monotonic_time opened_at, result_callback done);

    /// Longest time for which a check waits.
    static constexpr duration max_wait = std::chrono::milliseconds(50);

private:
    /// Time during which the member's process is known to have answered without a gap.
    struct presence {
        monotonic_time since;
        monotonic_time until;    ///< Latest send time of a request that was answered.
        monotonic_time heard_at; ///< Arrival of the last answer.
        bool is_clear = false;   ///< Whether no order given before can replace the member any more.
    };

    struct waiting_check {
        std::uint64_t number = 0;
        monotonic_time opened_at;
        result_callback done;
    };

    bool is_clear(monotonic_time opened_at) const;
    void give_up(std::uint64_t number);
    void start_lookup();
    void handle_result(bool is_clear, monotonic_time asked_at);

    kernel& m_kernel;
    lookup_hook m_look_for_orders;
    std::optional<presence> m_presence;
    std::optional<monotonic_time> m_reported_at; ///< Time of the last report of another VM.
    std::optional<monotonic_time> m_failed_at;   ///< Time at which the last lookup did not clear the member.
    bool m_is_looking = false;
    bool m_is_lookup_outdated = false; ///< Whether the member was out of reach since the lookup began.
    std::uint64_t m_next_check = 1;
    std::vector<waiting_check> m_waiting; ///< Checks that wait for the running lookup.
};

} // namespace greengagehitch
