#include "settings/yaml_section.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace greengagehitch {

std::string settings_problem::to_string() const
{
    return line == 0 ? fmt::format("{}: {}", file, message) : fmt::format("{}:{}: {}", file, line, message);
}

void settings_problems::add(YAML::Node const& at, std::string message)
{
    auto const mark = at.IsDefined() ? at.Mark() : YAML::Mark::null_mark();
    add_at_line(mark.is_null() ? 0 : mark.line + 1, std::move(message));
}

void settings_problems::add_at_line(int line, std::string message)
{
    m_problems.push_back({m_file, line, std::move(message)});
}

absl::Status settings_problems::to_status() const
{
    if (m_problems.empty()) {
        return absl::OkStatus();
    }
    std::vector<std::string> lines;
    for (auto const& problem : m_problems) {
        lines.push_back(problem.to_string());
    }
    return absl::InvalidArgumentError(absl::StrJoin(lines, "\n"));
}

yaml_section::yaml_section(YAML::Node const& node, std::string path, settings_problems& problems)
    : m_node(node), m_path(std::move(path)), m_problems(problems)
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        m_problems.add(m_node,
                       fmt::format("{}: expected a map of fields", m_path.empty() ? "document" : m_path));
        m_node.reset(YAML::Node());
    }
}

std::string yaml_section::required_string(std::string const& field)
{
    return read_scalar(field, "a string").value_or("");
}

std::string yaml_section::optional_string(std::string const& field, std::string fallback)
{
    return has(field) ? required_string(field) : std::move(fallback);
}

bool yaml_section::optional_bool(std::string const& field, bool fallback)
{
    if (!has(field)) {
        return fallback;
    }
    auto const text = read_scalar(field, "true or false");
    if (text == "true") {
        return true;
    }
    if (text && text != "false") {
        report(field, "expected true or false");
    }
    return false;
}

std::uint64_t yaml_section::required_number(std::string const& field, std::uint64_t minimum,
                                            std::uint64_t maximum)
{
    auto const expected = fmt::format("a whole number from {} to {}", minimum, maximum);
    auto const text = read_scalar(field, expected);
    if (!text) {
        return minimum;
    }
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(*text, &value) || value < minimum || value > maximum) {
        report(field, fmt::format("expected {}, found '{}'", expected, *text));
        return minimum;
    }
    return value;
}

std::uint64_t yaml_section::optional_number(std::string const& field, std::uint64_t minimum,
                                            std::uint64_t maximum, std::uint64_t fallback)
{
    return has(field) ? required_number(field, minimum, maximum) : fallback;
}

double yaml_section::optional_decimal(std::string const& field, double minimum, double maximum,
                                      double fallback)
{
    return has(field) ? required_decimal(field, minimum, maximum) : fallback;
}

double yaml_section::required_decimal(std::string const& field, double minimum, double maximum)
{
    auto const expected = fmt::format("a number from {} to {}", minimum, maximum);
    auto const text = read_scalar(field, expected);
    if (!text) {
        return minimum;
    }
    double value = 0;
    if (!absl::SimpleAtod(*text, &value) || !std::isfinite(value) || value < minimum || value > maximum) {
        report(field, fmt::format("expected {}, found '{}'", expected, *text));
        return minimum;
    }
    return value;
}

duration yaml_section::required_duration(std::string const& field, duration minimum, duration maximum)
{
    auto const expected = fmt::format("a duration such as 250ms or 10s, from {} ms to {} ms",
                                      to_milliseconds(minimum), to_milliseconds(maximum));
    auto const text = read_scalar(field, expected);
    if (!text) {
        return minimum;
    }
    auto const value = parse_duration(*text);
    if (!value || *value < minimum || *value > maximum) {
        report(field, fmt::format("expected {}, found '{}'", expected, *text));
        return minimum;
    }
    return *value;
}

duration yaml_section::optional_duration(std::string const& field, duration minimum, duration maximum,
                                         duration fallback)
{
    return has(field) ? required_duration(field, minimum, maximum) : fallback;
}

