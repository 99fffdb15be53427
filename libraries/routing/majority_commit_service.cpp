#include "routing/majority_commit_service.h"

#include <utility>

namespace greengagehitch {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(400);
constexpr duration probe_period = std::chrono::microseconds(500);

} // namespace

void majority_commit_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_directory->add_observation_hook([this](active_group& group) { complete_waiters(group); });
}

Json::Value majority_commit_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [database, group] : m_waiting) {
        state[database]["waiting_commits"] = Json::UInt64(group.waiters.size());
    }
    return state;
}

void majority_commit_service::wait_for_majority(std::string const& database, log_position position,
                                                monotonic_time deadline, majority_callback callback)
{
    auto* const group = m_directory->find(database);
    VERIFY(group != nullptr);
    if (group->view.is_held_by_majority(position)) {
        callback(majority_result::held);
        return;
    }
    if (group->view.is_term_replaced(position.term)) {
        callback(majority_result::replaced);
        return;
    }
    m_waiting[database].waiters.push_back({position, deadline, std::move(callback)});
    probe_replicas(database);
}

void majority_commit_service::complete_waiters(active_group& group)
{
    auto const found = m_waiting.find(group.name);
    if (found == m_waiting.end()) {
        return;
    }
    auto const now = m_kernel.now();
    std::list<std::pair<majority_callback, majority_result>> completed;
    auto& waiters = found->second.waiters;
    for (auto each = waiters.begin(); each != waiters.end();) {
        auto const is_held = group.view.is_held_by_majority(each->position);
        auto const is_term_replaced = group.view.is_term_replaced(each->position.term);
        if (!is_held && !is_term_replaced && now < each->deadline) {
            ++each;
            continue;
        }
        auto const result = is_held            ? majority_result::held
                            : is_term_replaced ? majority_result::replaced
                                               : majority_result::timed_out;
        completed.emplace_back(std::move(each->callback), result);
        each = waiters.erase(each);
    }
    for (auto const& [callback, result] : completed) {
        callback(result);
    }
}

void majority_commit_service::probe_replicas(std::string const& database)
{
    auto* const group = m_directory->find(database);
    if (group == nullptr) {
        return;
    }
    complete_waiters(*group);
    auto& waiting = m_waiting[database];
    if (waiting.waiters.empty()) {
        return;
    }
    for (std::size_t i = 0; i < group->view.size(); ++i) {
        if (group->view.primary() != i) {
            m_directory->probe(*group, i, probe_timeout);
        }
    }
    if (!std::exchange(waiting.is_probe_scheduled, true)) {
        m_kernel.start_timer(probe_period, [this, database] {
            m_waiting[database].is_probe_scheduled = false;
            probe_replicas(database);
        });
    }
}

} // namespace greengagehitch
