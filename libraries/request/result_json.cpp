#include "request/result_json.h"

#include <cmath>

#include <absl/strings/numbers.h>

#include "base/json.h"
#include "base/try.h"

namespace greengagehitch {

namespace {

/// Converts a field in PostgreSQL's text format to JSON. Numbers that JSON cannot represent stay strings.
Json::Value to_json_value(parameter const& field, std::uint32_t type)
{
    if (!field) {
        return {};
    }
    switch (type) {
    case type_oid::boolean:
        return {*field == "t"};
    case type_oid::int2:
    case type_oid::int4:
    case type_oid::int8: {
        Json::Int64 value = 0;
        return absl::SimpleAtoi(*field, &value) ? Json::Value(value) : Json::Value(*field);
    }
    case type_oid::float4:
    case type_oid::float8: {
        double value = 0;
        auto const is_number = absl::SimpleAtod(*field, &value) && std::isfinite(value);
        return is_number ? Json::Value(value) : Json::Value(*field);
    }
    default:
        return {*field};
    }
}

Json::Value to_caller_json(result_set const& result)
{
    Json::Value encoded(Json::objectValue);
    encoded["columns"] = Json::Value(Json::arrayValue);
    encoded["rows"] = Json::Value(Json::arrayValue);
    encoded["affected_rows"] = Json::Int64(result.affected_rows);
    for (auto const& column : result.columns) {
        encoded["columns"].append(column.name);
    }
    for (auto const& row : result.rows) {
        Json::Value fields(Json::arrayValue);
        for (std::size_t i = 0; i < row.size(); ++i) {
            fields.append(to_json_value(row[i], result.columns[i].type));
        }
        encoded["rows"].append(std::move(fields));
    }
    return encoded;
}

Json::Value to_stored_json(result_set const& result)
{
    Json::Value encoded(Json::objectValue);
    encoded["affected_rows"] = Json::Int64(result.affected_rows);
    encoded["names"] = Json::Value(Json::arrayValue);
    encoded["types"] = Json::Value(Json::arrayValue);
    encoded["rows"] = Json::Value(Json::arrayValue);
    for (auto const& column : result.columns) {
        encoded["names"].append(column.name);
        encoded["types"].append(column.type);
    }
    for (auto const& row : result.rows) {
        Json::Value fields(Json::arrayValue);
        for (auto const& field : row) {
            fields.append(field ? Json::Value(*field) : Json::Value());
        }
        encoded["rows"].append(std::move(fields));
    }
    return encoded;
}

result_set from_stored_json(Json::Value const& encoded)
{
    result_set result;
    result.affected_rows = encoded["affected_rows"].asInt64();
    for (Json::ArrayIndex i = 0; i < encoded["names"].size(); ++i) {
        result.columns.push_back({encoded["names"][i].asString(), encoded["types"][i].asUInt()});
    }
    for (auto const& fields : encoded["rows"]) {
        result_row row;
        for (auto const& field : fields) {
            row.push_back(field.isNull() ? parameter() : parameter(field.asString()));
        }
        result.rows.push_back(std::move(row));
    }
    return result;
}

} // namespace

Json::Value to_caller_json(std::vector<result_set> const& results)
{
    Json::Value encoded(Json::arrayValue);
    for (auto const& result : results) {
        encoded.append(to_caller_json(result));
    }
    return encoded;
}

std::string encode_results(std::vector<result_set> const& results)
{
    Json::Value encoded(Json::arrayValue);
    for (auto const& result : results) {
        encoded.append(to_stored_json(result));
    }
    return to_json_line(encoded);
}

absl::StatusOr<std::vector<result_set>> try_decode_results(std::string const& text)
{
    auto const encoded = TRY(try_parse_json(text));
    std::vector<result_set> results;
    try {
        for (auto const& each : encoded) {
            results.push_back(from_stored_json(each));
        }
    }
    catch (Json::Exception const& exception) {
        return absl::DataLossError(exception.what());
    }
    return results;
}

} // namespace greengagehitch
