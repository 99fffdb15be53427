#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Part of a whole, in millionths. All VMs together never hold more than whole_share.
using share = std::int64_t;

inline constexpr share full_share = 1'000'000;

/// Loan of a part of an allotment, identified by its lender and a number of the lender's.
struct loan_key {
    std::string lender;
    std::uint64_t number = 0;
    auto operator<=>(loan_key const&) const = default;
};

/// Loan as its borrower hears of it.
struct issued_loan {
    std::uint64_t number = 0;
    share amount = 0;
    duration length{};
};

/// One VM's part of an allotment: what it owns by the grant in the platform's table, what it has lent to
/// peers, and what it has borrowed. Loans end by the clock on both sides: the borrower counts from before it
/// asked, the lender from when it gave and with a margin, so that no part is held twice. Everything is
/// computed at the moment of use, so that a VM that was paused cannot use a loan that has ended.
class share_ledger {
public:
    /// Time that the lender waits past the end of a loan, as a part of the loan's length. It covers clocks
    /// that run at slightly different rates.
    static constexpr int margin_divisor = 10;

    share owned() const { return m_owned; }

    /// Changes the grant. A smaller one counts at once.
    void set_owned(share owned)
    {
        m_owned = owned;
        m_cache.reset();
    }

    /// Part that may be used at `now`.
    share available(monotonic_time now) const;

    /// Lends up to `amount`, first of the owned part, then of borrowed parts. A loan of a borrowed part ends
    /// before that part does. `number` gives each new loan its number.
    std::vector<issued_loan> lend(share amount, monotonic_time now, duration length,
                                  std::function<std::uint64_t()> const& number);

    /// Prolongs a loan that has not ended, as far as what it was lent of lasts; nothing when it has ended.
    std::optional<issued_loan> prolong(std::uint64_t number, monotonic_time now, duration length);

    /// Adds or prolongs a part that was asked for at `requested_at` and lent for `length`.
    void borrow(loan_key const& key, share amount, monotonic_time requested_at, duration length);

    /// Loans that end before `time`.
    std::vector<loan_key> loans_expiring_by(monotonic_time time, monotonic_time now) const;

    /// First change of available() after `time`, and no later than `end`.
    monotonic_time next_change(monotonic_time time, monotonic_time end) const;

    /// Forgets what has ended before `now`.
    void remove_expired(monotonic_time now);

    /// Number of loans given and not forgotten.
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
        std::optional<loan_key> source; ///< Borrowed part that it was lent of; empty for the owned part.
    };

    /// What is left of the owned part, or of a borrowed one, after loans.
    share unlent_amount(std::optional<loan_key> const& source, share amount, monotonic_time now) const;
    void lend_from(std::optional<loan_key> const& source, share unlent, monotonic_time expires_at,
                   share& amount, monotonic_time now, duration length,
                   std::function<std::uint64_t()> const& number, std::vector<issued_loan>& issued_loans);

    /// Available part, which is constant between two ends of loans.
    struct cached_availability {
        monotonic_time from;
        monotonic_time until;
        share available = 0;
    };

    cached_availability compute_availability(monotonic_time now) const;

    mutable std::optional<cached_availability> m_cache;
    share m_owned = 0;
    std::map<std::uint64_t, lent_loan> m_lent;
    std::map<loan_key, borrowed_loan> m_borrowed;
};

} // namespace greengagehitch
