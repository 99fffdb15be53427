#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "adapters/json_line_log.h"
#include "base/json.h"
#include "base/utf8.h"

using namespace greengagehitch;

/// Guards against lines that a reader of UTF-8 refuses: each byte that is no part of a valid sequence is
/// replaced, and everything else stays.
Test(utf8, bytes_outside_valid_sequences_are_replaced)
{
    std::string const mark = "\xef\xbf\xbd";
    for (std::string const& valid :
         {std::string(), std::string("a\0\n\x7f", 4), std::string("\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"),
          std::string("\xed\x9f\xbf\xee\x80\x80\xf4\x8f\xbf\xbf")}) {
        cr_assert(replace_invalid_utf8(valid) == valid, "%s", valid.c_str());
    }
    cr_assert(replace_invalid_utf8("a\xff"
                                   "b") == "a" + mark + "b");
    cr_assert(replace_invalid_utf8("\x80") == mark);
    cr_assert(replace_invalid_utf8("\xc0\xaf") == mark + mark);
    cr_assert(replace_invalid_utf8("\xe0\x80\x80") == mark + mark + mark);
    cr_assert(replace_invalid_utf8("\xed\xa0\x80") == mark + mark + mark);
    cr_assert(replace_invalid_utf8("\xf4\x90\x80\x80") == mark + mark + mark + mark);
    cr_assert(replace_invalid_utf8("\xe2\x82") == mark + mark);
    cr_assert(replace_invalid_utf8("\xc3"
                                   "a\xc3") == mark + "a" + mark);
}

/// Guards against log lines that are no UTF-8 or that a field cuts: ids, reasons and names hold any bytes.
Test(json_line_log, fields_with_any_bytes_make_one_line_of_valid_json)
{
    std::array<int, 2> ends{};
    cr_assert(pipe(ends.data()) == 0);
    auto const output = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    Json::Value fields(Json::objectValue);
    fields["request"] = std::string("a\xff\xc3\r\n\0\"\\b", 9);
    fields["name"] = "\xc3\xa9";
    json_line_log const log("vm\x80", log_level::info);
    log.write({log_level::info, "service", "message", std::move(fields)});
    dup2(output, STDOUT_FILENO);
    std::array<char, 4096> buffer{};
    auto const size = read(ends[0], buffer.data(), buffer.size());
    cr_assert(size > 0);
    std::string const text(buffer.data(), static_cast<std::size_t>(size));
    cr_assert(text.find('\n') == text.size() - 1, "%s", text.c_str());
    cr_assert(replace_invalid_utf8(text) == text, "%s", text.c_str());
    auto const line = try_parse_json(text);
    cr_assert(line.ok(), "%s", text.c_str());
    cr_assert((*line)["request"].asString() == std::string("a\xef\xbf\xbd\xef\xbf\xbd\r\n\0\"\\b", 13));
    cr_assert((*line)["name"].asString() == "\xc3\xa9");
    cr_assert((*line)["vm"].asString() == "vm\xef\xbf\xbd");
}
