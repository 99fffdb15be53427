#include <criterion/criterion.h>

#include "platform/line_protocol.h"

using namespace greengagehitch;
using namespace greengagehitch::line_protocol;

namespace {

session_statement parse_query(std::string_view line)
{
    auto message = parse_caller_message(line);
    auto const* const statement = std::get_if<session_statement>(&message);
    cr_assert(statement != nullptr);
    return *statement;
}

std::vector<std::string> read_lines(line_reader& reader)
{
    std::vector<std::string> lines;
    while (auto line = reader.next()) {
        lines.push_back(*std::move(line));
    }
    return lines;
}

} // namespace

Test(line_reader, message_in_many_packets_is_one_line)
{
    line_reader reader;
    for (auto const* const part : {"QUE", "RY 1 RE", "AD x\r", "\n"}) {
        reader.append(part);
    }
    cr_assert((read_lines(reader) == std::vector<std::string>{"QUERY 1 READ x"}));
}

Test(line_reader, many_messages_in_one_packet_are_many_lines)
{
    line_reader reader;
    reader.append("START db key\r\nQUERY 1 BEGIN\r\nBYE\r\nrest");
    cr_assert((read_lines(reader) == std::vector<std::string>{"START db key", "QUERY 1 BEGIN", "BYE"}));
    cr_assert(not(reader.is_too_long()));
}

/// Guards against UNASKED and MIXED: a field with a line feed was two messages, and its second part ran as a
/// statement of its own or counted as a part of a member's answer.
Test(line_reader, message_ends_at_cr_lf_only)
{
    std::string const bytes = "QUERY 1 WRITE k ab\nQUERY 2 WRITE z c\r\rd\n\r\r\n\nROW e\r\n\r\n";
    std::vector<std::string> const messages{"QUERY 1 WRITE k ab\nQUERY 2 WRITE z c\r\rd\n\r", "\nROW e", ""};
    line_reader whole;
    whole.append(bytes);
    cr_assert(read_lines(whole) == messages);
    cr_assert(not(whole.has_rest()));
    line_reader in_bytes;
    std::vector<std::string> lines;
    for (auto const byte : bytes) {
        in_bytes.append({&byte, 1});
        for (auto& line : read_lines(in_bytes)) {
            lines.push_back(std::move(line));
        }
    }
    cr_assert(lines == messages);
}

/// Guards against messages over the limit that are served, since only the rest of an incomplete line was
/// measured.
Test(line_reader, complete_line_over_the_size_limit_is_too_long)
{
    std::string const longest = std::string(max_message_size - 2, 'x') + "\r\n";
    line_reader reader;
    reader.append(longest + longest);
    cr_assert(read_lines(reader).size() == 2);
    cr_assert(not(reader.is_too_long()));
    reader.append('x' + longest);
    cr_assert(not(reader.next()));
    cr_assert(reader.is_too_long());
}

Test(line_reader, unterminated_line_exceeds_the_size_limit)
{
    line_reader reader;
    reader.append(std::string(max_message_size, 'x'));
    cr_assert(not(reader.next()));
    cr_assert(not(reader.is_too_long()));
    reader.append("xx");
    cr_assert(not(reader.next()));
    cr_assert(reader.is_too_long());
}

Test(caller_message, start_carries_database_and_key)
{
    auto const message = parse_caller_message("START lepu270 u3f1");
    auto const& opened = std::get<open_message>(message);
    cr_assert(opened.database == "lepu270");
    cr_assert(opened.key == "u3f1");
}

