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

/// What this VM believes of the configuration and of the members' directory, and since when it knows that
/// nothing newer exists.
class fleet_state : public service {
public:
    static constexpr std::string_view service_name = "fleet";

    explicit fleet_state(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    Json::Value dump() const override;

    /// Takes in a version; older ones than the one in force are ignored.
    void set_configuration(served_configuration configuration);

    /// Notes that at `known_at` no newer version than the one in force existed.
    void confirm_configuration(monotonic_time known_at);

    void set_members(member_directory members);

    /// Digest of what matters in the directory, to compare with peers'.
    std::uint32_t directory_digest() const { return m_directory_digest; }

    /// Null until the first version came.
    std::shared_ptr<served_configuration const> const& configuration() const { return m_configuration; }
    member_directory const& members() const { return m_members; }

    /// Time since the configuration in force was known to be the newest; empty before the first confirmation.
    std::optional<duration> configuration_age() const;

    void on_configuration(std::function<void(served_configuration const&)> observer)
    {
        m_configuration_observers.push_back(std::move(observer));
    }
    void on_members(std::function<void(member_directory const&)> observer)
    {
        m_member_observers.push_back(std::move(observer));
    }

private:
    kernel& m_kernel;
    std::shared_ptr<served_configuration const> m_configuration;
    std::optional<monotonic_time> m_confirmed_at;
    member_directory m_members;
    std::uint32_t m_directory_digest = 0;
    std::vector<std::function<void(served_configuration const&)>> m_configuration_observers;
    std::vector<std::function<void(member_directory const&)>> m_member_observers;
};

} // namespace greengagehitch
