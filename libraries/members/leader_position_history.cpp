#include "members/leader_position_history.h"

namespace greengagehitch {

namespace {

/// Age above which samples are dropped, since no class of work reads data older than this.
constexpr duration max_sample_age = std::chrono::seconds(10);
/// Minimum time between samples. Samples that are closer together are merged, since they carry nearly the
/// same information.
constexpr duration sample_spacing = std::chrono::milliseconds(20);

} // namespace

void leader_position_history::add(log_position position, monotonic_time sent_at)
{
    // Answers may arrive out of order. An older request adds no information to a newer sample, while a newer
    // request that was answered with a lower position invalidates the higher samples before it.
    while (!m_samples.empty() && m_samples.back().position > position &&
           m_samples.back().sent_at <= sent_at) {
        m_samples.pop_back();
    }
    if (!m_samples.empty() && m_samples.back().sent_at >= sent_at) {
        return;
    }
    if (m_samples.size() > 1 && sent_at - m_samples[m_samples.size() - 2].sent_at < sample_spacing) {
        m_samples.pop_back();
    }
    m_samples.push_back({sent_at, position});
    while (m_samples.size() > 1 && sent_at - m_samples.front().sent_at > max_sample_age) {
        m_samples.pop_front();
    }
}

std::optional<log_position> leader_position_history::position_covering(monotonic_time time) const
{
    for (auto const& each : m_samples) {
        if (each.sent_at >= time) {
            return each.position;
        }
    }
    return std::nullopt;
}

std::optional<monotonic_time> leader_position_history::covered_until(log_position position) const
{
    if (m_samples.empty() || m_samples.back().position <= position) {
        return std::nullopt;
    }
    auto reached = m_samples.front().sent_at - max_sample_age;
    for (auto const& each : m_samples) {
        if (each.position > position) {
            break;
        }
        reached = each.sent_at;
    }
    return reached;
}

std::optional<monotonic_time> leader_position_history::reached_at(log_position position) const
{
    for (auto const& each : m_samples) {
        if (each.position >= position) {
            return each.sent_at;
        }
    }
    return std::nullopt;
}

std::optional<leader_position_history::sample> leader_position_history::newest() const
{
    if (m_samples.empty()) {
        return std::nullopt;
    }
    return m_samples.back();
}

} // namespace greengagehitch
