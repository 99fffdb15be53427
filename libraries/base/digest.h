#pragma once

#include <string>
#include <string_view>

namespace greengagehitch {

/// Returns the SHA-256 digest of `data` as 32 raw bytes.
std::string sha256(std::string_view data);

/// Returns the HMAC-SHA-256 of `data` with `key` as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view data);

/// Returns the lower-case hexadecimal form of raw bytes.
std::string to_hex(std::string_view bytes);

/// Compares two strings in a time that depends only on their lengths.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);

/// Encodes raw bytes in Base64 with the URL-safe alphabet and no padding.
std::string to_base64url(std::string_view bytes);

/// Decodes text that to_base64url() encoded. Returns false when `text` is not valid URL-safe Base64.
bool from_base64url(std::string_view text, std::string& bytes);

} // namespace greengagehitch
