#include "limits/rate_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/request_numbers.h"

namespace greengagehitch {

namespace {

/// Time constant of the demand average in seconds, long enough that single operations do not change the
/// shares.
constexpr double demand_smoothing_seconds = 1.5;
/// Time constant of the average of admitted operations in seconds.
constexpr double pace_smoothing_seconds = 1;
/// Demand, in operations per second, below which an account counts as idle.
constexpr double min_demand = 0.05;
/// Smallest number of tokens of an idle account that is worth publishing.
constexpr double min_published_tokens = 2;
constexpr double hundredths_per_unit = 100;

/// Longest time that an operation waits for a token. A shorter wait is cheaper for the caller than a refusal,
/// which costs at least one round trip.
constexpr duration max_wait = std::chrono::milliseconds(40);
/// Longest time that a lender keeps a request, so that its answer arrives while the operation still waits.
constexpr duration max_request_wait = std::chrono::milliseconds(25);
/// Shortest time between two looks at waiting operations and requests. Tokens that accrue meanwhile are
/// granted together.
constexpr duration min_check_period = std::chrono::milliseconds(5);
/// A borrower requests the tokens that it needs for this time beyond those for waiting operations. It is
/// shorter than the lifetime of a lent token, so that few expire.
constexpr double prefetch_seconds = 0.06;
/// A request is for at most the tokens that accrue in the whole fleet within this time.
constexpr double max_request_seconds = 0.5;
/// A lender keeps the tokens that it needs itself for this time when a lender of another zone asks for its
/// surplus.
constexpr double reserve_seconds = 0.1;
/// Times for which a lender is not asked again after it had no tokens, or another zone's had no surplus. They
/// keep operations beyond the rate from causing as many token requests.
constexpr duration empty_lender_pause = std::chrono::milliseconds(80);
constexpr duration empty_surplus_pause = std::chrono::milliseconds(200);
/// Period of checks whether the reports of zones have become too old.
constexpr duration contact_check_period = std::chrono::milliseconds(100);
/// Longest time after a restart of all VMs for which the tokens that accrued since are restored.
constexpr duration max_recovered_uptime = std::chrono::seconds(2);
/// Time after which a caller retries when no configuration has been received yet.
constexpr duration no_configuration_retry = std::chrono::milliseconds(300);
/// Set in the number of a token_request without tokens to end the votes for the sender, instead of requesting
/// one.
constexpr std::uint64_t release_flag = std::uint64_t(1) << 63U;
/// Greatest number of log lines about messages that were ignored.
constexpr std::size_t max_ignored_lines = 20;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void rate_shares::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_contacts.emplace(m_kernel, *m_membership);
    m_next_number = first_request_number(m_membership->identity());
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
            set_supply(account, bucket_of(account), m_kernel.now());
        }
    });
    m_membership->on_message<token_request>([this](peer_state const& peer, token_request const& request) {
        handle_token_request(peer.name, request);
    });
    m_membership->on_message<token_grant>(
        [this](peer_state const& peer, token_grant const& grant) { handle_grant(peer.name, grant); });
    m_started_at = m_kernel.now();
    divide();
    m_kernel.start_periodic(contact_check_period, [this] {
        if (m_contacts->has_lost_contact()) {
            divide();
        }
    });
}

Json::Value rate_shares::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [account, bucket] : m_buckets) {
        Json::Value entry(Json::objectValue);
        auto balance = bucket.balance;
        entry["tokens"] = balance.held(m_kernel.now());
        entry["has_lease"] = bucket.lease.is_valid(m_kernel.now());
        entry["replaces_lender"] = bucket.replaces_lender;
        entry["part"] = bucket.share;
        entry["demand"] = bucket.demand;
        entry["admitted_per_second"] = bucket.pace;
        entry["waiting"] = Json::UInt64(bucket.waiting.size());
        entry["waiting_peers"] = Json::UInt64(bucket.peer_requests.size());
        auto total = bucket.total_use;
        total += bucket.use;
        total.add_to(entry);
        state[account] = std::move(entry);
    }
    return state;
}

