#pragma once

#include <memory>
#include <string>

#include "base/time.h"

namespace greengagehitch {

/// Counts durations in fixed buckets from 1 ms to 10 s, for the text format of metrics.
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

    /// Lines `name_bucket`, `name_sum` and `name_count`, in seconds. `label` is one pair such as kind="read".
    std::string to_text(std::string const& name, std::string const& label) const;

private:
    struct storage;
    std::unique_ptr<storage> m_storage;
};

} // namespace greengagehitch
