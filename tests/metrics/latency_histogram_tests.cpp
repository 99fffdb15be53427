#include <criterion/criterion.h>

#include "metrics/latency_histogram.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

Test(latency_histogram, durations_are_counted_in_every_bucket_with_a_larger_bound)
{
    latency_histogram histogram;
    histogram.record(3ms);
    histogram.record(150ms);
    histogram.record(30s);
    auto const text = histogram.to_text("latency_seconds", "kind=\"read\"");
    cr_assert(text.find("latency_seconds_bucket{kind=\"read\",le=\"0.002\"} 0\n") != std::string::npos);
    cr_assert(text.find("latency_seconds_bucket{kind=\"read\",le=\"0.005\"} 1\n") != std::string::npos);
    cr_assert(text.find("latency_seconds_bucket{kind=\"read\",le=\"0.2\"} 2\n") != std::string::npos);
    cr_assert(text.find("latency_seconds_bucket{kind=\"read\",le=\"10\"} 2\n") != std::string::npos);
    cr_assert(text.find("latency_seconds_bucket{kind=\"read\",le=\"+Inf\"} 3\n") != std::string::npos);
    cr_assert(text.find("latency_seconds_count{kind=\"read\"} 3\n") != std::string::npos);
}

Test(latency_histogram, empty_histogram_reports_zero)
{
    latency_histogram const histogram;
    cr_assert(histogram.count() == 0);
    cr_assert(histogram.to_text("a", "b=\"c\"").find("a_sum{b=\"c\"} 0\n") != std::string::npos);
}