account_limit const* rate_shares::limit_of(std::string const& client_account) const
{
    auto const& configuration = m_fleet->configuration();
    if (!configuration) {
        return nullptr;
    }
    auto const found = configuration->limits.find(client_account);
    return found == configuration->limits.end() ? nullptr : &found->second;
}

rate_shares::bucket& rate_shares::bucket_of(std::string const& client_account)
{
    // Tokens accrue from the start of this process; tokens of an earlier process are not assumed.
    auto const [found, is_new] = m_buckets.try_emplace(client_account, m_started_at);
    if (is_new) {
        found->second.share =
            m_contacts->share_of(client_account, fleet_token_capacity(m_bounds, *limit_of(client_account)));
        set_supply(client_account, found->second, m_started_at);
    }
    return found->second;
}

void rate_shares::set_supply(std::string const& client_account, bucket& bucket, monotonic_time from)
{
    auto const* const limit = limit_of(client_account);
    if (limit == nullptr) {
        return;
    }
    auto const rate = sustained_rate(m_bounds, *limit) * bucket.share;
    // An owner of a small share must be able to hold a whole token.
    auto const capacity =
        bucket.share > 0 ? std::max(1.0, fleet_token_capacity(m_bounds, *limit) * bucket.share) : 0;
    bucket.balance.set_supply(rate, capacity, from);
}

void rate_shares::update_share(std::string const& client_account, bucket& bucket)
{
    auto const* const limit = limit_of(client_account);
    if (limit == nullptr) {
        return;
    }
    if (m_contacts->zone_lender(client_account) == m_membership->identity().name) {
        bucket.replaces_lender = false;
    }
    auto const capacity = fleet_token_capacity(m_bounds, *limit);
    bucket.share = bucket.replaces_lender ? m_contacts->share_in_place_of_lender(client_account, capacity)
                                          : m_contacts->share_of(client_account, capacity);
    if (bucket.share <= 0) {
        release_lease(client_account, bucket);
    }
    // Tokens for the time up to now accrue by the previous share.
    set_supply(client_account, bucket, m_kernel.now());
}

std::string rate_shares::acting_zone_lender(std::string const& client_account, bucket const& bucket)
{
    auto const& own = m_membership->identity().name;
    auto const& first = m_contacts->zone_lender(client_account);
    if (bucket.replaces_lender) {
        return own;
    }
    if (first != own && bucket.requests.is_silent(first)) {
        for (auto const& each : m_contacts->electors(client_account)) {
            if (each == own || !bucket.requests.is_silent(each)) {
                return each;
            }
        }
    }
    return first;
}

std::string rate_shares::acting_fleet_lender(std::string const& client_account, bucket const& bucket)
{
    auto const& own = m_membership->identity().name;
    auto const& first = m_contacts->fleet_lender(client_account);
    if (bucket.replaces_lender && first == m_contacts->zone_lender(client_account)) {
        return own;
    }
    if (first != own && bucket.requests.is_silent(first)) {
        for (auto const& each : m_contacts->fleet_electors(client_account)) {
            if (each == own || !bucket.requests.is_silent(each)) {
                return each;
            }
        }
    }
    return first;
}

bool rate_shares::is_second_choice(std::string const& client_account, bool is_zone_peer)
{
    auto const electors = m_contacts->electors(client_account);
    return electors.size() > 1 && electors[1] == m_membership->identity().name &&
           (is_zone_peer || m_contacts->fleet_lender(client_account) == electors[0]);
}

