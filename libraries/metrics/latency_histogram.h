#pragma once

#include <memory>
#include <string>

#include "base/time.h"

namespace greengagehitch {

/// Counts durations in fixed buckets from 1 ms to 10 s and writes them in the text format of Prometheus
/// metrics.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram const&) = delete;
    latency_histogram& operator=(latency_histogram const&) = delete;
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);

    std::uint64_t count() const;

    /// Returns the lines `name_bucket`, `name_sum` and `name_count`; bucket bounds and the sum are in
    /// seconds. `label` is one label with its value, such as kind="read".
    std::string to_text(std::string const& name, std::string const& label) const;

private:
    struct storage;
    std::unique_ptr<storage> m_storage;
};

} // namespace greengagehitch
