#include "measure_report.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include <fmt/core.h>

#include "base/json.h"

namespace greengagehitch {

void measure_report::add_minimum(std::string const& name, double target, double value)
{
    add_target(name, ">=", target, value, value >= target);
}

void measure_report::add_maximum(std::string const& name, double target, double value)
{
    add_target(name, "<=", target, value, value <= target);
}

void measure_report::add_exact(std::string const& name, double target, double value)
{
    add_target(name, "==", target, value, value == target);
}

int measure_report::print() const
{
    Json::Value root(Json::objectValue);
    root["name"] = m_name;
    root["figures"] = m_figures;
    root["bars"] = m_targets;
    fmt::print("{}\n", to_json_line(root));
    return m_are_all_met ? EXIT_SUCCESS : EXIT_FAILURE;
}

void measure_report::add_target(std::string const& name, std::string const& relation, double target,
                                double value, bool is_met)
{
    Json::Value entry(Json::objectValue);
    entry["name"] = name;
    entry["op"] = relation;
    entry["target"] = target;
    entry["value"] = value;
    entry["holds"] = is_met;
    m_targets.append(std::move(entry));
    m_are_all_met = m_are_all_met && is_met;
}

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    auto const index = static_cast<std::size_t>(std::floor(share * static_cast<double>(samples.size() - 1)));
    return samples[index];
}

} // namespace greengagehitch
