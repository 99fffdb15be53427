#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <yaml-cpp/node/node.h>

#include "base/time.h"

namespace greengagehitch {

/// Problem in a YAML document, with its position.
struct settings_problem {
    std::string file;
    int line = 0; ///< Line number, starting at 1; 0 when the problem concerns the whole file.
    std::string message;

    std::string to_string() const;
};

/// Collects all problems of one document, so that they are reported to the user together.
class settings_problems {
public:
    explicit settings_problems(std::string file) : m_file(std::move(file)) {}

    void add(YAML::Node const& at, std::string message);
    void add_at_line(int line, std::string message);
    bool is_empty() const { return m_problems.empty(); }

    /// Returns an InvalidArgument status that lists the problems, one per line, or OK when there are none.
    absl::Status to_status() const;

private:
    std::string m_file;
    std::vector<settings_problem> m_problems;
};

/// Map in a YAML document whose fields are read one by one. A missing or invalid field is reported as a
/// problem that names the expected value; report_unknown_fields() reports the fields that were never
/// requested.
class yaml_section {
public:
    yaml_section(YAML::Node const& node, std::string path, settings_problems& problems);

    std::string required_string(std::string const& field);
    std::string optional_string(std::string const& field, std::string fallback);
    bool optional_bool(std::string const& field, bool fallback);
    /// Reads a whole number within [minimum, maximum].
    std::uint64_t required_number(std::string const& field, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t optional_number(std::string const& field, std::uint64_t minimum, std::uint64_t maximum,
                                  std::uint64_t fallback);
    /// Reads a decimal number within [minimum, maximum].
    double required_decimal(std::string const& field, double minimum, double maximum);
    double optional_decimal(std::string const& field, double minimum, double maximum, double fallback);
    /// Reads a duration such as 250ms, 10s or 5m, within [minimum, maximum].
    duration required_duration(std::string const& field, duration minimum, duration maximum);
    duration optional_duration(std::string const& field, duration minimum, duration maximum,
                               duration fallback);
    /// Reads a fraction such as 0.5% or 0.005. Returns a number from 0 to 1.
    double optional_fraction(std::string const& field, double fallback);
    std::vector<std::string> required_strings(std::string const& field);
    /// Returns a nested section. A missing section is treated as an empty one, so that its required fields
    /// are reported.
    yaml_section section(std::string const& field);
    bool has(std::string const& field) const;
    /// Calls `read` with the name and the section of each entry of a map.
    void for_each_entry(std::string const& field,
                        std::function<void(std::string const&, yaml_section&)> const& read);

    /// Reports a problem with a field. `message` describes the problem.
    void report(std::string const& field, std::string const& message);

    /// Reports the fields that were never requested.
    void report_unknown_fields();

private:
    YAML::Node find_field(std::string const& field);
    std::optional<std::string> read_scalar(std::string const& field, std::string const& expected);
    std::string field_path(std::string const& field) const;

    YAML::Node m_node;
    std::string m_path;
    settings_problems& m_problems;
    std::set<std::string> m_requested_fields;
};

/// Parses a YAML document and returns its root node. A syntax error is added to `problems`.
YAML::Node parse_yaml(std::string const& text, settings_problems& problems);

/// Parses a duration such as 250ms, 10s or 5m. Returns std::nullopt when `text` is not a duration.
std::optional<duration> parse_duration(std::string const& text);

} // namespace greengagehitch