void rate_shares::update_lease(std::string const& client_account, bucket& bucket)
{
    auto const now = m_kernel.now();
    auto const& own = m_membership->identity().name;
    if (bucket.share <= 0 && acting_zone_lender(client_account, bucket) != own) {
        return;
    }
    bucket.lease.set_votes_needed(m_contacts->votes_needed(client_account));
    if (bucket.lease.is_request_due(now)) {
        auto electors = m_contacts->electors(client_account);
        auto const is_elector = std::erase(electors, own) != 0;
        auto const is_first_choice = m_contacts->zone_lender(client_account) == own;
        auto const number = m_next_number;
        m_next_number += electors.size();
        bucket.lease.begin_request(number, electors, now);
        auto const can_vote = is_elector && !may_have_voted();
        auto const has_own_vote = can_vote && bucket.vote.request(own, number, is_first_choice, now);
        if (has_own_vote) {
            bucket.lease.add_vote(own, now);
        }
        else if (can_vote && !bucket.lease.is_valid(now)) {
            bucket.balance.drop_own(now);
        }
        // The request of the first choice also asks the VM that has replaced it to give the role back.
        if (has_own_vote || !is_elector || is_first_choice) {
            for (std::size_t i = 0; i < electors.size(); ++i) {
                m_membership->send(electors[i], token_request{client_account, number + i, 0});
            }
        }
    }
    bucket.balance.set_usable_until(bucket.lease.valid_until());
}

void rate_shares::handle_vote_request(std::string const& peer, token_request const& request)
{
    auto const now = m_kernel.now();
    if (limit_of(request.client_account) == nullptr) {
        // This VM has not given its vote to another one.
        m_membership->send(peer,
                           token_grant{request.client_account, request.number, 0,
                                       static_cast<std::uint32_t>(to_microseconds(lent_token_lifetime))});
        return;
    }
    if (may_have_voted()) {
        return;
    }
    auto& bucket = bucket_of(request.client_account);
    if ((request.number & release_flag) != 0) {
        bucket.vote.release(peer, request.number & ~release_flag, now);
        return;
    }
    auto const is_first_choice = m_contacts->zone_lender(request.client_account) == peer;
    if (is_first_choice && bucket.replaces_lender) {
        stop_replacing(request.client_account, bucket);
    }
    auto const is_given = bucket.vote.request(peer, request.number, is_first_choice, now);
    auto const length = is_given ? vote_length : duration::zero();
    m_membership->send(peer, token_grant{request.client_account, request.number, 0,
                                         static_cast<std::uint32_t>(to_microseconds(length))});
}

void rate_shares::handle_vote(std::string const& peer, bucket& bucket, token_grant const& answer,
                              monotonic_time sent_at)
{
    auto const now = m_kernel.now();
    auto const length = std::chrono::microseconds(answer.lifetime_us);
    auto const& own = m_membership->identity().name;
    auto const& first = m_contacts->zone_lender(answer.client_account);
    if (length >= vote_length || (length == lent_token_lifetime && first == own)) {
        // A peer of an older version does not vote. It takes no lender's place either.
        bucket.lease.add_vote(peer, sent_at);
        bucket.balance.set_usable_until(bucket.lease.valid_until());
        if (bucket.lease.is_valid(now) && first != own && !bucket.replaces_lender) {
            bucket.replaces_lender = true;
            update_share(answer.client_account, bucket);
            log_replacement(answer.client_account, first);
        }
    }
    else if (bucket.replaces_lender) {
        stop_replacing(answer.client_account, bucket);
    }
    else if (!bucket.lease.is_valid(now)) {
        bucket.balance.drop_own(now);
    }
    serve(answer.client_account, bucket);
}

void rate_shares::stop_replacing(std::string const& client_account, bucket& bucket)
{
    bucket.replaces_lender = false;
    release_lease(client_account, bucket);
    update_share(client_account, bucket);
}

void rate_shares::release_lease(std::string const& client_account, bucket& bucket)
{
    if (!bucket.lease.has_votes()) {
        return;
    }
    bucket.lease.clear();
    bucket.balance.set_usable_until(bucket.lease.valid_until());
    auto const number = m_next_number++;
    auto const& own = m_membership->identity().name;
    bucket.vote.release(own, number, m_kernel.now());
    for (auto const& elector : m_contacts->electors(client_account)) {
        if (elector != own) {
            m_membership->send(elector, token_request{client_account, number | release_flag, 0});
        }
    }
}

void rate_shares::log_replacement(std::string const& client_account, std::string const& lender)
{
    Json::Value fields(Json::objectValue);
    fields["client_account"] = client_account;
    fields["zone_home"] = lender;
    m_kernel.log(log_level::info, service_name,
                 "this VM lends the tokens of a lender that does not answer and has no lease",
                 std::move(fields));
}

