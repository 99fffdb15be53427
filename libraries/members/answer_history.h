#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_set>

#include "base/enum_names.h"
#include "kernel/kernel.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Whether an answer of a member belongs to the command that it arrived for.
enum class answer_match {
    accepted,
    /// The command may have been answered so, but the connection has delivered an equal answer before, of
    /// which this one may be a late repetition.
    doubtful,
    repeated,   ///< A repetition of an answer that the connection has delivered before.
    mismatched, ///< No answer to the command, and none that the connection has delivered before.
};

inline constexpr std::array answer_match_names{
    enum_name<answer_match>{answer_match::accepted, "accepted"},
    enum_name<answer_match>{answer_match::doubtful, "doubtful"},
    enum_name<answer_match>{answer_match::repeated, "repeated"},
    enum_name<answer_match>{answer_match::mismatched, "mismatched"},
};

/// Numbers of answers, indexed by answer_match.
using answer_counts = std::array<std::size_t, answer_match_names.size()>;

/// Answers that one connection has delivered. The members' protocol has no field that links an answer to its
/// command, and a member may send an answer a second time, so each answer is compared with its command and
/// with all earlier ones. Proofs of statements are unique; other answers may be equal by chance.
class answer_history {
public:
    /// Compares an answer with the command that is next to be answered. `before` is the state of the
    /// connection's transaction when the member ran the command.
    answer_match match(member_command const& command, transaction_state before,
                       member_answer const& answer) const;

    /// Returns whether the connection has delivered an equal answer before.
    bool contains(member_answer const& answer) const;

    /// Records an answer to a command that was sent at `sent_at`.
    void record(member_answer const& answer, monotonic_time sent_at);

    /// Send time of the command that was first answered so, or `sent_at` for an answer that is not recorded.
    monotonic_time first_sent_at(member_answer const& answer, monotonic_time sent_at) const;

    /// Returns whether no further answers should be recorded, since the history has reached its maximum size.
    bool is_full() const;

private:
    /// Returns whether the first rows are those of an earlier answer that may not have arrived whole.
    bool may_hold_rows_of_another(member_answer const& answer) const;

    std::unordered_set<std::uint64_t> m_proofs;              ///< Digests of proofs.
    std::map<std::uint64_t, monotonic_time> m_other_answers; ///< Send times, keyed by digest of the answer.
    std::unordered_set<std::uint64_t> m_first_rows;          ///< Digests of the first row of each answer.
    std::unordered_set<std::uint64_t> m_row_lists; ///< Digests of all rows of answers with several rows.
};

/// Returns whether a success of the command carries the member's proof.
bool has_proof(command_kind kind);

} // namespace greengagehitch
