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

/// Guards against a list that is no longer followed: one row with a field of another type made the whole
/// answer an error, at each read of it.
Test(store_client, row_that_cannot_be_read_is_skipped_and_counted_and_the_others_are_kept)
{
    for (auto const* const odd : {"3", "null", "[]", R"({"key": {}, "value": []})",
                                  R"({"key": "b", "row-version": "x"})", R"({"key": "b", "row-version": -4})",
                                  R"({"key": "b", "row-version": 1e300})", R"({"row-version": 4})"}) {
        auto const rows = try_parse_rows(answer_with(
            std::string(R"({"rows": [)") + odd +
            R"(, {"key": "a", "value": "YQ==", "row-version": 3}], "row-version": 5, "now-ms": 7})"));
        cr_assert(rows.ok(), "%s", odd);
        cr_assert(rows->skipped == 1, "%s", odd);
        cr_assert(rows->rows.size() == 1 && rows->rows.front().value == "a", "%s", odd);
    }
    for (auto const* const value : {"7", "{}", R"("not base64 \u0000")"}) {
        auto const rows =
            try_parse_rows(answer_with(std::string(R"({"rows": [{"key": "a", "value": )") + value +
                                       R"(, "row-version": 3}], "row-version": 5, "now-ms": 7})"));
        cr_assert(rows.ok() && rows->rows.size() == 1, "%s", value);
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

/// Guards against two holders of a lock: a conditional write was carried out after a restore of the store,
/// whose row had the expected version once more, under a fence from before the restore.
Test(store_client, write_that_a_restored_store_answers_is_not_confirmed)
{
    auto era = 1;
    auto const call = [&era](http_client_request const&, http_response_callback const& done) {
        auto answer = answer_with(R"({"row-version": 9})");
        answer.headers["store-era"] = std::to_string(era);
        done(answer);
    };
    store_client client(call, call, std::chrono::seconds(1));
    std::vector<bool> confirmed;
    auto const write = [&] {
        client.write(store_purpose::failover_lock, "table", "key", "value", 8,
                     [&confirmed](absl::StatusOr<std::uint64_t> const& written) {
                         confirmed.push_back(written.ok());
                     });
    };
    write();
    era = 2;
    write();
    write();
    cr_assert((confirmed == std::vector<bool>{true, false, true}));
}
