#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Share of an allotment, in millionths of the full amount. All VMs together never hold more than
/// `full_share`.
using share = std::int64_t;

inline constexpr share full_share = 1'000'000;

/// Identifies a loan by its lender and a number that the lender assigned.
struct loan_key {
    std::string lender;
    std::uint64_t number = 0;
    auto operator<=>(loan_key const&) const = default;
};

/// Loan as it is sent to its borrower.
struct issued_loan {
    std::uint64_t number = 0;
    share amount = 0;
    duration length{}; ///< Time for which the borrower may use the loan, from when it sent its request.
};

/// Accounts for one VM's share of an allotment: the share that it owns by the grant in the platform's table,
/// the loans that it has made to peers, and the loans that it has borrowed. Loans expire by the clock on both
/// sides. The borrower counts from before it sent its request, and the lender from when it lent, with a
/// margin, so that no share is held twice. The available share is computed at the moment of use, so that a VM
/// that was paused cannot use an expired loan.
class share_ledger {
public:
    /// The lender counts a loan as lent beyond its end, for the loan's length divided by this number. The
    /// margin covers clocks that run at slightly different rates.
    static constexpr int margin_divisor = 10;

    share owned() const { return m_owned; }

    /// Sets the granted share. A smaller one takes effect immediately.
    void set_owned(share owned)
    {
        m_owned = owned;
        m_cache.reset();
    }

    /// Returns the share that may be used at `now`.
    share available(monotonic_time now) const;

    /// Lends up to `amount`, first from the owned share, then from borrowed shares. A loan of a borrowed
    /// share expires before that share does. `next_number` returns the number of each new loan.
    std::vector<issued_loan> lend(share amount, monotonic_time now, duration length,
                                  std::function<std::uint64_t()> const& next_number);

    /// Prolongs a loan that has not expired, but not beyond the end of the share that it was lent from.
    /// Returns std::nullopt if the loan has expired.
    std::optional<issued_loan> prolong(std::uint64_t number, monotonic_time now, duration length);

    /// Adds or prolongs a borrowed share that was requested at `requested_at` and lent for `length`.
    void borrow(loan_key const& key, share amount, monotonic_time requested_at, duration length);

    /// Returns the borrowed loans that have not expired at `now` and expire by `time`.
    std::vector<loan_key> loans_expiring_by(monotonic_time time, monotonic_time now) const;

    /// Returns the time of the first change of available() after `time`, but at most `end`.
    monotonic_time next_change(monotonic_time time, monotonic_time end) const;

    /// Removes the loans that have expired by `now`.
    void remove_expired(monotonic_time now);

    /// Returns the number of loans to peers that have not been removed.
    std::size_t loans() const { return m_lent.size(); }

    share lent(monotonic_time now) const;
    share borrowed(monotonic_time now) const;

private:
    struct borrowed_loan {
        share amount = 0;
        monotonic_time expires_at;
    };

    struct lent_loan {
        share amount = 0;
        monotonic_time expires_at;
        std::optional<loan_key> source; ///< Borrowed share that it was lent from; empty for the owned one.
    };

    /// Returns the rest of `amount`, owned or borrowed from `source`, that is not lent to peers.
    share unlent_amount(std::optional<loan_key> const& source, share amount, monotonic_time now) const;
    void lend_from(std::optional<loan_key> const& source, share unlent, monotonic_time expires_at,
                   share& amount, monotonic_time now, duration length,
                   std::function<std::uint64_t()> const& next_number, std::vector<issued_loan>& issued_loans);

    /// Available share, which is constant until the next loan expires.
    struct cached_availability {
        monotonic_time from;
        monotonic_time until;
        share available = 0;
    };

    cached_availability compute_availability(monotonic_time now) const;

    mutable std::optional<cached_availability> m_cache;
    share m_owned = 0;
    std::map<std::uint64_t, lent_loan> m_lent; ///< Keyed by loan number.
    std::map<loan_key, borrowed_loan> m_borrowed;
};

} // namespace greengagehitch
