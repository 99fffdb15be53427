#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagehitch::standin {

/// Consistency guarantees whose violations an experiment detects, either at each response or at its end.
enum class violation_kind {
    acknowledged_write_lost,         ///< Acknowledged write that a majority or the primary does not hold.
    duplicated_write,                ///< Write with a request id that was executed more than once.
    read_your_writes,                ///< Read that misses an acknowledged write of its own session.
    stale_read,                      ///< Read of data that is older than its class of work allows.
    executed_write_reported_not_run, ///< Write that was executed, though its refusal reported `not_run`.
    mismatched_answer, ///< Answer that belongs to another request, or second answer to one request.
    unanswered_call,   ///< Call without an answer, at a VM that kept running.
};

/// Number of violations of each kind, with descriptions of the first ones.
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
