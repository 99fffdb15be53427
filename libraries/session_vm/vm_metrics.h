#pragma once

#include <string>

namespace greengagehitch {

class session_vm;

/// Counters, latency histograms and ages of what a VM believes, in the usual text format of metrics.
std::string render_metrics(session_vm& vm);

} // namespace greengagehitch
