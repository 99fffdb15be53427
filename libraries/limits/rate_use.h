#pragma once

#include <cstddef>

#include <json/json.h>

namespace greengagehitch {

/// Operations and tokens of one client account at one VM.
struct rate_use {
    std::size_t admitted = 0; ///< Operations that received a token.
    std::size_t refused = 0;  ///< Operations that were refused.
    std::size_t borrowed = 0; ///< Tokens that peers granted.
    std::size_t lent = 0;     ///< Tokens that were granted to peers.
    std::size_t unserved = 0; ///< Requests of peers that were answered without a token.

    rate_use& operator+=(rate_use const& other);

    /// Adds the numbers to the fields of a log record or a state dump.
    void add_to(Json::Value& fields) const;
};

} // namespace greengagehitch
