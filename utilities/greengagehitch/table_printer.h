#pragma once

#include <string>
#include <vector>

#include <json/value.h>

namespace greengagehitch {

/// One column of a table: its title and the field that it shows.
struct table_column {
    std::string title;
    std::string field;
};

/// Formats a list of JSON objects as a human-readable table.
std::string format_table(std::vector<table_column> const& columns, Json::Value const& rows);

} // namespace greengagehitch
