#include "limits/limit_service.h"

#include <algorithm>

namespace greengagehitch {

void limit_service::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_configuration->on_change([this] { follow_configuration(); });
}

Json::Value limit_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [name, bucket] : m_buckets) {
        state[name]["tokens"] = bucket.tokens();
        state[name]["rate_share"] = bucket.rate();
        state[name]["burst_share"] = bucket.burst();
    }
    return state;
}

std::optional<duration> limit_service::admit(std::string const& client_account)
{
    auto const& accounts = m_configuration->current()->document.client_accounts;
    auto const found = accounts.find(client_account);
    if (found == accounts.end()) {
        return std::nullopt;
    }
    auto const now = m_kernel.now();
    auto const bucket = refresh_bucket(found->second, now);
    return bucket->second.take(now);
}

void limit_service::follow_configuration()
{
    // Buckets fill from now on, not from the first request on.
    for (auto const& [name, account] : m_configuration->current()->document.client_accounts) {
        refresh_bucket(account, m_kernel.now());
    }
}

std::map<std::string, token_bucket>::iterator limit_service::refresh_bucket(client_account const& account,
                                                                            monotonic_time now)
{
    auto const vms = static_cast<double>(std::max<std::size_t>(1, m_membership->fleet_size()));
    auto const rate = account.rate / vms;
    auto const burst = std::max(1.0, account.burst / vms);
    auto const bucket = m_buckets.try_emplace(account.name, rate, burst, now).first;
    if (bucket->second.rate() != rate || bucket->second.burst() != burst) {
        bucket->second.set_limits(rate, burst, now);
    }
    return bucket;
}

} // namespace greengagehitch
