#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagehitch::standin {

/// Promises of the brief that an experiment checks on every event.
enum class violation_kind {
    acknowledged_write_lost,
    duplicated_write,
    read_your_writes,
    stale_read,
    executed_write_reported_not_run,
    mismatched_answer,
    unanswered_call,
};

/// Broken promises, with what was seen.
class violation_log {
public:
    void add(violation_kind kind, std::string description)
    {
        ++m_counts[kind];
        if (m_lines.size() < max_lines) {
            m_lines.push_back(std::move(description));
        }
    }

    std::size_t count(violation_kind kind) const
    {
        auto const found = m_counts.find(kind);
        return found == m_counts.end() ? 0 : found->second;
    }

    bool is_empty() const { return m_counts.empty(); }
    std::vector<std::string> const& lines() const { return m_lines; }

private:
    static constexpr std::size_t max_lines = 50;

    std::map<violation_kind, std::size_t> m_counts;
    std::vector<std::string> m_lines;
};

} // namespace greengagehitch::standin
