#include "routing/evidence_service.h"

#include <utility>

namespace greengagehitch {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(400);
constexpr duration pump_period = std::chrono::microseconds(500);

} // namespace

void evidence_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_directory->add_observation_hook([this](active_group& group) { check(group); });
}

Json::Value evidence_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [database, group] : m_waiting) {
        state[database]["waiting_commits"] = Json::UInt64(group.waiters.size());
    }
    return state;
}

void evidence_service::await(std::string const& database, log_position position, monotonic_time deadline,
                             evidence_callback callback)
{
    auto* const group = m_directory->find(database);
    VERIFY(group != nullptr);
    if (group->view.is_held_by_majority(position)) {
        callback(evidence::held);
        return;
    }
    if (group->view.is_replaced(position.term)) {
        callback(evidence::replaced);
        return;
    }
    m_waiting[database].waiters.push_back({position, deadline, std::move(callback)});
    pump(database);
}

void evidence_service::check(active_group& group)
{
    auto const found = m_waiting.find(group.name);
    if (found == m_waiting.end()) {
        return;
    }
    auto const now = m_kernel.now();
    std::list<std::pair<evidence_callback, evidence>> settled;
    auto& waiters = found->second.waiters;
    for (auto each = waiters.begin(); each != waiters.end();) {
        auto const is_held = group.view.is_held_by_majority(each->position);
        auto const is_replaced = group.view.is_replaced(each->position.term);
        if (!is_held && !is_replaced && now < each->deadline) {
            ++each;
            continue;
        }
        auto const result = is_held ? evidence::held : is_replaced ? evidence::replaced : evidence::timed_out;
        settled.emplace_back(std::move(each->callback), result);
        each = waiters.erase(each);
    }
    for (auto const& [callback, result] : settled) {
        callback(result);
    }
}

void evidence_service::pump(std::string const& database)
{
    auto* const group = m_directory->find(database);
    if (group == nullptr) {
        return;
    }
    check(*group);
    auto& waiting = m_waiting[database];
    if (waiting.waiters.empty()) {
        return;
    }
    for (std::size_t i = 0; i < group->view.size(); ++i) {
        if (group->view.primary() != i) {
            m_directory->probe(*group, i, probe_timeout);
        }
    }
    if (!std::exchange(waiting.is_pump_scheduled, true)) {
        m_kernel.start_timer(pump_period, [this, database] {
            m_waiting[database].is_pump_scheduled = false;
            pump(database);
        });
    }
}

} // namespace greengagehitch
