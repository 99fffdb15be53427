#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "database/group_contract.h"
#include "routing/group_description.h"

namespace greengagehitch {

/// Latest status of one member, with the times, on this VM's clock, at which the request was sent and the
/// answer was received.
struct member_observation {
    member_status status;
    monotonic_time asked_at;
    monotonic_time answered_at;
};

/// Last known state of one member.
struct member_view {
    std::optional<member_observation> latest;
    /// Time at which the newest answered status request was sent.
    std::optional<monotonic_time> last_success;
    /// Time of the first failure since the last successful request; empty while requests succeed.
    std::optional<monotonic_time> failing_since;
    /// Estimated time from a commit at the primary until reads at this replica see it.
    duration apply_lag{};
    /// Moving average of the time from sending a request to receiving its answer.
    duration round_trip{};
};

/// Last known state of a database group: the terms and log positions of its members, and their ages. All
/// times are read from this VM's clock, and all bounds are conservative.
class group_view {
public:
    explicit group_view(group_description description);

    group_description const& description() const { return m_description; }
    void set_description(group_description description);

    /// Records a member's status. A status with a lower term than an earlier status of this member is
    /// ignored.
    void observe(std::size_t member, member_status const& status, monotonic_time asked_at,
                 monotonic_time answered_at);

    /// Records that a request to a member failed.
    void observe_failure(std::size_t member, monotonic_time now);

    /// Records the primary of a term as reported by another VM. Ignored for an older term, or when the
    /// primary of this term is known.
    void record_primary(std::uint64_t term, std::size_t member);

    /// Highest known term.
    std::uint64_t term() const { return m_term; }

    /// Index of the primary of the highest known term; empty while it is unknown.
    std::optional<std::size_t> primary() const { return m_primary; }

    member_view const& member(std::size_t index) const { return m_members[index]; }
    std::size_t size() const { return m_members.size(); }

    /// True when, according to their latest statuses, a majority of the members holds `position` and has not
    /// accepted a later term than that of `position`.
    bool is_held_by_majority(log_position position) const;

    /// True when a later term than `term` is known.
    bool is_term_replaced(std::uint64_t term) const { return m_term > term; }

    /// Latest time such that `applied` contains all commits before it; empty when no sample gives a bound.
    /// Only positions that the primary reported while a majority was at its term are used.
    std::optional<monotonic_time> fresh_as_of(log_position applied) const;

    /// Lowest known position that contains all commits before `time`; empty when no sample is as late as
    /// `time`.
    std::optional<log_position> position_required_for(monotonic_time time) const;

    /// Time, not before `now`, at which the member is expected to have applied `position`.
    monotonic_time expected_apply_time(std::size_t member, log_position position, monotonic_time now) const;

    /// Records that `position` is known, since `now`, to be committed at the primary.
    void record_commit(log_position position, monotonic_time now);

private:
    /// Log position of the primary at a point in time.
    struct position_sample {
        monotonic_time time;
        log_position position;
    };

    void add_position_sample();
    void update_apply_lag(std::size_t member, member_status const& status, monotonic_time asked_at,
                          monotonic_time answered_at);
    std::optional<monotonic_time> first_seen_at(log_position position) const;
    std::optional<monotonic_time> later_position_seen_at(log_position position) const;

    group_description m_description;
    std::vector<member_view> m_members;
    std::uint64_t m_term = 0;
    std::optional<std::size_t> m_primary;
    std::deque<position_sample> m_position_samples; ///< Positions confirmed by a majority, oldest first.
    std::deque<position_sample> m_commits; ///< Times at which committed positions became known, oldest first.
};

} // namespace greengagehitch
