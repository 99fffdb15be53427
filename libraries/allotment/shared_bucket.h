#pragma once

#include "allotment/share_ledger.h"
#include "base/time.h"

namespace greengagehitch {

/// One VM's share of a token bucket that is divided over the fleet. It fills at the VM's share of the rate
/// and holds at most its share of the burst, so that all VMs together admit at most rate * time + burst. It
/// starts empty, so that a VM that replaces another cannot spend the burst again.
class shared_bucket {
public:
    explicit shared_bucket(monotonic_time now) : m_refilled_at(now) {}

    share_ledger const& ledger() const { return m_ledger; }

    /// Sets the rate (tokens per second) and the burst (tokens) of the fleet as a whole.
    void set_limits(double rate, double burst, monotonic_time now);

    /// Takes `amount` tokens if that many are available, and returns whether it did.
    bool take(double amount, monotonic_time now);

    /// Adds tokens that a peer transferred together with a loan whose share of the burst can hold them.
    void add(double amount, monotonic_time now);

    /// Changes the ledger at `now`, after the bucket was refilled up to `now` by the old share. Returns the
    /// tokens that were dropped because they exceed the new capacity.
    template <typename Change>
    double change_ledger(monotonic_time now, Change change)
    {
        refill(now);
        change(m_ledger);
        return drop_excess(now);
    }

    /// Drops the grant and all tokens, after a pause in which the grant may have been reclaimed.
    void drop_grant(monotonic_time now);

    double tokens(monotonic_time now);
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }

private:
    void refill(monotonic_time now);

    /// Drops the tokens that exceed the capacity, and returns their number.
    double drop_excess(monotonic_time now);

    share_ledger m_ledger;
    double m_rate = 0;  ///< Tokens per second of the whole fleet.
    double m_burst = 0; ///< Tokens of the whole fleet.
    double m_tokens = 0;
    monotonic_time m_refilled_at;
};

} // namespace greengagehitch
