#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace greengagehitch {

/// Reads --seed from the command line and runs a measurement with it. Returns the exit code.
int run_seeded_measurement(int argc, char** argv, std::string const& description,
                           std::function<int(std::uint64_t seed)> const& measure);

} // namespace greengagehitch
