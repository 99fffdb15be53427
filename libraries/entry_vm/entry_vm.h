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

/// Everything that an entry VM needs from outside. Callbacks never run inside the call that takes them.
struct entry_vm_hooks {
    kernel_hooks kernel;
    std::function<void(endpoint const&, std::string datagram)> send_datagram;
    database_hooks database;
    platform_hooks platform;
    /// Told of each request of a limited client account that is admitted; may be empty.
    std::function<void(std::string const& client_account)> on_admitted;
};

struct entry_vm_settings {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;
    std::string fleet_secret;
};

/// A whole entry VM as one object: it holds all decisions and does no I/O, starts no thread and reads no
/// clock but the hooks'. Hundreds may live in one process.
class entry_vm {
public:
    entry_vm(entry_vm_settings const& settings, entry_vm_hooks hooks);

    /// Starts all services.
    void start();

    void handle_request(caller_request request, caller_reply reply);
    void handle_datagram(std::string const& datagram);

    /// Takes no new work, tells peers, and calls `drained` when nothing is under way any more.
    void drain(std::function<void()> drained);

    /// State of all services, without any key.
    Json::Value dump() const;

    /// Codec of the session tokens that a fleet with this secret writes.
    static session_codec make_session_codec(std::string const& fleet_secret);

    configuration_service& configuration();
    kernel& service_kernel() { return m_kernel; }

private:
    entry_vm_hooks m_hooks;
    std::string m_name;
    kernel m_kernel;
};

} // namespace greengagehitch
