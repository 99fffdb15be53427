#pragma once

#include <optional>
#include <string>
#include <vector>

#include "database/statement.h"

namespace greengagehitch {

/// Returns the reason why callers may not run a statement, or std::nullopt if they may. Statements that
/// control transactions, sessions or roles are refused, since they could end the transaction that the request
/// runs in or change the client account that it runs for.
std::optional<std::string> find_forbidden(statement const& query);

/// Returns a hexadecimal digest of a request's class and statements. It distinguishes a repeated request from
/// a different one that uses the same request id.
std::string fingerprint_of(std::string const& class_name, std::vector<statement> const& statements);

} // namespace greengagehitch
