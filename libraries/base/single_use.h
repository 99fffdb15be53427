#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace greengagehitch {

/// Returns a callback that passes its first call on to `callback`, and calls `on_repeated` for each further
/// one. An answer that arrives twice must not be taken for two.
template <typename... Arguments>
std::function<void(Arguments...)> single_use(std::function<void(Arguments...)> callback,
                                             std::function<void()> on_repeated)
{
    return [remaining = std::make_shared<std::function<void(Arguments...)>>(std::move(callback)),
            on_repeated = std::move(on_repeated)](Arguments... arguments) {
        if (auto const call = std::exchange(*remaining, nullptr)) {
            call(std::forward<Arguments>(arguments)...);
        }
        else if (on_repeated) {
            on_repeated();
        }
    };
}

} // namespace greengagehitch
