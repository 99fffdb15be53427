#include "base/json.h"

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
    catch (Json::Exception const& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
    return value;
}

std::string to_json_line(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace greengagehitch
