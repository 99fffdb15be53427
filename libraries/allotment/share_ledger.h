#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Part of a whole, in millionths. All VMs together never hold more than whole_share.
using share = std::int64_t;

inline constexpr share whole_share = 1'000'000;

/// Loan of a part of an allotment, identified by its lender and a number of the lender's.
struct loan_key {
    std::string lender;
    std::uint64_t number = 0;
    auto operator<=>(loan_key const&) const = default;
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
    void set_owned(share owned) { m_owned = owned; }

    /// Part that may be used at `now`.
    share available(monotonic_time now) const;

    /// Owned part that is not lent at `now`.
    share lendable(monotonic_time now) const;

    /// Subtracts a part that is lent at `now` for `length`. It must be lendable.
    void lend(std::uint64_t number, share amount, monotonic_time now, duration length);

    /// Prolongs a loan that has not ended. Returns its amount; nothing when it has ended.
    std::optional<share> prolong_lent(std::uint64_t number, monotonic_time now, duration length);

    /// Adds or prolongs a part that was asked for at `asked_at` and lent for `length`.
    void borrow(loan_key const& key, share amount, monotonic_time asked_at, duration length);

    /// Loans that end before `time`.
    std::vector<loan_key> borrowed_until(monotonic_time time, monotonic_time now) const;

    /// First change of available() after `time`, and no later than `end`.
    monotonic_time next_change(monotonic_time time, monotonic_time end) const;

    /// Forgets what has ended before `now`.
    void forget_ended(monotonic_time now);

    share lent(monotonic_time now) const { return sum_at(m_lent, now); }
    share borrowed(monotonic_time now) const { return sum_at(m_borrowed, now); }

private:
    struct loan {
        share amount = 0;
        monotonic_time ends;
    };

    template <typename Key>
    static share sum_at(std::map<Key, loan> const& loans, monotonic_time now)
    {
        share sum = 0;
        for (auto const& [key, each] : loans) {
            sum += each.ends > now ? each.amount : 0;
        }
        return sum;
    }

    share m_owned = 0;
    std::map<std::uint64_t, loan> m_lent;
    std::map<loan_key, loan> m_borrowed;
};

} // namespace greengagehitch
