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

/// Decides whether commits may be sent to one member, and whether their successes may be passed on: only if
/// no order to promote another member can replace it.
///
/// Such an order outlives the VM that gave it. The replica that it names receives nothing, while another one,
/// which has restarted, may confirm commits; the order rolls these back. So this VM looks for orders once it
/// has a connection to the member, and again whenever the member may have been away since. It may not have
/// been as long as its process answers without a gap: a connection that was open while the process answered
/// on another one belongs to the same process.
///
/// An order may also be given while a commit is under way, to a member that stands still and answers later. A
/// success is passed on at once if the member has answered without a gap since the commit was sent, commits
/// did not wait, and no VM suspected the member for a while. Otherwise a lookup that begins after the success
/// decides: a later order rests on evidence that is newer than the commit.
class promotion_guard : public std::enable_shared_from_this<promotion_guard> {
public:
    using result_callback = std::function<void(bool)>;

    /// Claim of the failover lock, which precedes orders; the default value if there was none.
    struct claim_id {
        std::uint64_t fence = 0;
        std::int64_t claimed_at_ms = 0; ///< By the store's clock.
        bool operator==(claim_id const&) const = default;
    };

    /// What a lookup has found.
    struct lookup_result {
        bool is_clear = false;             ///< Whether no order can replace the member.
        std::optional<claim_id> claim;     ///< Last claim; std::nullopt unless the store has answered.
        duration claim_age{};              ///< Time since that claim.
        bool is_claimed_for_other = false; ///< Whether it names another member.
    };
    using lookup_callback = std::function<void(lookup_result const&)>;
    /// Finds out whether an order may still replace the member; calls back once, perhaps at once.
    using lookup_hook = std::function<void(lookup_callback)>;

    /// State of the member when a commit was sent.
    struct sent_commit {
        monotonic_time sent_at;
        std::uint64_t presence = 0; ///< Number of the presence; 0 if there was none.
        /// Last claim when no order was outstanding; std::nullopt if it is not known.
        std::optional<claim_id> claim;
        monotonic_time cleared_at; ///< Time at which no order was outstanding.
    };

    promotion_guard(kernel& kernel, lookup_hook look_for_orders)
        : m_kernel(kernel), m_look_for_orders(std::move(look_for_orders))
    {
    }

    /// Records an answer of the member to a request that was sent at `sent_at`, on a connection that was
    /// opened at `opened_at`.
    void record_answer(monotonic_time opened_at, monotonic_time sent_at);

    /// Records that this VM found the member out of reach.
    void record_absence();

    /// Records a sign that another member may be ordered to lead, though this one may not have been away.
    void record_doubt();

    /// Records that nothing more is learned of the member, so that each success needs a lookup.
    void retire();

    /// Records that another VM, which sends a commit now, found the member out of reach a short time ago.
    void record_reported_absence();

    /// Calls `done` with whether a commit may be sent on an open connection that was opened at `opened_at`;
    /// at once if that is known, and after `max_wait` at the latest.
    void check(monotonic_time opened_at, result_callback done);

    /// Records that a commit is sent now.
    sent_commit record_sent_commit();

    /// Records that a commit has ended without success.
    void record_failed_commit();

    /// Calls `done` with whether the success of a commit, which has just arrived, may be passed on; at once
    /// if that is known, and after `max_success_wait` at the latest. To be called after record_answer().
    void check_success(sent_commit const& commit, result_callback done);

    /// Longest time for which a check before a commit waits.
    static constexpr duration max_wait = std::chrono::milliseconds(50);
    /// Longest time for which a success waits, for the running lookup and another one. A lookup asks the
    /// members if the store does not answer.
    static constexpr duration max_success_wait = std::chrono::milliseconds(800);

    /// Counts since the start of the VM.
    struct success_counts {
        std::uint64_t passed = 0;    ///< Successes that were passed on at once.
        std::uint64_t looked_up = 0; ///< Successes that waited for a lookup.
        std::uint64_t withheld = 0;  ///< Successes that were not passed on.
    };
    success_counts const& successes() const { return m_successes; }
    /// Number of lookups since the start of the VM.
    std::uint64_t lookups() const { return m_lookups; }

private:
    /// Time during which the member's process is known to have answered without a gap.
    struct presence {
        std::uint64_t number = 0;
        monotonic_time since;
        monotonic_time until;          ///< Latest send time of a request that was answered.
        monotonic_time heard_at;       ///< Arrival of the last answer.
        bool is_clear = false;         ///< Whether no order given before can replace the member any more.
        monotonic_time cleared_at;     ///< Begin of the lookup that showed this.
        std::optional<claim_id> claim; ///< Claim that it found.
    };

    struct waiting_success {
        std::uint64_t number = 0;
        sent_commit commit;
        monotonic_time answered_at;
        result_callback done;
    };

    struct waiting_check {
        std::uint64_t number = 0;
        monotonic_time opened_at;
        result_callback done;
    };

    bool is_clear(monotonic_time opened_at) const;
    /// Returns whether the member certainly was not replaced since the commit was sent.
    bool is_prompt(sent_commit const& commit, bool has_waited) const;
    void give_up(std::uint64_t number);
    void give_up_success(std::uint64_t number);
    void finish_success(waiting_success const& finished, bool is_passed);
    void start_lookup();
    void handle_result(lookup_result const& result, monotonic_time asked_at);
    /// Records that no order was outstanding when a lookup began.
    void clear_presence(lookup_result const& result, monotonic_time asked_at);
    static bool was_claimed_since(sent_commit const& commit, lookup_result const& result,
                                  monotonic_time claimed_at);
    /// Decides the successes that had arrived when the lookup began.
    void decide_successes(lookup_result const& result, monotonic_time asked_at);

    kernel& m_kernel;
    lookup_hook m_look_for_orders;
    std::optional<presence> m_presence;
    std::optional<monotonic_time> m_reported_at; ///< Time of the last report of another VM.
    std::optional<monotonic_time> m_failed_at;   ///< Time at which the last lookup did not clear the member.
    bool m_is_looking = false;
    bool m_is_lookup_outdated = false; ///< Whether the member was out of reach since the lookup began.
    std::uint64_t m_next_check = 1;
    std::vector<waiting_check> m_waiting; ///< Checks that wait for the running lookup.
    std::vector<waiting_success> m_waiting_successes;
    std::uint64_t m_next_presence = 1;
    /// Time until which each success needs a lookup, since a takeover may be about to claim the lock.
    monotonic_time m_unsettled_until;
    std::size_t m_unanswered_commits = 0;
    /// Time since when no commit has succeeded although one was sent; std::nullopt if the last one succeeded.
    std::optional<monotonic_time> m_commits_wait_since;
    success_counts m_successes;
    std::uint64_t m_lookups = 0;
};

} // namespace greengagehitch
