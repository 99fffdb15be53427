#include "strict_line_splitter.h"

namespace greengagehitch::standin {

std::vector<std::string> strict_line_splitter::add(std::string_view bytes)
{
    std::vector<std::string> messages;
    for (auto const byte : bytes) {
        auto const is_end = byte == '\n' && !m_rest.empty() && m_rest.back() == '\r';
        if (!is_end) {
            m_rest.push_back(byte);
            continue;
        }
        m_rest.pop_back();
        messages.push_back(m_rest);
        m_rest.clear();
    }
    return messages;
}

std::string strict_line_splitter::take_word(std::string& text)
{
    auto const blank = text.find(' ');
    auto word = text.substr(0, blank);
    text.erase(0, blank == std::string::npos ? blank : blank + 1);
    return word;
}

} // namespace greengagehitch::standin
