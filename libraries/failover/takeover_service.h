#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "brokers/broker_service.h"
#include "failover/failover_lock.h"
#include "failover/group_takeover.h"
#include "failover/order_lookup.h"
#include "failover/roster_service.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "members/group_registry.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Starts a takeover for each group whose leader is lost, draining or in an evacuated availability zone, if
/// this VM is the one that has to. See group_takeover.
class takeover_service : public service {
public:
    static constexpr std::string_view service_name = "takeover";

    takeover_service(kernel& kernel, platform_hooks const& platform,
                     backend_connection_hooks const& connection_hooks, promotion_hook promote,
                     bool deposes_replaced_leaders)
        : m_kernel(kernel), m_lock(kernel, platform), m_connection_hooks(connection_hooks),
          m_promote(std::move(promote)), m_deposes_replaced_leaders(deposes_replaced_leaders)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

private:
    /// What this VM knows of the orders of other VMs for one group.
    struct lock_watch {
        bool is_responsible = false;
        bool must_read = false;
        bool is_reading = false;
        monotonic_time requested_at; ///< Time of the last request for a read.
        monotonic_time next_check_at;
        monotonic_time next_read_at;
        std::optional<monotonic_time> read_at; ///< Time at which the last answered read was sent.
    };

    void tick();
    void check_group(database_group& group);
    std::optional<takeover_cause> find_cause(database_group& group);
    /// Returns whether the platform may still carry out an order that it did not answer. It may replace a
    /// leader that has returned, so another order has to be answered first.
    bool has_outstanding_order(std::string const& group) const;
    bool should_start_takeover(database_group const& group) const;
    void start_takeover(database_group& group, takeover_cause cause);
    void handle_end(std::string const& group);
    /// Looks for an order of another VM without an answer when this VM becomes the one that has to act for
    /// the group: that VM may be gone.
    void watch_responsibility(database_group const& group);
    void request_lock_read(lock_watch& watch);
    void read_lock(std::string const& group);
    void handle_claim(std::string const& group, lock_claim const& claim);

    kernel& m_kernel;
    failover_lock m_lock;
    monotonic_time m_started_at;
    backend_connection_hooks const& m_connection_hooks;
    promotion_hook m_promote;
    bool m_deposes_replaced_leaders; ///< Whether a promotion ends the replaced leader's leadership at once.
    group_registry* m_groups = nullptr;
    membership_service* m_membership = nullptr;
    report_service* m_reports = nullptr;
    fleet_state* m_fleet = nullptr;
    roster_service* m_rosters = nullptr;
    broker_service* m_brokers = nullptr;
    std::optional<order_lookup> m_order_lookup;                         ///< Set when the service starts.
    std::map<std::string, std::shared_ptr<group_takeover>> m_takeovers; ///< Keyed by group.
    std::set<std::string> m_held_locks;                       ///< Groups whose failover lock this VM holds.
    std::map<std::string, monotonic_time> m_leaderless_since; ///< Keyed by group without a known leader.
    std::map<std::string, std::optional<unanswered_order>> m_last_orders; ///< Keyed by group.
    std::map<std::string, lock_watch> m_lock_watches;                     ///< Keyed by group.
    std::map<std::string, monotonic_time> m_next_takeover_at; ///< Earliest next takeover, keyed by group.
};

} // namespace greengagehitch
