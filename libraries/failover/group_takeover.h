#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <absl/status/statusor.h>

#include "base/enum_names.h"
#include "failover/failover_lock.h"
#include "failover/member_control.h"
#include "failover/roster_service.h"
#include "failover/takeover_evidence.h"
#include "kernel/kernel.h"
#include "members/group_registry.h"

namespace greengagehitch {

/// Order to the platform to make a member the leader of its group. The platform refuses an order whose fence
/// is lower than one that it received before for the group, so that a delayed order does not override a newer
/// one.
struct promotion_order {
    std::string group;
    std::string member;
    std::string holder;      ///< Name of the VM that holds the failover lock and sends the order.
    std::uint64_t fence = 0; ///< Fence of the lock; increases whenever the holder or the member changes.
};

/// Sends a promotion order. kOk means that the order was accepted and kFailedPrecondition that it was refused
/// permanently; after any other error it is unknown whether the platform will carry out the order.
using promotion_hook = std::function<void(promotion_order const&, std::function<void(absl::Status)>)>;

enum class takeover_cause { suspected, draining, vanished, evacuated };

inline constexpr std::array takeover_cause_names{
    enum_name<takeover_cause>{takeover_cause::suspected, "suspected"},
    enum_name<takeover_cause>{takeover_cause::draining, "draining"},
    enum_name<takeover_cause>{takeover_cause::vanished, "vanished"},
    enum_name<takeover_cause>{takeover_cause::evacuated, "evacuated"},
};

/// Returns whether the replaced leader still serves. Such a leader steps down before its successor is
/// ordered.
constexpr bool is_handover(takeover_cause cause)
{
    return cause == takeover_cause::draining || cause == takeover_cause::evacuated;
}

/// Time after which the platform has carried out or dropped an order that it did not answer.
inline constexpr duration unanswered_order_lifetime = std::chrono::seconds(15);

/// Promotion order that was not answered, so that the platform may still carry it out.
struct unanswered_order {
    std::string member;
    monotonic_time sent_at;  ///< Time of the last attempt, or its upper bound if another VM sent the order.
    std::uint64_t fence = 0; ///< Fence of the last attempt.

    bool may_be_carried_out(monotonic_time now) const { return now - sent_at < unanswered_order_lifetime; }
};

/// Replacement of the leader of one group, from the search for a successor until it leads.
///
/// A successor must hold every acknowledged commit (see takeover_evidence). Its order needs the group's
/// failover lock, which one VM holds at a time. A leader that still serves steps down once a replica has
/// caught up and the lock is held, and its successor is ordered once it holds the position with which the
/// leader stepped down; until then, callers are served as usual. All orders to members are repeated until the
/// successor leads, since a member that restarts forgets them.
class group_takeover : public std::enable_shared_from_this<group_takeover> {
public:
    struct dependencies {
        kernel& core;
        failover_lock& lock;
        backend_connection_hooks const& connection_hooks;
        promotion_hook const& promote;
        group_registry& groups;
        std::string vm;                ///< Name of this VM.
        bool deposes_replaced_leaders; ///< Whether a promotion ends the replaced leader's leadership at once.
        /// Returns the highest position that any VM reported as acknowledged in the group.
        std::function<log_position()> highest_acknowledged;
        /// Returns whether the leader still has to be replaced in the same way, as far as this VM knows now.
        std::function<bool()> is_needed;
        /// Returns whether VMs of the availability zone were heard recently, and since `time`.
        std::function<bool(std::string const& zone, monotonic_time time)> heard_zone_since;
        /// Reads the group's roster from the store.
        std::function<void(roster_callback)> read_roster;
        /// Returns whether VMs of the availability zone may still pass on successes of commits though this VM
        /// has no contact with them, see contact_guard.
        std::function<bool(std::string const& zone)> is_contact_undecided;
        /// Last order of the group that was not answered, by this VM or another one; outlives the takeover.
        std::optional<unanswered_order>& last_order;
        /// Returns whether orders of other VMs that are not answered were looked for since `time`.
        std::function<bool(monotonic_time time)> has_read_lock_since;
        /// Returns whether this VM still is the one that has to act for the group.
        std::function<bool()> is_responsible;
        /// Called when the failover lock was acquired, or turned out to be another VM's.
        std::function<void(bool is_held)> lock_changed;
        /// Called once, when the takeover ends.
        std::function<void()> ended;
    };

    group_takeover(std::string group, takeover_cause cause, std::string const& old_leader,
                   std::uint64_t new_term, dependencies dependencies);

