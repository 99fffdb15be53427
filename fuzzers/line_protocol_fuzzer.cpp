#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/verify.h"

#include "platform/line_protocol.h"

using namespace greengagehitch;
using namespace greengagehitch::line_protocol;

namespace {

constexpr std::string_view message_end = "\r\n";

/// Choices and fields drawn from the fuzzer's data. Draws zeros and empty fields once the data is used up.
class data_source {
public:
    explicit data_source(std::string_view data) : m_data(data) {}

    std::size_t draw_below(std::size_t bound)
    {
        if (m_data.empty()) {
            return 0;
        }
        auto const byte = static_cast<unsigned char>(m_data.front());
        m_data.remove_prefix(1);
        return byte % bound;
    }

    /// Draws a field that may be the last one of a message: any bytes without CR LF.
    std::string draw_last_field()
    {
        auto const size = std::min(draw_below(32), m_data.size());
        std::string field(m_data.substr(0, size));
        m_data.remove_prefix(size);
        for (auto at = field.find(message_end); at != std::string::npos; at = field.find(message_end)) {
            field.erase(at, 1);
        }
        return field;
    }

    /// Draws a field that others may follow: it is not empty and holds no blank.
    std::string draw_word()
    {
        auto word = draw_last_field();
        std::replace(word.begin(), word.end(), ' ', '\n');
        return word.empty() ? "x" : without_message_end(std::move(word));
    }

    std::string draw_text()
    {
        auto text = draw_last_field();
        return text.empty() ? "x" : text;
    }

    std::string_view rest() const { return m_data; }

private:
    static std::string without_message_end(std::string word)
    {
        for (auto at = word.find(message_end); at != std::string::npos; at = word.find(message_end)) {
            word.erase(at, 1);
        }
        return word;
    }

    std::string_view m_data;
};

struct split_bytes {
    std::vector<std::string> messages; ///< Without their line ends.
    std::string rest;
};

/// Splits bytes as the protocol states it, without the code of the product.
split_bytes split_at_message_ends(std::string_view bytes)
{
    split_bytes split;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] == '\n') {
            split.messages.push_back(split.rest);
            split.rest.clear();
            ++i;
        }
        else {
            split.rest.push_back(bytes[i]);
        }
    }
    return split;
}

void read_messages(line_reader& reader, std::vector<std::string>& messages)
{
    while (auto message = reader.next()) {
        messages.push_back(*std::move(message));
    }
}

/// Reads bytes that arrive in packets of the drawn sizes.
std::vector<std::string> read_in_packets(line_reader& reader, std::string_view bytes, data_source& data)
{
    std::vector<std::string> messages;
    while (!bytes.empty()) {
        auto const drawn = data.draw_below(64);
        auto const size = drawn == 0 ? bytes.size() : std::min(drawn, bytes.size());
        reader.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
        // A packet may also arrive before the messages of the last one were read.
        if (data.draw_below(4) != 3) {
            read_messages(reader, messages);
        }
    }
    read_messages(reader, messages);
    return messages;
}

/// Checks that messages end at CR LF only, in whatever packets their bytes arrive. Returns the messages.
std::vector<std::string> check_framing(std::string_view bytes, data_source data)
{
    auto const split = split_at_message_ends(bytes);
    line_reader whole;
    whole.append(bytes);
    std::vector<std::string> messages;
    read_messages(whole, messages);
    VERIFY(messages == split.messages);
    VERIFY(whole.has_rest() == !split.rest.empty());
    VERIFY(!whole.is_too_long());
    line_reader in_packets;
    VERIFY(read_in_packets(in_packets, bytes, data) == split.messages);
    VERIFY(in_packets.has_rest() == !split.rest.empty());
    VERIFY(!in_packets.is_too_long());
    return messages;
}

