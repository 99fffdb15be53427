#include "base/utf8.h"

namespace greengagehitch {

namespace {

constexpr std::string_view replacement_character = "\xef\xbf\xbd";

/// Shortest and longest second byte of a sequence, and the number of its bytes.
struct utf8_sequence {
    std::size_t size;
    unsigned char min_second;
    unsigned char max_second;
};

constexpr unsigned char min_continuation = 0x80;
constexpr unsigned char max_continuation = 0xbf;

/// Returns what may follow the first byte of a sequence (Unicode, table 3-7), or a size of 0 for none.
utf8_sequence sequence_after(unsigned char first)
{
    if (first < 0x80) {
        return {1, 0, 0};
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return {2, min_continuation, max_continuation};
    }
    if (first >= 0xe0 && first <= 0xef) {
        // Excludes overlong forms and surrogates.
        return {3, first == 0xe0 ? static_cast<unsigned char>(0xa0) : min_continuation,
                first == 0xed ? static_cast<unsigned char>(0x9f) : max_continuation};
    }
    if (first >= 0xf0 && first <= 0xf4) {
        return {4, first == 0xf0 ? static_cast<unsigned char>(0x90) : min_continuation,
                first == 0xf4 ? static_cast<unsigned char>(0x8f) : max_continuation};
    }
    return {0, 0, 0};
}

/// Returns the size of the valid sequence at the start of the text, or 0 if there is none.
std::size_t size_of_sequence(std::string_view text)
{
    auto const sequence = sequence_after(static_cast<unsigned char>(text.front()));
    if (sequence.size > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < sequence.size; ++i) {
        auto const byte = static_cast<unsigned char>(text[i]);
        if (byte < (i == 1 ? sequence.min_second : min_continuation) ||
            byte > (i == 1 ? sequence.max_second : max_continuation)) {
            return 0;
        }
    }
    return sequence.size;
}

} // namespace

std::string replace_invalid_utf8(std::string_view text)
{
    std::string valid;
    valid.reserve(text.size());
    while (!text.empty()) {
        auto const size = size_of_sequence(text);
        valid += size == 0 ? replacement_character : text.substr(0, size);
        text.remove_prefix(size == 0 ? 1 : size);
    }
    return valid;
}

} // namespace greengagehitch
