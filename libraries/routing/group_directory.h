#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration_service.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"
#include "pool/control_channel.h"
#include "pool/member_pool.h"
#include "routing/group_view.h"

namespace greengagehitch {

/// Database group that the active configuration uses: its last known state and the connections to its
/// members. `pools`, `channels` and `is_probe_running` are indexed by member.
struct active_group {
    explicit active_group(group_description description) : view(std::move(description)) {}

    std::string name;
    std::string description_text; ///< JSON text of the group's row in the platform's table.
    group_view view;
    std::vector<std::shared_ptr<member_pool>> pools;
    std::vector<std::shared_ptr<control_channel>> channels;
    std::vector<bool> is_probe_running;
    std::optional<monotonic_time> last_refresh_at;
};

/// Holds the database groups that the active configuration names: reads their descriptions from the platform
/// or from peers, updates their views, and notifies waiting services of a change of the primary.
class group_directory : public service {
public:
    static constexpr std::string_view service_name = "groups";

    group_directory(kernel& kernel, platform_hooks const& platform, database_hooks const& database);

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Finds a group by name; returns null while its description has not been read.
    active_group* find(std::string const& database);

    /// All groups with a known description, keyed by name.
    std::map<std::string, std::unique_ptr<active_group>> const& groups() const { return m_groups; }

    /// Records a status that a member returned. `asked_at` is the time at which the request was sent.
    void observe(active_group& group, std::size_t member, member_status const& status,
                 monotonic_time asked_at);

    /// Records that a request or a probe to a member failed.
    void observe_failure(active_group& group, std::size_t member, database_failure const& failure);

    /// Handles a group's state that another VM reported, received at `received_at`.
    void handle_group_state(group_state const& state, monotonic_time received_at);

    /// Requests the status of one member, unless a status request to it is outstanding.
    void probe(active_group& group, std::size_t member, duration timeout);

    /// Requests the status of all members, unless it was requested a few milliseconds ago. Called when a
    /// request finds no primary.
    void refresh(active_group& group);

    /// Runs `callback` once, after the next change of the group's term or primary that leaves a primary
    /// known.
    void on_next_primary(std::string const& database, std::function<void()> callback);

    /// Adds a hook that runs after each recorded status.
    void add_observation_hook(std::function<void(active_group&)> hook)
    {
        m_on_observation.push_back(std::move(hook));
    }

    /// Sets the hook that runs after each recorded failure of a member; used by the failover service.
    void set_failure_hook(std::function<void(active_group&, std::size_t)> hook)
    {
        m_on_failure = std::move(hook);
    }
    /// Sets the function that returns how many connections this VM may open to each member of a group.
    /// Without it, the fleet's limit is divided equally among the VMs.
    void set_connection_limit(std::function<std::size_t(active_group const&)> limit)
    {
        m_connection_limit = std::move(limit);
    }

    /// Returns a marker for a status request, unique within this VM.
    std::string next_marker() { return std::to_string(m_next_marker++); }

    /// Creates the message that reports a group's state to other VMs. The platform's description is included
    /// only if `with_description` is set, for VMs that have not read it.
    group_state make_group_state(active_group const& group, bool with_description) const;

private:
    void apply_configuration();
    void read_description(std::string const& database);
    void apply_description(std::string const& database, std::string const& text);
    void build_connections(active_group& group);
    std::size_t connection_limit(active_group const& group) const;
    void notify_if_primary_changed(active_group& group, std::uint64_t old_term,
                                   std::optional<std::size_t> old_primary);
    void request_state_from_peer(std::string const& database);

    kernel& m_kernel;
    platform_hooks const& m_platform;
    database_hooks const& m_database;
    configuration_service* m_configuration = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, std::unique_ptr<active_group>> m_groups;
    std::set<std::string> m_configured_databases;
    std::map<std::string, std::vector<std::function<void()>>> m_primary_waiters;
    std::vector<std::function<void(active_group&)>> m_on_observation;
    std::function<void(active_group&, std::size_t)> m_on_failure;
    std::function<std::size_t(active_group const&)> m_connection_limit;
    std::uint64_t m_next_marker = 1;
};

} // namespace greengagehitch
