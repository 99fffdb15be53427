#include "session/session_token.h"

#include <vector>

#include <msgpack.hpp>

#include "base/digest.h"

namespace greengagehitch {

namespace {

constexpr std::size_t signature_size = 16;
constexpr std::size_t account_digest_size = 8;

struct encoded_position {
    std::string database;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    MSGPACK_DEFINE(database, term, position)
};

struct encoded_token {
    std::string account_digest;
    std::vector<encoded_position> positions;
    MSGPACK_DEFINE(account_digest, positions)
};

std::string digest_of_account(std::string_view client_account)
{
    return sha256(client_account).substr(0, account_digest_size);
}

bool unpack(std::string const& payload, encoded_token& token)
{
    try {
        std::size_t offset = 0;
        auto const handle = msgpack::unpack(payload.data(), payload.size(), offset);
        handle.get().convert(token);
        return offset == payload.size();
    }
    catch (std::exception const&) {
        // The signature was verified, so this happens only for a token that another version of the software
        // encoded in a different format.
        return false;
    }
}

} // namespace

log_position session_token::position(std::string const& database) const
{
    auto const found = m_positions.find(database);
    return found == m_positions.end() ? log_position{} : found->second;
}

bool session_token::raise_position(std::string const& database, log_position position)
{
    auto const found = m_positions.find(database);
    if (found != m_positions.end()) {
        found->second = std::max(found->second, position);
        return true;
    }
    if (m_positions.size() >= max_databases) {
        return false;
    }
    m_positions.emplace(database, position);
    return true;
}

std::string session_codec::encode(session_token const& token, std::string_view client_account) const
{
    encoded_token encoded;
    encoded.account_digest = digest_of_account(client_account);
    for (auto const& [database, position] : token.positions()) {
        encoded.positions.push_back({database, position.term, position.position});
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, encoded);
    std::string const payload(buffer.data(), buffer.size());
    return to_base64url(sign(payload) + payload);
}

session_codec::decode_result session_codec::decode(std::string_view text,
                                                   std::string_view client_account) const
{
    if (text.size() > session_token::max_encoded_size) {
        return {{}, session_token_error::too_long};
    }
    std::string bytes;
    if (!from_base64url(text, bytes) || bytes.size() <= signature_size) {
        return {{}, session_token_error::malformed};
    }
    auto const payload = bytes.substr(signature_size);
    if (!is_equal_in_constant_time(sign(payload), std::string_view(bytes).substr(0, signature_size))) {
        return {{}, session_token_error::invalid_signature};
    }
    encoded_token encoded;
    if (!unpack(payload, encoded)) {
        return {{}, session_token_error::malformed};
    }
    if (encoded.account_digest != digest_of_account(client_account)) {
        return {{}, session_token_error::wrong_client_account};
    }
    decode_result result;
    for (auto const& each : encoded.positions) {
        result.token.raise_position(each.database, {each.term, each.position});
    }
    return result;
}

std::string session_codec::sign(std::string_view payload) const
{
    return hmac_sha256(m_secret, payload).substr(0, signature_size);
}

} // namespace greengagehitch
