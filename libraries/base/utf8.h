#pragma once

#include <string>
#include <string_view>

namespace greengagehitch {

/// Returns the text with each byte that is no part of valid UTF-8 replaced by U+FFFD.
std::string replace_invalid_utf8(std::string_view text);

} // namespace greengagehitch
