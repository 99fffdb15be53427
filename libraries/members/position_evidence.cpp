#include "members/position_evidence.h"

namespace greengagehitch {

namespace {

/// Older samples cannot serve any class: no class reads data older than this.
constexpr duration longest_memory = std::chrono::seconds(10);
/// Samples closer together than this say the same.
constexpr duration sample_spacing = std::chrono::milliseconds(20);

} // namespace

void position_evidence::add(log_position position, monotonic_time asked_at)
{
    // Answers may cross: one to an older question that shows a later position says nothing new, and one to a
    // newer question with a lower position corrects what came before.
    while (!m_samples.empty() && m_samples.back().position > position &&
           m_samples.back().asked_at <= asked_at) {
        m_samples.pop_back();
    }
    if (!m_samples.empty() && m_samples.back().asked_at >= asked_at) {
        return;
    }
    if (m_samples.size() > 1 && asked_at - m_samples[m_samples.size() - 2].asked_at < sample_spacing) {
        m_samples.pop_back();
    }
    m_samples.push_back({asked_at, position});
    while (m_samples.size() > 1 && asked_at - m_samples.front().asked_at > longest_memory) {
        m_samples.pop_front();
    }
}

std::optional<log_position> position_evidence::covering(monotonic_time time) const
{
    for (auto const& each : m_samples) {
        if (each.asked_at >= time) {
            return each.position;
        }
    }
    return std::nullopt;
}

std::optional<monotonic_time> position_evidence::covered_at(log_position position) const
{
    if (m_samples.empty() || m_samples.back().position <= position) {
        return std::nullopt;
    }
    auto reached = m_samples.front().asked_at;
    for (auto const& each : m_samples) {
        if (each.position > position) {
            break;
        }
        reached = each.asked_at;
    }
    return reached;
}

std::optional<monotonic_time> position_evidence::reached_at(log_position position) const
{
    for (auto const& each : m_samples) {
        if (each.position >= position) {
            return each.asked_at;
        }
    }
    return std::nullopt;
}

std::optional<position_evidence::sample> position_evidence::newest() const
{
    if (m_samples.empty()) {
        return std::nullopt;
    }
    return m_samples.back();
}

} // namespace greengagehitch
