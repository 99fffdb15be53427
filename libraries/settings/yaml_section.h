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

/// Problem in a YAML document, with the line where it stands.
struct settings_problem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 when the problem belongs to the whole file.
    std::string message;

    std::string to_string() const;
};

/// Collects the problems of one document, so that a user sees all of them at once.
class settings_problems {
public:
    explicit settings_problems(std::string file) : m_file(std::move(file)) {}

    void add(YAML::Node const& at, std::string message);
    void add_at_line(int line, std::string message);
    bool is_empty() const { return m_problems.empty(); }

    /// All problems, one on a line, as an InvalidArgument status; OK when there are none.
    absl::Status to_status() const;

private:
    std::string m_file;
    std::vector<settings_problem> m_problems;
};

/// Map in a YAML document whose fields are read one by one. Each reader says what it expected when the field
/// is missing or wrong; finish() reports the fields that nobody asked for.
class yaml_section {
public:
    yaml_section(YAML::Node const& node, std::string path, settings_problems& problems);

    std::string required_string(std::string const& field);
    std::string optional_string(std::string const& field, std::string fallback);
    bool optional_bool(std::string const& field, bool fallback);
    /// Whole number within [minimum, maximum].
    std::uint64_t required_number(std::string const& field, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t optional_number(std::string const& field, std::uint64_t minimum, std::uint64_t maximum,
                                  std::uint64_t fallback);
    /// Decimal number within [minimum, maximum].
    double required_decimal(std::string const& field, double minimum, double maximum);
    /// Length of time such as 250ms, 10s or 5m.
    duration required_duration(std::string const& field, duration minimum, duration maximum);
    duration optional_duration(std::string const& field, duration minimum, duration maximum,
                               duration fallback);
    /// Share such as 0.5% or 0.005.
    double optional_share(std::string const& field, double fallback);
    std::vector<std::string> required_strings(std::string const& field);
    /// Sub-section; an absent one reads as empty, so that its required fields are reported.
    yaml_section section(std::string const& field);
    bool has(std::string const& field) const;
    /// Runs `read` for each entry of a map, with its name.
    void for_each_entry(std::string const& field,
                        std::function<void(std::string const&, yaml_section&)> const& read);

    /// Reports a problem with a field by its own words.
    void report(std::string const& field, std::string const& message);

    /// Reports unknown fields.
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

/// Parses text into a root section's node; a syntax error is recorded as a problem.
YAML::Node parse_yaml(std::string const& text, settings_problems& problems);

/// Parses a length of time such as 250ms, 10s or 5m.
std::optional<duration> parse_duration(std::string const& text);

} // namespace greengagehitch
