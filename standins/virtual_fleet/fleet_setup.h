#pragma once

#include <map>
#include <string>
#include <vector>

#include "virtual_fleet.h"

namespace greengagehitch::standin {

/// Configuration and keys for tests and benchmarks on the virtual fleet.
struct fleet_setup {
    std::string document; ///< Configuration as YAML text.
    std::vector<key_record> keys;
    /// Keys as callers send them, keyed by client account.
    std::map<std::string, std::string> key_of_account;
};

/// Makes a configuration with one class of work for each kind of access and freshness, each over all
/// databases of the shape, and with `accounts` client accounts that have the given rate and burst.
fleet_setup make_setup(deployment_shape const& shape, std::size_t accounts, double rate, double burst);

/// Returns the name of a client account; numbers start at 0, names at "account-1".
std::string account_name(std::size_t number);

} // namespace greengagehitch::standin
