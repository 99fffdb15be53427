#pragma once

#include <string>
#include <vector>

#include <json/value.h>

namespace greengagehitch {

/// Figures of one measurement and the target values that some of them must meet.
class measure_report {
public:
    explicit measure_report(std::string name) : m_name(std::move(name)) {}

    void add_figure(std::string const& name, Json::Value value) { m_figures[name] = std::move(value); }

    /// Adds a target that is met if `value` is at least, at most, or exactly `target`.
    void add_minimum(std::string const& name, double target, double value);
    void add_maximum(std::string const& name, double target, double value);
    void add_exact(std::string const& name, double target, double value);

    /// Prints the report as one JSON object on the last line of the output. Returns the exit code of the
    /// process: success if all targets are met.
    int print() const;

private:
    void add_target(std::string const& name, std::string const& relation, double target, double value,
                    bool is_met);

    std::string m_name;
    Json::Value m_figures{Json::objectValue};
    Json::Value m_targets{Json::arrayValue};
    bool m_are_all_met = true;
};

/// Returns the sample at fraction `share` (0 to 1) of the sorted samples; 0 without samples.
double quantile(std::vector<double> samples, double share);

} // namespace greengagehitch
