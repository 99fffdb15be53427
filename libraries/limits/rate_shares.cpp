#include "limits/rate_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagehitch {

namespace {

/// Fraction of the rate that is divided equally, so that a VM without demand can serve a first operation.
constexpr double equal_share = 0.25;
/// Fraction of an account's rate that its fleet lender holds for VMs that run out of tokens.
constexpr double fleet_lender_share = 0.25;
/// Fraction of a zone's share that the account's zone lender holds for its zone peers.
constexpr double zone_lender_share = 0.35;
/// Smallest bucket capacities, in tokens, of a zone and of a VM. Two operations that arrive together would
/// exhaust a smaller bucket.
constexpr double min_zone_capacity = 3;
constexpr double min_vm_capacity = 2;
/// Fraction of the operations allowed in a window that is distributed evenly over time. The tolerance covers
/// the tokens that move between VMs.
constexpr double sustained_share = 1.0;
/// Fraction of the tolerance that the buckets of an account may hold together. The rest covers errors of VMs
/// that compute their shares from different reports.
constexpr double used_tolerance_share = 0.7;
/// Time constant of the demand average in seconds, long enough that single operations do not change the
/// shares.
constexpr double demand_smoothing_seconds = 4;
/// Demand, in operations per second, below which an account counts as idle.
constexpr double min_demand = 0.05;
/// Smallest number of tokens of an idle account that is worth publishing.
constexpr double min_published_tokens = 2;
constexpr double hundredths_per_unit = 100;

/// Longest time that an operation waits for a token. A shorter wait is cheaper for the caller than a refusal,
/// which costs at least one round trip.
constexpr duration max_wait = std::chrono::milliseconds(40);
/// Time after which an unanswered token request counts as lost.
constexpr duration grant_timeout = std::chrono::milliseconds(80);
/// Longest time, in seconds, after which a refused caller is told to retry.
constexpr double max_estimate_seconds = 5;
/// A borrower requests the tokens that it needs for this time. The time is longer for the fleet lender, since
/// it may be in another zone.
constexpr double zone_request_seconds = 0.2;
constexpr double fleet_request_seconds = 0.5;
/// A lender keeps the tokens that it needs itself for this time.
constexpr double reserve_seconds = 0.2;
/// Pauses before the next token request after peers could not grant enough tokens. They keep operations
/// beyond the rate from causing as many token requests.
constexpr duration empty_zone_grant_pause = std::chrono::milliseconds(100);
constexpr duration empty_fleet_grant_pause = std::chrono::milliseconds(300);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double demand_in(rate_division::demands_map const& demands, name_hash account)
{
    auto const found = demands.find(account);
    return found == demands.end() ? 0 : found->second;
}

void add_to(rate_division::demands_map& total, rate_division::demands_map const& added)
{
    for (auto const& [account, demand] : added) {
        total[account] += demand;
    }
}

} // namespace

void rate_division::reset(std::size_t fleet_size)
{
    *this = {};
    m_fleet_size = std::max<std::size_t>(1, fleet_size);
}

void rate_division::add_own_demands(demands_map const& demands)
{
    m_own_demands = demands;
    add_to(m_zone_demands, demands);
}

void rate_division::add_zone_peer(demands_map const& demands)
{
    ++m_zone_peer_count;
    add_to(m_zone_demands, demands);
}

void rate_division::add_other_zone(std::size_t vms, demands_map const& demands)
{
    m_other_zones_vm_count += vms;
    ++m_other_zones_count;
    add_to(m_other_zones_demands, demands);
}

double rate_division::zone_share(name_hash account) const
{
    auto const vms_here = static_cast<double>(1 + m_zone_peer_count);
    auto const equal = vms_here / (vms_here + static_cast<double>(m_other_zones_vm_count));
    auto const here = demand_in(m_reported_zone_demands ? *m_reported_zone_demands : m_zone_demands, account);
    auto const total = here + demand_in(m_other_zones_demands, account);
    return equal_share * equal + (1 - equal_share) * (total > 0 ? here / total : equal);
}

