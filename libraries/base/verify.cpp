#include "base/verify.h"

#include <cstdlib>

#include <fmt/core.h>

namespace greengagehitch {

void report_broken_invariant(std::string_view condition, std::string_view file, int line)
{
    fmt::print(stderr, "{{\"level\":\"fatal\",\"message\":\"invariant violated: {}\",\"at\":\"{}:{}\"}}\n",
               condition, file, line);
    std::abort();
}

} // namespace greengagehitch