    /// Sends the first commands.
    void start();
    /// Repeats the commands and checks the time limits. To be called about ten times a second.
    void tick();
    /// Goes on after the last claim of the failover lock was read.
    void handle_lock_read();

    takeover_cause cause() const { return m_cause; }
    /// Returns whether members have been ordered anything that callers notice.
    bool has_interfered() const { return m_has_interfered; }
    duration elapsed() const { return m_kernel.now() - m_started_at; }

private:
    enum class phase {
        surveying,  ///< Members are asked for their status, or ordered to stop, until a successor is found.
        claiming,   ///< The failover lock is being acquired.
        fencing,    ///< A leader that still serves is ordered to step down.
        ordering,   ///< The promotion is ordered until the platform answers.
        confirming, ///< The order was accepted; the successor is asked until it leads.
    };

    /// What is known of the promotion orders of this takeover, or of an earlier one.
    enum class fate {
        not_sent,
        answered,    ///< The platform has accepted the last one.
        outstanding, ///< One was not answered, and may still be carried out.
        settled,     ///< None can be carried out any more.
    };
    static constexpr std::array order_fate_names{
        enum_name<fate>{fate::not_sent, "not_sent"},
        enum_name<fate>{fate::answered, "answered"},
        enum_name<fate>{fate::outstanding, "outstanding"},
        enum_name<fate>{fate::settled, "settled"},
    };

    database_group& group() const { return m_dependencies.groups.group(m_name); }
    void set_phase(phase next);
    duration time_limit() const;

    /// Reads the group's roster, until the store has answered.
    void read_roster();
    void handle_roster(absl::StatusOr<member_roster> const& roster);
    /// Finds the members that commands are sent to, and those that may have received commits.
    void update_targets();
    void send_commands();
    void send_command(member_entry const& member, command_kind kind);
    /// Returns whether replicas may be ordered to stop receiving. A takeover that does not reach the store
    /// can neither promote a replica nor let those receive that another takeover has stopped.
    bool may_stop_replicas() const;
    /// Returns whether a takeover that ends without a successor may let the member receive.
    bool may_resume(std::string const& member) const;
    /// Returns the time since replicas may be stopped.
    duration time_since_stop() const;
    /// Orders the member to stop receiving if it has to and its status shows that it does not know.
    void stop_if_receiving(std::string const& member, replication_status const& status);
    command_kind command_for(std::string const& member) const;
    void handle_status(std::string const& member, replication_status const& status, monotonic_time sent_at);
    void handle_refusal(std::string const& member, member_error error, monotonic_time started_at);
    void handle_lost(std::string const& member, member_error error);

    /// Returns whether the old leader answers as the leader, and so can be ordered to step down.
    bool is_leader_answering() const;
    /// Returns false while members have begun to answer, or the old leader's zone to be heard, only a short
    /// time ago. What made this VM start the takeover may then be over, and is judged anew by the reports
    /// that follow.
    bool has_settled();

    /// Takes the next step if what is known of the members allows it.
    void advance();
    void choose_successor();
    /// Looks for another successor than the one that was ordered.
    void choose_again();
    void start_fencing();
    void poll_fencing();
    /// Orders a successor of the leader that has stepped down, or lets that leader lead again.
    void finish_fencing();
    void start_ordering();
    std::optional<std::string> find_successor();
    std::optional<std::string> find_holder(log_position position) const;
    /// Returns the ids of the members that report `position`.
    Json::Value dump_holders(log_position position) const;
    /// Highest position that the old leader may have acknowledged; std::nullopt unless it has stepped down.
    std::optional<log_position> acknowledged_bound() const;
    /// Returns whether the member holds all commits that were or may be acknowledged.
    bool holds_all_commits(std::string const& member) const;
    /// Returns whether the old leader may acknowledge through a replica that is in no directory yet: a member
    /// that leaves has a replacement, which cannot register from a zone without contact.
    bool may_have_unlisted_replica() const;
    /// Returns whether the answers that count cover the logs of all replicas, so that the furthest of them
    /// holds every acknowledged commit.
    bool are_replicas_covered() const;
    /// Returns whether the log of a replica without an answer holds no commit that the answers lack.
    bool is_covered(std::string const& replica) const;
    /// Returns whether the roster says that a replica has ended as planned, and the answers reach its bound.
    bool is_covered_after_planned_leave(std::string const& replica) const;
    /// Returns whether a member that answers runs at the address of a replica that has ended. It took over
    /// the replica's log.
    bool is_replaced_at_address(std::string const& replica) const;
    /// Returns the replicas without an answer whose logs may hold commits that the answers lack.
    std::vector<std::string> uncovered_replicas() const;
    /// Returns whether the directory has an entry of the member now.
    bool is_listed(std::string const& member) const;
    /// Returns whether another member that the directory lists runs at the address of the member.
    bool is_address_listed(std::string const& member) const;
    /// Logs the replicas that the takeover waits for, when they change.
    void log_awaited_replicas();
    /// Returns whether the member's availability zone was reached since the takeover started, so that a
    /// refused connection is the member's own.
    bool has_contact(std::string const& member) const;
    bool is_known_not_to_run(std::string const& member) const;
    /// Returns whether the old leader has ended or has stepped down.
    bool is_leader_down() const;
    /// Returns whether callers behind a cut may still learn of commits of a leader that cannot be reached.
    bool awaits_end_of_successes();
    /// Returns false while the old leader may still be used by VMs that have not learned of the takeover.
    bool is_old_leader_out_of_use();

