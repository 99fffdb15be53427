#pragma once

#include <functional>
#include <string_view>

#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Returns hooks that call each callback at most once. `on_repeated` receives the name of each hook whose
/// callback was to be called again.
platform_hooks make_single_answer_hooks(platform_hooks hooks,
                                        std::function<void(std::string_view hook)> const& on_repeated);

} // namespace greengagehitch
