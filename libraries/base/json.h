#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <json/value.h>

namespace greengagehitch {

/// Parses one JSON document. Rejects trailing text, comments and repeated keys; a nesting deeper than
/// `max_json_depth` is an error.
absl::StatusOr<Json::Value> try_parse_json(std::string_view text);

/// Writes `value` on one line.
std::string to_json_line(Json::Value const& value);

inline constexpr int max_json_depth = 32;

} // namespace greengagehitch
