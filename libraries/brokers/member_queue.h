#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Whether a waiting request could start at this moment.
enum class start_condition {
    ready,         ///< It could be sent, or its handshake could begin.
    not_now,       ///< It has to wait, and others need not wait for it.
    no_connection, ///< It needs a connection that other accounts hold.
};

/// Requests that wait for a slot of one member. Requests of open transactions come first, then the classes in
/// the order of their priority. A lower class is bounded in its wait: it gets one start in
/// `starts_per_aged_start` once its first request has used up half of its time to start. Within a class, the
/// accounts take turns, and each account's requests keep their order. A request that cannot start yet keeps
/// its turn and may be passed `max_passes` times by others; if it lacks a connection, no request of its class
/// that needs one of the connections is taken before it after that.
class member_queue {
public:
    /// Priority of requests that belong to an open transaction, above all classes.
    static constexpr int transaction_priority = -1;
    static constexpr std::size_t starts_per_aged_start = 8;
    static constexpr std::size_t max_passes = 16;

    struct entry {
        std::uint64_t id = 0;
        std::string client_account;
        int priority = 0; ///< Lower values start first.
        monotonic_time enqueued_at;
        monotonic_time start_by; ///< Time after which the request must not start any more.
    };

    void push(entry added);

    /// Removes and returns the id of the request that starts next; std::nullopt if none can start.
    std::optional<std::uint64_t> take(monotonic_time now,
                                      std::function<start_condition(entry const&)> const& condition);

    /// Removes the request. Returns false if it does not wait.
    bool remove(std::uint64_t id);

    /// Removes all requests and returns their ids.
    std::vector<std::uint64_t> clear();

    /// Returns the number of requests that are expected to start before a new one of the account and
    /// priority, by the priority of the class that they wait in.
    std::map<int, std::size_t> ahead_of(std::string const& client_account, int priority) const;

    std::size_t size() const { return m_size; }
    bool is_empty() const { return m_size == 0; }

private:
    struct account_requests {
        std::string client_account;
        std::deque<entry> entries;
        std::size_t passes = 0; ///< Number of requests of other accounts that started in its turn.
    };
    /// Accounts with waiting requests of one class, in the order of their turns.
    using class_queue = std::deque<account_requests>;

    std::optional<std::uint64_t> take_from(class_queue& queue,
                                           std::function<start_condition(entry const&)> const& condition);
    std::optional<std::uint64_t> take_aged(monotonic_time now,
                                           std::function<start_condition(entry const&)> const& condition);

    std::map<int, class_queue> m_classes; ///< Keyed by priority; no class is empty.
    std::size_t m_size = 0;
    std::size_t m_starts_since_aged = 0;
};

} // namespace greengagehitch
