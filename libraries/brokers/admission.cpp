#include "brokers/admission.h"

#include <algorithm>

namespace greengagehitch {

namespace {

constexpr int smoothing_divisor = 16;
/// Waits shorter than this say little about the ratio.
constexpr duration min_expected_wait = std::chrono::milliseconds(2);
constexpr double max_wait_correction = 4;

} // namespace

void service_times::record(int priority, duration value)
{
    m_overall += (value - m_overall) / smoothing_divisor;
    auto const [average, is_new] = m_averages.try_emplace(priority, m_overall);
    average->second += (value - average->second) / smoothing_divisor;
}

duration service_times::expected(int priority) const
{
    auto const found = m_averages.find(priority);
    return found == m_averages.end() ? m_overall : found->second;
}

void wait_corrections::record(int priority, duration expected, duration waited)
{
    if (expected < min_expected_wait) {
        return;
    }
    auto const ratio =
        std::clamp(std::chrono::duration<double>(waited) / std::chrono::duration<double>(expected), 1.0,
                   max_wait_correction);
    auto const factor = m_factors.try_emplace(priority, 1.0).first;
    factor->second += (ratio - factor->second) / smoothing_divisor;
}

double wait_corrections::factor(int priority) const
{
    auto const found = m_factors.find(priority);
    return found == m_factors.end() ? 1.0 : found->second;
}

admission_decision decide_admission(admission_limits const& limits, member_load const& load,
                                    service_times const& times)
{
    admission_decision decision;
    std::size_t waiting = 0;
    duration work{};
    for (auto const& [priority, count] : load.ahead) {
        waiting += count;
        work += times.expected(priority) * static_cast<duration::rep>(count);
    }
    auto const own = times.expected(limits.priority);
    auto const limit = std::max<std::size_t>(1, load.limit);
    if (load.running + waiting >= limit) {
        // One more answer is needed than requests wait ahead, less the places that are free now.
        auto const free = limit - std::min(limit, load.running);
        auto const mean = waiting == 0 ? own : work / static_cast<duration::rep>(waiting);
        decision.queue_wait =
            mean * static_cast<duration::rep>(waiting + 1 - free) / static_cast<duration::rep>(limit);
    }
    auto const queue_wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(decision.queue_wait) * load.wait_correction);
    decision.expected_start = std::max(queue_wait, load.connection_wait);
    decision.expected_finish = decision.expected_start + own;
    if (decision.expected_start > limits.longest_wait) {
        decision.result = queue_wait > limits.longest_wait ? admission_result::queue_too_long
                                                           : admission_result::connection_too_late;
        decision.room_in = decision.expected_start - limits.longest_wait;
    }
    else if (decision.expected_finish > limits.time_limit) {
        decision.result = admission_result::finish_too_late;
        decision.room_in = decision.expected_finish - limits.time_limit;
    }
    return decision;
}

} // namespace greengagehitch
