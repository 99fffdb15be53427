#pragma once

#include <string_view>

namespace greengagehitch {

/// Logs a violated invariant to standard error and aborts the process.
[[noreturn]] void report_broken_invariant(std::string_view condition, std::string_view file, int line);

} // namespace greengagehitch

/// Checks an invariant in every build type. A violation aborts the process, because continuing could
/// acknowledge a write that is then lost.
#define VERIFY(condition)                                                                                    \
    do {                                                                                                     \
        if (!(condition)) [[unlikely]] {                                                                     \
            ::greengagehitch::report_broken_invariant(#condition, __FILE__, __LINE__);                       \
        }                                                                                                    \
    } while (false)
