#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// The right of this VM to use a lender's share of one client account's rate. It lasts while enough electors
/// have given their vote.
class lender_lease {
public:
    /// Sets how many votes the lease needs.
    void set_votes_needed(std::size_t votes) { m_votes_needed = votes; }

    /// Time at which the lease ends unless it is renewed.
    monotonic_time valid_until() const;
    bool is_valid(monotonic_time now) const { return now < valid_until(); }
    /// True when the lease should be requested or renewed now.
    bool is_request_due(monotonic_time now) const;
    /// True while the answers to a request are expected and the lease is not valid.
    bool is_pending(monotonic_time now) const;
    /// Earliest time of the next request while the lease is not valid.
    monotonic_time next_request_at() const;

    /// Records that votes are requested now. `number` is that of the first request; the i-th elector is sent
    /// the number plus i.
    void begin_request(std::uint64_t number, std::vector<std::string> const& electors, monotonic_time now);
    /// Removes and returns the send time of the request that `elector` has answered. Returns none for unknown
    /// and repeated answers.
    std::optional<monotonic_time> take_request(std::uint64_t number, std::string const& elector);

    /// Counts the vote of an elector for a request that was sent at `sent_at`.
    void add_vote(std::string const& elector, monotonic_time sent_at);
    bool has_votes() const { return !m_counted_until.empty(); }
    /// Ends the lease.
    void clear();

private:
    struct vote_request {
        std::string elector;
        monotonic_time sent_at;
    };

    std::size_t m_votes_needed = 1;
    std::map<std::string, monotonic_time> m_counted_until; ///< Keyed by elector.
    std::map<std::uint64_t, vote_request> m_requests;      ///< Keyed by request number.
    std::optional<monotonic_time> m_requested_at;          ///< Time of the latest request.
    std::optional<monotonic_time> m_wanted_since;          ///< First request since the lease was last valid.
};

} // namespace greengagehitch