Test(caller_message, statement_kind_follows_from_the_first_words)
{
    cr_assert(parse_query("QUERY 1 READ 1a4").kind == statement_kind::read);
    cr_assert(parse_query("QUERY 1 WRITE 1a4 some data").kind == statement_kind::write);
    cr_assert(parse_query("QUERY 1 BEGIN").kind == statement_kind::begin);
    cr_assert(parse_query("QUERY 1 BEGIN READ").kind == statement_kind::begin_read);
    cr_assert(parse_query("QUERY 1 COMMIT").kind == statement_kind::commit);
    cr_assert(parse_query("QUERY 1 ROLLBACK").kind == statement_kind::rollback);
    auto const set = parse_query("QUERY 1 SET lang ki nya");
    cr_assert(set.kind == statement_kind::set_value);
    cr_assert(set.name == "lang");
    cr_assert(set.argument == "ki nya");
    auto const prepare = parse_query("QUERY 1 PREPARE s1 WRITE q2c");
    cr_assert(prepare.kind == statement_kind::prepare);
    cr_assert((prepare.prepared == prepared_shape{true, "q2c"}));
    auto const execute = parse_query("QUERY 1 EXECUTE s1 1a4 xkq pwn");
    cr_assert(execute.kind == statement_kind::execute);
    cr_assert(execute.argument == "1a4 xkq pwn");
    auto const deallocation = parse_query("QUERY 1 DEALLOC s1");
    cr_assert(deallocation.kind == statement_kind::deallocate);
    cr_assert(deallocation.name == "s1");
}

Test(caller_message, statement_text_is_kept_unchanged)
{
    cr_assert(parse_query("QUERY 1 WRITE 1a4  two  blanks ").text == "WRITE 1a4  two  blanks ");
}

Test(caller_message, unknown_or_incomplete_statement_has_kind_unknown)
{
    for (auto const* const line :
         {"QUERY 1 AFTER 3.1 READ x", "QUERY 1 STATUS", "QUERY 1 PAUSE 9", "QUERY 1 READ", "QUERY 1 WRITE",
          "QUERY 1 BEGIN WRITE", "QUERY 1 COMMIT now", "QUERY 1 PREPARE s1", "QUERY 1 PREPARE s1 BOTH q",
          "QUERY 1 SET", "QUERY 1 EXECUTE", "QUERY 1 DEALLOC", "QUERY 1 read x", "QUERY 1 READ\nx",
          "QUERY 1 BEGIN\n", "QUERY 1 COMMIT\r", "QUERY 1 BEGIN\tREAD"}) {
        cr_assert(parse_query(line).kind == statement_kind::unknown, "%s", line);
    }
}

Test(caller_message, unparsable_line_is_an_invalid_message)
{
    for (auto const line :
         {std::string_view(""), std::string_view("QUERY"), std::string_view("QUERY 1"),
          std::string_view("START"), std::string_view("HELLO there"), std::string_view(" START db key"),
          std::string_view("START\tdb key"), std::string_view("QUERY\n1 READ x"),
          std::string_view("\nQUERY 1 READ x"), std::string_view("BYE\n"), std::string_view("BYE\r"),
          std::string_view("START\0db key", 12)}) {
        auto const message = parse_caller_message(line);
        cr_assert(std::holds_alternative<invalid_message>(message));
    }
}

/// Guards against legal messages that end their session: fields with control characters were refused.
Test(caller_message, fields_hold_any_byte_but_a_line_end)
{
    using namespace std::string_literals;
    auto const odd = "a\nb\rc\td\0e\x01\x7f\xff\xc3"s;
    auto const opened = std::get<open_message>(parse_caller_message("START " + odd + " " + odd + " " + odd));
    cr_assert(opened.database == odd);
    cr_assert(opened.key == odd + " " + odd);
    auto const write = parse_query("QUERY " + odd + " WRITE " + odd + " " + odd);
    cr_assert(write.kind == statement_kind::write);
    cr_assert(write.id == odd);
    cr_assert(write.text == "WRITE " + odd + " " + odd);
    auto const prepare = parse_query("QUERY 1 PREPARE " + odd + " READ " + odd);
    cr_assert(prepare.kind == statement_kind::prepare);
    cr_assert(prepare.name == odd);
    cr_assert((prepare.prepared == prepared_shape{false, odd}));
    auto const set = parse_query("QUERY 1 SET " + odd + " " + odd);
    cr_assert(set.name == odd);
    cr_assert(set.argument == odd);
}

/// Guards against a caller's statement that a member takes for one of the proxy, which has the id "-".
Test(caller_message, id_of_the_proxys_own_statements_is_refused)
{
    cr_assert(parse_query("QUERY - WRITE x y").kind == statement_kind::unknown);
    cr_assert(parse_query("QUERY -- WRITE x y").kind == statement_kind::write);
}