double rate_division::vm_share(name_hash account) const
{
    auto const equal = 1 / static_cast<double>(1 + m_zone_peer_count);
    auto const in_zone = demand_in(m_zone_demands, account);
    return equal_share * equal +
           (1 - equal_share) * (in_zone > 0 ? demand_in(m_own_demands, account) / in_zone : equal);
}

double rate_division::fleet_lender_share_of(double capacity) const
{
    auto const zones = static_cast<double>(1 + m_other_zones_count);
    return capacity * (1 - fleet_lender_share) / zones < min_zone_capacity ? 1 : fleet_lender_share;
}

double rate_division::zone_lender_share_of(double capacity) const
{
    return capacity / static_cast<double>(m_fleet_size) < min_vm_capacity ? 1 : zone_lender_share;
}

double rate_division::share_of(std::string const& client_account, double capacity,
                               lender_role lender_role) const
{
    auto const account = hash_name(client_account);
    auto const reachable_vms = static_cast<double>(1 + m_zone_peer_count + m_other_zones_vm_count);
    auto const fleet = std::max(static_cast<double>(m_fleet_size), reachable_vms);
    auto const held_by_fleet_lender = fleet_lender_share_of(capacity);
    auto const held_by_zone_lender = zone_lender_share_of(capacity);
    auto const in_zone = (lender_role.is_zone_lender ? held_by_zone_lender : 0) +
                         (1 - held_by_zone_lender) * vm_share(account);
    return reachable_vms / fleet *
           ((lender_role.is_fleet_lender ? held_by_fleet_lender : 0) +
            (1 - held_by_fleet_lender) * zone_share(account) * in_zone);
}

void rate_shares::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_fleet->on_configuration([this](served_configuration const& configuration) {
        for (auto& [account, bucket] : m_buckets) {
            if (!configuration.limits.contains(account)) {
                refuse_waiting(account, bucket);
            }
        }
        std::erase_if(m_buckets, [&configuration](auto const& each) {
            return !configuration.limits.contains(each.first);
        });
        for (auto const& [account, limit] : configuration.limits) {
            bucket_of(account);
        }
    });
    m_membership->on_message<token_request>([this](peer_state const& peer, token_request const& request) {
        handle_token_request(peer.name, request);
    });
    m_membership->on_message<token_grant>(
        [this](peer_state const& peer, token_grant const& grant) { handle_grant(peer.name, grant); });
    m_started_at = m_kernel.now();
    divide();
}

Json::Value rate_shares::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [account, bucket] : m_buckets) {
        Json::Value entry(Json::objectValue);
        entry["tokens"] = bucket.tokens;
        entry["part"] = bucket.share;
        entry["demand"] = bucket.demand;
        state[account] = std::move(entry);
    }
    return state;
}

double rate_shares::share_of(std::string const& client_account, bucket const& bucket) const
{
    // The number of VMs that share the rate is unknown until the platform's list of VMs has been read.
    auto const& own = m_membership->identity().name;
    auto const configuration = m_fleet->configuration();
    auto const limit = configuration->limits.find(client_account);
    if (!m_membership->has_list() || limit == configuration->limits.end()) {
        return 0;
    }
    return m_division.share_of(client_account, fleet_bucket_capacity(limit->second),
                               {bucket.fleet_lender == own, bucket.zone_lender == own});
}

bool rate_shares::is_in_contact(std::string const& name) const
{
    auto const peer = m_peers.find(name);
    return peer != m_peers.end() && peer->second.receives_from_this_vm &&
           m_kernel.now() - peer->second.received_at <= m_report_lifetime;
}

bool rate_shares::is_in_contact(zone_state const& zone) const
{
    return zone.receives_from_this_vm && m_kernel.now() - zone.received_at <= m_report_lifetime;
}

std::vector<std::string> rate_shares::zone_peers_in_contact() const
{
    std::vector<std::string> names;
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(name)) {
            names.push_back(name);
        }
    }
    return names;
}

