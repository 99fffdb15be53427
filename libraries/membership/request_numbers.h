#pragma once

#include <cstdint>

#include "membership/membership_service.h"

namespace greengagehitch {

/// Returns the number from which a process counts its requests to peers. Processes of one VM that follow each
/// other start from different numbers, so that a late answer to a process that has ended has the number of no
/// request of the next one. The numbers fit into 32 bits.
inline std::uint32_t first_request_number(vm_identity const& identity)
{
    constexpr std::uint64_t first_numbers = std::uint64_t(1) << 31U;
    return static_cast<std::uint32_t>(1 + identity.incarnation % first_numbers);
}

} // namespace greengagehitch
