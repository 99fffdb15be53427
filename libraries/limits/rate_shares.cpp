#include "limits/rate_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagehitch {

namespace {

/// Part of the rate that is divided equally, so that a VM without demand can serve a first operation.
constexpr double equal_part = 0.15;
constexpr double demand_smoothing = 0.5;
constexpr double smallest_demand = 0.05;
/// Reports come twice a second; a peer that missed three is not counted on.
constexpr duration report_lifetime = std::chrono::milliseconds(1'600);
constexpr double hundredths = 100;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void rate_division::reset(std::size_t fleet_size)
{
    m_fleet_size = std::max<std::size_t>(1, fleet_size);
    m_heard = 1;
    m_own.clear();
    m_total.clear();
}

void rate_division::add_own(std::map<std::string, double> const& demands)
{
    m_own = demands;
    for (auto const& [account, demand] : demands) {
        m_total[account] += demand;
    }
}

void rate_division::add_peer(std::map<std::string, double> const& demands)
{
    ++m_heard;
    for (auto const& [account, demand] : demands) {
        m_total[account] += demand;
    }
}

double rate_division::part_of(std::string const& client_account) const
{
    auto const fleet = static_cast<double>(std::max(m_fleet_size, m_heard));
    auto const total = m_total.find(client_account);
    auto const own = m_own.find(client_account);
    if (total == m_total.end() || total->second <= 0) {
        return 1 / fleet;
    }
    auto const by_demand = own == m_own.end() ? 0 : own->second / total->second;
    auto const heard = static_cast<double>(m_heard);
    return heard / fleet * (equal_part / heard + (1 - equal_part) * by_demand);
}

void rate_shares::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_fleet->on_configuration([this](served_configuration const& configuration) {
        std::erase_if(m_buckets,
                      [&configuration](auto const& each) { return !configuration.limits.contains(each.first); });
    });
    divide();
}

Json::Value rate_shares::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [account, bucket] : m_buckets) {
        Json::Value entry(Json::objectValue);
        entry["tokens"] = bucket.tokens;
        entry["part"] = bucket.part;
        entry["demand"] = bucket.demand;
        state[account] = std::move(entry);
    }
    return state;
}

rate_shares::bucket& rate_shares::bucket_of(std::string const& client_account)
{
    auto const [found, is_new] = m_buckets.try_emplace(client_account);
    if (is_new) {
        found->second.updated = m_kernel.now();
        found->second.part = m_division.part_of(client_account);
    }
    return found->second;
}

void rate_shares::refill(bucket& bucket, account_limit const& limit, monotonic_time now)
{
    auto const room = std::max(1.0, limit.burst * bucket.part);
    auto const added = limit.rate * bucket.part * seconds(now - bucket.updated);
    bucket.tokens = std::min(room, bucket.tokens + added);
    bucket.updated = now;
}

std::optional<duration> rate_shares::take(std::string const& client_account)
{
    auto const& configuration = m_fleet->configuration();
    auto const limit = configuration->limits.find(client_account);
    if (limit == configuration->limits.end()) {
        return std::nullopt;
    }
    auto& bucket = bucket_of(client_account);
    ++bucket.arrivals;
    auto const now = m_kernel.now();
    refill(bucket, limit->second, now);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return std::nullopt;
    }
    auto const rate = limit->second.rate * bucket.part;
    constexpr double longest_wait = 5;
    auto const wait = rate > 0 ? std::min(longest_wait, (1 - bucket.tokens) / rate) : longest_wait;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

std::vector<account_demand> rate_shares::publish(duration period)
{
    std::vector<account_demand> demands;
    // What was published last has reached the peers by now.
    for (auto& [account, bucket] : m_buckets) {
        auto const sample = static_cast<double>(std::exchange(bucket.arrivals, 0)) / seconds(period);
        bucket.published = bucket.demand;
        bucket.demand += demand_smoothing * (sample - bucket.demand);
        if (bucket.demand < smallest_demand) {
            bucket.demand = 0;
        }
    }
    divide();
    for (auto const& [account, bucket] : m_buckets) {
        if (bucket.demand > 0) {
            demands.push_back({account, static_cast<std::uint32_t>(std::lround(bucket.demand * hundredths))});
        }
    }
    return demands;
}

void rate_shares::take_report(std::string const& peer, vm_report const& report)
{
    auto& entry = m_peers[peer];
    entry.heard_at = m_kernel.now();
    entry.hears_us = std::find(report.heard.begin(), report.heard.end(), m_membership->identity().name) !=
                     report.heard.end();
    entry.demands.clear();
    for (auto const& demand : report.demands) {
        entry.demands[demand.client_account] = static_cast<double>(demand.operations) / hundredths;
    }
}

void rate_shares::divide()
{
    auto const now = m_kernel.now();
    m_division.reset(m_membership->fleet_size());
    std::map<std::string, double> own;
    for (auto const& [account, bucket] : m_buckets) {
        own[account] = bucket.published;
    }
    m_division.add_own(own);
    for (auto const& [name, peer] : m_peers) {
        if (peer.hears_us && now - peer.heard_at <= report_lifetime) {
            m_division.add_peer(peer.demands);
        }
    }
    auto const configuration = m_fleet->configuration();
    for (auto& [account, bucket] : m_buckets) {
        if (configuration && configuration->limits.contains(account)) {
            // The time before counts by the old part.
            refill(bucket, configuration->limits.at(account), now);
        }
        bucket.updated = now;
        bucket.part = m_division.part_of(account);
    }
}

std::optional<double> rate_shares::part_of_all() const
{
    auto const now = m_kernel.now();
    double own = 0;
    for (auto const& [account, bucket] : m_buckets) {
        own += bucket.demand;
    }
    auto total = own;
    for (auto const& [name, peer] : m_peers) {
        if (now - peer.heard_at <= report_lifetime) {
            for (auto const& [account, demand] : peer.demands) {
                total += demand;
            }
        }
    }
    if (total <= 0) {
        return std::nullopt;
    }
    return own / total;
}

} // namespace greengagehitch
