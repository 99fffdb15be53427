#pragma once

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace greengagehitch {

/// Tokens of one client account that a VM holds: its own, which accrue by its share of the account's rate,
/// and those that it borrowed.
///
/// Own tokens are limited by a capacity. Borrowed tokens are not, so that a VM without a share can serve a
/// burst, but they expire. In any interval t the owners together thus provide at most their total capacity
/// plus the rate x (t + lifetime of a lent token).
class token_balance {
public:
    /// Tokens that leave the balance together.
    struct loan {
        std::uint32_t tokens = 0;
        duration lifetime{}; ///< Time for which the borrower may use them.
    };

    /// Lets tokens accrue from `now` on.
    explicit token_balance(monotonic_time now) : m_refilled_at(now) {}

    /// Sets the tokens per second that accrue from `now` on, and how many of them may be held.
    void set_supply(double rate, double capacity, monotonic_time now);

    /// Sets the own tokens to those that have accrued in `length` by the present supply, if there are fewer.
    void recover(duration length, monotonic_time now);

    /// Sets the time until which own tokens may be used. They accrue also afterwards.
    void set_usable_until(monotonic_time until) { m_usable_until = until; }
    /// Drops the own tokens, which another VM may have used.
    void drop_own(monotonic_time now);

    /// Takes a token if there is one.
    bool try_take(monotonic_time now);
    /// Takes at most `wanted` tokens for a peer, leaving `kept` tokens.
    loan lend(std::uint32_t wanted, double kept, monotonic_time now);
    /// Adds tokens that a peer lent, which may be used before `expires_at`.
    void add_borrowed(std::uint32_t tokens, monotonic_time expires_at);

    /// Returns the number of tokens that can be used now, of which the last may be incomplete.
    double available(monotonic_time now);
    /// Returns the number of tokens, including own ones that may not be used now.
    double held(monotonic_time now);
    /// Returns the time until the balance can hold `tokens` without borrowing; duration::max() for never.
    duration time_until(double tokens, monotonic_time now);

private:
    struct borrowed_tokens {
        std::uint32_t tokens = 0;
        monotonic_time expires_at;
    };

    double borrowed() const;
    /// Adds the tokens that accrued up to `now`, and drops the borrowed ones that have expired.
    void update(monotonic_time now);

    double m_rate = 0;     ///< Tokens per second.
    double m_capacity = 0; ///< Greatest number of own tokens.
    double m_own = 0;
    monotonic_time m_usable_until = monotonic_time::max();
    monotonic_time m_refilled_at;           ///< Time up to which own tokens have been added.
    std::deque<borrowed_tokens> m_borrowed; ///< In the order of their expiry.
};

} // namespace greengagehitch
