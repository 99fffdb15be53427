#include <criterion/criterion.h>

#include "base/digest.h"
#include "session/session_token.h"

using greengagehitch::log_position;
using greengagehitch::session_codec;
using greengagehitch::session_token;
using greengagehitch::session_token_error;

namespace {

session_token make_token_for_two_databases()
{
    session_token token;
    token.raise_position("ledger-1", {2, 40});
    token.raise_position("ledger-2", {3, 7});
    return token;
}

} // namespace

Test(session_token, decoding_restores_the_encoded_token)
{
    session_codec const codec("secret");
    auto const decoded = codec.decode(codec.encode(make_token_for_two_databases(), "rink"), "rink");
    cr_assert(not(decoded.error.has_value()));
    cr_assert(decoded.token.position("ledger-1") == (log_position{2, 40}));
    cr_assert(decoded.token.position("ledger-2") == (log_position{3, 7}));
}

Test(session_token, positions_never_decrease)
{
    auto token = make_token_for_two_databases();
    token.raise_position("ledger-1", {2, 39});
    token.raise_position("ledger-1", {1, 90});
    cr_assert(token.position("ledger-1") == (log_position{2, 40}));
    token.raise_position("ledger-1", {3, 1});
    cr_assert(token.position("ledger-1") == (log_position{3, 1}));
}

Test(session_token, token_of_another_account_is_rejected)
{
    session_codec const codec("secret");
    auto const decoded = codec.decode(codec.encode(make_token_for_two_databases(), "rink"), "other");
    cr_assert(decoded.error == session_token_error::wrong_client_account);
}

Test(session_token, every_changed_byte_invalidates_the_signature)
{
    session_codec const codec("secret");
    auto const text = codec.encode(make_token_for_two_databases(), "rink");
    std::string bytes;
    cr_assert(greengagehitch::from_base64url(text, bytes));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        cr_assert(codec.decode(greengagehitch::to_base64url(changed), "rink").error ==
                  session_token_error::invalid_signature);
    }
}

Test(session_token, token_of_another_fleet_is_rejected)
{
    auto const text = session_codec("another").encode(make_token_for_two_databases(), "rink");
    cr_assert(session_codec("secret").decode(text, "rink").error == session_token_error::invalid_signature);
}

Test(session_token, invalid_texts_are_reported_as_malformed_or_too_long)
{
    session_codec const codec("secret");
    cr_assert(codec.decode("?!", "rink").error == session_token_error::malformed);
    cr_assert(codec.decode("AA", "rink").error == session_token_error::malformed);
    cr_assert(codec.decode(std::string(100'000, 'A'), "rink").error == session_token_error::too_long);
}

Test(session_token, largest_token_fits_the_encoded_size_limit)
{
    session_codec const codec("secret");
    session_token token;
    std::string const longest_name(64, 'n');
    for (std::size_t i = 0; i < session_token::max_databases; ++i) {
        cr_assert(
            token.raise_position(longest_name.substr(0, 60) + std::to_string(i), {UINT64_MAX, UINT64_MAX}));
    }
    cr_assert(not(token.raise_position("one-more", {1, 1})));
    auto const text = codec.encode(token, "rink");
    cr_assert(text.size() <= session_token::max_encoded_size);
    cr_assert(not(codec.decode(text, "rink").error.has_value()));
}
