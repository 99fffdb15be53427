#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Reasons against a member as leader. Members compare by the most important reason first.
struct successor_drawbacks {
    bool is_leaving = false;
    bool is_evacuated = false;
    bool is_warming_up = false;
    auto operator<=>(successor_drawbacks const&) const = default;
};

/// What the VM that runs a takeover knows about the members of the group.
///
/// A leader acknowledges a commit as soon as one replica has received it, and a VM may not know all replicas.
/// No acknowledged commit is lost if the old leader has stepped down and the successor holds its position.
/// Only if the old leader cannot be reached, the successor has to be the furthest of the replicas, all of
/// which must have stopped receiving. A member that restarts forgets both orders, so an answer counts for a
/// short time only and has to be confirmed again and again.
class takeover_evidence {
public:
    /// Returns the drawbacks of a member as leader, or std::nullopt if it cannot be ordered to lead.
    using drawbacks_hook = std::function<std::optional<successor_drawbacks>(std::string const& member)>;

    /// `term` is the term of the successor.
    takeover_evidence(std::string old_leader, std::uint64_t term)
        : m_old_leader(std::move(old_leader)), m_term(term)
    {
    }

    std::string const& old_leader() const { return m_old_leader; }

    /// Sets the ids of all members that may have received commits, but for the old leader.
    void set_replicas(std::set<std::string> replicas);
    /// Returns whether the member that was taken for the old leader follows another.
    bool is_old_leader_replica(monotonic_time now) const;

    /// Sets the term of the successor, after a member reported a newer one than was known.
    void set_term(std::uint64_t term);

    /// Records an answer of a member to a command that was sent at `sent_at`. A member that leads the term
    /// before the successor's is the old leader, perhaps after a restart under another id. A member that is a
    /// replica and was not seen leading is a replica like any other.
    void record_status(std::string const& member, replication_status const& status, monotonic_time sent_at);
    /// Records that a connection to a member which was attempted at `started_at` was refused. With
    /// `is_stopped`, this shows that the process that was last heard has ended and no other has taken its
    /// place. Returns true if the refusal is new.
    bool record_refusal(std::string const& member, bool is_stopped, monotonic_time started_at);
    /// Discards the last answer of a member whose connection was lost, since the member may have restarted.
    /// Returns false if there is none.
    bool discard_answer(std::string const& member);

    /// Returns the last answer of a member if it still counts.
    replication_status const* find_answer(std::string const& member, monotonic_time now) const;
    std::size_t answers(monotonic_time now) const;
    /// Returns whether the member refuses connections. Its process does not run if its machine can be
    /// reached; a network partition may refuse connections as well.
    bool refuses_connections(std::string const& member, monotonic_time now) const;
    /// Returns whether the last attempt to connect to the member shows that nothing of the group runs at its
    /// address.
    bool is_stopped(std::string const& member, monotonic_time now) const;

    /// Position of the old leader if it was seen leading and has stepped down. It has acknowledged no commit
    /// above it.
    std::optional<log_position> final_position(monotonic_time now) const;

    /// Returns whether every known replica has answered and has stopped receiving.
    bool have_all_stopped(monotonic_time now) const
    {
        return have_answering_stopped(now) && unanswered(now).empty();
    }
    /// Returns whether every replica with an answer that counts has stopped receiving.
    bool have_answering_stopped(monotonic_time now) const;
    /// Returns the replicas without an answer that counts.
    std::vector<std::string> unanswered(monotonic_time now) const;

    /// Highest position that an answer of a replica reports.
    log_position furthest_position(monotonic_time now) const;
    /// Returns whether a member reports that it was not ordered to stop receiving from the old leader.
    bool is_receiving(std::string const& member, monotonic_time now) const;
    /// Returns whether a member reports that it holds `position`.
    bool holds(std::string const& member, log_position position, monotonic_time now) const;
    /// Returns the replica with the fewest drawbacks of those that hold `position`.
    std::optional<std::string> find_holder(log_position position, drawbacks_hook const& drawbacks,
                                           monotonic_time now) const;

private:
    struct member_answer_record {
        replication_status status;
        monotonic_time received_at;
    };

    struct refusal {
        monotonic_time started_at;
        bool is_stopped = false;
    };

    bool is_current(monotonic_time at, monotonic_time now) const;

    std::string m_old_leader;
    std::uint64_t m_term;
    std::set<std::string> m_replicas;
    bool m_was_leading = false; ///< Whether the old leader answered as the leader during this takeover.
    std::optional<log_position> m_final_position; ///< Position with which the old leader stepped down.
    monotonic_time m_final_since;                 ///< Time at which `m_final_position` was last confirmed.
    /// Whether the old leader may have restarted since then.
    bool m_is_final_in_doubt = false;
    std::map<std::string, member_answer_record> m_answers; ///< Keyed by member id.
    std::map<std::string, refusal> m_refusals;             ///< Last refusals, keyed by member id.
};

} // namespace greengagehitch
