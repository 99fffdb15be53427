#include "metrics/latency_histogram.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace greengagehitch {

namespace {

namespace histograms = boost::histogram;

/// Bucket bounds in seconds. They are closest together in the range of the latency targets.
auto make_histogram()
{
    return histograms::make_histogram(histograms::axis::variable<>(
        {0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0, 10.0}));
}

} // namespace

struct latency_histogram::storage {
    decltype(make_histogram()) buckets = make_histogram();
    double sum = 0;
    std::uint64_t count = 0;
};

latency_histogram::latency_histogram() : m_storage(std::make_unique<storage>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration value)
{
    auto const seconds = std::chrono::duration<double>(value).count();
    m_storage->buckets(seconds);
    m_storage->sum += seconds;
    ++m_storage->count;
}

std::uint64_t latency_histogram::count() const
{
    return m_storage->count;
}

std::string latency_histogram::to_text(std::string const& name, std::string const& label) const
{
    std::string text;
    double cumulative_count = 0;
    for (auto const& bucket : histograms::indexed(m_storage->buckets)) {
        cumulative_count += *bucket;
        text += fmt::format("{}_bucket{{{},le=\"{:g}\"}} {:.0f}\n", name, label, bucket.bin().upper(),
                            cumulative_count);
    }
    text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, label, m_storage->count);
    text += fmt::format("{}_sum{{{}}} {}\n", name, label, m_storage->sum);
    text += fmt::format("{}_count{{{}}} {}\n", name, label, m_storage->count);
    return text;
}

} // namespace greengagehitch