void rate_shares::set_lenders()
{
    auto candidates = zone_peers_in_contact();
    candidates.push_back(m_membership->identity().name);
    m_zone_lenders.set_vms(candidates);
    for (auto const& [zone, state] : m_zones) {
        if (zone != m_membership->identity().availability_zone && is_in_contact(state)) {
            candidates.insert(candidates.end(), state.vms.begin(), state.vms.end());
        }
    }
    m_fleet_lenders.set_vms(std::move(candidates));
}

rate_shares::bucket& rate_shares::bucket_of(std::string const& client_account)
{
    auto const [found, is_new] = m_buckets.try_emplace(client_account);
    if (is_new) {
        // Tokens accrue from the start of this process; tokens of an earlier process are not assumed.
        found->second.refilled_at = m_started_at;
        found->second.fleet_lender = m_fleet_lenders.choose(client_account);
        found->second.zone_lender = m_zone_lenders.choose(client_account);
        found->second.share = share_of(client_account, found->second);
    }
    return found->second;
}

double rate_shares::sustained_rate(account_limit const& limit) const
{
    return sustained_share * (limit.rate + limit.burst / seconds(m_bounds.window));
}

double rate_shares::fleet_bucket_capacity(account_limit const& limit) const
{
    auto const allowed = limit.rate * seconds(m_bounds.window) + limit.burst;
    auto const tolerated = m_bounds.tolerated_share * allowed + m_bounds.tolerated_operations;
    return std::min(allowed, used_tolerance_share * tolerated);
}

void rate_shares::refill(bucket& bucket, account_limit const& limit, monotonic_time now) const
{
    auto const room = std::max(1.0, fleet_bucket_capacity(limit) * bucket.share);
    auto const added = sustained_rate(limit) * bucket.share * seconds(now - bucket.refilled_at);
    bucket.tokens = std::min(room, bucket.tokens + added);
    bucket.refilled_at = now;
}

void rate_shares::take(std::string const& client_account, admission_callback done)
{
    auto const configuration = m_fleet->configuration();
    auto const limit = configuration->limits.find(client_account);
    if (limit == configuration->limits.end()) {
        done(std::nullopt);
        return;
    }
    auto& bucket = bucket_of(client_account);
    ++bucket.arrivals;
    refill(bucket, limit->second, m_kernel.now());
    if (bucket.waiting.empty() && bucket.tokens >= 1) {
        bucket.tokens -= 1;
        ++bucket.use.admitted;
        done(std::nullopt);
        return;
    }
    bucket.waiting.push_back({m_kernel.now(), std::move(done)});
    auto const wait = time_to_token(client_account, bucket);
    if (!ask_peers(client_account, bucket) && wait > max_wait) {
        refuse_waiting(client_account, bucket);
        return;
    }
    auto const check = [this, client_account] {
        auto const found = m_buckets.find(client_account);
        if (found != m_buckets.end()) {
            serve_waiting(client_account, found->second);
            refuse_overdue(client_account, found->second);
        }
    };
    if (wait < max_wait) {
        m_kernel.start_timer(wait, check);
    }
    m_kernel.start_timer(max_wait, check);
}

duration rate_shares::time_to_token(std::string const& client_account, bucket const& bucket) const
{
    auto const& limits = m_fleet->configuration()->limits;
    auto const limit = limits.find(client_account);
    auto const missing = static_cast<double>(std::max<std::size_t>(1, bucket.waiting.size())) - bucket.tokens;
    if (limit != limits.end() && bucket.share == 0 && m_membership->has_list()) {
        // This VM has no share and depends on the lenders, which it asks again after the pause.
        return std::max<duration>(empty_fleet_grant_pause,
                                  std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                      missing / std::max(1.0, sustained_rate(limit->second)))));
    }
    auto const rate = limit == limits.end() ? 0 : sustained_rate(limit->second) * bucket.share;
    auto const wait = rate > 0 ? std::min(max_estimate_seconds, missing / rate) : max_estimate_seconds;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::max(0.0, wait)));
}

bool rate_shares::ask_peers(std::string const& client_account, bucket& bucket)
{
    if (m_kernel.now() - bucket.last_request_at >= grant_timeout) {
        // The grants count as lost. Any that still arrive are ignored as unknown.
        bucket.requests.clear();
    }
    if (!bucket.requests.empty()) {
        return true;
    }
    if (m_kernel.now() < bucket.no_request_before) {
        return false;
    }
    bucket.has_asked_fleet_lender = false;
    return ask_zone_peers(client_account, bucket) || ask_fleet_lender(client_account, bucket);
}

