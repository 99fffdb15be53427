#include "allotment/share_ledger.h"

#include <algorithm>

#include "base/verify.h"

namespace greengagehitch {

namespace {

/// Shortest length of a loan. A shorter one would not be worth the cost of its message.
constexpr duration min_loan_length = std::chrono::milliseconds(50);

/// Smallest amount that is lent. Smaller loans would only fragment a share.
constexpr share min_loan_amount = 10;

/// Returns the time for which a lender counts a loan as lent that its borrower uses for `length`.
duration add_lender_margin(duration length)
{
    return length + length / share_ledger::margin_divisor;
}

/// Returns the length of the longest loan that expires, including the margin, before `expires_at`.
duration max_loan_length(monotonic_time expires_at, monotonic_time now)
{
    return (expires_at - now) * share_ledger::margin_divisor / (share_ledger::margin_divisor + 1);
}

} // namespace

share share_ledger::available(monotonic_time now) const
{
    if (!m_cache || now < m_cache->from || now >= m_cache->until) {
        m_cache = compute_availability(now);
    }
    return m_cache->available;
}

share_ledger::cached_availability share_ledger::compute_availability(monotonic_time now) const
{
    std::map<std::optional<loan_key>, share> lent_by_source;
    cached_availability sum{now, monotonic_time::max(), 0};
    for (auto const& [number, each] : m_lent) {
        if (each.expires_at > now) {
            lent_by_source[each.source] += each.amount;
            sum.until = std::min(sum.until, each.expires_at);
        }
    }
    sum.available = std::max<share>(0, m_owned - lent_by_source[std::nullopt]);
    for (auto const& [key, each] : m_borrowed) {
        if (each.expires_at > now) {
            auto const lent = lent_by_source.find(key);
            sum.available +=
                std::max<share>(0, each.amount - (lent == lent_by_source.end() ? 0 : lent->second));
            sum.until = std::min(sum.until, each.expires_at);
        }
    }
    return sum;
}

std::vector<issued_loan> share_ledger::lend(share amount, monotonic_time now, duration length,
                                            std::function<std::uint64_t()> const& next_number)
{
    auto const available_before = available(now);
    std::vector<issued_loan> issued_loans;
    constexpr monotonic_time never = monotonic_time::max();
    lend_from(std::nullopt, unlent_amount(std::nullopt, m_owned, now), never, amount, now, length,
              next_number, issued_loans);
    for (auto const& [key, each] : m_borrowed) {
        lend_from(key, unlent_amount(key, each.amount, now), each.expires_at, amount, now, length,
                  next_number, issued_loans);
    }
    share sum = 0;
    for (auto const& issued : issued_loans) {
        sum += issued.amount;
    }
    m_cache.reset();
    VERIFY(available(now) + sum == available_before);
    return issued_loans;
}

std::optional<issued_loan> share_ledger::prolong(std::uint64_t number, monotonic_time now, duration length)
{
    auto const found = m_lent.find(number);
    if (found == m_lent.end() || found->second.expires_at <= now) {
        return std::nullopt;
    }
    auto& loan = found->second;
    if (loan.source) {
        auto const source = m_borrowed.find(*loan.source);
        if (source == m_borrowed.end()) {
            return std::nullopt;
        }
        length = std::min(length, max_loan_length(source->second.expires_at, now));
    }
    if (length < min_loan_length) {
        return std::nullopt;
    }
    loan.expires_at = std::max(loan.expires_at, now + add_lender_margin(length));
    m_cache.reset();
    return issued_loan{number, loan.amount, length};
}

void share_ledger::borrow(loan_key const& key, share amount, monotonic_time requested_at, duration length)
{
    VERIFY(amount > 0 && amount <= full_share);
    auto& entry = m_borrowed[key];
    entry.amount = amount;
    entry.expires_at = std::max(entry.expires_at, requested_at + length);
    m_cache.reset();
}

std::vector<loan_key> share_ledger::loans_expiring_by(monotonic_time time, monotonic_time now) const
{
    std::vector<loan_key> keys;
    for (auto const& [key, each] : m_borrowed) {
        if (each.expires_at > now && each.expires_at <= time) {
            keys.push_back(key);
        }
    }
    return keys;
}

monotonic_time share_ledger::next_change(monotonic_time time, monotonic_time end) const
{
    available(time);
    return std::min(m_cache->until, end);
}

void share_ledger::remove_expired(monotonic_time now)
{
    auto const is_expired = [now](auto const& entry) { return entry.second.expires_at <= now; };
    std::erase_if(m_lent, is_expired);
    std::erase_if(m_borrowed, is_expired);
}

share share_ledger::lent(monotonic_time now) const
{
    share sum = 0;
    for (auto const& [number, each] : m_lent) {
        sum += each.expires_at > now ? each.amount : 0;
    }
    return sum;
}

share share_ledger::borrowed(monotonic_time now) const
{
    share sum = 0;
    for (auto const& [key, each] : m_borrowed) {
        sum += each.expires_at > now ? each.amount : 0;
    }
    return sum;
}

share share_ledger::unlent_amount(std::optional<loan_key> const& source, share amount,
                                  monotonic_time now) const
{
    for (auto const& [number, each] : m_lent) {
        amount -= each.expires_at > now && each.source == source ? each.amount : 0;
    }
    return std::max<share>(0, amount);
}

void share_ledger::lend_from(std::optional<loan_key> const& source, share unlent, monotonic_time expires_at,
                             share& amount, monotonic_time now, duration length,
                             std::function<std::uint64_t()> const& next_number,
                             std::vector<issued_loan>& issued_loans)
{
    auto const lent = std::min(unlent, amount);
    if (lent < min_loan_amount || expires_at <= now) {
        return;
    }
    auto const bounded =
        expires_at == monotonic_time::max() ? length : std::min(length, max_loan_length(expires_at, now));
    if (bounded < min_loan_length) {
        return;
    }
    auto const number = next_number();
    m_lent[number] = {lent, now + add_lender_margin(bounded), source};
    amount -= lent;
    issued_loans.push_back({number, lent, bounded});
}

} // namespace greengagehitch
