#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagehitch {

/// Bound parameter or result field in PostgreSQL's text format; empty for NULL.
using parameter = std::optional<std::string>;

/// One SQL statement with its bound parameters.
struct statement {
    std::string sql;
    std::vector<parameter> parameters;
};

/// Object identifiers of the PostgreSQL types that results convert to JSON types other than string, and of
/// text.
namespace type_oid {
inline constexpr std::uint32_t boolean = 16;
inline constexpr std::uint32_t int8 = 20;
inline constexpr std::uint32_t int2 = 21;
inline constexpr std::uint32_t int4 = 23;
inline constexpr std::uint32_t text = 25;
inline constexpr std::uint32_t float4 = 700;
inline constexpr std::uint32_t float8 = 701;
} // namespace type_oid

/// Name and type of one column of a result.
struct column {
    std::string name;
    std::uint32_t type = type_oid::text;
};

using result_row = std::vector<parameter>;

/// Result of one statement. `affected_rows` is 0 for statements that change no rows.
struct result_set {
    std::vector<column> columns;
    std::vector<result_row> rows;
    std::int64_t affected_rows = 0;
};

} // namespace greengagehitch
