#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Token requests of one client account that lenders have not answered, and the lenders that are not asked
/// for a while.
class lender_requests {
public:
    struct request {
        std::string lender;
        std::uint32_t wanted = 0;
        monotonic_time sent_at;
    };

    /// Lenders of an account, as this VM sees them. Names may be equal.
    struct lenders {
        std::string own_name; ///< This VM.
        std::string of_zone;
        std::string of_fleet;
        /// Returns those of the other zones; called only when they are needed.
        std::function<std::vector<std::string>()> of_other_zones;
    };

    /// Counts requests as lost that have not been answered in time, and passes over their lenders for a
    /// while.
    void expire(monotonic_time now);

    bool is_empty() const { return m_requests.empty(); }
    std::size_t unanswered() const { return m_requests.size(); }
    std::size_t paused_lenders() const { return m_pauses.size(); }
    /// Time of the latest request.
    monotonic_time asked_at() const { return m_asked_at; }

    /// Returns the lender to ask: that of the zone; for the zone lender, that of the fleet; and for the fleet
    /// lender, those of the other zones. A lender that does not answer is replaced by the next of this order.
    /// Returns none while all of them are passed over.
    std::optional<std::string> choose_lender(lenders const& lenders) const;

    /// Records a request that is sent now.
    void add(std::uint64_t number, request sent);
    /// Removes and returns the request that `lender` has answered. Returns none for unknown and repeated
    /// answers: they may be meant for an earlier process with this VM's name.
    std::optional<request> take(std::uint64_t number, std::string const& lender);
    /// True when the lender has not answered and is passed over.
    bool is_silent(std::string const& lender) const;
    /// Passes over a lender that had no tokens.
    void pause(std::string const& lender, duration length, monotonic_time now);

private:
    struct lender_pause {
        monotonic_time until;
        bool is_silent = false; ///< True when the lender did not answer.
    };

    std::map<std::uint64_t, request> m_requests;  ///< Keyed by request number.
    std::map<std::string, lender_pause> m_pauses; ///< Keyed by lender.
    monotonic_time m_asked_at;
};

} // namespace greengagehitch