/// Checks a message whose size is near the limit, with or without its line end, after a short one.
void check_size_limit(data_source data)
{
    auto const has_end = data.draw_below(2) == 0;
    auto const size = max_message_size - 4 + data.draw_below(9);
    auto const filler = std::array{'x', '\n', '\0'}.at(data.draw_below(3));
    std::string message(size - (has_end ? message_end.size() : 0), filler);
    message.back() = data.draw_below(2) == 0 ? '\r' : filler;
    message += has_end ? message_end : "";
    auto const first_packet = std::min(message.size(), max_message_size - 4 + data.draw_below(9));
    line_reader reader;
    std::vector<std::string> messages;
    reader.append("BYE\r\n" + message.substr(0, first_packet));
    if (data.draw_below(2) == 0) {
        read_messages(reader, messages);
    }
    reader.append(std::string_view(message).substr(first_packet));
    read_messages(reader, messages);
    auto const is_too_long = message.size() > max_message_size;
    VERIFY(reader.is_too_long() == is_too_long);
    VERIFY(messages.size() == (has_end && !is_too_long ? 2 : 1));
    VERIFY(!reader.next());
}

void check_caller_message(std::string const& line)
{
    auto const message = parse_caller_message(line);
    if (auto const* const statement = std::get_if<session_statement>(&message)) {
        VERIFY(line == "QUERY " + statement->id + " " + statement->text);
    }
    else if (auto const* const opening = std::get_if<open_message>(&message)) {
        auto const start = "START " + opening->database;
        VERIFY(line == start + " " + opening->key || (line == start && opening->key.empty()));
    }
}

/// Checks that bytes are one message, in whatever packets they arrive. Returns it without its line end.
std::string check_single_message(std::string const& bytes, data_source const& data)
{
    auto const messages = check_framing(bytes, data);
    VERIFY(messages.size() == 1);
    VERIFY(bytes == messages.front() + std::string(message_end));
    return messages.front();
}

std::optional<log_position> draw_position(data_source& data)
{
    if (data.draw_below(2) == 0) {
        return std::nullopt;
    }
    auto const term = data.draw_below(256);
    return log_position{term, data.draw_below(256)};
}

std::string position_text(std::optional<log_position> const& position)
{
    return position ? std::to_string(position->term) + "." + std::to_string(position->position) : "-";
}

/// Returns the text of the statement that a command must be.
std::string statement_text(member_command const& command)
{
    auto const after =
        command.minimum_position ? "AFTER " + position_text(command.minimum_position) + " " : std::string();
    switch (command.kind) {
    case command_kind::begin:
        return after + "BEGIN";
    case command_kind::begin_read:
        return after + "BEGIN READ";
    case command_kind::rollback:
        return "ROLLBACK";
    case command_kind::caller_statement:
        return after + command.text;
    case command_kind::execute:
        return after + "EXECUTE " + command.name + (command.argument.empty() ? "" : " " + command.argument);
    case command_kind::prepare:
        return "PREPARE " + command.name + (command.prepared.is_write ? " WRITE " : " READ ") +
               command.prepared.shape;
    case command_kind::set_value:
        return "SET " + command.name + " " + command.argument;
    case command_kind::reset:
        return "RESET";
    case command_kind::status:
        return "STATUS";
    case command_kind::stop_receiving:
        return "PAUSE " + std::to_string(command.term);
    case command_kind::resume_receiving:
        return "RESUME";
    case command_kind::step_down:
        return "DEMOTE " + std::to_string(command.term);
    }
    return {};
}

/// Checks that the product reads the fields of a command back as it reads those of a caller's statement.
void check_command_fields(member_command const& command, std::string const& message)
{
    auto const parsed = parse_caller_message(message);
    auto const* const statement = std::get_if<session_statement>(&parsed);
    VERIFY(statement != nullptr);
    VERIFY(statement->id == (command.id.empty() ? "-" : command.id));
    if (statement->id == "-" || command.minimum_position) {
        return;
    }
    if (command.kind == command_kind::set_value || command.kind == command_kind::execute) {
        VERIFY(statement->kind ==
               (command.kind == command_kind::execute ? statement_kind::execute : statement_kind::set_value));
        VERIFY(statement->name == command.name);
        VERIFY(statement->argument == command.argument);
    }
    if (command.kind == command_kind::prepare) {
        VERIFY(statement->kind == statement_kind::prepare);
        VERIFY(statement->name == command.name);
        VERIFY(statement->prepared == command.prepared);
    }
}

