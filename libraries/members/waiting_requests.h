#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// What a statement of a caller waits for.
enum class wait_reason {
    leader,             ///< A leader that can be reached.
    confirmed_position, ///< The leader's answer that shows how far the log has
                        ///< come.
    member_answer,      ///< The answer of a member, or a place in its queue.
    next_attempt,       ///< The delay before the next attempt.
};

inline constexpr std::array wait_reason_names{
    enum_name<wait_reason>{wait_reason::leader, "leader"},
    enum_name<wait_reason>{wait_reason::confirmed_position, "confirmed_position"},
    enum_name<wait_reason>{wait_reason::member_answer, "member_answer"},
    enum_name<wait_reason>{wait_reason::next_attempt, "next_attempt"},
};

/// Statements of callers that wait at one group: how many, for what, and how
/// long. Reads no clock.
class waiting_requests {
public:
    /// Adds a statement that arrived at `now`. Returns its number.
    std::uint64_t add(wait_reason reason, monotonic_time now);
    void set_reason(std::uint64_t number, wait_reason reason);
    void remove(std::uint64_t number);

    struct summary {
        std::array<std::size_t, wait_reason_names.size()> counts{}; ///< Indexed by wait_reason.
        duration longest{}; ///< Time since the arrival of the statement that has
                            ///< waited longest.
    };
    summary sum_up(monotonic_time now) const;

private:
    struct request {
        wait_reason reason = wait_reason::leader;
        monotonic_time arrived_at;
    };

    std::map<std::uint64_t, request> m_requests; ///< In order of arrival.
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