void rate_shares::divide_if_leaving()
{
    if (std::exchange(m_was_leaving, m_membership->is_leaving()) != m_membership->is_leaving()) {
        divide();
    }
}

void rate_shares::take(std::string const& client_account, admission_callback done)
{
    if (!m_fleet->configuration()) {
        done(no_configuration_retry);
        return;
    }
    if (limit_of(client_account) == nullptr) {
        done(std::nullopt);
        return;
    }
    divide_if_leaving();
    auto& bucket = bucket_of(client_account);
    ++bucket.arrivals;
    update_lease(client_account, bucket);
    if (bucket.waiting.empty() && bucket.balance.try_take(m_kernel.now())) {
        ++bucket.use.admitted;
        done(std::nullopt);
        return;
    }
    bucket.waiting.push_back({m_kernel.now(), std::move(done)});
    serve(client_account, bucket);
}

void rate_shares::serve(std::string const& client_account, bucket& bucket)
{
    update_lease(client_account, bucket);
    serve_operations(bucket);
    serve_peers(client_account, bucket);
    serve_surplus(client_account, bucket);
    auto const is_asking = ask_lenders(client_account, bucket);
    if (!is_asking && bucket.balance.time_until(1, m_kernel.now()) > max_wait) {
        refuse_waiting(client_account, bucket);
    }
    refuse_overdue(client_account, bucket);
    schedule_check(client_account, bucket);
}

void rate_shares::serve_operations(bucket& bucket)
{
    while (!bucket.waiting.empty() && bucket.balance.try_take(m_kernel.now())) {
        ++bucket.use.admitted;
        auto const done = std::move(bucket.waiting.front().done);
        bucket.waiting.pop_front();
        done(std::nullopt);
    }
}

void rate_shares::serve_peers(std::string const& client_account, bucket& bucket)
{
    auto const now = m_kernel.now();
    while (!bucket.peer_requests.empty()) {
        auto const& first = bucket.peer_requests.front();
        if (now - first.since < max_request_wait && bucket.balance.available(now) < 1) {
            return;
        }
        auto const request = first;
        bucket.peer_requests.pop_front();
        grant(client_account, bucket, request, 0);
    }
}

void rate_shares::serve_surplus(std::string const& client_account, bucket& bucket)
{
    auto const now = m_kernel.now();
    while (!bucket.surplus_requests.empty()) {
        auto const request = bucket.surplus_requests.front();
        if (now - request.since < max_request_wait && bucket.lease.is_pending(now)) {
            return;
        }
        bucket.surplus_requests.pop_front();
        // The VMs of this zone come first.
        auto kept = bucket.demand * reserve_seconds + static_cast<double>(bucket.waiting.size());
        for (auto const& each : bucket.peer_requests) {
            kept += each.wanted;
        }
        grant(client_account, bucket, request, kept);
    }
}

void rate_shares::add_request(std::deque<waiting_request>& requests, std::string const& peer,
                              token_request const& request) const
{
    auto const known =
        std::find_if(requests.begin(), requests.end(), [&](auto const& each) { return each.peer == peer; });
    if (known != requests.end()) {
        known->number = request.number;
        known->wanted = request.wanted;
    }
    else {
        requests.push_back({peer, request.number, request.wanted, m_kernel.now()});
    }
}

void rate_shares::grant(std::string const& client_account, bucket& bucket, waiting_request const& request,
                        double kept)
{
    auto const loan = bucket.balance.lend(request.wanted, kept, m_kernel.now());
    bucket.use.lent += loan.tokens;
    bucket.use.unserved += loan.tokens == 0 ? 1 : 0;
    m_membership->send(request.peer, token_grant{client_account, request.number, loan.tokens,
                                                 static_cast<std::uint32_t>(to_microseconds(loan.lifetime))});
}

