#include <criterion/criterion.h>

#include "members/answer_history.h"

using namespace greengagehitch;

namespace {

member_command make_status_command()
{
    member_command command;
    command.kind = command_kind::status;
    return command;
}

member_answer make_answer(std::vector<std::string> rows)
{
    member_answer answer;
    answer.rows = std::move(rows);
    answer.replication = replication_status{};
    return answer;
}

answer_match match(answer_history const& history, member_answer const& answer)
{
    return history.match(make_status_command(), transaction_state::idle, answer);
}

} // namespace

/// Guards against an answer that is taken for a repetition of another one: the fields of an answer were
/// joined by line feeds, which a field may hold.
Test(answer_history, answers_whose_rows_differ_in_their_bounds_are_not_the_same)
{
    std::vector<std::vector<std::string>> const lists{
        {"a", "b"}, {"a\nb"}, {"a\nb", ""}, {"a\n", "b"},   {"", "a\nb"},
        {},         {""},     {"\n"},       {"1 a", "1 b"}, {"a1 b"},
    };
    answer_history history;
    for (auto const& rows : lists) {
        cr_assert(match(history, make_answer(rows)) == answer_match::accepted);
        history.record(make_answer(rows), {});
        cr_assert(match(history, make_answer(rows)) == answer_match::doubtful);
    }
}

/// Guards against errors that are taken for each other, since their texts hold line ends.
Test(answer_history, errors_whose_texts_differ_in_their_bounds_are_not_the_same)
{
    auto const make_error = [](std::vector<std::string> rows, std::string text) {
        member_answer answer;
        answer.rows = std::move(rows);
        answer.error = member_error::busy;
        answer.error_text = std::move(text);
        return answer;
    };
    answer_history history;
    history.record(make_error({}, "x\n0"), {});
    cr_assert(match(history, make_error({}, "x\n0")) == answer_match::doubtful);
    cr_assert(match(history, make_error({}, "x")) == answer_match::accepted);
    cr_assert(match(history, make_error({"busy"}, "x\n0")) == answer_match::accepted);
}
