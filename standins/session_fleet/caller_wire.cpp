#include "caller_wire.h"

#include <map>
#include <utility>

namespace greengagehitch::standin {

namespace {

std::optional<session_error> read_error(std::string const& code)
{
    static std::map<std::string, session_error> const codes{
        {"BUSY", session_error::busy},
        {"ABORTED", session_error::aborted},
        {"LAGGING", session_error::lagging},
        {"READONLY", session_error::read_only},
        {"WRONGNODE", session_error::wrong_member},
        {"TOOMANY", session_error::too_many_connections},
        {"FAILED", session_error::failed},
        {"TIMEOUT", session_error::timed_out},
        {"INDOUBT", session_error::in_doubt},
        {"NOAUTH", session_error::unknown_key},
        {"NODB", session_error::unknown_database},
        {"NOSTMT", session_error::unknown_prepared},
        {"TOOBIG", session_error::too_large},
        {"MALFORMED", session_error::malformed},
    };
    auto const found = codes.find(code);
    return found == codes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

caller_wire::caller_wire(virtual_clock& clock, std::function<void(session_answer)> on_answer,
                         std::function<void(std::string const&)> on_unreadable)
    : m_clock(clock), m_on_answer(std::move(on_answer)), m_on_unreadable(std::move(on_unreadable))
{
}

std::vector<line_protocol::caller_message> caller_wire::send(std::string const& message)
{
    auto const bytes = message + "\r\n";
    auto const size_of_first = m_clock.random_below(bytes.size() + 1);
    std::vector<line_protocol::caller_message> read;
    for (auto const& packet : {bytes.substr(0, size_of_first), bytes.substr(size_of_first)}) {
        m_reader.append(packet);
        while (auto const line = m_reader.next()) {
            read.push_back(line_protocol::parse_caller_message(*line));
        }
    }
    return read;
}

void caller_wire::receive(session_answer const& answer)
{
    for (auto const& message : m_answers.add(line_protocol::encode_answer(answer))) {
        handle_message(message);
    }
}

void caller_wire::handle_message(std::string const& message)
{
    auto rest = message;
    auto const word = strict_line_splitter::take_word(rest);
    auto is_readable = false;
    if (word == "ROW" && !m_has_result) {
        m_answer.rows.push_back(rest);
        is_readable = true;
    }
    else if (word == "DONE" && !m_has_result) {
        m_answer.proof = rest == "-" ? std::string() : rest;
        m_has_result = true;
        is_readable = !rest.empty();
    }
    else if (word == "ERROR" && !m_has_result) {
        m_answer.error = read_error(strict_line_splitter::take_word(rest));
        m_answer.error_text = rest;
        m_has_result = true;
        is_readable = m_answer.error.has_value();
    }
    else if (word == "READY" && m_has_result) {
        is_readable = complete(rest);
    }
    if (!is_readable) {
        m_on_unreadable(message);
    }
}

bool caller_wire::complete(std::string fields)
{
    static std::map<std::string, transaction_state> const states{
        {"I", transaction_state::idle}, {"T", transaction_state::open}, {"E", transaction_state::failed}};
    auto const state = states.find(strict_line_splitter::take_word(fields));
    auto const is_position =
        fields == "-" || (!fields.empty() && fields.find_first_not_of("0123456789.") == std::string::npos);
    if (state == states.end() || !is_position) {
        return false;
    }
    m_answer.state = state->second;
    m_has_result = false;
    m_on_answer(std::exchange(m_answer, {}));
    return true;
}

} // namespace greengagehitch::standin
