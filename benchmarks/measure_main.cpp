#include "measure_main.h"

#include <fmt/core.h>
#include <tclap/CmdLine.h>

namespace greengagehitch {

int run_seeded_measurement(int argc, char** argv, std::string const& description,
                           std::function<int(std::uint64_t seed)> const& measure)
{
    try {
        TCLAP::CmdLine command_line(description, ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the first run", false, 1, "seed",
                                            command_line);
        command_line.parse(argc, argv);
        return measure(seed.getValue());
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return 1;
    }
}

} // namespace greengagehitch
