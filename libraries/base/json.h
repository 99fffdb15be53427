#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <json/value.h>

namespace greengagehitch {

/// Parses one JSON document. Returns an error for trailing text, comments, duplicate keys, and nesting deeper
/// than `max_json_depth`.
absl::StatusOr<Json::Value> try_parse_json(std::string_view text);

/// Returns `value` as JSON on a single line, without a line break at the end.
std::string to_json_line(Json::Value const& value);

// Return a field of an object; std::nullopt if it is missing or has another type, or if `object` is none.
std::optional<std::string> find_string(Json::Value const& object, char const* field);
std::optional<double> find_number(Json::Value const& object, char const* field);
std::optional<std::uint64_t> find_unsigned(Json::Value const& object, char const* field);

/// Maximum nesting of arrays and objects in a parsed document.
inline constexpr int max_json_depth = 32;

} // namespace greengagehitch
