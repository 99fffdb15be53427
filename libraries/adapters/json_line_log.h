#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/log_record.h"

namespace greengagehitch {

/// Writes log records as JSON lines to standard output without blocking. A line that does not fit into the
/// pipe, or that exceeds the limit of lines per second, is omitted and counted in the next line.
class json_line_log {
public:
    json_line_log(std::string vm, log_level min_level);

    void write(log_record const& record) const;

private:
    struct state {
        std::string unwritten; ///< Remainder of a line of which the pipe accepted only a part.
        double budget = 0;     ///< Number of lines that may be written now.
        std::int64_t budget_updated_at_ms = 0;
        std::uint64_t omitted_lines = 0;
    };

    bool consume_line_budget(log_level level) const;

    std::string m_vm;
    log_level m_min_level;
    std::shared_ptr<state> m_state = std::make_shared<state>();
};

} // namespace greengagehitch
