#include "brokers/promotion_guard.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Time without an answer after which the member may have been away. VMs need longer to find that a leader is
/// lost.
constexpr duration max_silence = std::chrono::milliseconds(800);
/// Time after a lookup that found an order, or nothing, for which checks fail without another one.
constexpr duration failed_lookup_pause = std::chrono::milliseconds(250);
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
        m_presence = presence{sent_at, sent_at, now, false};
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
    return m_presence && opened_at <= m_presence->until && now - m_presence->heard_at <= max_silence &&
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
    m_look_for_orders([weak = weak_from_this(), asked_at = m_kernel.now()](bool is_clear) {
        if (auto const guard = weak.lock()) {
            guard->m_is_looking = false;
            guard->handle_result(is_clear, asked_at);
        }
    });
}

void promotion_guard::handle_result(bool is_clear, monotonic_time asked_at)
{
    auto const now = m_kernel.now();
    if (!is_clear) {
        m_failed_at = now;
    }
    else if (!m_is_lookup_outdated) {
        m_failed_at.reset();
        m_presence = presence{asked_at, asked_at, now, true};
    }
    std::vector<waiting_check> decided;
    std::erase_if(m_waiting, [&](waiting_check& each) {
        // A connection that was opened during the lookup needs another one.
        auto const needs_another = is_clear && !this->is_clear(each.opened_at);
        if (!needs_another) {
            decided.push_back(std::move(each));
        }
        return !needs_another;
    });
    if (!m_waiting.empty()) {
        start_lookup();
    }
    for (auto const& each : decided) {
        each.done(this->is_clear(each.opened_at));
    }
}

} // namespace greengagehitch
