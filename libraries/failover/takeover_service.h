#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "failover/failover_lock.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "members/group_registry.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Order to the platform to make a member the leader of its group. The platform refuses an order whose fence
/// is lower than one that it received before for the group, so that a delayed order does not override a newer
/// one.
struct promotion_order {
    std::string group;
    std::string member;
    std::string holder;      ///< Name of the VM that holds the failover lock and sends the order.
    std::uint64_t fence = 0; ///< Fence of the lock; increases whenever the holder or the member changes.
};

/// Sends a promotion order. kOk means that the order was accepted and kFailedPrecondition that it was refused
/// permanently; after any other error it is unknown whether the platform will carry out the order.
using promotion_hook = std::function<void(promotion_order const&, std::function<void(absl::Status)>)>;

enum class takeover_cause { suspected, draining, vanished, evacuated };

inline constexpr std::array takeover_cause_names{
    enum_name<takeover_cause>{takeover_cause::suspected, "suspected"},
    enum_name<takeover_cause>{takeover_cause::draining, "draining"},
    enum_name<takeover_cause>{takeover_cause::vanished, "vanished"},
    enum_name<takeover_cause>{takeover_cause::evacuated, "evacuated"},
};

/// Returns whether the replaced leader still serves and need not be waited for.
constexpr bool is_handover(takeover_cause cause)
{
    return cause == takeover_cause::draining || cause == takeover_cause::evacuated;
}

/// Replaces group leaders that are lost, draining or in an evacuated availability zone. The VM that runs a
/// takeover stops the replicas from receiving and chooses the one with the highest received position. It then
/// acquires the group's failover lock, which one VM holds at a time, and orders the promotion under the
/// lock's fence.
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
    struct member_response {
        log_position received;
        bool is_draining = false;
        bool is_evacuated = false;
        bool is_warming_up = false;
    };

    struct unanswered_order {
        std::string member;
        monotonic_time sent_at;
    };

    /// State of one takeover in progress.
    struct takeover {
        std::uint64_t number = 0; ///< Identifies the takeover, so that callbacks of earlier ones are ignored.
        takeover_cause cause = takeover_cause::suspected;
        monotonic_time started_at;
        std::string old_leader;
        std::uint64_t term = 0; ///< Term of the new leader.
        std::uint64_t row_version = 0;
        std::uint64_t fence = 0;
        monotonic_time lock_acquired_at;
        std::map<std::string, backend_connection_pointer> connections;
        std::map<std::string, member_response> responses;
        std::set<std::string> expected_responders; ///< Ids of the replicas whose responses are awaited.
        std::set<std::string> not_running; ///< Ids of contacted members that are known not to be running.
        bool is_old_leader_stopped = false;
        /// Time at which all proofs of the old leader's leadership have expired; set once the replicas whose
        /// answers are needed have stopped receiving.
        std::optional<monotonic_time> old_leader_expires_at;
        bool is_promoting = false; ///< True once a successor was chosen.
        int order_attempts = 0;    ///< Number of promotion orders that were attempted.
        monotonic_time commands_sent_at;
    };

    void tick();
    void check_group(database_group& group);
    std::optional<takeover_cause> find_cause(database_group& group);
    bool should_start_takeover(database_group const& group) const;
    void start_takeover(database_group& group, takeover_cause cause);
    void acquire_lock(std::string const& group, std::string const& member);
    void stop_replicas(std::string const& group);
    void send_command(std::string const& group, member_entry const& member, member_command command);
    void record_unanswered(std::string const& group, std::string const& member, member_answer const& answer);
    void handle_replication_status(std::string const& group, std::string const& member,
                                   member_answer const& answer);
    void log_replication_status(std::string const& group, std::string const& member,
                                replication_status const& replication) const;
    /// Logs the positions of the members when an order was accepted, to compare them with the successor's.
    void log_members_at_order(std::string const& group);
    void promote_if_chosen(std::string const& group);
    /// Returns false while the old leader may still be used by VMs that have not learned of the takeover.
    bool is_old_leader_out_of_use(std::string const& group);
    bool may_order(std::string const& group, std::string const& member) const;
    std::optional<std::string> choose_successor(database_group& group, takeover const& running) const;
    void send_order(std::string const& group, std::string const& member);
    void handle_order_answer(std::string const& group, std::string const& member, absl::Status const& status);
    void await_leadership(std::string const& group, std::string const& member, int tries);
    void end_takeover(std::string const& group, std::string_view outcome, bool must_resume);
    takeover* find_takeover(std::string const& group, std::uint64_t number = 0);
    void log(std::string_view message, std::string const& group, Json::Value fields = {}) const;

    kernel& m_kernel;
    failover_lock m_lock;
    backend_connection_hooks const& m_connection_hooks;
    promotion_hook m_promote;
    bool m_deposes_replaced_leaders; ///< Whether a promotion ends the replaced leader's leadership at once.
    group_registry* m_groups = nullptr;
    membership_service* m_membership = nullptr;
    report_service* m_reports = nullptr;
    fleet_state* m_fleet = nullptr;
    std::map<std::string, std::unique_ptr<takeover>> m_takeovers;
    std::set<std::string> m_held_locks;                       ///< Groups whose failover lock this VM holds.
    std::map<std::string, monotonic_time> m_leaderless_since; ///< Keyed by group without a known leader.
    /// Last order of each group that was not answered, which the platform may still carry out.
    std::map<std::string, unanswered_order> m_unanswered_orders;
    std::map<std::string, monotonic_time> m_next_takeover_at; ///< Earliest next takeover, keyed by group.
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
