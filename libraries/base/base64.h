#pragma once

#include <string>

namespace greengagehitch {

std::string encode_base64(std::string const& bytes);

/// Decodes base64 text. Throws Poco::DataFormatException for invalid text.
std::string decode_base64(std::string const& text);

} // namespace greengagehitch
