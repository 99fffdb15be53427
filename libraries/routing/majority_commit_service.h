#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>

#include "kernel/kernel.h"
#include "routing/group_directory.h"

namespace greengagehitch {

/// Result of waiting until a majority of a group's members holds a commit.
enum class majority_result {
    held,     ///< A majority holds the commit at its term.
    replaced, ///< A member has accepted a later term.
    /// The deadline passed before a majority was known to hold the commit or a later term was known.
    timed_out
};

using majority_callback = std::function<void(majority_result)>;

/// Determines whether a majority of a group's members holds a commit at the term of its primary. A claimant
/// of a later term must fence a majority first, and any two majorities share a member, so the claimant
/// reaches a member that holds the commit. No write is acknowledged before a majority is known to hold it.
class majority_commit_service : public service {
public:
    static constexpr std::string_view service_name = "evidence";

    explicit majority_commit_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Runs `callback` once, when a majority holds `position`, when its term was replaced, or when `deadline`
    /// has passed. The callback may run before this function returns.
    void wait_for_majority(std::string const& database, log_position position, monotonic_time deadline,
                           majority_callback callback);

private:
    struct waiter {
        log_position position;
        monotonic_time deadline;
        majority_callback callback;
    };

    struct group_waiters {
        std::list<waiter> waiters;
        bool is_probe_scheduled = false;
    };

    void complete_waiters(active_group& group);
    void probe_replicas(std::string const& database);

    kernel& m_kernel;
    group_directory* m_directory = nullptr;
    std::map<std::string, group_waiters> m_waiting;
};

} // namespace greengagehitch
