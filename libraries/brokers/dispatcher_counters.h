#pragma once

#include <array>
#include <cstdint>

#include <json/value.h>

#include "brokers/admission.h"

namespace greengagehitch {

/// Counters of one dispatcher since its start.
struct dispatcher_counters {
    std::uint64_t started = 0;
    std::uint64_t trials = 0; ///< Requests started while all slots were held by overdue ones.
    std::array<std::uint64_t, admission_result_names.size()> decisions{};
    std::uint64_t expired = 0; ///< Requests that were admitted and then waited for too long.
    duration expected_wait{};  ///< Sum of the waits expected for the requests that started.
    duration true_wait{};      ///< Sum of their true waits.

    void count(admission_result result) { ++decisions[static_cast<std::size_t>(result)]; }

    /// Returns the counters less those of `before`, with the mean waits.
    Json::Value to_json(dispatcher_counters const& before) const;
};

} // namespace greengagehitch
