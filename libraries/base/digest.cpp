#include "base/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace greengagehitch {

std::string sha256(std::string_view data)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<unsigned char const*>(data.data()), data.size(),
           reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

std::string hmac_sha256(std::string_view key, std::string_view data)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    unsigned int size = SHA256_DIGEST_LENGTH;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(data.data()), data.size(),
         reinterpret_cast<unsigned char*>(digest.data()), &size);
    return digest;
}

std::string to_hex(std::string_view bytes)
{
    return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_base64url(std::string_view bytes)
{
    return absl::WebSafeBase64Escape(absl::string_view(bytes.data(), bytes.size()));
}

bool from_base64url(std::string_view text, std::string& bytes)
{
    return absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes);
}

} // namespace greengagehitch
