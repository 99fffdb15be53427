#include "request/statement_guard.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <fmt/format.h>

#include "base/digest.h"

namespace greengagehitch {

namespace {

constexpr std::array<std::string_view, 6> allowed_first_words{"select", "insert", "update",
                                                              "delete", "with",   "values"};

/// Names that give access beyond the request's own transaction and client account. The whole text is searched
/// for them, including string literals: after a false match the caller has to pass a bound parameter instead,
/// whereas a missed match would break the isolation between client accounts.
constexpr std::array<std::string_view, 5> forbidden_words{"set_config", "database_group", "greengagehitch",
                                                          "u&\"", "pg_terminate_backend"};

/// Returns the text behind blanks and comments. Where databases differ on the end of a comment, the text from
/// the comment on is returned, which is no allowed statement: some end a line comment at a carriage return,
/// and some nest block comments.
std::string_view skip_space_and_comments(std::string_view sql)
{
    while (true) {
        sql.remove_prefix(std::min(sql.find_first_not_of(" \t\r\n\f\v"), sql.size()));
        if (sql.starts_with("--")) {
            auto const size = std::min(sql.find('\n'), sql.size());
            auto const comment = sql.substr(0, size);
            auto const carriage_return = comment.find('\r');
            if (carriage_return != std::string_view::npos &&
                (carriage_return + 1 != comment.size() || size == sql.size())) {
                return sql;
            }
            sql.remove_prefix(std::min(size + 1, sql.size()));
        }
        else if (sql.starts_with("/*")) {
            auto const end = sql.find("*/", 2);
            if (sql.substr(2, end == std::string_view::npos ? end : end - 1).find("/*") !=
                std::string_view::npos) {
                return sql;
            }
            sql = end == std::string_view::npos ? std::string_view() : sql.substr(end + 2);
        }
        else {
            return sql;
        }
    }
}

} // namespace

std::optional<std::string> find_forbidden(statement const& query)
{
    if (query.sql.find('\0') != std::string::npos) {
        return "statement contains a NUL byte";
    }
    auto const lower = absl::AsciiStrToLower(query.sql);
    auto const text = skip_space_and_comments(lower);
    auto const end = std::find_if(text.begin(), text.end(), [](char each) {
        return !absl::ascii_isalpha(static_cast<unsigned char>(each));
    });
    std::string_view const first_word(text.data(), static_cast<std::size_t>(end - text.begin()));
    if (std::find(allowed_first_words.begin(), allowed_first_words.end(), first_word) ==
        allowed_first_words.end()) {
        return "statement must start with select, insert, update, delete, with or values";
    }
    for (auto const word : forbidden_words) {
        if (absl::StrContains(lower, absl::string_view(word.data(), word.size()))) {
            return fmt::format("statement must not contain '{}'; pass strings as parameters", word);
        }
    }
    return std::nullopt;
}

std::string fingerprint_of(std::string const& class_name, std::vector<statement> const& statements)
{
    // Each part is preceded by its length, so that no two different requests produce the same text.
    auto text = fmt::format("{}:{}", class_name.size(), class_name);
    for (auto const& each : statements) {
        text += fmt::format("s{}:{}", each.sql.size(), each.sql);
        for (auto const& value : each.parameters) {
            text += value ? fmt::format("p{}:{}", value->size(), *value) : "n";
        }
    }
    return to_hex(sha256(text));
}

} // namespace greengagehitch
