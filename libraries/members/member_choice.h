#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Reason why a member is not considered for a read; `none` if it is.
enum class exclusion_reason {
    none,
    draining,    ///< The member announced that it will leave.
    excluded,    ///< The statement was tried there already.
    evacuated,   ///< Operators asked to take all work away from the member's availability zone.
    partitioned, ///< The member's availability zone cannot be reached.
    avoided,     ///< The member failed or refused a statement a short time ago.
    failing,     ///< The member failed repeatedly and must answer a probe first.
    grey,        ///< The member failed many of its recent statements; few trials are sent to it.
    lagging,     ///< The member is not expected to hold the required position.
};

inline constexpr std::array exclusion_reason_names{
    enum_name<exclusion_reason>{exclusion_reason::none, "none"},
    enum_name<exclusion_reason>{exclusion_reason::draining, "draining"},
    enum_name<exclusion_reason>{exclusion_reason::excluded, "excluded"},
    enum_name<exclusion_reason>{exclusion_reason::evacuated, "evacuated"},
    enum_name<exclusion_reason>{exclusion_reason::partitioned, "partitioned"},
    enum_name<exclusion_reason>{exclusion_reason::avoided, "avoided"},
    enum_name<exclusion_reason>{exclusion_reason::failing, "failing"},
    enum_name<exclusion_reason>{exclusion_reason::grey, "grey"},
    enum_name<exclusion_reason>{exclusion_reason::lagging, "lagging"},
};

/// What this VM knows about a member when it chooses a reader.
struct read_candidate {
    std::string id;
    bool is_draining = false;
    bool is_excluded = false;
    bool is_evacuated = false;
    bool is_partitioned = false;
    bool is_avoided = false;
    bool must_answer_probe = false;
    bool is_grey = false;
    bool holds_position = true;
    duration latency{};        ///< Usual time from sending a statement to its answer.
    std::size_t in_flight = 0; ///< Statements of this VM at the member that are not yet answered.
    std::size_t slots = 1;     ///< Number of statements that the member executes at a time.
    bool is_in_own_zone = true;
    bool is_leader = false;
    bool is_warming_up = false; ///< The member started a short time ago and serves slowly.
};

/// Judgement of one member in a choice.
struct judged_candidate {
    std::string id;
    exclusion_reason reason = exclusion_reason::none;
    duration expected_finish{}; ///< Expected time until the answer, with the costs of zone and leadership.
};

/// Result of a choice, with the reasons, so that it can be explained.
struct member_choice {
    std::optional<std::size_t> chosen; ///< Index in `candidates`; unset if no member may be used.
    std::vector<judged_candidate> candidates;
};

/// Reason why the candidate may not be used; the first that applies in the order of the enumeration.
exclusion_reason find_exclusion(read_candidate const& candidate);

/// Expected time until the answer of a statement that is sent now.
duration expected_finish(read_candidate const& candidate);

/// Chooses the candidate that is expected to answer first. Has no side effects.
member_choice choose_member(std::vector<read_candidate> const& candidates);

} // namespace greengagehitch
