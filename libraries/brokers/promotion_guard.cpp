#include "brokers/promotion_guard.h"

#include <algorithm>
#include <utility>

#include "base/verify.h"
#include "failover/failover_lock.h"

namespace greengagehitch {

namespace {

/// Time without an answer after which the member may have been away. VMs need longer to order another one.
constexpr duration max_silence = std::chrono::milliseconds(800);
/// Time without a success of a commit after which all replicas may have been stopped.
constexpr duration max_commit_wait = std::chrono::milliseconds(300);
/// Time after a lookup that found an order, or nothing, for which checks fail without another one.
constexpr duration failed_lookup_pause = std::chrono::milliseconds(250);
/// Time after a sign that the member may be replaced within which a takeover that began before may still
/// claim the lock. Reports of a suspicion have expired by then.
constexpr duration settling_time = std::chrono::seconds(3);
/// Time between reports of other VMs from which on they are about another absence.
constexpr duration report_gap = std::chrono::seconds(3);

} // namespace

void promotion_guard::record_answer(monotonic_time opened_at, monotonic_time sent_at)
{
    auto const now = m_kernel.now();
    if (m_presence && now - m_presence->heard_at > max_silence) {
        m_presence.reset();
    }
    if (!m_presence) {
        m_presence = presence{m_next_presence++, sent_at, sent_at, now, false, {}, {}};
        return;
    }
    if (opened_at > m_presence->until) {
        // The connection may belong to a later process.
        return;
    }
    m_presence->until = std::max(m_presence->until, sent_at);
    m_presence->heard_at = now;
}

void promotion_guard::record_absence()
{
    m_presence.reset();
    m_is_lookup_outdated = true;
    record_doubt();
}

void promotion_guard::record_doubt()
{
    if (m_presence) {
        // Commits that are under way need a lookup however late they are answered.
        m_presence->number = m_next_presence++;
    }
    m_unsettled_until = std::max(m_unsettled_until, m_kernel.now() + settling_time);
}

void promotion_guard::retire()
{
    m_unsettled_until = monotonic_time::max();
}

void promotion_guard::record_reported_absence()
{
    auto const now = m_kernel.now();
    auto const last = std::exchange(m_reported_at, now);
    if (!last || now - *last >= report_gap) {
        record_absence();
    }
}

bool promotion_guard::is_clear(monotonic_time opened_at) const
{
    auto const now = m_kernel.now();
    // A success would be withheld, so its commit is not sent.
    auto const is_doubtful = now < m_unsettled_until && m_failed_at;
    return !is_doubtful && m_presence && opened_at <= m_presence->until &&
           now - m_presence->heard_at <= max_silence &&
           (m_presence->is_clear || now - m_presence->since >= order_lapse_time);
}

void promotion_guard::check(monotonic_time opened_at, result_callback done)
{
    if (is_clear(opened_at)) {
        done(true);
        return;
    }
    if (m_failed_at && m_kernel.now() - *m_failed_at < failed_lookup_pause) {
        done(false);
        return;
    }
    auto const number = m_next_check++;
    m_waiting.push_back({number, opened_at, std::move(done)});
    m_kernel.start_timer(max_wait, [weak = weak_from_this(), number] {
        if (auto const guard = weak.lock()) {
            guard->give_up(number);
        }
    });
    if (!m_is_looking) {
        start_lookup();
    }
}

promotion_guard::sent_commit promotion_guard::record_sent_commit()
{
    auto const now = m_kernel.now();
    ++m_unanswered_commits;
    m_commits_wait_since = m_commits_wait_since.value_or(now);
    if (!m_presence) {
        return {now, 0, std::nullopt, now};
    }
    if (m_presence->is_clear) {
        return {now, m_presence->number, m_presence->claim, m_presence->cleared_at};
    }
    // A member that answers for long may have been claimed against meanwhile.
    return {now, m_presence->number, std::nullopt, m_presence->since};
}

void promotion_guard::record_failed_commit()
{
    VERIFY(m_unanswered_commits != 0);
    --m_unanswered_commits;
}

bool promotion_guard::is_prompt(sent_commit const& commit, bool has_waited) const
{
    auto const now = m_kernel.now();
    return !has_waited && now >= m_unsettled_until && m_presence && m_presence->number == commit.presence &&
           now - commit.sent_at <= max_commit_wait;
}

void promotion_guard::check_success(sent_commit const& commit, result_callback done)
{
    VERIFY(m_unanswered_commits != 0);
    auto const now = m_kernel.now();
    auto const has_waited = m_commits_wait_since && now - *m_commits_wait_since > max_commit_wait;
    --m_unanswered_commits;
    m_commits_wait_since = m_unanswered_commits == 0 ? std::nullopt : std::optional(now);
    if (is_prompt(commit, has_waited)) {
        ++m_successes.passed;
        done(true);
        return;
    }
    if (has_waited) {
        // The other commits that waited need a lookup, too.
        record_doubt();
    }
    ++m_successes.looked_up;
    auto const number = m_next_check++;
    m_waiting_successes.push_back({number, commit, now, std::move(done)});
    m_kernel.start_timer(max_success_wait, [weak = weak_from_this(), number] {
        if (auto const guard = weak.lock()) {
            guard->give_up_success(number);
        }
    });
    if (!m_is_looking) {
        start_lookup();
    }
}

void promotion_guard::give_up_success(std::uint64_t number)
{
    auto const found = std::find_if(m_waiting_successes.begin(), m_waiting_successes.end(),
                                    [number](auto const& each) { return each.number == number; });
    if (found == m_waiting_successes.end()) {
        return;
    }
    auto const late = std::move(*found);
    m_waiting_successes.erase(found);
    finish_success(late, false);
}

void promotion_guard::finish_success(waiting_success const& finished, bool is_passed)
{
    m_successes.withheld += is_passed ? 0 : 1;
    finished.done(is_passed);
}

void promotion_guard::give_up(std::uint64_t number)
{
    auto const found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [number](auto const& each) { return each.number == number; });
    if (found == m_waiting.end()) {
        return;
    }
    auto const late = std::move(*found);
    m_waiting.erase(found);
    late.done(false);
}

