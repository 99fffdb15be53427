#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/member_entry.h"
#include "fleet/served_configuration.h"
#include "fleet/zone_evacuations.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Time within which an evacuation must be complete, unless the settings contain another.
inline constexpr duration default_evacuation_limit = std::chrono::seconds(5);

/// This VM's copies of the configuration, of the evacuations that operators requested and of the member
/// directory, with the time at which the configuration and the evacuations were last known to be the newest.
class fleet_state : public service {
public:
    static constexpr std::string_view service_name = "fleet";

    /// `evacuation_limit` is the time from the confirmation of an evacuation's request until the members of
    /// the zone must get no more requests.
    explicit fleet_state(kernel& kernel, duration evacuation_limit = default_evacuation_limit)
        : m_kernel(kernel), m_evacuation_limit(evacuation_limit)
    {
    }

    std::string_view name() const override { return service_name; }
    Json::Value dump() const override;

    /// Makes a configuration version active. Returns false, and changes nothing, if the version is not newer
    /// than the active one.
    bool set_configuration(served_configuration configuration);

    /// Records that at `known_at` no version newer than the active one existed.
    void confirm_configuration(monotonic_time known_at);

    /// Replaces the member directory and notifies its observers.
    void set_members(member_directory members);

    /// Applies the request of an evacuation, or its withdrawal, from the store. Changes that are not newer
    /// than the last one are ignored.
    void apply_evacuation(std::string const& zone, store_position change, bool is_withdrawn);

    /// Replaces the evacuations by those that existed at `position`, as the store or the VM `source` showed
    /// them. `last_change` is the position of the last change that the source applied.
    void set_evacuations(zone_evacuations::requests_map const& requests, store_position position,
                         store_position last_change, std::string const& source);

    /// Records that a peer has the same evacuations as of `last_change`.
    void skip_evacuation_changes(store_position last_change) { m_evacuations.skip_to(last_change); }

    /// Drops evacuations that a restored store has lost, once operators had time to request them again.
    void expire_evacuations();

    /// Returns whether operators have requested that no more requests be sent to the members of this zone.
    bool is_evacuated(std::string const& zone) const { return m_evacuations.is_evacuated(zone); }

    /// Returns whether a request that only a member of this zone can run may still be sent there.
    bool may_send_to_zone(std::string const& zone) const
    {
        return m_evacuations.may_send(zone, m_evacuation_limit, m_kernel.now());
    }

    zone_evacuations const& evacuations() const { return m_evacuations; }

    /// Digest of the member directory, for comparison with the digests of peers. It covers the address, the
    /// state of draining, the claim to be primary and the start time of each member.
    std::uint32_t directory_digest() const { return m_directory_digest; }

    /// Active configuration; null until the first version was set.
    std::shared_ptr<served_configuration const> const& configuration() const { return m_configuration; }
    member_directory const& members() const { return m_members; }

    /// Time since the active configuration was last known to be the newest; empty before the first
    /// confirmation.
    std::optional<duration> configuration_age() const;

    /// Registers an observer that is called with each new active configuration.
    void on_configuration(std::function<void(served_configuration const&)> observer)
    {
        m_configuration_observers.push_back(std::move(observer));
    }
    /// Registers an observer that is called when a zone is evacuated or an evacuation is withdrawn.
    void on_evacuation(std::function<void(std::string const& zone, bool is_evacuated)> observer)
    {
        m_evacuation_observers.push_back(std::move(observer));
    }
    /// Registers an observer that is called with each new member directory.
    void on_members(std::function<void(member_directory const&)> observer)
    {
        m_member_observers.push_back(std::move(observer));
    }

private:
    /// Logs which client accounts and classes of the active configuration cannot be served.
    void log_refusals() const;
    void notify_evacuations(std::map<std::string, zone_evacuation> const& previous,
                            std::string const& source) const;

    kernel& m_kernel;
    duration m_evacuation_limit;
    zone_evacuations m_evacuations;
    std::shared_ptr<served_configuration const> m_configuration;
    std::optional<monotonic_time> m_confirmed_at; ///< Latest time at which no newer version existed.
    member_directory m_members;
    std::uint32_t m_directory_digest = 0;
    std::vector<std::function<void(served_configuration const&)>> m_configuration_observers;
    std::vector<std::function<void(member_directory const&)>> m_member_observers;
    std::vector<std::function<void(std::string const&, bool)>> m_evacuation_observers;
};

} // namespace greengagehitch
