#pragma once

#include <vector>

#include <absl/status/statusor.h>
#include <json/value.h>

#include "base/time.h"
#include "database/statement.h"

namespace greengagehitch {

/// Results as callers see them: rows of typed values.
Json::Value to_caller_json(std::vector<result_set> const& results);

/// Results as they are stored beside a request id, with the types of the columns.
std::string encode_results(std::vector<result_set> const& results);
absl::StatusOr<std::vector<result_set>> try_decode_results(std::string const& text);

} // namespace greengagehitch
