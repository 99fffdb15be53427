#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "brokers/broker_service.h"
#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "members/connection_share.h"
#include "members/database_group.h"
#include "members/warm_up_lease.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Allowance for the requests that all VMs together send to a member that warms up. In any second these are
/// at most the rate of the member's group x rate_factor + tolerated_requests.
struct warm_up_bounds {
    double rate_factor = 1;
    double tolerated_requests = 0;
};

/// All database groups in the directory, with this VM's dispatchers for their members. The broker of a member
/// holds most of the connections that the member accepts; see connection_share. The next VMs in rank may open
/// a few connections, so that they can reach the member while the broker is lost.
class group_registry : public service {
public:
    static constexpr std::string_view service_name = "groups";

    /// `paces_recovery` tells whether a member that started or recovered gets a growing load.
    /// `deposes_replaced_leaders` tells whether a promotion ends the leadership of the replaced leader.
    /// Otherwise leadership is proven before requests are sent to a leader.
    group_registry(kernel& kernel, backend_connection_hooks const& connection_hooks,
                   platform_hooks const& platform, bool deposes_replaced_leaders, warm_up_bounds warm_up,
                   bool paces_recovery = false)
        : m_kernel(kernel), m_connection_hooks(connection_hooks), m_warm_up_lease(kernel, platform),
          m_deposes_replaced_leaders(deposes_replaced_leaders), m_warm_up(warm_up),
          m_paces_recovery(paces_recovery)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Returns the group of that name. Creates it when it is unknown, since classes of work may refer to a
    /// group before its members are listed.
    database_group& group(std::string const& name);
    std::map<std::string, std::unique_ptr<database_group>> const& groups() const { return m_groups; }
    /// Returns the group whose name has this hash, or null when it is unknown.
    database_group* find_group(name_hash hash) const;

    /// Maximum number of connections that this VM may hold to a member of the group.
    std::size_t connection_limit(std::string const& group, std::string const& member) const;

    /// Connections of this VM to one member.
    struct connection_counts {
        std::string member;
        std::size_t connections = 0;
        std::size_t limit = 0;    ///< Number that this VM may hold now.
        std::size_t refusals = 0; ///< Connections that the member has refused over its limit.
        answer_counts unmatched_answers{};
    };
    std::vector<connection_counts> connection_counts_of_members() const;

    /// Finds out whether an order to promote another member than `leader` may still be carried out.
    using order_lookup_hook = std::function<void(std::string const& group, std::string const& leader,
                                                 promotion_guard::lookup_callback done)>;

    /// Sets the function by which commits to leaders that were away, and successes of such commits, are
    /// withheld.
    void set_order_lookup(order_lookup_hook look_for_orders)
    {
        m_look_for_orders = std::move(look_for_orders);
    }

    /// Records that another VM suspects the leader of a group, or knows none, and may order another member to
    /// lead.
    void record_leader_doubt(database_group const& group);

    /// Reports the numbers of this VM's connections to the VMs that must know them. Reports all numbers if
    /// `is_complete` is set, and otherwise those that have changed.
    void report_connections(bool is_complete);

private:
    void record_open_failure(member_entry const& entry, member_error error);
    void apply_member_directory(member_directory const& members);
    /// Logs the members and the leaders that an evacuation affects.
    void log_evacuation(std::string const& zone, bool is_evacuated) const;
    void add_member(member_entry const& entry);
    void remove_member(member_entry const& entry);
    void guard_leadership(member_entry const& entry, member_dispatcher::options& options);
    std::shared_ptr<promotion_guard> make_promotion_guard(member_entry const& entry) const;
    bool replicates_synchronously(std::string const& group) const;
    /// Returns the configured limits of a group, or null if there are none.
    group_limits const* limits_of(std::string const& group) const;
    std::shared_ptr<warm_up_gate> gate_of(member_entry const& entry);
    /// Returns the number of requests in a second that the member at an address accepts, or no value if it is
    /// not warming up.
    std::optional<std::size_t> warm_up_limit(std::string const& group, endpoint const& address);

    kernel& m_kernel;
    backend_connection_hooks const& m_connection_hooks;
    warm_up_lease m_warm_up_lease;
    bool m_deposes_replaced_leaders;
    warm_up_bounds m_warm_up;
    /// Keyed by the address of the member, since a restarted member has another entry for a time.
    std::map<std::string, std::shared_ptr<warm_up_gate>> m_warm_up_gates;
    bool m_paces_recovery;
    bool m_has_directory = false; ///< Whether the members that ran before this VM are known.
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    broker_service* m_brokers = nullptr;
    std::map<std::string, std::shared_ptr<member_dispatcher>> m_dispatchers; ///< Keyed by member id.
    std::map<std::string, connection_share> m_shares;                        ///< Keyed by member id.
    std::map<std::string, held_connections> m_reported_connections;          ///< Keyed by member id.
    monotonic_time m_next_complete_report_at;
    monotonic_time m_next_refusal_log_at;
    order_lookup_hook m_look_for_orders; ///< Empty if this VM runs no takeovers.
    std::map<std::string, std::unique_ptr<database_group>> m_groups;
    std::unordered_map<name_hash, database_group*>
        m_group_of_hash; ///< Keyed by the hash of the group's name.
};

} // namespace greengagehitch
