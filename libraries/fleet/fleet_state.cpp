#include "fleet/fleet_state.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

/// Names that are logged for each configuration version, and the longest part of a name in a log line.
constexpr std::size_t max_logged_names = 10;
constexpr std::size_t max_logged_name_size = 200;

std::uint32_t digest_of(member_directory const& members)
{
    std::string text;
    for (auto const& [id, entry] : members) {
        // The digest of members that are warm stays the same as in earlier versions.
        auto const warm_up_mark = entry.warm_up_left > duration::zero() ? " warms up" : "";
        text += fmt::format("{} {} {} {} {}{}\n", id, entry.address.to_string(), entry.is_draining,
                            entry.claims_primary, entry.started_at, warm_up_mark);
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
    for (auto const& [zone, evacuation] : m_evacuations.zones()) {
        state["evacuated_zones"].append(zone);
    }
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
    log_refusals();
    for (auto const& observer : m_configuration_observers) {
        observer(*m_configuration);
    }
    return true;
}

void fleet_state::log_refusals() const
{
    std::map<std::string, std::string> refused_classes;
    for (auto const& [database, work] : m_configuration->classes) {
        if (!work.refusal.empty()) {
            refused_classes.emplace(database, work.refusal);
        }
    }
    auto const log_each = [this](std::string_view message, char const* name_field,
                                 std::map<std::string, std::string> const& refused) {
        std::size_t logged = 0;
        for (auto const& [name, reason] : refused) {
            if (logged++ == max_logged_names) {
                return;
            }
            Json::Value fields(Json::objectValue);
            fields[name_field] = name.substr(0, max_logged_name_size);
            fields["reason"] = reason;
            fields["refused"] = Json::UInt64(refused.size());
            fields["version"] = Json::UInt64(m_configuration->version);
            m_kernel.log(log_level::warning, service_name, message, std::move(fields));
        }
    };
    log_each("statements of a client account are refused", "client_account",
             m_configuration->refused_accounts);
    log_each("statements of a class of work are refused", "database", refused_classes);
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

void fleet_state::apply_evacuation(std::string const& zone, store_position change, bool is_withdrawn)
{
    auto const previous = m_evacuations.zones();
    auto const is_changed = is_withdrawn ? m_evacuations.apply_withdrawal(zone, change)
                                         : m_evacuations.apply_request(zone, change, m_confirmed_at);
    if (is_changed) {
        notify_evacuations(previous, "store");
    }
}

void fleet_state::set_evacuations(zone_evacuations::requests_map const& requests, store_position position,
                                  store_position last_change, std::string const& source)
{
    auto const previous = m_evacuations.zones();
    auto const is_changed = m_evacuations.replace(requests, position, m_confirmed_at, m_kernel.now());
    m_evacuations.skip_to(last_change);
    if (is_changed) {
        notify_evacuations(previous, source);
    }
}

void fleet_state::expire_evacuations()
{
    auto const previous = m_evacuations.zones();
    if (m_evacuations.expire(m_kernel.now())) {
        notify_evacuations(previous, "expiry after the restore of the store");
    }
}

void fleet_state::notify_evacuations(std::map<std::string, zone_evacuation> const& previous,
                                     std::string const& source) const
{
    auto const log_change = [&](std::string_view message, std::string const& zone,
                                zone_evacuation const& evacuation) {
        Json::Value fields(Json::objectValue);
        fields["availability_zone"] = zone;
        fields["store_era"] = Json::UInt64(evacuation.request.era);
        fields["store_version"] = Json::UInt64(evacuation.request.version);
        fields["source"] = source;
        if (evacuation.requested_after) {
            fields["max_age_ms"] = to_milliseconds(m_kernel.now() - *evacuation.requested_after);
        }
        m_kernel.log(log_level::warning, service_name, message, std::move(fields));
        for (auto const& observer : m_evacuation_observers) {
            observer(zone, m_evacuations.is_evacuated(zone));
        }
    };
    for (auto const& [zone, evacuation] : m_evacuations.zones()) {
        if (!previous.contains(zone)) {
            log_change("evacuation of an availability zone was requested", zone, evacuation);
        }
    }
    for (auto const& [zone, evacuation] : previous) {
        if (!m_evacuations.is_evacuated(zone)) {
            log_change("evacuation of an availability zone was withdrawn", zone, evacuation);
        }
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
