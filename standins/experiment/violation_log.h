#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagehitch::standin {

/// Promises of the brief that an experiment checks on every event.
enum class invariant {
    acknowledged_write_lost,
    write_doubled,
    read_your_writes,
    stale_read,
    not_run_that_ran,
    foreign_answer,
    call_without_answer,
};

/// Broken promises, with what was seen.
class violation_log {
public:
    void add(invariant kind, std::string what)
    {
        ++m_counts[kind];
        if (m_lines.size() < max_lines) {
            m_lines.push_back(std::move(what));
        }
    }

    std::size_t count(invariant kind) const
    {
        auto const found = m_counts.find(kind);
        return found == m_counts.end() ? 0 : found->second;
    }

    bool is_empty() const { return m_counts.empty(); }
    std::vector<std::string> const& lines() const { return m_lines; }

private:
    static constexpr std::size_t max_lines = 50;

    std::map<invariant, std::size_t> m_counts;
    std::vector<std::string> m_lines;
};

} // namespace greengagehitch::standin
