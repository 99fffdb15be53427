#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "database/group_contract.h"
#include "routing/group_description.h"

namespace greengagehitch {

/// Latest status of one member, with when it was asked and answered on this VM's clock.
struct member_observation {
    member_status status;
    monotonic_time asked_at;
    monotonic_time answered_at;
};

/// What this VM knows of one member.
struct member_view {
    std::optional<member_observation> latest;
    /// Time of the newest status question that was answered.
    std::optional<monotonic_time> last_success;
    /// First failure since the last success.
    std::optional<monotonic_time> failing_since;
    /// Estimate of the time from a commit to its being readable at this replica.
    duration apply_lag{};
    /// Smoothed time from a question to its answer.
    duration round_trip{};
};

/// What this VM knows of a database group: terms, positions and how old they are. Time comes from this VM's
/// clock alone; all bounds are conservative.
class group_view {
public:
    explicit group_view(group_description description);

    group_description const& description() const { return m_description; }
    void set_description(group_description description);

    /// Takes in a status. A status of a lower term than the member showed before is ignored.
    void observe(std::size_t member, member_status const& status, monotonic_time asked_at,
                 monotonic_time answered_at);

    /// Takes in that a question to a member failed.
    void observe_failure(std::size_t member, monotonic_time now);

    /// Takes in another VM's word about who is primary of a term.
    void record_primary(std::uint64_t term, std::size_t member);

    /// Highest term known.
    std::uint64_t term() const { return m_term; }

    /// Primary of the highest known term; empty while none is known.
    std::optional<std::size_t> primary() const { return m_primary; }

    member_view const& member(std::size_t index) const { return m_members[index]; }
    std::size_t size() const { return m_members.size(); }

    /// True when a majority of the members holds `position` at the term of `position` and has not accepted a
    /// later term as far as their statuses show.
    bool is_held_by_majority(log_position position) const;

    /// True when a member has accepted a later term than `term`.
    bool is_term_replaced(std::uint64_t term) const { return m_term > term; }

    /// Newest time before which all commits are contained in `applied`; empty when nothing bounds it. Only
    /// positions count that the primary showed while a majority was still at its term.
    std::optional<monotonic_time> fresh_as_of(log_position applied) const;

    /// Lowest position that contains all commits before `time`; empty when nothing is known so late.
    std::optional<log_position> position_required_for(monotonic_time time) const;

    /// Time at which the member is expected to have applied `position`.
    monotonic_time expected_apply_time(std::size_t member, log_position position, monotonic_time now) const;

    /// Notes that `position` is committed at the primary, learnt at `now`.
    void record_commit(log_position position, monotonic_time now);

private:
    /// Place of the primary's log at a time.
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
    std::deque<position_sample> m_position_samples; ///< Backed by a majority.
    std::deque<position_sample> m_commits;          ///< When this VM first learnt of positions.
};

} // namespace greengagehitch
