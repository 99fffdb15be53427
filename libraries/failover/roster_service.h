#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "failover/absence_evidence.h"
#include "failover/member_roster.h"
#include "fleet/report_service.h"
#include "kernel/kernel.h"
#include "members/backend_connection.h"
#include "members/group_registry.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Prefix of the keys of the rows that hold rosters; the group's name follows.
inline constexpr std::string_view roster_key_prefix = "roster/";

using roster_callback = std::function<void(absl::StatusOr<member_roster>)>;

/// Keeps the roster of each group in the platform's store, so that a VM which starts knows the members that
/// the directory has forgotten. One VM keeps the roster of a group: it adds members as the directory lists
/// them, bounds the logs of those that have ended, and removes these after a while, once another member holds
/// what they held.
class roster_service : public service {
public:
    static constexpr std::string_view service_name = "rosters";

    roster_service(kernel& kernel, platform_hooks const& platform,
                   backend_connection_hooks const& connection_hooks)
        : m_kernel(kernel), m_platform(platform), m_connection_hooks(connection_hooks)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Reads the roster of a group; it is empty if none was written yet. kDataLoss means that the row cannot
    /// be decoded, and any other error that the store did not answer.
    void read(std::string const& group, roster_callback done) const;

private:
    /// Roster as this VM read or wrote it last.
    struct stored_roster {
        std::uint64_t version = 0;
        member_roster roster;
        /// Whether this VM wrote it, so that no earlier write of any VM can still be carried out.
        bool is_settled = false;
    };

    /// Attempts to connect to the address of a member that the directory does not list.
    struct probe {
        absence_evidence evidence;
        /// Start of the first of the attempts since which none was answered by a process of the group: each
        /// was refused or had no result in time.
        std::optional<monotonic_time> unanswered_since;
        std::optional<monotonic_time> answered_at; ///< Time of the last answer of such a process.
        backend_connection_pointer connection;
        monotonic_time next_at;
    };

    /// Time of the store's steady clock that a read reported.
    struct store_clock {
        std::int64_t time_ms = 0;
        monotonic_time asked_at;
        monotonic_time answered_at;

        /// Latest time that the clock may show at `now`, in milliseconds.
        std::int64_t latest_ms(monotonic_time now) const;
        /// Time from which on the clock certainly shows `time` or later, by this VM's clock.
        monotonic_time surely_reached_at(std::int64_t time) const;
    };

    struct group_state {
        std::set<std::string> listed; ///< Ids of the members that were listed when the keeper was chosen.
        monotonic_time next_choice_at;
        bool is_keeper = false;
        bool is_calling = false; ///< Whether a call to the store is in progress.
        monotonic_time next_call_at;
        monotonic_time next_read_at;
        std::optional<stored_roster> stored;
        std::optional<store_clock> clock; ///< No value if the store reported no time.
        /// Roster that this VM has tried to write last, also if the store did not answer. No value unless it
        /// is the keeper.
        std::optional<member_roster> wanted;
        /// Time since when the row cannot be decoded.
        std::optional<monotonic_time> undecodable_since;
        std::map<std::string, probe> probes; ///< Keyed by member id.
    };

    void tick();
    void check_group(database_group& group);
    bool is_keeper_of(std::string const& group) const;
    void read_row(std::string const& group);
    void handle_row(std::string const& group, table_row const& row);
    void write_row(std::string const& group, member_roster const& roster);
    /// Returns the roster that the store should hold.
    member_roster updated_roster(database_group& group, group_state& state);
    /// Updates what the roster says of a member that the directory does not list, after its address was
    /// probed.
    void update_unlisted(database_group& group, group_state const& state, std::string const& id,
                         probe const& probed, member_roster& roster) const;
    /// Updates the entry of a member that drained, and returns false if it may still run. `ended_at` is the
    /// time at which it has ended as planned.
    bool update_planned_leave(database_group& group, std::string const& id, roster_entry const& entry,
                              probe const& probed, std::optional<monotonic_time> ended_at,
                              member_roster& roster) const;
    /// Returns when the process that drained has certainly ended, by this VM's clock, if that is known.
    static std::optional<monotonic_time> planned_end(group_state const& state, roster_entry const& entry);
    /// Adds the members that the directory listed while the row was not written.
    void add_former_members(database_group const& group, member_roster& roster) const;
    void probe_unlisted_members(database_group const& group, group_state& state);
    void handle_probe(std::string const& group, std::string const& member, member_answer const& answer,
                      monotonic_time started_at);
    void log(std::string_view message, std::string const& group, Json::Value fields) const;

    kernel& m_kernel;
    platform_hooks const& m_platform;
    backend_connection_hooks const& m_connection_hooks;
    group_registry* m_groups = nullptr;
    membership_service* m_membership = nullptr;
    report_service* m_reports = nullptr;
    fleet_state* m_fleet = nullptr;
    std::map<std::string, group_state> m_states; ///< Keyed by group.
};

} // namespace greengagehitch
