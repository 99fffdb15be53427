#include "kernel/event_loop.h"

#include <utility>

namespace greengagehitch {

timer_id event_loop::start_timer(monotonic_time due, std::function<void()> callback)
{
    auto const sequence = m_next_sequence++;
    m_entries.emplace(entry_key{due, sequence}, std::move(callback));
    m_due_by_sequence.emplace(sequence, due);
    return timer_id{sequence};
}

void event_loop::cancel_timer(timer_id timer)
{
    auto const sequence = static_cast<std::uint64_t>(timer);
    auto const found = m_due_by_sequence.find(sequence);
    if (found == m_due_by_sequence.end()) {
        return;
    }
    m_entries.erase(entry_key{found->second, sequence});
    m_due_by_sequence.erase(found);
}

std::size_t event_loop::run_due(monotonic_time now)
{
    std::size_t count = 0;
    while (!m_entries.empty() && m_entries.begin()->first.due <= now) {
        run_next({});
        ++count;
    }
    return count;
}

std::optional<monotonic_time> event_loop::run_next(std::function<void(monotonic_time)> const& set_now)
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    auto const first = m_entries.begin();
    auto const key = first->first;
    auto const callback = std::move(first->second);
    m_entries.erase(first);
    m_due_by_sequence.erase(key.sequence);
    if (set_now) {
        set_now(key.due);
    }
    callback();
    return key.due;
}

std::optional<monotonic_time> event_loop::next_due() const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    return m_entries.begin()->first.due;
}

} // namespace greengagehitch
