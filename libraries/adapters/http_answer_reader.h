#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace greengagehitch {

/// Why an answer over HTTP was refused.
enum class http_refusal { cut_short, without_length, malformed, too_large };

inline constexpr std::array http_refusal_names{
    enum_name<http_refusal>{http_refusal::cut_short, "cut_short"},
    enum_name<http_refusal>{http_refusal::without_length, "without_length"},
    enum_name<http_refusal>{http_refusal::malformed, "malformed"},
    enum_name<http_refusal>{http_refusal::too_large, "too_large"},
};

/// Orders names of HTTP headers, which are case-insensitive.
struct case_insensitive_less {
    bool operator()(std::string const& left, std::string const& right) const;
};

using http_headers = std::map<std::string, std::string, case_insensitive_less>;

/// Reads one HTTP/1.1 answer from the bytes of a connection. An answer is whole only if it says itself where
/// it ends, by a length or by a last chunk, since a close may also cut it short.
class http_answer_reader {
public:
    /// Adds bytes that were received. Bytes after the end of the answer are ignored.
    void add(std::string_view bytes);

    /// Records that no further bytes will arrive.
    void end();

    bool is_whole() const { return m_part == part::end; }
    /// Reason why the answer was refused; no value if it was not.
    std::optional<http_refusal> refusal() const { return m_refusal; }
    /// True when bytes of an answer have arrived.
    bool has_begun() const { return m_has_begun; }

    int status() const { return m_status; }
    std::string& body() { return m_body; }
    http_headers& headers() { return m_headers; }

private:
    /// Part of the answer that is read next.
    enum class part { status_line, header, body, chunk_size, chunk, chunk_end, trailer, end };

    /// Reads as much of m_input as possible. Returns false if further bytes are needed, or none.
    bool read_part();
    bool read_line();
    bool read_bytes();
    void handle_line(std::string_view line);
    void handle_status_line(std::string_view line);
    void handle_header(std::string_view line);
    void handle_end_of_headers();
    void handle_chunk_size(std::string_view line);
    void refuse(http_refusal reason) { m_refusal = reason; }

    part m_part = part::status_line;
    std::optional<http_refusal> m_refusal;
    bool m_has_begun = false;
    std::string m_input;          ///< Bytes that were not read yet.
    std::size_t m_head_bytes = 0; ///< Size of all lines read so far.
    std::size_t m_missing = 0;    ///< Bytes of the body or of the chunk that are missing.
    int m_status = 0;
    http_headers m_headers;
    std::string m_body;
};

} // namespace greengagehitch
