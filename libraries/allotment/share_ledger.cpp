#include "allotment/share_ledger.h"

#include <algorithm>

#include "base/verify.h"

namespace greengagehitch {

share share_ledger::available(monotonic_time now) const
{
    return lendable(now) + borrowed(now);
}

share share_ledger::lendable(monotonic_time now) const
{
    return std::max<share>(0, m_owned - lent(now));
}

void share_ledger::lend(std::uint64_t number, share amount, monotonic_time now, duration length)
{
    VERIFY(amount > 0 && amount <= lendable(now));
    m_lent[number] = {amount, now + length + length / margin_divisor};
}

std::optional<share> share_ledger::prolong_lent(std::uint64_t number, monotonic_time now, duration length)
{
    auto const found = m_lent.find(number);
    if (found == m_lent.end() || found->second.ends <= now) {
        return std::nullopt;
    }
    found->second.ends = std::max(found->second.ends, now + length + length / margin_divisor);
    return found->second.amount;
}

void share_ledger::borrow(loan_key const& key, share amount, monotonic_time asked_at, duration length)
{
    VERIFY(amount > 0 && amount <= whole_share);
    auto& entry = m_borrowed[key];
    entry.amount = amount;
    entry.ends = std::max(entry.ends, asked_at + length);
}

std::vector<loan_key> share_ledger::borrowed_until(monotonic_time time, monotonic_time now) const
{
    std::vector<loan_key> keys;
    for (auto const& [key, each] : m_borrowed) {
        if (each.ends > now && each.ends <= time) {
            keys.push_back(key);
        }
    }
    return keys;
}

monotonic_time share_ledger::next_change(monotonic_time time, monotonic_time end) const
{
    auto next = end;
    auto const consider = [time, &next](auto const& loans) {
        for (auto const& [key, each] : loans) {
            if (each.ends > time) {
                next = std::min(next, each.ends);
            }
        }
    };
    consider(m_lent);
    consider(m_borrowed);
    return next;
}

void share_ledger::forget_ended(monotonic_time now)
{
    auto const has_ended = [now](auto const& entry) { return entry.second.ends <= now; };
    std::erase_if(m_lent, has_ended);
    std::erase_if(m_borrowed, has_ended);
}

} // namespace greengagehitch
