#include <cstdint>
#include <string_view>

#include "base/verify.h"

#include "platform/line_protocol.h"

using namespace greengagehitch::line_protocol;

/// Parses arbitrary bytes as messages of callers and as answers of database members.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) // NOLINT
{
    std::string_view const bytes(reinterpret_cast<char const*>(data), size); // NOLINT
    line_reader reader;
    answer_reader answers;
    auto const half = size / 2;
    reader.append(bytes.substr(0, half));
    reader.append(bytes.substr(half));
    while (auto const line = reader.next()) {
        auto const message = parse_caller_message(*line);
        if (auto const* const statement = std::get_if<greengagehitch::session_statement>(&message)) {
            VERIFY(statement->text.size() <= line->size());
        }
        if (!answers.is_broken()) {
            answers.add_line(*line);
        }
    }
    return 0;
}
