#include "brokers/member_queue.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

void member_queue::push(entry added)
{
    auto& queue = m_classes[added.priority];
    auto found = std::find_if(queue.begin(), queue.end(), [&added](auto const& each) {
        return each.client_account == added.client_account;
    });
    if (found == queue.end()) {
        found = queue.insert(queue.end(), account_requests{added.client_account, {}, 0});
    }
    found->entries.push_back(std::move(added));
    ++m_size;
}

std::optional<std::uint64_t> member_queue::take(monotonic_time now,
                                                std::function<start_condition(entry const&)> const& condition)
{
    auto taken = take_aged(now, condition);
    for (auto each = m_classes.begin(); !taken && each != m_classes.end(); ++each) {
        taken = take_from(each->second, condition);
        if (taken) {
            ++m_starts_since_aged;
        }
    }
    if (taken) {
        --m_size;
        std::erase_if(m_classes, [](auto const& each) { return each.second.empty(); });
    }
    return taken;
}

std::optional<std::uint64_t>
member_queue::take_aged(monotonic_time now, std::function<start_condition(entry const&)> const& condition)
{
    if (m_starts_since_aged < starts_per_aged_start || m_classes.size() < 2) {
        return std::nullopt;
    }
    for (auto each = std::next(m_classes.begin()); each != m_classes.end(); ++each) {
        auto const& first = each->second.front().entries.front();
        if (now - first.enqueued_at < (first.start_by - first.enqueued_at) / 2) {
            continue;
        }
        if (auto const taken = take_from(each->second, condition)) {
            m_starts_since_aged = 0;
            return taken;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t>
member_queue::take_from(class_queue& queue, std::function<start_condition(entry const&)> const& condition)
{
    for (auto account = queue.begin(); account != queue.end(); ++account) {
        auto const state = condition(account->entries.front());
        if (state == start_condition::no_connection && account->passes >= max_passes) {
            return std::nullopt;
        }
        if (state != start_condition::ready) {
            continue;
        }
        for (auto passed = queue.begin(); passed != account; ++passed) {
            ++passed->passes;
        }
        auto const id = account->entries.front().id;
        account->entries.pop_front();
        auto served = std::move(*account);
        queue.erase(account);
        if (!served.entries.empty()) {
            served.passes = 0;
            queue.push_back(std::move(served));
        }
        return id;
    }
    return std::nullopt;
}

bool member_queue::remove(std::uint64_t id)
{
    for (auto each = m_classes.begin(); each != m_classes.end(); ++each) {
        auto& queue = each->second;
        for (auto account = queue.begin(); account != queue.end(); ++account) {
            if (std::erase_if(account->entries, [id](auto const& waiting) { return waiting.id == id; }) ==
                0) {
                continue;
            }
            --m_size;
            if (account->entries.empty()) {
                queue.erase(account);
            }
            if (queue.empty()) {
                m_classes.erase(each);
            }
            return true;
        }
    }
    return false;
}

std::vector<std::uint64_t> member_queue::clear()
{
    std::vector<std::uint64_t> ids;
    for (auto const& [priority, queue] : std::exchange(m_classes, {})) {
        for (auto const& account : queue) {
            for (auto const& each : account.entries) {
                ids.push_back(each.id);
            }
        }
    }
    m_size = 0;
    return ids;
}

std::map<int, std::size_t> member_queue::ahead_of(std::string const& client_account, int priority) const
{
    std::map<int, std::size_t> ahead;
    for (auto const& [each, queue] : m_classes) {
        if (each > priority) {
            break;
        }
        std::size_t own = 0;
        for (auto const& account : queue) {
            if (account.client_account == client_account) {
                own = account.entries.size();
            }
        }
        auto& count = ahead[each];
        for (auto const& account : queue) {
            // Each of the other accounts gets one start before each start of this account.
            auto const is_own_class = each == priority;
            count += is_own_class ? std::min(account.entries.size(), own + 1) : account.entries.size();
        }
    }
    return ahead;
}

} // namespace greengagehitch
