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
#include "members/leader_position_history.h"

namespace greengagehitch {

/// What this VM knows of one member of a group.
struct group_member {
    member_entry entry;
    std::size_t in_flight = 0;
    duration latency = std::chrono::milliseconds(30); ///< Smoothed time from a statement to its answer.
    monotonic_time latency_measured_at;               ///< When `latency` was last measured.
    monotonic_time avoid_until;                       ///< After a failure.
    log_position applied;                             ///< Highest position that it showed.
    monotonic_time observed_at;                       ///< When it showed a position last.
    duration lag{};                                   ///< Of its readable log behind the leader's, then.
    std::uint64_t confirmed_term = 0;                 ///< Term that it was last proven to lead; 0 for none.
    bool is_not_leading = false;                      ///< Said that it does not lead.
    std::uint64_t claim_change = 0;              ///< Directory change at which it began to claim the lead.
    std::optional<monotonic_time> failing_since; ///< First failure since its last answer.
    std::size_t failures = 0;                    ///< Since its last answer.
    std::optional<monotonic_time>
        commits_stuck_since; ///< First commit without an answer since the last one with.
};

/// One database group as this VM sees it: its members, who leads, and how far its log reached when.
class database_group {
public:
    struct dependencies {
        kernel& core;
        std::string availability_zone;
        std::function<void(member_entry const&, member_request, reply_callback)> run;
        std::function<void(member_entry const&)> member_added;
        std::function<void(member_entry const&)> member_removed;
    };

    database_group(std::string name, dependencies dependencies);

    std::string const& name() const { return m_name; }

    /// Takes in the directory's entries of this group, by member id.
    void set_members(std::vector<member_entry> const& entries);

    group_member* find_member(std::string const& id);
    std::map<std::string, group_member> const& members() const { return m_members; }

    /// Member that leads as far as this VM knows; null when none is known.
    group_member* leader();
    group_member const* leader() const;

    /// Member that was last proven to lead; empty when none was.
    std::string const& last_leader() const { return m_last_leader; }

    /// Takes in that a member led when it answered a question sent at `sent_at`.
    void confirm_leader(std::string const& member, log_position position, monotonic_time sent_at);
    void record_not_leading(std::string const& member);
    /// Takes in a peer's word that a member leads `term`.
    void apply_reported_leader(std::string const& member, std::uint64_t term);
    std::uint64_t confirmed_term() const;

    /// Runs `callback` once a leader is known; at `deadline` with false.
    void wait_for_leader(monotonic_time deadline, std::function<void(bool)> callback);
    std::size_t waiting_for_leader() const { return m_waiting.size(); }

    /// Asks the leader for fresh evidence, and looks for the leader where none is known.
    void refresh_leader_position(std::string const& client_account);

    /// Member for a read that needs no lead; null when none is expected to hold `floor`. `excluded` were
    /// tried.
    group_member* choose_reader(std::string const& client_account, std::set<std::string> const& excluded,
                                log_position floor);
    /// A member's queue is too long now.
    void record_overload(std::string const& member);

    /// Sends a request to a member, through whoever holds the connections to it.
    void run(std::string const& member, member_request request, reply_callback done);

    /// Counts a statement that is on its way to a member, until it has returned in whatever way.
    void record_sent(std::string const& member);
    void record_returned(std::string const& member);
    /// A statement has no answer for longer than usual: asks the member for a sign of life.
    void probe_member(std::string const& member, std::string const& client_account);
    void record_answer(std::string const& member, duration latency);
    /// The member gave a sign of life.
    void record_response(std::string const& member);
    void record_failure(std::string const& member, member_error error);
    /// A commit got no answer although the member may be reachable.
    void record_stuck_commit(std::string const& member);
    void record_commit(std::string const& member, log_position position);
    /// Takes in the position that a member showed.
    void record_position(std::string const& member, log_position position);

    /// Members that left the directory lately. They may still run, and hold commits.
    struct former_member {
        member_entry entry;
        monotonic_time removed_at;
    };
    std::map<std::string, former_member> const& former_members() const { return m_former_members; }

    leader_position_history const& leader_positions() const { return m_leader_positions; }
    /// Time since the question whose answer last proved who leads; empty when none did.
    std::optional<duration> confirmation_age() const;
    /// Highest position of a commit that was acknowledged to a caller here.
    log_position highest_acknowledged() const { return m_highest_acknowledged; }

    /// True when this VM finds the leader unreachable or unable to commit.
    bool suspects_leader() const;

    /// A peer suspects the leader; this VM asks for itself.
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
    duration score(group_member const& member) const;
    bool is_expected_to_hold(group_member const& member, log_position floor) const;
    void retire_member(group_member& member);

    std::string m_name;
    dependencies m_dependencies;
    kernel& m_kernel;
    std::map<std::string, group_member> m_members;
    leader_position_history m_leader_positions;
    log_position m_highest_acknowledged;
    std::string m_last_leader;
    std::map<std::string, former_member> m_former_members;
    std::map<std::uint64_t, leader_wait> m_waiting;
    std::uint64_t m_next_wait = 1;
    bool m_is_searching = false;
    std::string m_search_account;
    std::set<std::string> m_probed; ///< Members with a question about the lead on its way.
};

} // namespace greengagehitch
