#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/member_entry.h"
#include "fleet/served_configuration.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// This VM's copies of the configuration and of the member directory, with the time at which the
/// configuration was last known to be the newest.
class fleet_state : public service {
public:
    static constexpr std::string_view service_name = "fleet";

    explicit fleet_state(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    Json::Value dump() const override;

    /// Makes a configuration version active. Returns false, and changes nothing, if the version is not newer
    /// than the active one.
    bool set_configuration(served_configuration configuration);

    /// Records that at `known_at` no version newer than the active one existed.
    void confirm_configuration(monotonic_time known_at);

    /// Replaces the member directory and notifies its observers.
    void set_members(member_directory members);

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
    /// Registers an observer that is called with each new member directory.
    void on_members(std::function<void(member_directory const&)> observer)
    {
        m_member_observers.push_back(std::move(observer));
    }

private:
    kernel& m_kernel;
    std::shared_ptr<served_configuration const> m_configuration;
    std::optional<monotonic_time> m_confirmed_at; ///< Latest time at which no newer version existed.
    member_directory m_members;
    std::uint32_t m_directory_digest = 0;
    std::vector<std::function<void(served_configuration const&)>> m_configuration_observers;
    std::vector<std::function<void(member_directory const&)>> m_member_observers;
};

} // namespace greengagehitch
