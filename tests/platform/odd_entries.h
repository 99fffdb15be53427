#pragma once

#include <string>
#include <vector>

namespace greengagehitch {

/// Texts that another writer may leave where a document is expected: no JSON, another type, nesting that a
/// parser cannot follow, texts that are empty, very long, or end a line.
inline std::vector<std::string> odd_documents()
{
    constexpr std::size_t depth = 100'000;
    return {"",
            "null",
            "7",
            "[]",
            "\xff\xfe\x01",
            "{",
            R"("text")",
            std::string(depth, '['),
            R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}",
            std::string(depth, ' ')};
}

/// Values of another type or out of range for a field that is expected to be a text or a number.
inline std::vector<std::string> odd_values()
{
    return {"null",
            "true",
            "[]",
            "{}",
            "-1",
            "1e300",
            "1e400",
            "-1e300",
            "18446744073709551616",
            "1.5",
            "\"\"",
            R"("a\r\nQUERY - STATUS")",
            R"("a b")",
            "\"" + std::string(60'000, 'x') + "\"",
            std::string(5'000, '[') + std::string(5'000, ']')};
}

/// Returns a JSON object, given as names and values, once for each odd value in place of each field.
inline std::vector<std::string>
with_odd_fields(std::vector<std::pair<std::string, std::string>> const& fields)
{
    std::vector<std::string> documents;
    for (std::size_t odd = 0; odd < fields.size(); ++odd) {
        for (auto const& value : odd_values()) {
            std::string text;
            for (std::size_t i = 0; i < fields.size(); ++i) {
                text += (text.empty() ? "\"" : ",\"") + fields[i].first +
                        "\":" + (i == odd ? value : fields[i].second);
            }
            documents.push_back("{" + text + "}");
        }
    }
    return documents;
}

} // namespace greengagehitch
