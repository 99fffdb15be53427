#pragma once

#include "base/time.h"
#include "fleet/served_configuration.h"

namespace greengagehitch {

/// Bounds the operations that may be admitted for an account: in any interval of length `window` at most
/// rate x window + burst, plus a tolerance for the error of distributed counting.
struct rate_bounds {
    duration window = std::chrono::seconds(5);
    double tolerated_share = 0.1;     ///< Tolerance as a fraction of the operations that the window allows.
    double tolerated_operations = 20; ///< Further tolerance, in operations per window.
};

/// Longest time for which a token may be used after its owner lent it. A lent token that is not used by then
/// is lost.
constexpr duration lent_token_lifetime = std::chrono::milliseconds(100);

/// Returns the operations that the account may run in one window, without the tolerance.
double operations_per_window(rate_bounds const& bounds, account_limit const& limit);

/// Returns the operations per second that an account may sustain in the whole fleet.
double sustained_rate(rate_bounds const& bounds, account_limit const& limit);

/// Returns the number of tokens that the owners of the account's rate may hold in the whole fleet. It bounds
/// the operations that are admitted at once beyond the sustained rate.
double fleet_token_capacity(rate_bounds const& bounds, account_limit const& limit);

} // namespace greengagehitch
