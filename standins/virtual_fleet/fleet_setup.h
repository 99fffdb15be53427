#pragma once

#include <map>
#include <string>
#include <vector>

#include "virtual_fleet.h"

namespace greengagehitch::standin {

/// Configuration and keys that tests and measurements of the virtual fleet use.
struct fleet_setup {
    std::string document;
    std::vector<key_record> keys;
    std::map<std::string, std::string> key_of_account; ///< Keys as callers send them.
};

/// Classes named after what they do, over all databases of the shape, and `accounts` client accounts with the
/// given rate and burst.
fleet_setup make_setup(deployment_shape const& shape, std::size_t accounts, double rate, double burst);

/// Name of the client account with this number.
std::string account_name(std::size_t number);

} // namespace greengagehitch::standin
