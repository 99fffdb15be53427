#include "brokers/request_cancellation.h"

#include <utility>

namespace greengagehitch {

void request_cancellation::cancel()
{
    m_is_cancelled = true;
    for (auto const& hook : std::exchange(m_hooks, {})) {
        hook();
    }
}

} // namespace greengagehitch