double yaml_section::optional_fraction(std::string const& field, double fallback)
{
    constexpr double percent = 100;
    if (!has(field)) {
        return fallback;
    }
    auto text = read_scalar(field, "a fraction such as 0.5%").value_or("0");
    auto const is_percentage = text.ends_with('%');
    if (is_percentage) {
        text.pop_back();
    }
    double value = 0;
    auto const is_number = absl::SimpleAtod(text, &value);
    value = is_percentage ? value / percent : value;
    if (!is_number || !std::isfinite(value) || value < 0 || value > 1) {
        report(field, "expected a fraction from 0% to 100%");
        return fallback;
    }
    return value;
}

std::vector<std::string> yaml_section::required_strings(std::string const& field)
{
    auto const node = find_field(field);
    std::vector<std::string> values;
    if (!node.IsDefined() || !node.IsSequence()) {
        report(field, "expected a list of strings");
        return values;
    }
    for (auto const& each : node) {
        if (each.IsScalar()) {
            values.push_back(each.Scalar());
        }
        else {
            m_problems.add(each, field_path(field) + ": expected a string");
        }
    }
    return values;
}

yaml_section yaml_section::section(std::string const& field)
{
    return {find_field(field), field_path(field), m_problems};
}

bool yaml_section::has(std::string const& field) const
{
    return m_node.IsMap() && m_node[field].IsDefined();
}

void yaml_section::for_each_entry(std::string const& field,
                                  std::function<void(std::string const&, yaml_section&)> const& read)
{
    auto const node = find_field(field);
    if (!node.IsDefined() || node.IsNull()) {
        return;
    }
    if (!node.IsMap()) {
        report(field, "expected a map from names to entries");
        return;
    }
    std::set<std::string> names;
    for (auto const& each : node) {
        auto const name = each.first.Scalar();
        if (!names.insert(name).second) {
            m_problems.add(each.first, fmt::format("{}: duplicate entry '{}'", field_path(field), name));
        }
        yaml_section entry(each.second, fmt::format("{}.{}", field_path(field), name), m_problems);
        read(name, entry);
        entry.report_unknown_fields();
    }
}

void yaml_section::report(std::string const& field, std::string const& message)
{
    m_problems.add(has(field) ? std::as_const(m_node)[field] : m_node,
                   fmt::format("{}: {}", field_path(field), message));
}

void yaml_section::report_unknown_fields()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (auto const& each : m_node) {
        auto const name = each.first.Scalar();
        if (!m_requested_fields.contains(name)) {
            m_problems.add(each.first, fmt::format("{}: unknown field; expected one of: {}", field_path(name),
                                                   absl::StrJoin(m_requested_fields, ", ")));
        }
    }
}

YAML::Node yaml_section::find_field(std::string const& field)
{
    m_requested_fields.insert(field);
    // yaml-cpp throws when the node of a missing entry is used, but not when an undefined node is used.
    return has(field) ? std::as_const(m_node)[field] : YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> yaml_section::read_scalar(std::string const& field, std::string const& expected)
{
    auto const node = find_field(field);
    if (!node.IsDefined()) {
        m_problems.add(m_node, fmt::format("{}: missing; expected {}", field_path(field), expected));
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        report(field, "expected " + expected);
        return std::nullopt;
    }
    return node.Scalar();
}

std::string yaml_section::field_path(std::string const& field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

YAML::Node parse_yaml(std::string const& text, settings_problems& problems)
{
    try {
        return YAML::Load(text);
    }
    catch (YAML::Exception const& exception) {
        problems.add_at_line(exception.mark.is_null() ? 0 : exception.mark.line + 1, exception.msg);
        return {};
    }
}

std::optional<duration> parse_duration(std::string const& text)
{
    struct unit {
        std::string_view suffix;
        duration length;
    };
    // "us" and "ms" must be tried before "s", because they also end with "s".
    static constexpr std::array units{
        unit{"us", std::chrono::microseconds(1)}, unit{"ms", std::chrono::milliseconds(1)},
        unit{"s", std::chrono::seconds(1)},       unit{"m", std::chrono::minutes(1)},
        unit{"h", std::chrono::hours(1)},
    };
    constexpr double max_seconds = 1e9;
    for (auto const& each : units) {
        if (!text.ends_with(each.suffix)) {
            continue;
        }
        double value = 0;
        auto const number = text.substr(0, text.size() - each.suffix.size());
        auto const seconds = std::chrono::duration<double>(each.length).count();
        if (!absl::SimpleAtod(number, &value) || !(value >= 0) || value * seconds > max_seconds) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value * seconds));
    }
    return std::nullopt;
}

} // namespace greengagehitch
