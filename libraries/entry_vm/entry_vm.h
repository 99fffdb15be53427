#pragma once

#include <functional>
#include <memory>
#include <string>

#include "configuration/configuration_service.h"
#include "database/batch.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"
#include "request/request_service.h"

namespace greengagehitch {

/// External functions that an entry VM uses: clock, timers, log, network, database and platform. Callbacks
/// are never called within the call that receives them.
struct entry_vm_hooks {
    kernel_hooks kernel;
    std::function<void(endpoint const&, std::string datagram)> send_datagram;
    database_hooks database;
    platform_hooks platform;
    /// Called with the client account of each admitted request whose client account has a limit. May be
    /// empty.
    std::function<void(std::string const& client_account)> on_admitted;
};

/// Settings of an entry VM.
struct entry_vm_settings {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;   ///< Address at which peers reach this VM.
    std::string fleet_secret; ///< Secret that all VMs of the fleet share.
};

/// Complete entry VM as one object. It makes all decisions, but performs no I/O, starts no threads and reads
/// no clock except through its hooks, so that one process can run hundreds of entry VMs.
class entry_vm {
public:
    entry_vm(entry_vm_settings const& settings, entry_vm_hooks hooks);

    /// Starts all services.
    void start();

    /// Handles a caller's request and passes the answer to `reply`.
    void handle_request(caller_request request, caller_reply reply);

    /// Handles a datagram that was received from a peer.
    void handle_datagram(std::string const& datagram);

    /// Accepts no new work, notifies peers, and calls `drained` when all work in progress has ended.
    void drain(std::function<void()> drained);

    /// Returns the state of all services for operators. The result contains no keys.
    Json::Value dump() const;

    /// Returns the codec for the session tokens of the fleet that has this secret.
    static session_codec make_session_codec(std::string const& fleet_secret);

    configuration_service& configuration();
    kernel& service_kernel() { return m_kernel; }

private:
    entry_vm_hooks m_hooks;
    std::string m_name;
    kernel m_kernel;
};

} // namespace greengagehitch
