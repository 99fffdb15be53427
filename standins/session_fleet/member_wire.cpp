#include "member_wire.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "platform/line_protocol.h"
#include "strict_line_splitter.h"

namespace greengagehitch::standin {

namespace {

constexpr std::array error_codes{
    std::pair{member_error::busy, "BUSY"},
    std::pair{member_error::lagging, "LAGGING"},
    std::pair{member_error::read_only, "READONLY"},
    std::pair{member_error::wrong_member, "WRONGNODE"},
    std::pair{member_error::too_many_connections, "TOOMANY"},
    std::pair{member_error::unknown_prepared, "NOSTMT"},
    std::pair{member_error::failed, "FAILED"},
    std::pair{member_error::timed_out, "TIMEOUT"},
    std::pair{member_error::malformed, "MALFORMED"},
};

std::string position_text(std::optional<log_position> const& position)
{
    return position ? fmt::format("{}.{}", position->term, position->position) : "-";
}

std::string ready_message(member_answer const& answer)
{
    auto const* const state = answer.state == transaction_state::idle   ? "I"
                              : answer.state == transaction_state::open ? "T"
                                                                        : "E";
    return fmt::format("READY {} {}\r\n", state, position_text(answer.position));
}

/// Returns the messages of an answer, or no value for an error that no member sends.
std::optional<std::string> answer_messages(member_answer const& answer)
{
    if (answer.is_handshake) {
        return ready_message(answer);
    }
    if (answer.error) {
        for (auto const& [error, code] : error_codes) {
            if (error == *answer.error) {
                return fmt::format("ERROR {} {}\r\n", code, answer.error_text) + ready_message(answer);
            }
        }
        return std::nullopt;
    }
    std::string bytes;
    for (auto const& row : answer.rows) {
        bytes += "ROW " + row + "\r\n";
    }
    if (auto const& status = answer.replication) {
        bytes += fmt::format("ROW {} {} {} {} 0 0 1\r\n",
                             status->role == member_role::primary ? "primary" : "replica", status->term,
                             position_text(status->received), status->stopped_at_term);
    }
    return bytes + "DONE " + (answer.proof.empty() ? "-" : answer.proof) + "\r\n" + ready_message(answer);
}

std::optional<std::uint64_t> read_number(std::string const& text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc{} && result.ptr == end ? std::optional(number) : std::nullopt;
}

std::optional<log_position> read_position(std::string const& text)
{
    auto const dot = text.find('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    auto const term = read_number(text.substr(0, dot));
    auto const position = read_number(text.substr(dot + 1));
    return term && position ? std::optional(log_position{*term, *position}) : std::nullopt;
}

std::optional<member_command> read_order(member_command command, command_kind kind, std::string const& text)
{
    auto const term = read_number(text);
    if (!term) {
        return std::nullopt;
    }
    command.kind = kind;
    command.term = *term;
    return command;
}

/// Reads the text of a statement into a command that has its id and its minimum position.
std::optional<member_command> read_text(member_command command, std::string const& text)
{
    static std::map<std::string, command_kind> const whole_texts{
        {"BEGIN", command_kind::begin},       {"BEGIN READ", command_kind::begin_read},
        {"ROLLBACK", command_kind::rollback}, {"RESET", command_kind::reset},
        {"STATUS", command_kind::status},     {"RESUME", command_kind::resume_receiving},
    };
    if (auto const found = whole_texts.find(text); found != whole_texts.end()) {
        command.kind = found->second;
        return command;
    }
    auto rest = text;
    auto const verb = strict_line_splitter::take_word(rest);
    if (text == "COMMIT" || ((verb == "READ" || verb == "WRITE") && !rest.empty())) {
        command.text = text;
        return command;
    }
    if (verb == "PAUSE" || verb == "DEMOTE") {
        return read_order(std::move(command),
                          verb == "PAUSE" ? command_kind::stop_receiving : command_kind::step_down, rest);
    }
    command.name = strict_line_splitter::take_word(rest);
    if (command.name.empty()) {
        return std::nullopt;
    }
    if (verb == "SET" || verb == "EXECUTE") {
        command.kind = verb == "SET" ? command_kind::set_value : command_kind::execute;
        command.argument = rest;
        return command;
    }
    auto const access = strict_line_splitter::take_word(rest);
    if (verb != "PREPARE" || (access != "READ" && access != "WRITE") || rest.empty()) {
        return std::nullopt;
    }
    command.kind = command_kind::prepare;
    command.prepared = {access == "WRITE", rest};
    return command;
}

std::optional<member_command> read_command(std::string message)
{
    if (strict_line_splitter::take_word(message) != "QUERY") {
        return std::nullopt;
    }
    member_command command;
    command.id = strict_line_splitter::take_word(message);
    if (command.id.empty() || message.empty()) {
        return std::nullopt;
    }
    if (command.id == "-") {
        command.id.clear();
    }
    if (message.starts_with("AFTER ")) {
        strict_line_splitter::take_word(message);
        command.minimum_position = read_position(strict_line_splitter::take_word(message));
        if (!command.minimum_position) {
            return std::nullopt;
        }
    }
    return read_text(std::move(command), message);
}

} // namespace

struct member_wire::connection {
    backend_connection_id id = backend_connection_id::none;
    backend_connection_events events;
    strict_line_splitter commands;
    line_protocol::line_reader lines;
    line_protocol::answer_reader answers;
    std::string handshake_answer;
    bool is_open = false;
    bool is_closed = false;
};

member_wire::member_wire(virtual_clock& clock, backend_connection_hooks members,
                         std::function<void(std::string const&)> on_unreadable)
    : m_clock(clock), m_members(std::move(members)), m_on_unreadable(std::move(on_unreadable))
{
}

backend_connection_hooks member_wire::hooks()
{
    return {
        [self = shared_from_this()](backend_connection_target const& target,
                                    backend_connection_events events) {
            return self->open(target, std::move(events));
        },
        [self = shared_from_this()](backend_connection_id id, std::vector<member_command> const& commands) {
            self->send(id, commands);
        },
        [self = shared_from_this()](backend_connection_id id) { self->close(id); }};
}

backend_connection_id member_wire::open(backend_connection_target const& target,
                                        backend_connection_events events)
{
    auto const added = std::make_shared<connection>();
    added->events = std::move(events);
    auto seen = target;
    auto const messages = added->commands.add(line_protocol::encode_connection_start(target));
    auto rest = messages.empty() ? std::string() : messages.front();
    auto const is_start = strict_line_splitter::take_word(rest) == "START";
    seen.group = strict_line_splitter::take_word(rest);
    seen.client_account = strict_line_splitter::take_word(rest);
    seen.member = rest;
    for (std::size_t i = is_start ? 1 : 0; i < messages.size(); ++i) {
        m_on_unreadable(messages[i]);
    }
    // A member answers once the VM may have ended, and with it the wire.
    auto const weak = weak_from_this();
    backend_connection_events member_events;
    member_events.opened = [weak, added](member_answer const& answer) {
        if (auto const self = weak.lock()) {
            self->handle_opened(added, answer);
        }
    };
    member_events.answered = [weak, added](member_answer const& answer) {
        if (auto const self = weak.lock()) {
            self->deliver(added, answer_messages(answer).value_or("ERROR unknown\r\n"));
        }
    };
    member_events.lost = [weak, added](member_error error) {
        if (auto const self = weak.lock(); self && !added->is_closed) {
            self->m_connections.erase(added->id);
            added->is_closed = true;
            added->events.lost(error);
        }
    };
    added->id = m_members.open(seen, std::move(member_events));
    m_connections[added->id] = added;
    return added->id;
}

void member_wire::send(backend_connection_id id, std::vector<member_command> const& commands)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto const to = found->second;
    std::string bytes;
    for (auto const& command : commands) {
        bytes += line_protocol::encode_command(command);
    }
    std::vector<member_command> read;
    auto is_readable = true;
    for (auto const& message : to->commands.add(bytes)) {
        auto command = read_command(message);
        if (!command) {
            m_on_unreadable(message);
            is_readable = false;
            break;
        }
        read.push_back(*std::move(command));
    }
    if (!read.empty()) {
        m_members.send(id, read);
    }
    if (!is_readable) {
        m_clock.start_timer(duration::zero(), [weak = weak_from_this(), to] {
            if (auto const self = weak.lock()) {
                self->fail(to);
            }
        });
    }
}

void member_wire::close(backend_connection_id id)
{
    auto const found = m_connections.find(id);
    if (found != m_connections.end()) {
        found->second->is_closed = true;
        m_connections.erase(found);
    }
    m_members.close(id);
}

void member_wire::handle_opened(connection_pointer const& to, member_answer const& answer)
{
    if (to->is_closed) {
        return;
    }
    if (answer.is_ok()) {
        deliver(to, ready_message(answer));
        return;
    }
    auto const bytes = answer_messages(answer);
    if (!bytes) {
        // The machine of the member refuses the connection, so no byte is exchanged.
        to->events.opened(answer);
        return;
    }
    // A member that refuses a connection sends no READY message.
    deliver(to, bytes->substr(0, bytes->rfind("READY ")));
}

void member_wire::deliver(connection_pointer const& to, std::string const& bytes)
{
    auto const size_of_first = m_clock.random_below(bytes.size() + 1);
    for (auto const& packet : {bytes.substr(0, size_of_first), bytes.substr(size_of_first)}) {
        to->lines.append(packet);
        while (!to->is_closed) {
            auto const line = to->lines.next();
            if (!line) {
                break;
            }
            handle_line(to, *line);
        }
        if (!to->is_closed && to->lines.is_too_long()) {
            fail(to);
        }
        auto const has_begun = to->answers.has_begun() || to->lines.has_rest();
        if (!to->is_closed && to->is_open && has_begun && to->events.began_answer) {
            to->events.began_answer();
        }
    }
}

void member_wire::handle_line(connection_pointer const& to, std::string const& line)
{
    if (to->is_open && !to->answers.has_begun() && line == to->handshake_answer) {
        member_answer repeated;
        repeated.is_handshake = true;
        to->events.answered(std::move(repeated));
        return;
    }
    auto answer = to->is_open ? to->answers.add_line(line) : to->answers.add_handshake_line(line);
    if (to->answers.is_broken()) {
        fail(to);
        return;
    }
    if (!to->is_open && !answer && line.starts_with("ERROR ")) {
        answer = to->answers.add_handshake_line("READY I -");
        to->events.opened(*std::move(answer));
        return;
    }
    if (!answer) {
        return;
    }
    if (to->is_open) {
        to->events.answered(*std::move(answer));
        return;
    }
    to->is_open = true;
    to->handshake_answer = line;
    to->events.opened(*std::move(answer));
}

void member_wire::fail(connection_pointer const& to)
{
    if (to->is_closed) {
        return;
    }
    close(to->id);
    if (to->is_open) {
        to->events.lost(member_error::connection_lost);
        return;
    }
    member_answer answer;
    answer.error = member_error::refused;
    to->events.opened(std::move(answer));
}

} // namespace greengagehitch::standin
