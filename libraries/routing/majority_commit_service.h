#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>

#include "kernel/kernel.h"
#include "routing/group_directory.h"

namespace greengagehitch {

/// What became of waiting for a commit to be held by a majority.
enum class majority_result { held, replaced, timed_out };

using majority_callback = std::function<void(majority_result)>;

/// Finds out whether a majority of a group's members holds a commit at the term of its primary. A claimant of
/// a later term must fence a majority first, so it then meets a member that holds the commit. Without this
/// evidence no write is acknowledged.
class majority_commit_service : public service {
public:
    static constexpr std::string_view service_name = "evidence";

    explicit majority_commit_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Calls back once `position` is held by a majority, its term was replaced, or `deadline` has passed.
    void await(std::string const& database, log_position position, monotonic_time deadline,
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
