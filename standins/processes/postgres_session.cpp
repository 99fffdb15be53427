#include "postgres_session.h"

#include <array>
#include <cstring>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>

namespace greengagehitch::standin {

namespace {

constexpr std::uint32_t protocol_version_3 = 196'608;
constexpr std::uint32_t ssl_request_code = 80'877'103;
constexpr std::uint32_t gss_request_code = 80'877'104;
constexpr std::size_t receive_buffer_size = 65'536;
constexpr std::size_t length_field_size = 4;
constexpr std::size_t max_message_size = 64UL * 1024 * 1024;

std::uint32_t read_uint32(std::string_view bytes)
{
    std::uint32_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof(value));
    return ntohl(value);
}

std::uint16_t read_uint16(std::string_view bytes)
{
    std::uint16_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof(value));
    return ntohs(value);
}

void append_uint32(std::string& target, std::uint32_t value)
{
    auto const network = htonl(value);
    target.append(reinterpret_cast<char const*>(&network), sizeof(network));
}

void append_uint16(std::string& target, std::uint16_t value)
{
    auto const network = htons(value);
    target.append(reinterpret_cast<char const*>(&network), sizeof(network));
}

/// Removes a zero-terminated string from the front of `bytes` and returns it.
std::string consume_string(std::string_view& bytes)
{
    auto const end = bytes.find('\0');
    auto text = std::string(bytes.substr(0, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    return text;
}

std::string command_tag(std::string const& sql, result_set const& result)
{
    auto command = absl::AsciiStrToUpper(sql.substr(0, sql.find_first_of(" (\n\t")));
    if (command == "INSERT") {
        return fmt::format("INSERT 0 {}", result.affected_rows);
    }
    if (command == "UPDATE" || command == "DELETE") {
        return fmt::format("{} {}", command, result.affected_rows);
    }
    if (!result.columns.empty()) {
        return fmt::format("SELECT {}", result.rows.size());
    }
    return command;
}

} // namespace

postgres_session::postgres_session(reactor& reactor, file_descriptor socket, group_member& member,
                                   duration connection_delay, std::function<void(postgres_session*)> on_end)
    : m_reactor(reactor), m_socket(std::move(socket)), m_member(member), m_connection_delay(connection_delay),
      m_on_end(std::move(on_end))
{
}

void postgres_session::start()
{
    m_reactor.watch(m_socket.get(), EPOLLIN, [weak = weak_from_this()](std::uint32_t events) {
        if (auto const self = weak.lock()) {
            self->handle_socket_events(events);
        }
    });
}

void postgres_session::end()
{
    if (std::exchange(m_is_ended, true)) {
        return;
    }
    auto const self = shared_from_this();
    m_reactor.unwatch(m_socket.get());
    m_socket.reset();
    if (auto const session = std::exchange(m_session, nullptr)) {
        session->close();
    }
    m_on_end(this);
}

void postgres_session::handle_socket_events(std::uint32_t events)
{
    auto const self = shared_from_this();
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (m_is_ended || (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0) {
        return;
    }
    if (!read_available()) {
        end();
        return;
    }
    parse_input();
}

bool postgres_session::read_available()
{
    std::array<char, receive_buffer_size> buffer{};
    while (true) {
        auto const size = ::recv(m_socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            m_input.append(buffer.data(), static_cast<std::size_t>(size));
            if (static_cast<std::size_t>(size) < buffer.size()) {
                return true;
            }
            continue;
        }
        return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
}

void postgres_session::parse_input()
{
    std::size_t offset = 0;
    while (!m_is_ended) {
        if (!m_has_started) {
            if (!parse_startup()) {
                return;
            }
            continue;
        }
        auto const remaining = std::string_view(m_input).substr(offset);
        constexpr std::size_t header_size = 1 + length_field_size;
        if (remaining.size() < header_size) {
            break;
        }
        auto const length = read_uint32(remaining.substr(1));
        if (length < length_field_size || length > max_message_size) {
            end();
            return;
        }
        if (remaining.size() < 1 + length) {
            break;
        }
        parse_message(remaining[0], remaining.substr(header_size, length - length_field_size));
        offset += 1 + length;
    }
    m_input.erase(0, offset);
}

bool postgres_session::parse_startup()
{
    constexpr std::size_t header_size = 2 * length_field_size;
    if (m_input.size() < header_size) {
        return false;
    }
    auto const length = read_uint32(m_input);
    auto const code = read_uint32(std::string_view(m_input).substr(length_field_size));
    if (length < header_size || length > max_message_size) {
        end();
        return false;
    }
    if (m_input.size() < length) {
        return false;
    }
    m_input.erase(0, length);
    if (code == ssl_request_code || code == gss_request_code) {
        m_output += 'N';
        flush();
        return true;
    }
    if (code != protocol_version_3) {
        end();
        return false;
    }
    m_has_started = true;
    m_reactor.start_timer(m_connection_delay, [weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->complete_startup();
        }
    });
    return true;
}

void postgres_session::complete_startup()
{
    if (m_is_ended) {
        return;
    }
    m_session = m_member.open_session();
    if (!m_session) {
        append_error({database_error::too_many_connections, "53300", "sorry, too many clients already"});
        flush();
        end();
        return;
    }
    std::string authentication_ok;
    append_uint32(authentication_ok, 0);
    append_message('R', authentication_ok);
    using namespace std::string_literals;
    append_message('S', "server_version\0"s + "15.0\0"s);
    append_message('S', "client_encoding\0UTF8\0"s);
    append_message('S', "standard_conforming_strings\0on\0"s);
    std::string key_data;
    append_uint32(key_data, 1);
    append_uint32(key_data, 1);
    append_message('K', key_data);
    append_ready_for_query();
    flush();
    parse_input();
}

void postgres_session::parse_message(char type, std::string_view body)
{
    if (!m_session) {
        return;
    }
    switch (type) {
    case 'P':
        parse_statement(body);
        return;
    case 'B':
        bind_statement(body);
        return;
    case 'E':
        m_batch.statements.push_back(m_current_statement);
        return;
    case 'S':
        submit_batch();
        return;
    case 'X':
        end();
        return;
    default:
        // Describe, close and flush are ignored: the answer to an execute message includes the row
        // description.
        return;
    }
}

void postgres_session::parse_statement(std::string_view body)
{
    consume_string(body);
    m_current_statement = {consume_string(body), {}};
}

void postgres_session::bind_statement(std::string_view body)
{
    consume_string(body);
    consume_string(body);
    constexpr std::size_t uint16_size = 2;
    constexpr std::uint32_t null_length = UINT32_MAX;
    if (body.size() < uint16_size) {
        return;
    }
    auto const formats = read_uint16(body);
    body.remove_prefix(std::min(body.size(), uint16_size + formats * uint16_size));
    if (body.size() < uint16_size) {
        return;
    }
    auto const count = read_uint16(body);
    body.remove_prefix(uint16_size);
    m_current_statement.parameters.clear();
    for (std::uint16_t i = 0; i < count && body.size() >= length_field_size; ++i) {
        auto const length = read_uint32(body);
        body.remove_prefix(length_field_size);
        if (length == null_length) {
            m_current_statement.parameters.emplace_back();
            continue;
        }
        m_current_statement.parameters.emplace_back(std::string(body.substr(0, length)));
        body.remove_prefix(std::min<std::size_t>(body.size(), length));
    }
}

void postgres_session::submit_batch()
{
    auto const request = std::exchange(m_batch, {});
    m_session->submit(request, [weak = weak_from_this(), request](batch_answer const& answer) {
        if (auto const self = weak.lock()) {
            self->send_batch_answer(request, answer);
        }
    });
}

void postgres_session::send_batch_answer(batch const& request, batch_answer const& answer)
{
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
        append_result(answer.results[i], request.statements[i].sql);
    }
    if (answer.failure) {
        append_error(*answer.failure);
    }
    append_ready_for_query();
    flush();
}

void postgres_session::append_result(result_set const& result, std::string const& sql)
{
    append_message('1', "");
    append_message('2', "");
    if (result.columns.empty()) {
        append_message('n', "");
    }
    else {
        std::string description;
        append_uint16(description, static_cast<std::uint16_t>(result.columns.size()));
        for (auto const& column : result.columns) {
            constexpr std::uint16_t variable_size = UINT16_MAX;
            constexpr std::uint32_t no_modifier = UINT32_MAX;
            description += column.name;
            description += '\0';
            append_uint32(description, 0);
            append_uint16(description, 0);
            append_uint32(description, column.type);
            append_uint16(description, variable_size);
            append_uint32(description, no_modifier);
            append_uint16(description, 0);
        }
        append_message('T', description);
    }
    for (auto const& row : result.rows) {
        std::string fields;
        append_uint16(fields, static_cast<std::uint16_t>(row.size()));
        for (auto const& field : row) {
            append_uint32(fields, field ? static_cast<std::uint32_t>(field->size()) : UINT32_MAX);
            fields += field.value_or("");
        }
        append_message('D', fields);
    }
    append_message('C', command_tag(sql, result) + '\0');
}

void postgres_session::append_error(database_failure const& failure)
{
    std::string body;
    auto const add = [&body](char field, std::string const& value) {
        body += field;
        body += value;
        body += '\0';
    };
    add('S', "ERROR");
    add('V', "ERROR");
    add('C', failure.sqlstate);
    add('M', failure.message);
    body += '\0';
    append_message('E', body);
}

void postgres_session::append_message(char type, std::string const& body)
{
    m_output += type;
    append_uint32(m_output, static_cast<std::uint32_t>(body.size() + length_field_size));
    m_output += body;
}

void postgres_session::append_ready_for_query()
{
    auto const in_transaction = m_session && m_session->is_in_transaction();
    auto const has_failed = m_session && m_session->has_failed_transaction();
    append_message('Z', has_failed ? "E" : in_transaction ? "T" : "I");
}

void postgres_session::flush()
{
    while (!m_output.empty() && !m_is_ended) {
        auto const size =
            ::send(m_socket.get(), m_output.data(), m_output.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0) {
            break;
        }
        m_output.erase(0, static_cast<std::size_t>(size));
    }
    if (m_is_ended) {
        return;
    }
    auto const events = m_output.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT;
    m_reactor.watch(m_socket.get(), static_cast<std::uint32_t>(events),
                    [weak = weak_from_this()](std::uint32_t ready) {
                        if (auto const self = weak.lock()) {
                            self->handle_socket_events(ready);
                        }
                    });
}

} // namespace greengagehitch::standin
