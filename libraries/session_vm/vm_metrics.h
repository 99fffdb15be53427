#pragma once

#include <string>

namespace greengagehitch {

class session_vm;

/// Renders the metrics of a VM in the Prometheus text format: counters, latency histograms, version and age
/// of the configuration, and for each group the leader's term and the age of its confirmation.
std::string render_metrics(session_vm& vm);

} // namespace greengagehitch
