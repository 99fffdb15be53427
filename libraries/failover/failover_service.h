#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"
#include "routing/group_directory.h"

namespace greengagehitch {

/// Monitors database groups and replaces a lost primary. Each group has a few watchers. Once watchers in
/// several availability zones suspect the primary, one of them claims the next term at a majority of the
/// members. Safety depends on the terms of the group alone, never on suspicion.
class failover_service : public service {
public:
    static constexpr std::string_view service_name = "failover";

    failover_service(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

private:
    /// Last report of another watcher on whether it suspects the primary.
    struct peer_suspicion {
        std::uint64_t term = 0;
        bool is_suspected = false;
        monotonic_time received_at;
    };

    /// Claim of a term in progress.
    struct claim {
        std::uint64_t term = 0;
        std::string claimant;
        std::optional<std::size_t> excluded;         ///< Index of the member that is being replaced.
        std::map<std::size_t, member_status> grants; ///< Status of members that granted the claim, by index.
        std::size_t answers = 0; ///< Number of members that answered the claim, or whose answer failed.
        bool is_promoting = false;
    };

    /// Monitoring state of one group.
    struct monitored_group {
        std::vector<std::string> watchers;
        monotonic_time monitoring_since;
        std::map<std::string, peer_suspicion> peer_suspicions; ///< Keyed by VM name.
        std::optional<monotonic_time> suspected_since;
        std::optional<monotonic_time> without_primary_since;
        /// Primary's position that no majority held at `stalled_since`; unset if a majority holds it.
        std::optional<log_position> stalled_position;
        monotonic_time stalled_since;
        std::shared_ptr<claim> active_claim;
        monotonic_time no_claim_before;
        std::optional<monotonic_time> announced_at;
    };

    void tick();
    void check_group(active_group& group, monitored_group& state, std::size_t rank);
    std::vector<std::string> watchers_of(std::string const& database) const;
    std::vector<std::string> const& known_watchers_of(std::string const& database);
    void probe_members(active_group& group);
    bool is_primary_lost(active_group const& group, monitored_group& state) const;
    bool is_replication_stalled(active_group const& group, monitored_group& state) const;
    void consider_claim(active_group& group, monitored_group& state, std::size_t rank);
    bool has_agreement(monitored_group const& state, std::uint64_t term) const;
    void exchange_suspicions(active_group const& group, monitored_group const& state);
    void handle_suspicion(peer_state const& peer, primary_suspicion const& message);
    void report_failure(active_group& group, std::size_t member);

    void start_claim(active_group& group, monitored_group& state);
    void handle_grant(std::string const& database, std::shared_ptr<claim> const& active_claim,
                      std::size_t member, batch_answer const& answer, monotonic_time sent_at);
    void promote_best(std::string const& database, std::shared_ptr<claim> const& active_claim);
    void handle_promotion(std::string const& database, std::shared_ptr<claim> const& active_claim,
                          std::size_t member, batch_answer const& answer, monotonic_time sent_at);
    void end_claim(std::string const& database, std::shared_ptr<claim> const& active_claim);
    void announce(active_group const& group);
    void record_primary(std::string const& database, std::uint64_t term, std::string const& primary);

    kernel& m_kernel;
    platform_hooks const& m_platform;
    group_directory* m_directory = nullptr;
    membership_service* m_membership = nullptr;
    struct watcher_list {
        std::optional<monotonic_time> chosen_at;
        std::vector<std::string> watchers;
    };

    std::map<std::string, watcher_list> m_known_watchers;      ///< Keyed by group.
    std::map<std::string, monitored_group> m_monitored_groups; ///< Keyed by group.
    /// Time of the last report of a failing primary to the watchers, keyed by group.
    std::map<std::string, monotonic_time> m_hint_sent_at;
    std::uint64_t m_claims = 0;
    std::uint64_t m_promotions = 0;
};

} // namespace greengagehitch
