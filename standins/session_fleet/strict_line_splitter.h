#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagehitch::standin {

/// Splits bytes of the line protocol into messages: a message ends at CR LF and nowhere else. Shares no code
/// with the product, whose framing it checks.
class strict_line_splitter {
public:
    /// Adds bytes that arrived. Returns the messages that are now complete, without their line ends.
    std::vector<std::string> add(std::string_view bytes);

    /// Removes the first word and the blank after it from `text`, and returns the word.
    static std::string take_word(std::string& text);

private:
    std::string m_rest; ///< Start of the next message.
};

} // namespace greengagehitch::standin
