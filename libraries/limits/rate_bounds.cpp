#include "limits/rate_bounds.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Fraction of the tolerance that the owners of an account's rate may hold together. The rest covers lent
/// tokens and errors of VMs that compute their shares from different reports.
constexpr double used_tolerance_share = 0.6;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double operations_per_window(rate_bounds const& bounds, account_limit const& limit)
{
    return limit.rate * seconds(bounds.window) + limit.burst;
}

double sustained_rate(rate_bounds const& bounds, account_limit const& limit)
{
    return operations_per_window(bounds, limit) / seconds(bounds.window);
}

double fleet_token_capacity(rate_bounds const& bounds, account_limit const& limit)
{
    auto const allowed = operations_per_window(bounds, limit);
    auto const tolerated = bounds.tolerated_share * allowed + bounds.tolerated_operations;
    return std::min(allowed, used_tolerance_share * tolerated);
}

} // namespace greengagehitch
