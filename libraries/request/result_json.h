#pragma once

#include <vector>

#include <absl/status/statusor.h>
#include <json/value.h>

#include "base/time.h"
#include "database/statement.h"

namespace greengagehitch {

/// Encodes results as they are sent to callers, as rows of typed values.
Json::Value to_caller_json(std::vector<result_set> const& results);

/// Encodes results as they are stored with a request id, including the types of the columns.
std::string encode_results(std::vector<result_set> const& results);
absl::StatusOr<std::vector<result_set>> try_decode_results(std::string const& text);

} // namespace greengagehitch