void rate_shares::schedule_check(std::string const& client_account, bucket& bucket)
{
    if (bucket.waiting.empty() && bucket.peer_requests.empty() && bucket.surplus_requests.empty()) {
        return;
    }
    auto const now = m_kernel.now();
    auto next = now + max_wait;
    if (!bucket.waiting.empty()) {
        next = std::min(next, bucket.waiting.front().since + max_wait);
    }
    if (!bucket.peer_requests.empty()) {
        next = std::min(next, bucket.peer_requests.front().since + max_request_wait);
    }
    if (!bucket.surplus_requests.empty()) {
        next = std::min(next, bucket.surplus_requests.front().since + max_request_wait);
    }
    if (bucket.lease.is_pending(now)) {
        next = std::min(next, std::max(now + min_check_period, bucket.lease.next_request_at()));
    }
    auto const to_token = bucket.balance.time_until(1, now);
    if (to_token < max_wait) {
        next = std::min(next, now + std::max(min_check_period, to_token));
    }
    if (bucket.check_at && *bucket.check_at <= next) {
        return;
    }
    bucket.check_at = next;
    m_kernel.start_timer(std::max(duration::zero(), next - now), [this, client_account, next] {
        auto const found = m_buckets.find(client_account);
        if (found != m_buckets.end() && found->second.check_at == next) {
            found->second.check_at.reset();
            serve(client_account, found->second);
        }
    });
}

double rate_shares::missing_tokens(bucket& bucket) const
{
    auto missing = static_cast<double>(bucket.waiting.size());
    for (auto const& each : bucket.peer_requests) {
        missing += each.wanted;
    }
    return missing - std::floor(bucket.balance.available(m_kernel.now()));
}

bool rate_shares::ask_lenders(std::string const& client_account, bucket& bucket)
{
    auto const now = m_kernel.now();
    bucket.requests.expire(now);
    auto const missing = missing_tokens(bucket);
    auto const* const limit = limit_of(client_account);
    if (missing < 1 || limit == nullptr || !bucket.requests.is_empty()) {
        return !bucket.requests.is_empty();
    }
    if (bucket.share > 0 && bucket.lease.is_pending(now)) {
        return true;
    }
    auto const lender = bucket.requests.choose_lender(
        {m_membership->identity().name, acting_zone_lender(client_account, bucket),
         acting_fleet_lender(client_account, bucket),
         [&] { return m_contacts->other_zone_lenders(client_account); }});
    if (!lender) {
        return false;
    }
    auto const number = m_next_number++;
    auto const most = std::max(1.0, sustained_rate(m_bounds, *limit) * max_request_seconds);
    auto const wanted =
        static_cast<std::uint32_t>(std::min(most, missing + std::floor(bucket.demand * prefetch_seconds)));
    bucket.requests.add(number, {*lender, wanted, now});
    m_membership->send(*lender, token_request{client_account, number, wanted});
    return true;
}

void rate_shares::handle_token_request(std::string const& peer, token_request const& request)
{
    m_contacts->record_message(peer);
    if (request.wanted == 0) {
        handle_vote_request(peer, request);
        return;
    }
    auto const* const limit = limit_of(request.client_account);
    if (limit == nullptr) {
        // Either VM may have the newer configuration.
        m_membership->send(peer, token_grant{request.client_account, request.number, 0, 0});
        return;
    }
    if (request.wanted > operations_per_window(m_bounds, *limit)) {
        log_ignored(peer, request.client_account, request.wanted, "request exceeds the account's window");
        return;
    }
    divide_if_leaving();
    auto& bucket = bucket_of(request.client_account);
    auto const& own = m_membership->identity().name;
    auto const is_zone_peer =
        m_membership->availability_zone_of(peer) == m_membership->identity().availability_zone;
    auto const is_lender = acting_fleet_lender(request.client_account, bucket) == own ||
                           (is_zone_peer && acting_zone_lender(request.client_account, bucket) == own) ||
                           is_second_choice(request.client_account, is_zone_peer);
    add_request(is_lender ? bucket.peer_requests : bucket.surplus_requests, peer, request);
    serve(request.client_account, bucket);
}

