#include "wire/short_names.h"

#include <xxhash.h>

namespace greengagehitch {

short_name to_short_name(std::string_view name)
{
    return static_cast<short_name>(XXH64(name.data(), name.size(), 0));
}

} // namespace greengagehitch
