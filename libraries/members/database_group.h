#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "brokers/member_request.h"
#include "fleet/member_entry.h"
#include "kernel/kernel.h"
#include "members/leader_absence.h"
#include "members/leader_position_history.h"
#include "members/member_choice.h"
#include "members/waiting_requests.h"

namespace greengagehitch {

/// State of one group member as this VM has observed it.
struct group_member {
    member_entry entry;
    std::size_t in_flight = 0; ///< Number of statements that were sent and are not yet answered.
    duration latency = std::chrono::milliseconds(30); ///< Moving average of the time to an answer.
    monotonic_time latency_measured_at;               ///< Time of the last latency measurement.
    monotonic_time avoid_until; ///< Time until which reads avoid the member, after a failure or an overload.
    log_position applied;       ///< Applied position that the member last reported.
    monotonic_time observed_at; ///< Time at which `applied` was reported.
    duration lag{}; ///< Time by which `applied` was behind the leader's position at `observed_at`.
    std::uint64_t confirmed_term = 0; ///< Term that the member is confirmed to lead; 0 if it is not.
    bool is_not_leading = false;      ///< True after the member reported that it does not lead.
    std::optional<store_position> claim_change;  ///< Directory change at which the member claimed leadership.
    std::optional<monotonic_time> failing_since; ///< Time of the first failure since the last response.
    std::size_t failures = 0;                    ///< Number of failures since the last response.
    double failure_share = 0; ///< Moving average over recent statements: 1 failed at the member, 0 did not.
    monotonic_time tried_at;  ///< Time at which the last statement was sent to the member.
    /// Time of the first unanswered commit since the last successful one.
    std::optional<monotonic_time> commits_stuck_since;
    monotonic_time last_stuck_at; ///< Time of the last commit without an answer.
    monotonic_time warm_at;       ///< Time at which the member has certainly warmed up after its start.
    /// True if the member was not running when this VM last tried to reach it, so that it will have to warm
    /// up.
    bool is_absent = false;
    /// Time at which this VM learned that the member drains; empty if it does not.
    std::optional<monotonic_time> draining_since;
    /// Position of the leader's log in its first answer after the member's entry had lapsed. The member's log
    /// holds no later commit unless the entry returns.
    std::optional<log_position> last_possible_position;
};

/// One database group as observed by this VM: its members, its leader, and the leader's log positions over
/// time.
class database_group {
public:
    struct dependencies {
        kernel& core;
        std::string availability_zone;
        std::function<void(member_entry const&, member_request, reply_callback)> run;
        std::function<void(member_entry const&)> member_added;
        std::function<void(member_entry const&)> member_removed;
        /// Returns whether an availability zone is evacuated. May be empty if none ever is.
        std::function<bool(std::string const& zone)> is_evacuated{};
        /// Returns whether a request that only a member of the zone can run may still be sent there. May be
        /// empty if no zone is ever evacuated.
        std::function<bool(std::string const& zone)> may_send_to_zone{};
        /// Tells whether this VM can reach neither the VMs nor the members of an availability zone. May be
        /// empty; then no zone is partitioned.
        std::function<bool(std::string const& zone)> is_partitioned{};
        /// Tells whether this VM reaches no other availability zone. May be empty.
        std::function<bool()> is_cut_off{};
        /// Returns the time for which a member is slow after its start. May be empty if members are not.
        std::function<duration()> warm_up_time{};
    };

    database_group(std::string name, dependencies dependencies);

    std::string const& name() const { return m_name; }

    /// Replaces the members with the directory's entries for this group.
    void set_members(std::vector<member_entry> const& entries);

    group_member* find_member(std::string const& id);
    std::map<std::string, group_member> const& members() const { return m_members; }

    /// Returns the member that this VM considers the leader, or null when no leader is known.
    group_member* leader();
    group_member const* leader() const;

    /// Returns the leader, or null when no leader is known or when this VM suspects that it is unreachable.
    group_member* reachable_leader();
    /// Expected time until the leader is reachable.
    duration expected_leader_wait() const { return m_absence.expected_wait(m_kernel.now()); }
    /// True when a leader that is reachable is not expected within `limit`. A leader that is only unknown may
    /// be found by the next probe, but one that is out of reach comes back with a takeover, and for a VM that
    /// is cut off not before the partition ends.
    bool expects_no_leader_within(duration limit) const;

    /// Id of the member that was last confirmed as leader; empty if no member was confirmed yet.
    std::string const& last_leader() const { return m_last_leader; }

    /// Records that a member answered as leader, at log position `position`, to a request sent at `sent_at`.
    void confirm_leader(std::string const& member, log_position position, monotonic_time sent_at);
    /// Records that a member reported that it does not lead.
    void record_not_leading(std::string const& member);
    /// Applies a peer's report that a member leads `term`. Reports of terms that are not newer are ignored.
    void apply_reported_leader(std::string const& member, std::uint64_t term);
    /// Returns the term of the confirmed leader, or 0 if no leader is confirmed.
    std::uint64_t confirmed_term() const;

    /// Calls `callback` with true once a leader is reachable, or with false at `deadline`.
    void wait_for_leader(monotonic_time deadline, std::function<void(bool)> callback);
    std::size_t waiting_for_leader() const { return m_waiting.size(); }

    /// Statements of callers that wait at this group.
    waiting_requests& waiting() { return m_requests; }
    waiting_requests const& waiting() const { return m_requests; }
    /// Logs the statements that wait, if one of them has waited long, at most once a second.
    void log_waiting();

    /// Requests the leader's current log position. If no leader is known, probes all members to find one.
    void refresh_leader_position(std::string const& client_account);

