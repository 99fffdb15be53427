#include "table_printer.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengagehitch {

namespace {

std::string to_cell(Json::Value const& value)
{
    if (value.isNull()) {
        return "-";
    }
    if (value.isBool()) {
        return value.asBool() ? "yes" : "no";
    }
    if (value.isDouble()) {
        return fmt::format("{:.2f}", value.asDouble());
    }
    return value.isObject() || value.isArray() ? value.toStyledString() : value.asString();
}

} // namespace

std::string format_table(std::vector<table_column> const& columns, Json::Value const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& column : columns) {
        auto width = column.title.size();
        for (auto const& row : rows) {
            width = std::max(width, to_cell(row[column.field]).size());
        }
        widths.push_back(width);
    }
    std::string text;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        text += fmt::format("{:<{}}  ", columns[i].title, widths[i]);
    }
    text += '\n';
    for (auto const& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            text += fmt::format("{:<{}}  ", to_cell(row[columns[i].field]), widths[i]);
        }
        text += '\n';
    }
    return text;
}

} // namespace greengagehitch
