#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace greengagehitch {

/// Runs `measure` with the seed given by --seed on the command line (default 1). Returns the exit code of the
/// process.
int run_seeded_measurement(int argc, char** argv, std::string const& description,
                           std::function<int(std::uint64_t seed)> const& measure);

} // namespace greengagehitch
