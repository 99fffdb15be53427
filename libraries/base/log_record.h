#pragma once

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/enum_names.h"

namespace greengagehitch {

enum class log_level { debug, info, warning, error };

inline constexpr std::array log_level_names{
    enum_name<log_level>{log_level::debug, "debug"},
    enum_name<log_level>{log_level::info, "info"},
    enum_name<log_level>{log_level::warning, "warning"},
    enum_name<log_level>{log_level::error, "error"},
};

/// One structured log entry. The log writer adds the time and the name of the VM.
struct log_record {
    log_level level = log_level::info;
    std::string service;
    std::string message;
    Json::Value fields;
};

using log_sink = std::function<void(log_record const&)>;

} // namespace greengagehitch
