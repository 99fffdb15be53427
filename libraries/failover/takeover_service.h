#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <absl/status/status.h>

#include "failover/duty_claims.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "members/group_registry.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Order to the platform to make a member the leader of its group. The platform refuses an order whose fence
/// is lower than one it has seen for the group, also when the order arrives late.
struct promotion_order {
    std::string group;
    std::string member;
    std::string holder;      ///< VM that gives the order.
    std::uint64_t fence = 0; ///< Grows whenever holder or member change.
};

/// Gives an order. kOk: accepted; kFailedPrecondition: refused for good; any other error leaves open whether
/// it will be carried out.
using promotion_hook = std::function<void(promotion_order const&, std::function<void(absl::Status)>)>;

enum class takeover_cause { suspected, draining, vanished };

inline constexpr std::array takeover_cause_names{
    enum_name<takeover_cause>{takeover_cause::suspected, "suspected"},
    enum_name<takeover_cause>{takeover_cause::draining, "draining"},
    enum_name<takeover_cause>{takeover_cause::vanished, "vanished"},
};

/// Replaces leaders that are lost or about to leave. One VM at a time holds the duty for a group, by a
/// conditional write to the platform's store; it stops the replicas, takes the one that received most, and
/// gives the order under a fence that grows with each holder and member.
class takeover_service : public service {
public:
    static constexpr std::string_view service_name = "takeover";

    takeover_service(kernel& kernel, platform_hooks const& platform, link_hooks const& links,
                     promotion_hook promote)
        : m_kernel(kernel), m_claims(kernel, platform), m_links(links), m_promote(std::move(promote))
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

private:
    struct heard_member {
        log_position received;
        bool is_draining = false;
    };

    /// One replacement of a leader under way.
    struct takeover {
        std::uint64_t number = 0;
        takeover_cause cause = takeover_cause::suspected;
        monotonic_time started;
        std::string old_leader;
        std::uint64_t term = 0; ///< The new one.
        std::uint64_t row_version = 0;
        std::uint64_t fence = 0;
        monotonic_time claimed_at;
        std::map<std::string, link_pointer> links;
        std::map<std::string, heard_member> heard;
        std::set<std::string> expected; ///< Replicas that may hold commits.
        std::set<std::string> dead;     ///< Of these, those that surely do not run.
        bool is_old_leader_stopped = false;
        bool is_ordering = false;
        int orders = 0;
        monotonic_time questions_at;
    };

    void tick();
    void look_at(database_group& group);
    std::optional<takeover_cause> find_cause(database_group& group);
    bool is_my_turn(database_group const& group) const;
    void begin(database_group& group, takeover_cause cause);
    void claim_duty(std::string const& group, std::string const& member);
    void stop_replicas(std::string const& group);
    void ask(std::string const& group, member_entry const& member, member_command command);
    void note_unanswered(std::string const& group, std::string const& member, member_answer const& answer);
    void take_standing(std::string const& group, std::string const& member, member_answer const& answer);
    void decide(std::string const& group);
    std::optional<std::string> choose(database_group& group, takeover const& running) const;
    void give_order(std::string const& group, std::string const& member);
    void take_order_answer(std::string const& group, std::string const& member, absl::Status const& status);
    void await_lead(std::string const& group, std::string const& member, int tries);
    void end(std::string const& group, std::string_view outcome, bool must_resume);
    takeover* find(std::string const& group, std::uint64_t number = 0);
    void log(std::string_view message, std::string const& group, Json::Value fields = {}) const;

    kernel& m_kernel;
    duty_claims m_claims;
    link_hooks const& m_links;
    promotion_hook m_promote;
    group_registry* m_groups = nullptr;
    membership_service* m_membership = nullptr;
    report_service* m_reports = nullptr;
    fleet_state* m_fleet = nullptr;
    std::map<std::string, std::unique_ptr<takeover>> m_running;
    std::set<std::string> m_held;                             ///< Groups whose duty this VM holds.
    std::map<std::string, monotonic_time> m_leaderless_since; ///< Groups without a known leader.
    std::map<std::string, monotonic_time> m_not_before;       ///< Pause after an attempt.
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
