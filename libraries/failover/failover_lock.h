#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "kernel/kernel.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Receives the fence of a claim. kAborted: another VM holds the duty; any other error: the store did not
/// answer.
using lock_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;

/// The duty to order promotions for a group, as a row in the platform's store. One VM holds it at a time, by
/// a conditional write; the row's own clock tells for how long others have to stay away.
class failover_lock {
public:
    failover_lock(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform) {}

    /// Claims the duty in order to promote `member`, or renews the claim. The fence grows whenever holder or
    /// member change.
    void acquire(std::string const& holder, std::string const& group, std::string const& member,
                 lock_callback done);

private:
    struct lock_row {
        std::string holder;
        std::string member;
        std::uint64_t fence = 0;
        std::int64_t claimed_at_ms = 0; ///< On the store's clock.
    };

    static lock_row parse(table_row const& row);
    void write(std::string const& group, std::uint64_t version, lock_row const& row, lock_callback done);

    kernel& m_kernel;
    platform_hooks const& m_platform;
};

} // namespace greengagehitch