bool rate_shares::ask_zone_peers(std::string const& client_account, bucket& bucket)
{
    auto const& own = m_membership->identity().name;
    std::string best_lender;
    std::uint32_t most_tokens = 0;
    for (auto const& [name, peer] : m_peers) {
        auto const published_tokens = peer.tokens.find(hash_name(client_account));
        auto const is_live = m_kernel.now() - peer.received_at <= m_report_lifetime;
        if (is_live && name != bucket.zone_lender && published_tokens != peer.tokens.end() &&
            published_tokens->second > most_tokens) {
            most_tokens = published_tokens->second;
            best_lender = name;
        }
    }
    if (bucket.zone_lender != own) {
        request_tokens(bucket.zone_lender, client_account, bucket, zone_request_seconds);
    }
    if (!best_lender.empty()) {
        request_tokens(best_lender, client_account, bucket, zone_request_seconds);
    }
    return !bucket.requests.empty();
}

bool rate_shares::ask_fleet_lender(std::string const& client_account, bucket& bucket)
{
    auto const is_useful =
        bucket.fleet_lender != m_membership->identity().name && bucket.fleet_lender != bucket.zone_lender;
    if (!is_useful || bucket.has_asked_fleet_lender ||
        m_kernel.now() < bucket.no_fleet_lender_request_before) {
        return false;
    }
    bucket.has_asked_fleet_lender = true;
    request_tokens(bucket.fleet_lender, client_account, bucket, fleet_request_seconds);
    return true;
}

void rate_shares::request_tokens(std::string const& lender, std::string const& client_account, bucket& bucket,
                                 double demand_seconds)
{
    auto const number = m_next_number++;
    bucket.requests[number] = lender;
    bucket.last_request_at = m_kernel.now();
    auto const wanted =
        bucket.waiting.size() + static_cast<std::size_t>(std::ceil(bucket.demand * demand_seconds));
    m_membership->send(lender, token_request{client_account, number, static_cast<std::uint32_t>(wanted)});
}

void rate_shares::handle_token_request(std::string const& peer, token_request const& request)
{
    token_grant grant{request.client_account, request.number, 0};
    auto const& configuration = m_fleet->configuration();
    if (configuration && configuration->limits.contains(request.client_account)) {
        auto& bucket = bucket_of(request.client_account);
        refill(bucket, configuration->limits.at(request.client_account), m_kernel.now());
        auto const kept = static_cast<double>(bucket.waiting.size()) + bucket.demand * reserve_seconds;
        auto const spare = std::max(0.0, std::floor(bucket.tokens - kept));
        grant.tokens = static_cast<std::uint32_t>(std::min(spare, static_cast<double>(request.wanted)));
        bucket.tokens -= grant.tokens;
        bucket.use.lent += grant.tokens;
    }
    m_membership->send(peer, std::move(grant));
}

void rate_shares::handle_grant(std::string const& peer, token_grant const& grant)
{
    auto const found = m_buckets.find(grant.client_account);
    if (found == m_buckets.end()) {
        return;
    }
    auto& bucket = found->second;
    // Unknown and repeated grants are dropped: they may be meant for an earlier process with this VM's name.
    auto const request = bucket.requests.find(grant.number);
    if (request == bucket.requests.end() || request->second != peer) {
        return;
    }
    bucket.requests.erase(request);
    auto const lender = m_peers.find(peer);
    if (grant.tokens == 0 && lender != m_peers.end()) {
        lender->second.tokens[hash_name(grant.client_account)] = 0;
    }
    if (grant.tokens == 0 && peer == bucket.fleet_lender) {
        bucket.no_fleet_lender_request_before = m_kernel.now() + empty_fleet_grant_pause;
    }
    bucket.tokens += grant.tokens;
    bucket.use.borrowed += grant.tokens;
    serve_waiting(grant.client_account, bucket);
    if (bucket.requests.empty() && !bucket.waiting.empty() &&
        !ask_fleet_lender(grant.client_account, bucket)) {
        bucket.no_request_before = m_kernel.now() + empty_zone_grant_pause;
        if (time_to_token(grant.client_account, bucket) > max_wait) {
            refuse_waiting(grant.client_account, bucket);
        }
    }
}

