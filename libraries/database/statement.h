#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagehitch {

/// A bound parameter in PostgreSQL's text format; empty for NULL.
using parameter = std::optional<std::string>;

/// One SQL statement with its bound parameters.
struct statement {
    std::string sql;
    std::vector<parameter> parameters;
};

/// Object identifiers of PostgreSQL's types that answers turn into other JSON types than string.
namespace type_oid {
inline constexpr std::uint32_t boolean = 16;
inline constexpr std::uint32_t int8 = 20;
inline constexpr std::uint32_t int2 = 21;
inline constexpr std::uint32_t int4 = 23;
inline constexpr std::uint32_t text = 25;
inline constexpr std::uint32_t float4 = 700;
inline constexpr std::uint32_t float8 = 701;
} // namespace type_oid

struct column {
    std::string name;
    std::uint32_t type = type_oid::text;
};

using result_row = std::vector<parameter>;

/// Answer to one statement. `affected_rows` is 0 for statements that change nothing.
struct result_set {
    std::vector<column> columns;
    std::vector<result_row> rows;
    std::int64_t affected_rows = 0;
};

} // namespace greengagehitch
