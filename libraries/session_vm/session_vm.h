#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "failover/takeover_service.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"
#include "sessions/session_engine.h"

namespace greengagehitch {

/// Everything that a VM which serves sessions needs from outside. Callbacks never run inside the call that
/// takes them.
struct session_vm_hooks {
    kernel_hooks kernel;
    std::function<void(endpoint const&, std::string datagram)> send_datagram;
    backend_connection_hooks connections;
    channel_hooks channels;
    platform_hooks platform;
    promotion_hook promote;
};

struct session_vm_settings {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;
    double processor_share = 1; ///< Of a core.
    std::string fleet_secret;
    session_engine_settings sessions;
    rate_bounds rates;
};

/// A whole VM that serves sessions, as one object without I/O, threads or a clock of its own.
class session_vm {
public:
    session_vm(session_vm_settings const& settings, session_vm_hooks hooks);

    void start();
    void handle_datagram(std::string const& datagram);

    /// Takes no new work, and calls `drained` when nothing is under way any more.
    void drain(std::function<void()> drained);

    session_engine& sessions() { return *m_sessions; }
    fleet_state& fleet() { return *m_fleet; }
    broker_service& brokers() { return m_kernel.find<broker_service>(broker_service::service_name); }
    report_service& reports() { return m_kernel.find<report_service>(report_service::service_name); }
    Json::Value dump() const;

private:
    session_vm_hooks m_hooks;
    std::string m_name;
    kernel m_kernel;
    fleet_state* m_fleet = nullptr;
    session_engine* m_sessions = nullptr;
};

} // namespace greengagehitch
