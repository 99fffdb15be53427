#pragma once

#include "allotment/share_ledger.h"
#include "base/time.h"

namespace greengagehitch {

/// One VM's part of a token bucket that the whole fleet shares. It fills by the VM's share of the rate and
/// holds at most its share of the burst, so that all VMs together admit at most rate x time + burst. It
/// starts empty: a VM that replaces another cannot spend the burst again.
class shared_bucket {
public:
    explicit shared_bucket(monotonic_time now) : m_refilled_at(now) {}

    share_ledger const& ledger() const { return m_ledger; }

    /// Sets rate (in a second) and burst of the whole fleet.
    void set_limits(double rate, double burst, monotonic_time now);

    /// Takes `amount` tokens if there are as many.
    bool take(double amount, monotonic_time now);

    /// Adds tokens that a peer gave together with a loan that has room for them.
    void add(double amount, monotonic_time now);

    /// Changes the ledger at `now`, after the time before was counted by the old shares. Returns the tokens
    /// that no longer have room.
    template <typename Change>
    double change_ledger(monotonic_time now, Change change)
    {
        refill(now);
        change(m_ledger);
        return drop_excess(now);
    }

    /// Forgets the grant and the tokens that came of it, after a pause in which it may have been taken back.
    void drop_grant(monotonic_time now);

    double tokens(monotonic_time now);
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }

private:
    void refill(monotonic_time now);
    double drop_excess(monotonic_time now);

    share_ledger m_ledger;
    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    monotonic_time m_refilled_at;
};

} // namespace greengagehitch
