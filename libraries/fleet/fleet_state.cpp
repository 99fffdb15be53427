#include "fleet/fleet_state.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

std::uint32_t digest_of(member_directory const& members)
{
    std::string text;
    for (auto const& [id, entry] : members) {
        text += fmt::format("{} {} {} {} {}\n", id, entry.address.to_string(), entry.is_draining,
                            entry.claims_primary, entry.started_at);
    }
    return hash_name(text);
}

} // namespace

Json::Value fleet_state::dump() const
{
    Json::Value state(Json::objectValue);
    state["configuration_version"] = Json::UInt64(m_configuration ? m_configuration->version : 0);
    if (auto const age = configuration_age()) {
        state["configuration_age_ms"] = to_milliseconds(*age);
    }
    state["members"] = Json::UInt64(m_members.size());
    return state;
}

bool fleet_state::set_configuration(served_configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version) {
        return false;
    }
    Json::Value fields(Json::objectValue);
    fields["version"] = Json::UInt64(configuration.version);
    fields["previous"] = Json::UInt64(m_configuration ? m_configuration->version : 0);
    fields["classes"] = Json::UInt64(configuration.classes.size());
    fields["keys"] = Json::UInt64(configuration.account_of_key.size());
    m_kernel.log(log_level::info, service_name, "configuration version became active", std::move(fields));
    m_configuration = std::make_shared<served_configuration const>(std::move(configuration));
    for (auto const& observer : m_configuration_observers) {
        observer(*m_configuration);
    }
    return true;
}

void fleet_state::confirm_configuration(monotonic_time known_at)
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(known_at), known_at);
}

void fleet_state::set_members(member_directory members)
{
    m_members = std::move(members);
    m_directory_digest = digest_of(m_members);
    for (auto const& observer : m_member_observers) {
        observer(m_members);
    }
}

std::optional<duration> fleet_state::configuration_age() const
{
    if (!m_confirmed_at || !m_configuration) {
        return std::nullopt;
    }
    return m_kernel.now() - *m_confirmed_at;
}

} // namespace greengagehitch
