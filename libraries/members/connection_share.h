#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "kernel/kernel.h"

namespace greengagehitch {

/// Part that a VM has in the connections to a member.
enum class connection_role {
    broker,        ///< Holds the connections for all VMs.
    former_broker, ///< Is still taken for the broker by some VMs, and keeps what it held.
    standby,       ///< Ranks behind the broker, or hands its members over, and may hold part of the reserve.
    other,
};

/// Decides how many connections this VM may hold to one member, so that all VMs together stay within the
/// number that the member accepts. The broker leaves a reserve to the standby VMs and, if that is more, what
/// other VMs may hold according to their reports, because the broker changes or VMs disagree on it. When the
/// member refuses a connection nonetheless, for instance because connections of a lost VM remain, the limit
/// falls to the number held then and rises again step by step.
class connection_share {
public:
    /// Number of VMs that may hold part of the reserve: the first two behind the broker, and one that hands
    /// the member over.
    static constexpr std::size_t reserve_parts = 3;

    /// Returns the largest number of connections that this VM may hold at a member which accepts `accepted`.
    /// At least 1.
    std::size_t limit(connection_role role, std::size_t accepted, monotonic_time now) const;

    /// Records how many connections another VM reports to hold, and the limit up to which it may open further
    /// ones before its next report. A report without a successor stands for the connections only, and expires
    /// after the time for which a member keeps the connections of a VM that is lost.
    void record_report(std::string const& vm, std::size_t connections, std::size_t limit, monotonic_time now);
    /// Records how many connections this VM holds as the broker, which it may keep as a former broker.
    void record_held_as_broker(std::size_t held) { m_held_as_broker = held; }
    /// Discards the report of a VM whose process has ended, which closes its connections.
    void forget(std::string const& vm) { m_reports.erase(vm); }

    /// Records that the member refused a connection over its limit while this VM held `held`.
    void record_refusal(std::size_t held, monotonic_time now);

    /// Number of connections that other VMs may hold according to their reports.
    std::size_t left_to_others(monotonic_time now) const;
    /// Number of connections that the member has refused.
    std::size_t refusals() const { return m_refusals; }

private:
    struct report {
        std::size_t connections = 0;
        std::size_t limit = 0;
        monotonic_time received_at;
    };

    std::map<std::string, report> m_reports; ///< Keyed by VM name.
    std::size_t m_held_as_broker = 0;
    std::size_t m_held_at_refusal = 0;
    std::optional<monotonic_time> m_refused_at;
    std::size_t m_refusals = 0;
};

} // namespace greengagehitch