    /// Chooses a member for a read that does not need the leader. Returns null if no member is expected to
    /// have applied `minimum_position`. Members in `excluded` are not chosen.
    group_member* choose_reader(std::string const& client_account, std::set<std::string> const& excluded,
                                log_position minimum_position);
    /// Judges all members as readers, without side effects.
    member_choice judge_readers(std::set<std::string> const& excluded, log_position minimum_position) const;
    /// Records that a member refused a statement because its queue was too long; reads avoid it briefly.
    void record_overload(std::string const& member);

    /// Returns whether the member's availability zone is evacuated.
    bool is_evacuated(group_member const& member) const;
    /// Returns whether requests may be sent to a member, although its availability zone may be about to be
    /// evacuated. False for unknown members.
    bool may_send_to(std::string const& member) const;

    /// Returns the members that drain, each with the time in milliseconds since this VM learned of it.
    Json::Value dump_draining() const;

    /// Returns whether the member started a short time ago, or may have, and serves slowly.
    bool is_warming_up(group_member const& member) const;
    /// Records that a member is not running. It warms up from the next contact on, unless an entry of its
    /// next start says otherwise.
    void record_absence(std::string const& member);
    /// Records that a connection to a member was opened.
    void record_contact(std::string const& member);

    /// Sends a request to a member through the VM that brokers its connections.
    void run(std::string const& member, member_request request, reply_callback done);

    /// Counts a statement as in flight to a member until record_returned() is called, whether it succeeded or
    /// failed.
    void record_sent(std::string const& member);
    void record_returned(std::string const& member);
    /// Sends a probe to a member whose answer is overdue, to check whether the member responds and leads.
    void probe_member(std::string const& member, std::string const& client_account);
    void record_answer(std::string const& member, duration latency);
    /// Asks all members for their status and passes true if a replica still receives and knows no newer term
    /// than `leader`, which answered as the primary. See leadership_guard.
    void query_replicas(std::string const& leader, std::function<void(bool)> done);
    /// Records that the member responded, which clears its failures.
    void record_response(std::string const& member);
    void record_failure(std::string const& member, member_error error);
    /// Records that a member did not answer a commit, although it may be reachable. The leader is suspected
    /// if no commit succeeds for some time afterwards.
    void record_stuck_commit(std::string const& member);
    /// Records that a member committed at `position`.
    void record_commit(std::string const& member, log_position position);
    /// Records the applied position that a member reported, and estimates from it how far the member lags.
    void record_position(std::string const& member, log_position position);

    /// Member that was removed from the directory. It may still be running, or hold commits that the present
    /// members lack.
    struct former_member {
        member_entry entry;
        monotonic_time removed_at;
        std::optional<log_position> last_possible_position; ///< See group_member.
    };
    std::map<std::string, former_member> const& former_members() const { return m_former_members; }

    /// Returns a position that the log of a member whose entry has lapsed does not exceed; std::nullopt if
    /// none is known, and for all other members.
    std::optional<log_position> last_possible_position(std::string const& id) const;

    leader_position_history const& leader_positions() const { return m_leader_positions; }
    /// Returns the time since the request was sent whose answer last confirmed the leader, or std::nullopt if
    /// no leader was confirmed yet.
    std::optional<duration> confirmation_age() const;
    /// Highest position of a commit that this VM acknowledged to a caller.
    log_position highest_acknowledged() const { return m_highest_acknowledged; }

    /// Returns true if the leader appears to this VM to be unreachable or unable to commit.
    bool suspects_leader() const;

    /// Probes the leader after a peer reported that it suspects the leader, so that this VM checks the leader
    /// itself.
    void handle_reported_suspicion();

    Json::Value dump() const;

private:
    struct leader_wait {
        monotonic_time deadline;
        std::function<void(bool)> callback;
        timer_id timer = timer_id::none;
    };

    void release_waiting();
    void search_leader();
    void probe_leadership(group_member& member, std::string const& client_account);
    void probe_position(group_member& member, std::string const& client_account);
    using probe_callback = std::function<void(member_answer const&, monotonic_time sent_at)>;
    void send_probe(group_member& member, std::string const& client_account, command_kind kind,
                    probe_callback answered);
    read_candidate make_candidate(group_member const& member, bool is_excluded,
                                  log_position minimum_position) const;
    bool is_unreachable(group_member const& member) const;
    bool fails_to_respond(group_member const& member) const;
    bool is_expected_to_hold(group_member const& member, log_position minimum_position) const;
    duration warm_up_time() const;
    void log_membership(std::string_view message, member_entry const& entry) const;
    void retire_member(group_member& member);
    /// Bounds the logs of the members whose entries had lapsed when the leader was asked at `asked_at`.
    void bound_lapsed_members(log_position leader_position, monotonic_time asked_at);
    /// Returns whether a former member certainly holds no acknowledged commit that the present members lack.
    bool is_superseded(former_member const& former) const;

    std::string m_name;
    dependencies m_dependencies;
    kernel& m_kernel;
    std::map<std::string, group_member> m_members;
    leader_position_history m_leader_positions;
    leader_absence m_absence;
    log_position m_highest_acknowledged;
    std::string m_last_leader;
    std::map<std::string, former_member> m_former_members;
    waiting_requests m_requests;
    monotonic_time m_next_waiting_log_at;
    std::map<std::uint64_t, leader_wait> m_waiting;
    std::uint64_t m_next_wait = 1;
    bool m_is_searching = false;
    std::string m_search_account;
    std::set<std::string> m_probed; ///< Ids of members with a probe in flight.
};

} // namespace greengagehitch