Test(answer, rows_proof_state_and_position_are_written_in_order)
{
    session_answer answer;
    answer.rows = {"qhzk"};
    answer.proof = "7.1f3";
    answer.state = transaction_state::open;
    answer.position = log_position{3, 1209};
    cr_assert(encode_answer(answer) == "ROW qhzk\r\nDONE 7.1f3\r\nREADY T 3.1209\r\n");
}

Test(answer, error_answer_has_no_rows_and_states_the_retry_delay)
{
    session_answer answer;
    answer.error = session_error::busy;
    answer.error_text = "queue is too long";
    answer.rows = {"x"};
    answer.retry_after = std::chrono::milliseconds(250);
    cr_assert(encode_answer(answer) == "ERROR BUSY queue is too long; retry after 250 ms\r\nREADY I -\r\n");
}

Test(command, proxy_commands_have_no_id_and_caller_text_is_unchanged)
{
    member_command begin;
    begin.kind = command_kind::begin_read;
    begin.minimum_position = log_position{3, 7};
    cr_assert(encode_command(begin) == "QUERY - AFTER 3.7 BEGIN READ\r\n");
    member_command read;
    read.id = "5c0e";
    read.text = "READ 1a4";
    cr_assert(encode_command(read) == "QUERY 5c0e READ 1a4\r\n");
    member_command execute;
    execute.kind = command_kind::execute;
    execute.id = "5c0f";
    execute.name = "w_q2c";
    execute.argument = "1a4 data";
    cr_assert(encode_command(execute) == "QUERY 5c0f EXECUTE w_q2c 1a4 data\r\n");
}

Test(answer_reader, lines_up_to_ready_form_one_answer)
{
    answer_reader reader;
    cr_assert(not(reader.add_line("ROW replica 3 3.1209 0 12 2 17")));
    cr_assert(not(reader.add_line("DONE -")));
    auto const answer = reader.add_line("READY I 3.1204");
    cr_assert(answer && answer->is_ok());
    cr_assert(answer->proof.empty());
    cr_assert((answer->replication->received == log_position{3, 1209}));
    cr_assert((answer->position == log_position{3, 1204}));
}

Test(answer_reader, error_codes_map_to_member_errors)
{
    for (auto const& [word, error] :
         {std::pair{"BUSY", member_error::busy}, std::pair{"LAGGING", member_error::lagging},
          std::pair{"READONLY", member_error::read_only}, std::pair{"WRONGNODE", member_error::wrong_member},
          std::pair{"TOOMANY", member_error::too_many_connections},
          std::pair{"NOSTMT", member_error::unknown_prepared}, std::pair{"FAILED", member_error::failed},
          std::pair{"TIMEOUT", member_error::timed_out}, std::pair{"MALFORMED", member_error::malformed},
          std::pair{"NEWCODE", member_error::failed}}) {
        answer_reader reader;
        cr_assert(not(reader.add_line("ROW half")));
        cr_assert(not(reader.add_line(std::string("ERROR ") + word + " text")));
        auto const answer = reader.add_line("READY E -");
        cr_assert(answer && answer->error == error);
        cr_assert(answer->rows.empty());
        cr_assert(answer->state == transaction_state::failed);
    }
}

Test(answer_reader, unexpected_line_breaks_the_reader)
{
    for (auto const* const line :
         {"HELLO", "READY", "READY X -", "", "DONE", "READY I -\n", "READY\nI -", "READY I 3.1\r"}) {
        answer_reader reader;
        reader.add_line("DONE 1");
        cr_assert(not(reader.add_line(line)));
        cr_assert(reader.is_broken(), "%s", line);
    }
}

/// Guards against MIXED: an answer whose DONE line was cut out counted as a success without a proof.
Test(answer_reader, ready_without_a_result_breaks_the_reader)
{
    for (auto const* const row : {"", "ROW half"}) {
        answer_reader reader;
        if (*row != '\0') {
            reader.add_line(row);
        }
        cr_assert(not(reader.add_line("READY I 3.1204")));
        cr_assert(reader.is_broken(), "after '%s'", row);
    }
}

/// Guards against MIXED: lines of two answers that ran into each other, since the first was cut, counted as
/// one answer.
Test(answer_reader, lines_that_ran_into_each_other_break_the_reader)
{
    answer_reader position;
    position.add_line("DONE 7.1f");
    cr_assert(not(position.add_line("READY I 3.12ROW z")));
    cr_assert(position.is_broken());
}