void rate_shares::handle_grant(std::string const& peer, token_grant const& grant)
{
    m_contacts->record_message(peer);
    auto const found = m_buckets.find(grant.client_account);
    if (found == m_buckets.end()) {
        return;
    }
    auto& bucket = found->second;
    if (auto const sent_at = bucket.lease.take_request(grant.number, peer)) {
        handle_vote(peer, bucket, grant, *sent_at);
        return;
    }
    auto const request = bucket.requests.take(grant.number, peer);
    if (!request) {
        return;
    }
    if (grant.tokens > request->wanted) {
        log_ignored(peer, grant.client_account, grant.tokens, "grant exceeds the request");
    }
    else if (grant.tokens == 0) {
        auto const is_own_lender = peer == acting_zone_lender(grant.client_account, bucket) ||
                                   peer == acting_fleet_lender(grant.client_account, bucket);
        bucket.requests.pause(peer, is_own_lender ? empty_lender_pause : empty_surplus_pause, m_kernel.now());
    }
    else {
        // A peer of an older version sends no lifetime.
        auto const lifetime =
            grant.lifetime_us == 0
                ? lent_token_lifetime
                : std::min<duration>(lent_token_lifetime, std::chrono::microseconds(grant.lifetime_us));
        bucket.balance.add_borrowed(grant.tokens, request->sent_at + lifetime);
        bucket.use.borrowed += grant.tokens;
    }
    serve(grant.client_account, bucket);
}

void rate_shares::refuse_waiting(std::string const& client_account, bucket& bucket)
{
    std::vector<waiting_operation> refused;
    std::move(bucket.waiting.begin(), bucket.waiting.end(), std::back_inserter(refused));
    bucket.waiting.clear();
    refuse(client_account, bucket, refused);
}

void rate_shares::refuse_overdue(std::string const& client_account, bucket& bucket)
{
    std::vector<waiting_operation> refused;
    while (!bucket.waiting.empty() && m_kernel.now() - bucket.waiting.front().since >= max_wait) {
        refused.push_back(std::move(bucket.waiting.front()));
        bucket.waiting.pop_front();
    }
    refuse(client_account, bucket, refused);
}

void rate_shares::refuse(std::string const& client_account, bucket& bucket,
                         std::vector<waiting_operation> const& operations)
{
    if (operations.empty()) {
        return;
    }
    bucket.use.refused += operations.size();
    log_refusal(client_account, bucket, operations.size());
    auto const* const limit = limit_of(client_account);
    auto const fleet = static_cast<double>(std::max<std::size_t>(1, m_membership->fleet_size()));
    auto const equal_pace = limit == nullptr ? 0 : sustained_rate(m_bounds, *limit) / fleet;
    for (auto const& each : operations) {
        constexpr std::uint64_t random_steps = 1 << 20;
        auto const spread = static_cast<double>(m_kernel.random_below(random_steps)) / random_steps;
        each.done(bucket.returns.next(std::max(equal_pace, bucket.pace), spread, m_kernel.now()));
    }
}

void rate_shares::log_refusal(std::string const& client_account, bucket& bucket, std::size_t refused)
{
    Json::Value fields(Json::objectValue);
    fields["client_account"] = client_account;
    fields["refused"] = Json::UInt64(refused);
    fields["tokens"] = bucket.balance.available(m_kernel.now());
    fields["part"] = bucket.share;
    fields["has_lease"] = bucket.lease.is_valid(m_kernel.now());
    fields["home"] = m_contacts->fleet_lender(client_account);
    fields["zone_home"] = m_contacts->zone_lender(client_account);
    fields["neighbours"] = Json::UInt64(m_contacts->zone_peers());
    fields["zones"] = Json::UInt64(m_contacts->other_zones());
    fields["unanswered"] = Json::UInt64(bucket.requests.unanswered());
    fields["asked_ms_ago"] = to_milliseconds(m_kernel.now() - bucket.requests.asked_at());
    fields["paused_lenders"] = Json::UInt64(bucket.requests.paused_lenders());
    fields["admitted_per_second"] = bucket.pace;
    m_kernel.log(log_level::info, service_name,
                 "operations were refused because the client account exceeds its rate limit",
                 std::move(fields));
}