void rate_shares::serve_waiting(std::string const& client_account, bucket& bucket)
{
    auto const configuration = m_fleet->configuration();
    auto const limit = configuration->limits.find(client_account);
    if (limit != configuration->limits.end()) {
        refill(bucket, limit->second, m_kernel.now());
    }
    while (!bucket.waiting.empty() && bucket.tokens >= 1) {
        bucket.tokens -= 1;
        ++bucket.use.admitted;
        auto const done = std::move(bucket.waiting.front().done);
        bucket.waiting.pop_front();
        done(std::nullopt);
    }
}

void rate_shares::refuse_waiting(std::string const& client_account, bucket& bucket)
{
    auto const wait = time_to_token(client_account, bucket);
    bucket.use.refused += bucket.waiting.size();
    log_refusal(client_account, bucket, bucket.waiting.size());
    for (auto const& each : std::exchange(bucket.waiting, {})) {
        each.done(wait);
    }
}

void rate_shares::log_refusal(std::string const& client_account, bucket const& bucket,
                              std::size_t refused) const
{
    if (refused == 0) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["client_account"] = client_account;
    fields["refused"] = Json::UInt64(refused);
    fields["tokens"] = bucket.tokens;
    fields["part"] = bucket.share;
    fields["home"] = bucket.fleet_lender;
    fields["zone_home"] = bucket.zone_lender;
    fields["neighbours"] = Json::UInt64(zone_peers_in_contact().size());
    fields["zones"] = Json::Int64(std::count_if(
        m_zones.begin(), m_zones.end(), [this](auto const& each) { return is_in_contact(each.second); }));
    fields["unanswered"] = Json::UInt64(bucket.requests.size());
    fields["asked_ms_ago"] = to_milliseconds(m_kernel.now() - bucket.last_request_at);
    m_kernel.log(log_level::info, service_name,
                 "operations were refused because the client account exceeds its rate limit",
                 std::move(fields));
}

void rate_shares::refuse_overdue(std::string const& client_account, bucket& bucket)
{
    auto const wait = time_to_token(client_account, bucket);
    auto const waited = bucket.waiting.size();
    while (!bucket.waiting.empty() && m_kernel.now() - bucket.waiting.front().since >= max_wait) {
        auto const done = std::move(bucket.waiting.front().done);
        bucket.waiting.pop_front();
        done(wait);
    }
    bucket.use.refused += waited - bucket.waiting.size();
    log_refusal(client_account, bucket, waited - bucket.waiting.size());
}

void rate_shares::log_use(std::string const& client_account, bucket& bucket, duration period) const
{
    auto const use = std::exchange(bucket.use, {});
    if (use.refused + use.borrowed + use.lent + use.admitted == 0) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["client_account"] = client_account;
    fields["period_ms"] = to_milliseconds(period);
    fields["admitted"] = Json::UInt64(use.admitted);
    fields["refused"] = Json::UInt64(use.refused);
    fields["borrowed"] = Json::UInt64(use.borrowed);
    fields["lent"] = Json::UInt64(use.lent);
    fields["tokens"] = bucket.tokens;
    fields["part"] = bucket.share;
    fields["rate"] = sustained_rate(m_fleet->configuration()->limits.at(client_account));
    fields["capacity"] = fleet_bucket_capacity(m_fleet->configuration()->limits.at(client_account));
    m_kernel.log(log_level::info, service_name, "use of the client account's rate", std::move(fields));
}

