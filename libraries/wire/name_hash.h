#pragma once

#include <string_view>

#include "wire/peer_messages.h"

namespace greengagehitch {

/// Returns the hash by which reports refer to a VM, availability zone, client account or database group.
name_hash hash_name(std::string_view name);

} // namespace greengagehitch
