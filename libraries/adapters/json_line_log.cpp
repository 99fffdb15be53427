#include "adapters/json_line_log.h"

#include <algorithm>
#include <cerrno>
#include <chrono>

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/core.h>
#include <unistd.h>

#include "base/json.h"
#include "base/utf8.h"

namespace greengagehitch {

namespace {

/// Average rate and largest burst of log lines. They suffice to log each decision of a VM under its usual
/// load.
constexpr double lines_per_second = 200;
constexpr double max_burst_lines = 400;
constexpr std::size_t max_line_size = 32UL * 1024;

} // namespace

json_line_log::json_line_log(std::string vm, log_level min_level)
    : m_vm(std::move(vm)), m_min_level(min_level)
{
    auto const flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    m_state->budget = max_burst_lines;
}

bool json_line_log::consume_line_budget(log_level level) const
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
    auto& state = *m_state;
    auto const elapsed = static_cast<double>(now - state.budget_updated_at_ms) / 1000;
    state.budget = std::min(max_burst_lines, state.budget + std::max(0.0, elapsed) * lines_per_second);
    state.budget_updated_at_ms = now;
    if (state.budget < 1 && level < log_level::warning) {
        return false;
    }
    state.budget -= 1;
    return true;
}

void json_line_log::write(log_record const& record) const
{
    if (record.level < m_min_level) {
        return;
    }
    auto& state = *m_state;
    if (!consume_line_budget(record.level)) {
        ++state.omitted_lines;
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
    if (state.omitted_lines != 0) {
        line["left_out"] = Json::UInt64(state.omitted_lines);
    }
    // Fields hold what callers, members and the store sent.
    auto text = replace_invalid_utf8(to_json_line(line));
    if (text.size() > max_line_size) {
        ++state.omitted_lines;
        return;
    }
    text += '\n';
    auto const bytes = state.unwritten + text;
    auto const written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (written < 0) {
        ++state.omitted_lines;
        return;
    }
    state.omitted_lines = 0;
    state.unwritten = bytes.substr(static_cast<std::size_t>(written));
}

} // namespace greengagehitch
