#pragma once

#include <functional>
#include <optional>
#include <string>

#include "kernel/kernel.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Lease that lets one VM of the fleet send requests to a member that warms up, kept as a row in the
/// platform's store. The holder alone paces the member, so that the member's limit holds over all VMs. A VM
/// that cannot reach the store gets no lease. Leases are not handed over: a member whose holder is lost gets
/// nothing until the lease has ended.
class warm_up_lease {
public:
    /// Receives the time until which this VM holds the lease, or no value if it does not get it.
    using claim_callback = std::function<void(std::optional<monotonic_time>)>;

    warm_up_lease(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform) {}

    /// Claims the lease of a member at `address` for `lifetime`, or extends it. `holder` must differ between
    /// incarnations of a VM, since a new one does not know what the last one has sent.
    void claim(std::string const& holder, std::string const& address, duration lifetime, claim_callback done);

private:
    kernel& m_kernel;
    platform_hooks const& m_platform;
};

} // namespace greengagehitch