    void acquire_lock();
    void handle_lock(absl::StatusOr<std::uint64_t> const& fence);
    bool may_order() const;
    /// Returns whether the platform may still carry out an order that it did not answer. Only an answered
    /// order with a higher fence rules that out.
    bool has_outstanding_order() const;
    /// Returns whether the store has said since the start of the takeover if another VM's order is
    /// outstanding, or has not answered in time.
    bool has_looked_for_orders() const;
    /// Returns whether the old leader steps down before the lock is held: while an order is outstanding, a
    /// replica that restarts must not let it acknowledge commits.
    bool must_fence_at_once() const;
    void send_order();
    /// Notes that no order for another member is outstanding.
    void settle_orders();
    void handle_missing_evidence();
    void handle_order_answer(absl::Status const& status);
    void await_leadership(int tries);
    /// Ends the takeover once the successor was seen leading.
    void finish();
    void end(std::string_view outcome, bool must_resume);
    fate order_fate() const;

    /// Starts a timer that is ignored once the takeover has ended.
    void start_timer(duration delay, std::function<void(group_takeover&)> callback);
    void log(std::string_view message, Json::Value fields = {}) const;
    void log_status(std::string const& member, replication_status const& status) const;

    std::string m_name; ///< Name of the group.
    takeover_cause m_cause;
    dependencies m_dependencies;
    kernel& m_kernel;
    std::uint64_t m_term; ///< Term of the new leader.
    takeover_evidence m_evidence;
    std::map<std::string, member_entry> m_targets; ///< Members that may run or hold commits, keyed by id.
    std::optional<member_roster> m_roster;         ///< Set once the store has answered.
    member_control m_control;
    std::set<std::string> m_stopped; ///< Members that this takeover has ordered to stop receiving.
    /// Members that another takeover had ordered to stop when this one last found out.
    std::set<std::string> m_stopped_by_others;
    phase m_phase = phase::surveying;
    monotonic_time m_started_at;
    monotonic_time m_phase_since;
    monotonic_time m_commands_sent_at;
    /// Time since when may_stop_replicas() was seen to be true.
    std::optional<monotonic_time> m_may_stop_since;
    /// Time at which a member answered that had not answered before.
    std::optional<monotonic_time> m_newly_answered_at;
    /// Time since when the old leader's zone is in contact.
    std::optional<monotonic_time> m_contact_since;
    /// Position of a leader that still serves, which a successor must have received before the leader steps
    /// down.
    std::optional<log_position> m_required_position;
    std::string m_successor; ///< Id of the chosen member; empty while surveying.
    std::uint64_t m_fence = 0;
    monotonic_time m_lock_acquired_at;
    monotonic_time m_next_claim_at; ///< Time before which the lock is not tried again.
    /// Time at which all proofs of the old leader's leadership have expired; set once the replicas whose
    /// answers are needed have stopped receiving.
    std::optional<monotonic_time> m_old_leader_expires_at;
    std::optional<monotonic_time>
        m_fenced_since; ///< Time at which the old leader was seen to have stepped down.
    std::vector<std::string> m_awaited_replicas; ///< As they were logged last.
    int m_order_attempts = 0;                    ///< Number of promotion orders that were attempted.
    /// Order that was outstanding before the first one of this takeover.
    std::optional<unanswered_order> m_prior_order;
    bool m_was_order_answered = false; ///< Whether the platform accepted an order of this takeover.
    bool m_has_term_begun = false; ///< Whether a member knows the new term, so that the successor has led.
    bool m_is_polling = false;     ///< Whether the timer of poll_fencing() runs.
    bool m_has_awaited_successes = false; ///< Whether awaits_end_of_successes() was true before.
    bool m_has_interfered;                ///< Whether members were ordered anything that callers notice.
    bool m_has_ended = false;
};

} // namespace greengagehitch
