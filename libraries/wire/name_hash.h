#pragma once

#include <string_view>

#include "wire/peer_messages.h"

namespace greengagehitch {

/// Short name by which reports refer to a VM, client account or group.
name_hash hash_name(std::string_view name);

} // namespace greengagehitch
