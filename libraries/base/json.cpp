#include "base/json.h"

#include <cmath>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>

namespace greengagehitch {

absl::StatusOr<Json::Value> try_parse_json(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowSpecialFloats"] = false;
    builder["strictRoot"] = false;
    builder["stackLimit"] = max_json_depth;
    auto const reader = std::unique_ptr<Json::CharReader>(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return absl::InvalidArgumentError(errors);
        }
    }
    catch (std::exception const& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
    return value;
}

std::optional<std::string> find_string(Json::Value const& object, char const* field)
{
    return object.isObject() && object[field].isString() ? std::optional(object[field].asString())
                                                         : std::nullopt;
}

std::optional<double> find_number(Json::Value const& object, char const* field)
{
    if (!object.isObject() || !object[field].isNumeric() || object[field].isBool()) {
        return std::nullopt;
    }
    auto const value = object[field].asDouble();
    return std::isfinite(value) ? std::optional(value) : std::nullopt;
}

std::optional<std::uint64_t> find_unsigned(Json::Value const& object, char const* field)
{
    return object.isObject() && object[field].isUInt64() ? std::optional(object[field].asUInt64())
                                                         : std::nullopt;
}

std::string to_json_line(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace greengagehitch
