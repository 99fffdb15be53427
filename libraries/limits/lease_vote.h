#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace greengagehitch {

/// Time for which a VM that has given its vote gives it to no other VM.
constexpr duration vote_length = std::chrono::milliseconds(250);
/// Time for which the receiver counts a vote, from the send time of its request. It is shorter than
/// vote_length, so that a lease has ended before another VM can be given one.
constexpr duration counted_vote_length = std::chrono::milliseconds(220);

/// The vote of this VM on which VM of its zone may use the lender's share of one client account's rate. It is
/// given to one VM at a time.
class lease_vote {
public:
    /// Gives the vote to `candidate` or renews it. Returns whether the candidate may count it.
    ///
    /// A VM that is not the first choice receives the vote only after another VM has had it, since only then
    /// it is known that the first choice does not use the share without a lease. The first request after
    /// another VM had the vote is refused, so that the candidate learns that its tokens may have been used.
    bool request(std::string const& candidate, std::uint64_t number, bool is_first_choice,
                 monotonic_time now);

    /// Ends the vote for `holder`, which has stopped using the share. Releases that are older than the
    /// latest request are ignored.
    void release(std::string const& holder, std::uint64_t number, monotonic_time now);

private:
    std::string m_holder; ///< The VM that has or last had the vote; empty for none.
    std::uint64_t m_number = 0;
    monotonic_time m_given_until;
};

} // namespace greengagehitch
