#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "failover/takeover_service.h"
#include "fleet/document_exchange.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"
#include "sessions/session_engine.h"

namespace greengagehitch {

/// External functions that a session VM uses: clock, timers, log, network, members and platform. Callbacks
/// are never called within the call that receives them.
struct session_vm_hooks {
    kernel_hooks kernel;
    std::function<void(endpoint const&, std::string datagram)> send_datagram;
    backend_connection_hooks connections;
    channel_hooks channels;
    platform_hooks platform;
    promotion_hook promote;
};

/// Settings of a session VM.
struct session_vm_settings {
    std::string name;
    std::string availability_zone;
    endpoint peer_endpoint;     ///< Address at which peers reach this VM.
    double processor_share = 1; ///< Processor time that the VM may use, as a fraction of one core.
    std::string fleet_secret;   ///< Secret that all VMs of the fleet share.
    session_engine_settings sessions;
    /// Whether the platform checks the fences of promotion orders and ends the replaced leader's leadership
    /// when it promotes a member.
    bool deposes_replaced_leaders = true;
    rate_bounds rates; ///< Bounds on the operations that are admitted for an account.
    /// Time from the confirmation of an evacuation's request until the members of the zone must get no more
    /// requests.
    duration evacuation_limit = default_evacuation_limit;
    warm_up_bounds warm_up; ///< Allowance for requests to members that warm up.
};

/// Complete VM that serves sessions, as one object. It performs no I/O, starts no threads and reads no clock
/// except through its hooks.
class session_vm {
public:
    session_vm(session_vm_settings const& settings, session_vm_hooks hooks);

    /// Starts all services.
    void start();

    /// Handles a datagram that was received from a peer.
    void handle_datagram(std::string const& datagram);

    /// Accepts no new work, and calls `drained` when all work in progress has ended.
    void drain(std::function<void()> drained);

    session_engine& sessions() { return *m_sessions; }
    fleet_state& fleet() { return *m_fleet; }
    broker_service& brokers() { return m_kernel.find<broker_service>(broker_service::service_name); }
    document_exchange& documents()
    {
        return m_kernel.find<document_exchange>(document_exchange::service_name);
    }
    report_service& reports() { return m_kernel.find<report_service>(report_service::service_name); }

    /// Returns the state of all services for operators.
    Json::Value dump() const;

private:
    session_vm_hooks m_hooks;
    std::string m_name;
    kernel m_kernel;
    fleet_state* m_fleet = nullptr;
    session_engine* m_sessions = nullptr;
};

} // namespace greengagehitch