void rate_shares::log_use(std::string const& client_account, bucket& bucket, duration period)
{
    auto const& use = bucket.use;
    auto const* const limit = limit_of(client_account);
    if (use.refused + use.unserved == 0 || limit == nullptr) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["client_account"] = client_account;
    fields["period_ms"] = to_milliseconds(period);
    use.add_to(fields);
    fields["tokens"] = bucket.balance.available(m_kernel.now());
    fields["part"] = bucket.share;
    fields["rate"] = sustained_rate(m_bounds, *limit);
    m_kernel.log(log_level::info, service_name, "client account used its rate fully", std::move(fields));
}

void rate_shares::log_ignored(std::string const& peer, std::string const& client_account,
                              std::uint32_t tokens, std::string_view reason)
{
    if (++m_ignored_messages > max_ignored_lines) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["peer"] = peer;
    fields["client_account"] = client_account;
    fields["tokens"] = tokens;
    fields["reason"] = std::string(reason);
    m_kernel.log(log_level::warning, service_name, "message about tokens was ignored", std::move(fields));
}

std::vector<account_demand> rate_shares::publish(duration period)
{
    std::vector<account_demand> demands;
    auto const smoothing = 1 - std::exp(-seconds(period) / demand_smoothing_seconds);
    auto const pace_smoothing = 1 - std::exp(-seconds(period) / pace_smoothing_seconds);
    // The peers have received the previously published demands by now.
    for (auto& [account, bucket] : m_buckets) {
        auto const sample = static_cast<double>(std::exchange(bucket.arrivals, 0)) / seconds(period);
        bucket.pace +=
            pace_smoothing * (static_cast<double>(bucket.use.admitted) / seconds(period) - bucket.pace);
        log_use(account, bucket, period);
        bucket.total_use += std::exchange(bucket.use, {});
        bucket.published_demand = bucket.demand;
        bucket.demand += smoothing * (sample - bucket.demand);
        if (bucket.demand < min_demand) {
            bucket.demand = 0;
        }
    }
    divide();
    for (auto& [account, bucket] : m_buckets) {
        auto const tokens = bucket.balance.held(m_kernel.now());
        // Peers treat an account that is not published like one without demand and tokens.
        if (bucket.demand > 0 || tokens >= min_published_tokens) {
            demands.push_back({hash_name(account),
                               static_cast<std::uint32_t>(std::lround(bucket.demand * hundredths_per_unit)),
                               static_cast<std::uint32_t>(tokens)});
        }
    }
    return demands;
}

void rate_shares::handle_vm_report(std::string const& peer, vm_report const& report)
{
    if (m_contacts->handle_vm_report(peer, report)) {
        divide();
    }
}

void rate_shares::handle_zone_report(zone_report const& report, std::vector<std::string> const& vms)
{
    if (m_contacts->handle_zone_report(report, vms)) {
        divide();
    }
}

std::vector<zone_demand> rate_shares::zone_demands() const
{
    rate_contacts::demands_map sums;
    for (auto const& [account, bucket] : m_buckets) {
        sums[hash_name(account)] += bucket.published_demand;
    }
    m_contacts->add_zone_peer_demands(sums);
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
    rate_contacts::demands_map own;
    for (auto const& [account, bucket] : m_buckets) {
        own[hash_name(account)] = bucket.published_demand;
    }
    m_contacts->divide(own);
    for (auto& [account, bucket] : m_buckets) {
        update_share(account, bucket);
    }
    recover_tokens();
}

void rate_shares::recover_tokens()
{
    if (m_has_recovered || !m_fleet->configuration()) {
        return;
    }
    auto const uptime = m_contacts->common_uptime();
    if (!uptime || *uptime > max_recovered_uptime) {
        return;
    }
    m_has_recovered = true;
    for (auto& [account, bucket] : m_buckets) {
        bucket.balance.recover(*uptime, m_kernel.now());
    }
    Json::Value fields(Json::objectValue);
    fields["uptime_ms"] = to_milliseconds(*uptime);
    m_kernel.log(log_level::info, service_name,
                 "all VMs were started together; their tokens accrue since then", std::move(fields));
}

} // namespace greengagehitch
