#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "brokers/broker_choice.h"
#include "brokers/relay_messages.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Reports how many connections VMs hold to members, so that the VMs that hold most of them stay within the
/// number that a member accepts.
class connection_reports {
public:
    struct hooks {
        std::function<void(std::string const& vm, connection_report const&)> send;
        std::function<void(std::string const& vm, held_connections const&)> on_report;
    };

    connection_reports(kernel& kernel, membership_service const& membership, broker_choice& choice,
                       hooks hooks)
        : m_kernel(kernel), m_membership(membership), m_choice(choice), m_hooks(std::move(hooks))
    {
    }

    /// Sends the numbers of this VM's connections to the VMs that must know them: the broker of each member
    /// and its first successors.
    void send(std::vector<held_connections> const& held);

    /// Passes on the report of a peer, unless it is not valid.
    void handle(connection_report const& report);

    void remove_member(std::string const& member) { m_reported_to.erase(member); }

private:
    kernel& m_kernel;
    membership_service const& m_membership;
    broker_choice& m_choice;
    hooks m_hooks;
    /// VMs that were last sent a report of this VM's connections, keyed by member id.
    std::map<std::string, broker_order> m_reported_to;
    monotonic_time m_next_warning_at; ///< Earliest time of the next log line about a malformed report.
};

} // namespace greengagehitch