std::vector<account_demand> rate_shares::publish(duration period)
{
    std::vector<account_demand> demands;
    auto const smoothing = 1 - std::exp(-seconds(period) / demand_smoothing_seconds);
    // The peers have received the previously published demands by now.
    for (auto& [account, bucket] : m_buckets) {
        auto const sample = static_cast<double>(std::exchange(bucket.arrivals, 0)) / seconds(period);
        log_use(account, bucket, period);
        bucket.published_demand = bucket.demand;
        bucket.demand += smoothing * (sample - bucket.demand);
        if (bucket.demand < min_demand) {
            bucket.demand = 0;
        }
    }
    divide();
    for (auto const& [account, bucket] : m_buckets) {
        // Peers treat an account that is not published like one without demand and tokens.
        if (bucket.demand > 0 || bucket.tokens >= min_published_tokens) {
            demands.push_back({hash_name(account),
                               static_cast<std::uint32_t>(std::lround(bucket.demand * hundredths_per_unit)),
                               static_cast<std::uint32_t>(std::max(0.0, bucket.tokens))});
        }
    }
    return demands;
}

void rate_shares::handle_vm_report(std::string const& peer, vm_report const& report)
{
    auto& entry = m_peers[peer];
    entry.received_at = m_kernel.now();
    auto const own_name = hash_name(m_membership->identity().name);
    entry.receives_from_this_vm = std::find(report.reachable_vms.begin(), report.reachable_vms.end(),
                                            own_name) != report.reachable_vms.end();
    entry.demands.clear();
    entry.tokens.clear();
    for (auto const& demand : report.demands) {
        entry.demands[demand.client_account] = static_cast<double>(demand.operations) / hundredths_per_unit;
        entry.tokens[demand.client_account] = demand.tokens;
    }
}

void rate_shares::handle_zone_report(zone_report const& report, std::vector<std::string> const& vms)
{
    auto const own_zone = hash_name(m_membership->identity().availability_zone);
    auto& entry = m_zones[report.availability_zone];
    entry.received_at = m_kernel.now();
    entry.receives_from_this_vm = std::find(report.reachable_zones.begin(), report.reachable_zones.end(),
                                            own_zone) != report.reachable_zones.end();
    entry.vms = vms;
    entry.demands.clear();
    for (auto const& demand : report.demands) {
        entry.demands[demand.client_account] = static_cast<double>(demand.operations) / hundredths_per_unit;
    }
}

std::vector<zone_demand> rate_shares::zone_demands() const
{
    std::map<name_hash, double> sums;
    for (auto const& [account, bucket] : m_buckets) {
        sums[hash_name(account)] += bucket.published_demand;
    }
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(name)) {
            add_to(sums, peer.demands);
        }
    }
    std::vector<zone_demand> demands;
    for (auto const& [account, sum] : sums) {
        auto const operations = static_cast<std::uint32_t>(std::lround(sum * hundredths_per_unit));
        if (operations != 0) {
            demands.push_back({account, operations});
        }
    }
    return demands;
}

void rate_shares::divide()
{
    auto const now = m_kernel.now();
    m_division.reset(m_membership->fleet_size());
    std::map<name_hash, double> own;
    for (auto const& [account, bucket] : m_buckets) {
        own[hash_name(account)] = bucket.published_demand;
    }
    m_division.add_own_demands(own);
    for (auto const& [name, peer] : m_peers) {
        if (is_in_contact(name)) {
            m_division.add_zone_peer(peer.demands);
        }
    }
    for (auto const& [zone, state] : m_zones) {
        if (zone == m_membership->identity().availability_zone) {
            if (now - state.received_at <= m_report_lifetime) {
                m_division.set_reported_zone_demands(state.demands);
            }
        }
        else if (is_in_contact(state)) {
            m_division.add_other_zone(state.vms.size(), state.demands);
        }
    }
    set_lenders();
    auto const configuration = m_fleet->configuration();
    for (auto& [account, bucket] : m_buckets) {
        if (configuration && configuration->limits.contains(account)) {
            // Tokens for the time up to now accrue by the previous share.
            refill(bucket, configuration->limits.at(account), now);
        }
        bucket.refilled_at = now;
        bucket.fleet_lender = m_fleet_lenders.choose(account);
        bucket.zone_lender = m_zone_lenders.choose(account);
        bucket.share = share_of(account, bucket);
    }
}

} // namespace greengagehitch
