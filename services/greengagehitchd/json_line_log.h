#pragma once

#include <string>

#include "base/log_record.h"

namespace greengagehitch {

/// Writes log records as JSON lines to standard error.
class json_line_log {
public:
    json_line_log(std::string vm, log_level lowest) : m_vm(std::move(vm)), m_lowest(lowest) {}

    void write(log_record const& record) const;

private:
    std::string m_vm;
    log_level m_lowest;
};

} // namespace greengagehitch
