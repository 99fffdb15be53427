#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "database/group_contract.h"

namespace greengagehitch {

enum class session_token_error { too_long, malformed, invalid_signature, wrong_client_account };

inline constexpr std::array session_token_error_names{
    enum_name<session_token_error>{session_token_error::too_long, "session token is too long"},
    enum_name<session_token_error>{session_token_error::malformed, "session token is malformed"},
    enum_name<session_token_error>{session_token_error::invalid_signature,
                                   "session token was not issued by this fleet"},
    enum_name<session_token_error>{session_token_error::wrong_client_account,
                                   "session token belongs to another client account"},
};

/// Log positions that a session has observed: for each database, the minimum position for its next read. The
/// caller sends the token with its requests, so that any entry VM can continue the session.
class session_token {
public:
    session_token() = default;

    /// Returns the position for `database`, or the zero position when the session has not accessed it.
    log_position position(std::string const& database) const;

    /// Raises the position for `database`; a lower position is ignored. Returns false and stores nothing when
    /// the token is full and does not contain `database` yet. The least recently accessed database is not
    /// removed to make space, since the minimum position for its next read would be lost.
    bool raise_position(std::string const& database, log_position position);

    std::map<std::string, log_position> const& positions() const { return m_positions; }

    static constexpr std::size_t max_databases = 32;
    static constexpr std::size_t max_encoded_size = 4096; ///< Maximum size of a token, in characters.

private:
    std::map<std::string, log_position> m_positions;
};

/// Encodes, signs and verifies session tokens with the secret of the fleet.
class session_codec {
public:
    explicit session_codec(std::string secret) : m_secret(std::move(secret)) {}

    std::string encode(session_token const& token, std::string_view client_account) const;

    /// Result of decode(). The token is empty when there is an error.
    struct decode_result {
        session_token token;
        std::optional<session_token_error> error;
    };

    decode_result decode(std::string_view text, std::string_view client_account) const;

private:
    std::string sign(std::string_view payload) const;

    std::string m_secret;
};

} // namespace greengagehitch
