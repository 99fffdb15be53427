#include "json_line_log.h"

#include <chrono>

#include <fmt/chrono.h>
#include <fmt/core.h>

#include "base/json.h"

namespace greengagehitch {

void json_line_log::write(log_record const& record) const
{
    if (record.level < m_lowest) {
        return;
    }
    auto const now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto const milliseconds = now.time_since_epoch().count() % 1000;
    Json::Value line = record.fields.isObject() ? record.fields : Json::Value(Json::objectValue);
    line["time"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                               fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds);
    line["level"] = std::string(find_name(log_level_names, record.level));
    line["vm"] = m_vm;
    line["service"] = record.service;
    line["message"] = record.message;
    fmt::print(stderr, "{}\n", to_json_line(line));
}

} // namespace greengagehitch
