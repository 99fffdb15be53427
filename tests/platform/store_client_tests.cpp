#include <array>

#include <criterion/criterion.h>

#include "platform/store_client.h"

using namespace greengagehitch;

namespace {

http_response answer_with(std::string body)
{
    http_response answer;
    answer.status = 200;
    answer.body = std::move(body);
    return answer;
}

constexpr std::array malformed_rows{"",
                                    "null",
                                    "[]",
                                    "7",
                                    R"({"rows": 3, "row-version": 1})",
                                    R"({"rows": [3], "row-version": 1})",
                                    R"({"rows": [{"key": {}, "value": []}], "row-version": 1})",
                                    R"({"rows": [], "row-version": [], "now-ms": "x"})"};
constexpr std::array malformed_versions{
    "", "null", "[]", "7", R"({"row-version": "seven"})", R"({"row-version": -1})"};

} // namespace

/// Guards against an answer of another kind that ends the process: an exception left the callback of a write.
Test(store_client, malformed_answers_are_errors_and_throw_nothing)
{
    for (auto const* const body : malformed_rows) {
        cr_assert(!try_parse_rows(answer_with(body)).ok(), "%s", body);
    }
    for (auto const* const body : malformed_versions) {
        cr_assert(!try_parse_written_version(answer_with(body)).ok(), "%s", body);
    }
}

Test(store_client, well_formed_answers_give_their_content)
{
    auto const rows = try_parse_rows(answer_with(
        R"({"rows": [{"key": "a", "value": "YQ==", "row-version": 3}], "row-version": 5, "now-ms": 7})"));
    cr_assert(rows.ok());
    cr_assert(rows->store_version == 5);
    cr_assert(rows->rows.front().value == "a");
    cr_assert(*try_parse_written_version(answer_with(R"({"row-version": 9})")) == 9);
}
