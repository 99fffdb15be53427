#include "adapters/http_answer_reader.h"

#include <algorithm>
#include <charconv>

#include <Poco/String.h>

namespace greengagehitch {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view length_header = "Content-Length";
constexpr std::string_view encoding_header = "Transfer-Encoding";
constexpr std::size_t max_head_bytes = 256UL * 1024; ///< Lines of an answer, with those between its chunks.
constexpr std::size_t max_body_bytes = 64UL * 1024 * 1024;

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

enum http_status {
    http_first = 100,
    http_switching_protocols = 101,
    http_first_final = 200,
    http_no_content = 204,
    http_not_modified = 304,
    http_last = 599,
};

/// Reads a number that consists of digits only.
std::optional<std::size_t> parse_digits(std::string_view text, int base)
{
    std::size_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    auto const first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

bool case_insensitive_less::operator()(std::string const& left, std::string const& right) const
{
    return Poco::icompare(left, right) < 0;
}

void http_answer_reader::add(std::string_view bytes)
{
    m_has_begun = m_has_begun || !bytes.empty();
    m_input += bytes;
    while (!m_refusal && !is_whole() && read_part()) {
    }
}

void http_answer_reader::end()
{
    if (!m_refusal && !is_whole()) {
        refuse(http_refusal::cut_short);
    }
}

bool http_answer_reader::read_part()
{
    return m_part == part::body || m_part == part::chunk ? read_bytes() : read_line();
}

bool http_answer_reader::read_line()
{
    auto const size = m_input.find(line_end);
    m_head_bytes += size == std::string::npos ? 0 : size;
    if (m_head_bytes + (size == std::string::npos ? m_input.size() : 0) > max_head_bytes) {
        refuse(http_refusal::too_large);
        return false;
    }
    if (size == std::string::npos) {
        return false;
    }
    auto const line = m_input.substr(0, size);
    m_input.erase(0, size + line_end.size());
    handle_line(line);
    return true;
}

bool http_answer_reader::read_bytes()
{
    auto const size = std::min(m_missing, m_input.size());
    m_body.append(m_input, 0, size);
    m_input.erase(0, size);
    m_missing -= size;
    if (m_missing != 0) {
        return false;
    }
    m_part = m_part == part::chunk ? part::chunk_end : part::end;
    return true;
}

void http_answer_reader::handle_line(std::string_view line)
{
    switch (m_part) {
    case part::status_line:
        handle_status_line(line);
        break;
    case part::header:
        line.empty() ? handle_end_of_headers() : handle_header(line);
        break;
    case part::chunk_size:
        handle_chunk_size(line);
        break;
    case part::chunk_end:
        m_part = part::chunk_size;
        if (!line.empty()) {
            refuse(http_refusal::malformed);
        }
        break;
    case part::trailer:
        m_part = line.empty() ? part::end : part::trailer;
        break;
    case part::body:
    case part::chunk:
    case part::end:
        break;
    }
}

void http_answer_reader::handle_status_line(std::string_view line)
{
    constexpr std::size_t version_size = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t status_digits = 3;
    auto const is_http = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    line.remove_prefix(std::min(line.size(), version_size));
    auto const status = parse_digits(line.substr(0, status_digits), decimal);
    auto const rest = line.substr(std::min(line.size(), status_digits));
    if (!is_http || !status || *status < http_first || *status > http_last ||
        *status == http_switching_protocols || (!rest.empty() && rest.front() != ' ')) {
        refuse(http_refusal::malformed);
        return;
    }
    m_status = static_cast<int>(*status);
    m_part = part::header;
}

void http_answer_reader::handle_header(std::string_view line)
{
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        name.find_first_of(" \t") != std::string_view::npos) {
        refuse(http_refusal::malformed);
        return;
    }
    std::string const value(trim(line.substr(colon + 1)));
    auto const [entry, is_new] = m_headers.emplace(name, value);
    auto const delimits_body = Poco::icompare(entry->first, std::string(length_header)) == 0 ||
                               Poco::icompare(entry->first, std::string(encoding_header)) == 0;
    if (!is_new && delimits_body && entry->second != value) {
        refuse(http_refusal::malformed);
        return;
    }
    entry->second = value;
}

void http_answer_reader::handle_end_of_headers()
{
    if (m_status < http_first_final) {
        // The answer proper follows an interim one.
        m_headers.clear();
        m_part = part::status_line;
        return;
    }
    auto const length = m_headers.find(std::string(length_header));
    auto const encoding = m_headers.find(std::string(encoding_header));
    if (m_status == http_no_content || m_status == http_not_modified) {
        m_part = part::end;
    }
    else if (encoding != m_headers.end()) {
        m_part = part::chunk_size;
        if (length != m_headers.end() || Poco::icompare(encoding->second, std::string("chunked")) != 0) {
            refuse(http_refusal::malformed);
        }
    }
    else if (length != m_headers.end()) {
        m_part = part::body;
        auto const size = parse_digits(length->second, decimal);
        if (!size) {
            refuse(http_refusal::malformed);
        }
        else if (*size > max_body_bytes) {
            refuse(http_refusal::too_large);
        }
        m_missing = size.value_or(0);
    }
    else {
        refuse(http_refusal::without_length);
    }
}

void http_answer_reader::handle_chunk_size(std::string_view line)
{
    auto const size = parse_digits(trim(line.substr(0, line.find(';'))), hexadecimal);
    if (!size) {
        refuse(http_refusal::malformed);
    }
    else if (*size > max_body_bytes - m_body.size()) {
        refuse(http_refusal::too_large);
    }
    else {
        m_missing = *size;
        m_part = *size == 0 ? part::trailer : part::chunk;
    }
}

} // namespace greengagehitch