void check_command(data_source data)
{
    member_command command;
    command.kind =
        static_cast<command_kind>(data.draw_below(static_cast<std::size_t>(command_kind::step_down) + 1));
    command.minimum_position = draw_position(data);
    command.term = data.draw_below(256);
    command.prepared.is_write = data.draw_below(2) == 0;
    command.id = data.draw_below(4) == 0 ? std::string() : data.draw_word();
    command.name = data.draw_word();
    command.argument = data.draw_last_field();
    command.prepared.shape = data.draw_text();
    command.text = data.draw_text();
    auto const message = check_single_message(encode_command(command), data);
    auto const id = command.id.empty() ? std::string("-") : command.id;
    VERIFY(message == "QUERY " + id + " " + statement_text(command));
    check_command_fields(command, message);
}

void check_connection_start(data_source data)
{
    backend_connection_target target;
    auto const has_member = data.draw_below(2) == 0;
    target.group = data.draw_word();
    target.client_account = data.draw_word();
    target.member = has_member ? data.draw_word() : std::string();
    auto const message = check_single_message(encode_connection_start(target), data);
    auto const rest = target.client_account + (has_member ? " " + target.member : "");
    VERIFY(message == "START " + target.group + " " + rest);
    auto const parsed = parse_caller_message(message);
    auto const* const opening = std::get_if<open_message>(&parsed);
    VERIFY(opening != nullptr);
    VERIFY(opening->database == target.group);
    VERIFY(opening->key == rest);
}

/// Checks that the reader of members' answers reads an answer to a caller back, since both have one form.
void check_answer(data_source data)
{
    session_answer answer;
    answer.state = static_cast<transaction_state>(data.draw_below(3));
    answer.position = draw_position(data);
    if (data.draw_below(4) == 0) {
        answer.error = static_cast<session_error>(
            data.draw_below(static_cast<std::size_t>(session_error::malformed) + 1));
        answer.error_text = data.draw_text();
    }
    for (auto rows = data.draw_below(4); rows != 0; --rows) {
        answer.rows.push_back(data.draw_last_field());
    }
    answer.proof = data.draw_last_field();
    auto const messages = check_framing(encode_answer(answer), data);
    VERIFY(messages.size() == (answer.error ? 2 : answer.rows.size() + 2));
    answer_reader reader;
    std::optional<member_answer> decoded;
    for (auto const& message : messages) {
        VERIFY(!decoded);
        decoded = reader.add_line(message);
        VERIFY(!reader.is_broken());
    }
    VERIFY(decoded.has_value());
    VERIFY(decoded->state == answer.state);
    VERIFY(decoded->position == answer.position);
    VERIFY(decoded->error.has_value() == answer.error.has_value());
    if (answer.error) {
        VERIFY(decoded->error_text == answer.error_text);
        VERIFY(decoded->rows.empty());
        return;
    }
    VERIFY(decoded->rows == answer.rows);
    VERIFY(decoded->proof == (answer.proof == "-" ? std::string() : answer.proof));
}

} // namespace

/// Reads arbitrary bytes as messages of callers and as answers of members, and checks that messages end at
/// CR LF only and that what is encoded from legal fields is read as the same fields.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) // NOLINT
{
    std::string_view const bytes(reinterpret_cast<char const*>(data), size); // NOLINT
    data_source source(bytes);
    answer_reader answers;
    for (auto const& message : check_framing(bytes, source)) {
        check_caller_message(message);
        if (!answers.is_broken()) {
            answers.add_line(message);
        }
    }
    check_command(source);
    check_answer(source);
    check_connection_start(source);
    // Messages near the limit take long, so few inputs check them.
    if (source.draw_below(256) == 1 && source.draw_below(16) == 1) {
        check_size_limit(source);
    }
    return 0;
}