void promotion_guard::start_lookup()
{
    m_is_looking = true;
    m_is_lookup_outdated = false;
    ++m_lookups;
    m_look_for_orders([weak = weak_from_this(), asked_at = m_kernel.now()](lookup_result const& result) {
        if (auto const guard = weak.lock()) {
            guard->m_is_looking = false;
            guard->handle_result(result, asked_at);
        }
    });
}

void promotion_guard::handle_result(lookup_result const& result, monotonic_time asked_at)
{
    auto const now = m_kernel.now();
    if (!result.is_clear) {
        m_failed_at = now;
    }
    else if (!m_is_lookup_outdated) {
        m_failed_at.reset();
        clear_presence(result, asked_at);
    }
    std::vector<waiting_check> decided;
    std::erase_if(m_waiting, [&](waiting_check& each) {
        // A connection that was opened during the lookup needs another one.
        auto const needs_another = result.is_clear && !is_clear(each.opened_at);
        if (!needs_another) {
            decided.push_back(std::move(each));
        }
        return !needs_another;
    });
    decide_successes(result, asked_at);
    if (!m_is_looking && (!m_waiting.empty() || !m_waiting_successes.empty())) {
        start_lookup();
    }
    for (auto const& each : decided) {
        each.done(is_clear(each.opened_at));
    }
}

void promotion_guard::clear_presence(lookup_result const& result, monotonic_time asked_at)
{
    auto const now = m_kernel.now();
    if (!m_presence || now - m_presence->heard_at > max_silence) {
        m_presence = presence{m_next_presence++, asked_at, asked_at, now, true, asked_at, result.claim};
        return;
    }
    // Commits that are under way stay commits of the same presence.
    m_presence->until = std::max(m_presence->until, asked_at);
    m_presence->is_clear = true;
    m_presence->cleared_at = asked_at;
    m_presence->claim = result.claim;
}

bool promotion_guard::was_claimed_since(sent_commit const& commit, lookup_result const& result,
                                        monotonic_time claimed_at)
{
    if (!result.claim) {
        return false;
    }
    if (commit.claim) {
        return *result.claim != *commit.claim;
    }
    // A claim may be as old as the lock when others can read it first.
    return result.is_claimed_for_other && claimed_at + max_lock_age > commit.cleared_at;
}

void promotion_guard::decide_successes(lookup_result const& result, monotonic_time asked_at)
{
    auto const claimed_at = m_kernel.now() - result.claim_age;
    std::vector<std::pair<waiting_success, bool>> decided;
    std::erase_if(m_waiting_successes, [&](waiting_success& each) {
        if (each.answered_at > asked_at) {
            return false;
        }
        // An order under a claim that was settled since the commit was sent may have been carried out.
        auto const is_passed = result.is_clear && !was_claimed_since(each.commit, result, claimed_at);
        decided.emplace_back(std::move(each), is_passed);
        return true;
    });
    for (auto const& [success, is_passed] : decided) {
        finish_success(success, is_passed);
    }
}

} // namespace greengagehitch
