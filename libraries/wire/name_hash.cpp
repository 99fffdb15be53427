#include "wire/name_hash.h"

#include <xxhash.h>

namespace greengagehitch {

name_hash hash_name(std::string_view name)
{
    return static_cast<name_hash>(XXH64(name.data(), name.size(), 0));
}

} // namespace greengagehitch
