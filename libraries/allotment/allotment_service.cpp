#include "allotment/allotment_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(50);
/// Longest time that a request waits for tokens from peers before it is refused.
constexpr duration max_token_wait = std::chrono::milliseconds(120);
/// Interval at which waiting requests are served if tokens have arrived.
constexpr duration serve_period = std::chrono::milliseconds(2);
constexpr duration loan_length = std::chrono::milliseconds(800);
/// Loans that expire within this time are prolonged if they are still needed.
constexpr duration prolong_window = std::chrono::milliseconds(350);
/// Limits of the interval between two requests for loans; it doubles until a peer lends tokens.
constexpr duration min_request_interval = std::chrono::milliseconds(4);
constexpr duration max_request_interval = std::chrono::milliseconds(40);
/// Time after which the token count that a peer reported is no longer used to choose lenders.
constexpr duration hint_lifetime = std::chrono::seconds(5);
constexpr duration request_timeout = std::chrono::seconds(1);
/// Time for which loans of shares that an earlier incarnation of a VM owned may still be in use.
constexpr duration takeover_delay = 2 * loan_length;
/// Time for which a VM must be absent from the platform's VM list before its grant is reclaimed.
constexpr duration reclaim_delay = std::chrono::seconds(30);
/// Longest time between two ticks after which this VM still uses its grants without reading them from the
/// platform's table again. It is shorter than `reclaim_delay`, after which other VMs reclaim the grants.
constexpr duration max_pause = reclaim_delay / 3;
constexpr duration grant_retry_delay = std::chrono::milliseconds(700);
/// Shortest interval between this VM's calls to the platform's table service.
constexpr duration store_call_interval = std::chrono::milliseconds(250);
constexpr double demand_smoothing = 0.25;
/// Averages the demand over some seconds, so that a VM with occasional requests keeps the share that they
/// need.
constexpr double long_term_demand_smoothing = 0.02;
/// Bucket capacity in tokens that a lender keeps, whatever its demand.
constexpr double min_lender_tokens = 1.2;
/// A lender keeps the tokens that its own demand uses in this time.
constexpr double lender_reserve_seconds = 0.05;
/// A borrower requests the tokens that its demand uses in this time.
constexpr double requested_demand_seconds = 0.3;
/// Messages carry tokens and rates in millionths of a token or of a request per second.
constexpr double micros_per_unit = 1e6;
/// Bounds on the size and number of loans: smaller or more loans would cost more messages than they save.
constexpr share min_loan_share = full_share / 100;
constexpr std::size_t max_loans = 32;
/// Number of peers with the most tokens that are asked for loans, with and without waiting requests.
constexpr std::size_t max_urgent_lenders = 7;
constexpr std::size_t max_background_lenders = 1;
/// Ratio of the rate that a VM requests, or keeps as a lender, to its measured demand.
constexpr double demand_headroom_factor = 1.1;

std::string row_key(std::string const& allotment)
{
    return "allotments/" + allotment;
}

double fraction(share amount)
{
    return static_cast<double>(amount) / static_cast<double>(full_share);
}

share to_share(double ratio)
{
    return static_cast<share>(std::floor(ratio * static_cast<double>(full_share)));
}

/// Name of the VM that lent a loan. The lender in the key also contains the incarnation of the VM.
std::string lender_name(loan_key const& key)
{
    return key.lender.substr(0, key.lender.find('#'));
}

std::string encode_holders(std::map<std::string, std::pair<std::uint64_t, share>> const& holders)
{
    Json::Value root(Json::objectValue);
    for (auto const& [vm, grant] : holders) {
        root[vm]["incarnation"] = Json::UInt64(grant.first);
        root[vm]["share"] = Json::Int64(grant.second);
    }
    return to_json_line(root);
}

/// Decodes the grants of a row. Returns an error for a row that this library cannot have written.
absl::StatusOr<std::map<std::string, std::pair<std::uint64_t, share>>>
decode_holders(std::optional<table_row> const& row)
{
    std::map<std::string, std::pair<std::uint64_t, share>> holders;
    if (!row || row->version == 0) {
        return holders;
    }
    auto const root = try_parse_json(row->value);
    if (!root.ok()) {
        return root.status();
    }
    if (!root->isObject()) {
        return absl::InvalidArgumentError("the row is no object");
    }
    share held = 0;
    for (auto const& vm : root->getMemberNames()) {
        auto const& grant = (*root)[vm];
        if (!grant.isObject() || !grant["incarnation"].isUInt64() || !grant["share"].isInt64()) {
            return absl::InvalidArgumentError("a grant lacks its incarnation or share");
        }
        auto const amount = grant["share"].asInt64();
        if (amount < 0 || amount > full_share - held) {
            return absl::OutOfRangeError("the grants are negative or exceed the full share");
        }
        held += amount;
        holders[vm] = {grant["incarnation"].asUInt64(), amount};
    }
    return holders;
}

} // namespace

void allotment_service::start()
{
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_started_at = m_kernel.now();
    m_membership->on_message<share_request>(
        [this](peer_state const& peer, share_request const& request) { answer_request(peer, request); });
    m_membership->on_message<share_transfer>(
        [this](peer_state const& peer, share_transfer const& transfer) { handle_transfer(peer, transfer); });
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value allotment_service::dump() const
{
    auto const now = m_kernel.now();
    Json::Value state(Json::objectValue);
    for (auto const& [name, entry] : m_allotments) {
        auto const& ledger = entry->bucket.ledger();
        auto& shown = state[name];
        shown["owned"] = fraction(ledger.owned());
        shown["lent"] = fraction(ledger.lent(now));
        shown["borrowed"] = fraction(ledger.borrowed(now));
        shown["available"] = fraction(ledger.available(now));
        shown["tokens"] = entry->bucket.tokens(now);
        shown["demand"] = entry->demand;
        shown["waiting"] = Json::UInt64(entry->waiting.size());
        shown["has_grant"] = entry->has_grant;
    }
    return state;
}

void allotment_service::configure(std::string const& name, double rate, double burst)
{
    auto const now = m_kernel.now();
    auto& entry = m_allotments[name];
    if (!entry) {
        entry = std::make_unique<allotment>(now);
        entry->name = name;
    }
    entry->bucket.set_limits(rate, burst, now);
}

void allotment_service::remove_all_except(std::vector<std::string> const& names)
{
    std::erase_if(m_allotments, [&names](auto const& entry) {
        auto const is_kept = std::find(names.begin(), names.end(), entry.first) != names.end();
        return !is_kept && entry.second->waiting.empty();
    });
}

void allotment_service::take(std::string const& name, token_callback done)
{
    auto const found = m_allotments.find(name);
    if (found == m_allotments.end()) {
        done(std::nullopt);
        return;
    }
    detect_pause();
    auto& entry = *found->second;
    auto const now = m_kernel.now();
    ++entry.arrivals;
    if (entry.waiting.empty() && entry.bucket.take(1, now)) {
        done(std::nullopt);
        return;
    }
    if (entry.waiting.empty()) {
        // No request was waiting, so the backoff of an earlier shortage does not apply: peers may have tokens
        // again.
        entry.request_interval = duration::zero();
    }
    entry.waiting.push_back({now, std::move(done)});
    request_loans(entry, true);
    schedule_serve_waiting(entry);
}

void allotment_service::release_grants()
{
    for (auto const& [name, entry] : m_allotments) {
        if (entry->has_grant) {
            entry->has_grant = false;
            auto const now = m_kernel.now();
            entry->bucket.change_ledger(now, [](share_ledger& ledger) { ledger.set_owned(0); });
            // Outstanding loans must expire before another VM may own this share.
            m_kernel.start_timer(takeover_delay, [this, name = name] { remove_own_grant(name); });
        }
    }
}

void allotment_service::tick()
{
    detect_pause();
    auto const now = m_kernel.now();
    m_last_tick = now;
    update_absent_vms();
    for (auto const& [name, entry] : m_allotments) {
        auto const rate = static_cast<double>(std::exchange(entry->arrivals, 0)) /
                          std::chrono::duration<double>(tick_period).count();
        entry->demand += (rate - entry->demand) * demand_smoothing;
        entry->long_term_demand += (rate - entry->long_term_demand) * long_term_demand_smoothing;
        entry->bucket.change_ledger(now, [now](share_ledger& ledger) { ledger.remove_expired(now); });
        std::erase_if(entry->pending_requests, [now](auto const& pending) {
            return now - pending.second.requested_at > request_timeout;
        });
        serve_waiting(*entry);
        auto const prolong_before = now + prolong_window;
        auto const remaining_rate =
            fraction(entry->bucket.ledger().available(prolong_before)) * entry->bucket.rate();
        if (entry->demand > 1 && remaining_rate < entry->demand * demand_headroom_factor) {
            request_loans(*entry, false);
        }
        if (!entry->has_grant && !m_membership->is_leaving() && m_membership->has_list()) {
            request_grant(*entry);
        }
    }
}

void allotment_service::detect_pause()
{
    auto const now = m_kernel.now();
    if (!m_last_tick || now - *m_last_tick <= max_pause) {
        return;
    }
    // This VM was paused, and its grants may have been reclaimed in the meantime. They are dropped here and
    // read from the platform's table again.
    m_last_tick = now;
    for (auto const& [name, entry] : m_allotments) {
        entry->has_grant = false;
        entry->bucket.drop_grant(now);
    }
}

void allotment_service::serve_waiting(allotment& entry)
{
    auto const now = m_kernel.now();
    std::vector<std::pair<token_callback, std::optional<duration>>> settled;
    while (!entry.waiting.empty()) {
        auto& first = entry.waiting.front();
        auto const has_token = entry.bucket.take(1, now);
        if (!has_token && now - first.since < max_token_wait) {
            break;
        }
        settled.emplace_back(std::move(first.done),
                             has_token ? std::nullopt : std::optional(retry_after(entry)));
        entry.waiting.pop_front();
    }
    for (auto const& [done, wait] : settled) {
        done(wait);
    }
}

void allotment_service::schedule_serve_waiting(allotment& entry)
{
    if (std::exchange(entry.has_serve_timer, true)) {
        return;
    }
    m_kernel.start_timer(serve_period, [this, name = entry.name] {
        auto const found = m_allotments.find(name);
        if (found == m_allotments.end()) {
            return;
        }
        found->second->has_serve_timer = false;
        serve_waiting(*found->second);
        if (!found->second->waiting.empty()) {
            request_loans(*found->second, true);
            schedule_serve_waiting(*found->second);
        }
    });
}

void allotment_service::request_loans(allotment& entry, bool is_urgent)
{
    auto const now = m_kernel.now();
    if (entry.requested_at &&
        now - *entry.requested_at < std::max(entry.request_interval, min_request_interval)) {
        return;
    }
    entry.requested_at = now;
    // The interval doubles until a peer lends a share.
    entry.request_interval =
        std::min(max_request_interval, std::max(min_request_interval, entry.request_interval * 2));
    share_request request;
    request.allotment = entry.name;
    request.waiting = entry.waiting.size();
    request.held = entry.bucket.ledger().available(now);
    request.demand = static_cast<std::int64_t>(entry.demand * micros_per_unit);
    auto const wanted =
        std::max(1.0, static_cast<double>(entry.waiting.size())) + entry.demand * requested_demand_seconds;
    request.wanted = static_cast<std::int64_t>(wanted * micros_per_unit);
    auto const expiring_loans = loans_to_prolong(entry, now);
    auto lenders = choose_lenders(entry, is_urgent ? max_urgent_lenders : max_background_lenders);
    for (auto const& key : expiring_loans) {
        if (std::find(lenders.begin(), lenders.end(), lender_name(key)) == lenders.end()) {
            lenders.push_back(lender_name(key));
        }
    }
    // Each lender is asked for a fraction of the missing tokens, so that all of them together lend at most
    // `surplus_factor` times as many.
    constexpr std::int64_t surplus_factor = 2;
    auto const lender_count = std::max<std::int64_t>(1, static_cast<std::int64_t>(lenders.size()));
    request.wanted = std::max<std::int64_t>(request.wanted * surplus_factor / lender_count,
                                            static_cast<std::int64_t>(micros_per_unit) / surplus_factor);
    for (auto const& peer : lenders) {
        request.number = m_next_number++;
        request.loans_to_renew.clear();
        for (auto const& key : expiring_loans) {
            if (lender_name(key) == peer) {
                request.loans_to_renew.push_back(key.number);
            }
        }
        entry.pending_requests[request.number] = {peer, now};
        m_membership->send(peer, request);
    }
}

std::vector<loan_key> allotment_service::loans_to_prolong(allotment const& entry, monotonic_time now)
{
    auto const prolong_before = now + prolong_window;
    auto const remaining_rate =
        fraction(entry.bucket.ledger().available(prolong_before)) * entry.bucket.rate();
    auto const needed = std::max(entry.demand, entry.long_term_demand) * demand_headroom_factor;
    // Loans that are no longer needed expire and return to their owner without a message.
    return remaining_rate >= needed ? std::vector<loan_key>()
                                    : entry.bucket.ledger().loans_expiring_by(prolong_before, now);
}

std::vector<std::string> allotment_service::choose_lenders(allotment const& entry, std::size_t count)
{
    auto const now = m_kernel.now();
    std::vector<std::pair<double, std::string>> candidates;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!m_membership->is_reachable(peer)) {
            continue;
        }
        // Peers without a recent report rank before peers that reported no tokens.
        auto const hint = entry.hints.find(name);
        auto const is_known = hint != entry.hints.end() && now - hint->second.received_at < hint_lifetime;
        auto const tokens = is_known ? hint->second.tokens : 1.0;
        auto const jitter = static_cast<double>(m_kernel.random_below(1'000)) / 1e6;
        candidates.emplace_back(-(tokens + jitter), name);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<std::string> chosen;
    for (auto const& [score, name] : candidates) {
        if (chosen.size() < count) {
            chosen.push_back(name);
        }
    }
    // One more peer is chosen at random, to find peers whose demand has moved to other VMs.
    if (candidates.size() > count) {
        chosen.push_back(candidates[count + m_kernel.random_below(candidates.size() - count)].second);
    }
    return chosen;
}

void allotment_service::answer_request(peer_state const& peer, share_request const& request)
{
    auto const found = m_allotments.find(request.allotment);
    if (found == m_allotments.end()) {
        return;
    }
    detect_pause();
    auto& entry = *found->second;
    auto& last = entry.last_request_numbers[peer.name + "#" + std::to_string(peer.incarnation)];
    if (request.number <= last) {
        return;
    }
    last = request.number;
    auto const now = m_kernel.now();
    share_transfer answer{request.allotment, request.number, peer.incarnation, {}, 0, 0};
    auto const add_loan = [&answer](issued_loan const& issued) {
        answer.loans.push_back(
            {issued.number, issued.amount, static_cast<std::uint64_t>(to_microseconds(issued.length))});
    };
    entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
        for (auto const number : request.loans_to_renew) {
            if (auto const issued = ledger.prolong(number, now, loan_length)) {
                add_loan(*issued);
            }
        }
    });
    auto amount = amount_to_lend(entry, request, now);
    auto transferred_tokens = tokens_to_transfer(entry, request, amount, now);
    auto const idle_tokens = idle_tokens_to_transfer(entry, request, now);
    if (idle_tokens > transferred_tokens) {
        // A request waits at the peer while this VM has unused tokens. They are transferred even if the
        // balance of shares would not allow it.
        transferred_tokens = idle_tokens;
        amount = std::max(amount, to_share(idle_tokens / std::max(entry.bucket.burst(), 1.0)) + 1);
    }
    if (amount > 0 && entry.bucket.take(transferred_tokens, now)) {
        share lent = 0;
        auto const overflow = entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
            for (auto const& issued :
                 ledger.lend(amount, now, loan_length, [this] { return m_next_number++; })) {
                add_loan(issued);
                lent += issued.amount;
            }
        });
        // Tokens above the reduced capacity of this bucket go to the borrower, which has the capacity for
        // them.
        auto const capacity = fraction(lent) * entry.bucket.burst();
        answer.tokens = static_cast<std::int64_t>(
            std::floor(std::min(transferred_tokens + overflow, capacity) * micros_per_unit));
    }
    answer.lender_tokens = static_cast<std::int64_t>(entry.bucket.tokens(now) * micros_per_unit);
    m_membership->send(peer.name, answer);
}

double allotment_service::idle_tokens_to_transfer(allotment& entry, share_request const& request,
                                                  monotonic_time now)
{
    if (request.waiting == 0 || !entry.waiting.empty()) {
        return 0;
    }
    auto const tokens = entry.bucket.tokens(now);
    auto const reserve = std::min(1.0, entry.long_term_demand * lender_reserve_seconds);
    constexpr double min_transfer = 0.2;
    auto const has_peer_higher_demand = static_cast<double>(request.demand) / micros_per_unit >= entry.demand;
    auto const spare = tokens - (has_peer_higher_demand && tokens < 1 + reserve ? 0 : reserve);
    auto const transferred =
        std::min({1.0, spare, fraction(entry.bucket.ledger().available(now)) * entry.bucket.burst() - 0.01});
    return transferred >= (has_peer_higher_demand ? min_transfer : 1.0) ? transferred : 0;
}

share allotment_service::amount_to_lend(allotment& entry, share_request const& request, monotonic_time now)
{
    // Shares are balanced so that both VMs hold them in proportion to their demand.
    auto const peer_demand = std::max(static_cast<double>(request.demand) / micros_per_unit, 1.0);
    auto const available = entry.bucket.ledger().available(now);
    auto const together = static_cast<double>(available + request.held);
    auto const fair = static_cast<share>(together * entry.demand / (peer_demand + entry.demand));
    auto const reserved_burst = min_lender_tokens / std::max(entry.bucket.burst(), min_lender_tokens);
    auto const reserved_rate = std::max(entry.demand, entry.long_term_demand) * demand_headroom_factor /
                               std::max(entry.bucket.rate(), 1e-9);
    auto const reserve = to_share(std::min(1.0, std::max(reserved_burst, reserved_rate)));
    // A peer whose demand is far above the rate gets no more than its fair share from VMs whose demand is
    // below it.
    auto const excess =
        std::max<share>(available - std::max(fair, std::min(reserve, entry.bucket.ledger().owned())), 0);
    // A burst needs bucket capacity as well as rate, and a share carries both.
    auto const wanted = static_cast<double>(request.wanted) / micros_per_unit;
    auto const share_for_burst = to_share(std::min(1.0, (wanted + 1) / std::max(entry.bucket.burst(), 1.0)));
    auto const share_for_rate =
        to_share(std::min(1.0, peer_demand * demand_headroom_factor / std::max(entry.bucket.rate(), 1e-9)));
    // The borrower asks several lenders, so each of them lends a fraction of the missing amount.
    constexpr share assumed_lenders = 3;
    auto const missing = (std::max(share_for_burst, share_for_rate) - request.held) / assumed_lenders;
    auto const amount = std::min(excess, std::max(missing, share_for_burst));
    auto const can_lend = amount >= min_loan_share && entry.bucket.ledger().loans() < max_loans;
    return can_lend ? amount : 0;
}

double allotment_service::tokens_to_transfer(allotment& entry, share_request const& request, share amount,
                                             monotonic_time now)
{
    auto const peer_demand = std::max(static_cast<double>(request.demand) / micros_per_unit, 1.0);
    auto const tokens = entry.bucket.tokens(now);
    auto const spare = std::max(0.0, tokens - std::max(1.0, entry.demand * lender_reserve_seconds));
    auto const fair = entry.demand < 1 ? spare : spare * peer_demand / (peer_demand + entry.demand);
    return std::min({static_cast<double>(request.wanted) / micros_per_unit, fair,
                     fraction(amount) * entry.bucket.burst()});
}

void allotment_service::handle_transfer(peer_state const& peer, share_transfer const& transfer)
{
    auto const found = m_allotments.find(transfer.allotment);
    if (found == m_allotments.end() ||
        transfer.receiver_incarnation != m_membership->identity().incarnation) {
        return;
    }
    auto& entry = *found->second;
    auto const pending = entry.pending_requests.find(transfer.request);
    if (pending == entry.pending_requests.end() || pending->second.peer != peer.name) {
        return;
    }
    auto const now = m_kernel.now();
    auto const requested_at = pending->second.requested_at;
    // Only the first transfer for a request counts; a duplicate finds no pending request.
    entry.pending_requests.erase(pending);
    entry.hints[peer.name] = {static_cast<double>(transfer.lender_tokens) / micros_per_unit, now};
    entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
        for (auto const& loan : transfer.loans) {
            ledger.borrow({peer.name + "#" + std::to_string(peer.incarnation), loan.number}, loan.amount,
                          requested_at, std::chrono::microseconds(loan.duration_us));
        }
    });
    entry.bucket.add(static_cast<double>(transfer.tokens) / micros_per_unit, now);
    serve_waiting(entry);
    if (entry.waiting.empty()) {
        entry.request_interval = duration::zero();
    }
}

duration allotment_service::retry_after(allotment& entry)
{
    auto const now = m_kernel.now();
    auto const rate = std::max(fraction(entry.bucket.ledger().available(now)) * entry.bucket.rate(), 1e-3);
    auto const missing = 1 - entry.bucket.tokens(now) + static_cast<double>(entry.waiting.size());
    constexpr duration longest = std::chrono::hours(1);
    constexpr duration shortest = std::chrono::milliseconds(1);
    auto const wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(missing / rate, 3600.0)));
    return std::clamp(wait, shortest, longest);
}

void allotment_service::request_grant(allotment& entry)
{
    auto const now = m_kernel.now();
    // One grant request is in flight at a time, and calls to the table service are rate limited.
    if (entry.is_grant_pending || now < entry.next_grant_attempt || now < m_next_store_call) {
        return;
    }
    entry.is_grant_pending = true;
    m_next_store_call = now + store_call_interval;
    auto const jitter = duration(static_cast<duration::rep>(
        m_kernel.random_below(static_cast<std::uint64_t>(grant_retry_delay.count()))));
    entry.next_grant_attempt = now + grant_retry_delay + jitter;
    m_platform.read_row(row_key(entry.name), m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                                                 [this, name = entry.name](auto const& row) {
                                                     auto const found = m_allotments.find(name);
                                                     if (found == m_allotments.end()) {
                                                         return;
                                                     }
                                                     found->second->is_grant_pending = false;
                                                     if (row.ok()) {
                                                         handle_grant_row(name, *row);
                                                     }
                                                 }));
}

void allotment_service::handle_grant_row(std::string const& name, std::optional<table_row> const& row)
{
    auto const now = m_kernel.now();
    auto const& self = m_membership->identity();
    auto decoded = decode_holders(row);
    if (!decoded.ok()) {
        // What other VMs own is unknown, so this VM takes nothing and leaves the row to the operators.
        log_invalid_row(name, row->version, decoded.status());
        return;
    }
    auto holders = *std::move(decoded);
    auto const own = holders.find(self.name);
    if (own != holders.end() && own->second.first == self.incarnation) {
        // An earlier conditional put took effect although its response was lost.
        m_allotments.at(name)->has_grant = true;
        m_allotments.at(name)->bucket.change_ledger(
            now, [&](share_ledger& ledger) { ledger.set_owned(own->second.second); });
        return;
    }
    // An earlier incarnation of this VM may have lent its share; those loans must expire first.
    if (own != holders.end() && now - m_started_at < takeover_delay) {
        return;
    }
    if (own != holders.end()) {
        holders.erase(own);
    }
    for (auto const& [vm, grant] : holders) {
        if (!m_membership->peers().contains(vm)) {
            m_absent_since.try_emplace(vm, now);
        }
    }
    std::erase_if(holders, [this, now](auto const& holder) {
        auto const absent = m_absent_since.find(holder.first);
        return absent != m_absent_since.end() && now - absent->second >= reclaim_delay;
    });
    share held = 0;
    for (auto const& [vm, grant] : holders) {
        held += grant.second;
    }
    VERIFY(held <= full_share);
    auto const fair =
        full_share / static_cast<share>(std::max(m_membership->fleet_size(), holders.size() + 1));
    auto const owned = std::min(fair, full_share - held);
    if (owned <= 0) {
        return;
    }
    holders[self.name] = {self.incarnation, owned};
    put_grant(name, row ? row->version : 0, holders, owned);
}

void allotment_service::put_grant(std::string const& name, std::uint64_t row_version,
                                  holder_table const& holders, share owned)
{
    m_allotments.at(name)->is_grant_pending = true;
    m_platform.put_row(row_key(name), row_version, encode_holders(holders),
                       m_kernel.guard<absl::StatusOr<std::uint64_t>>([this, name, owned](auto const& put) {
                           auto const found = m_allotments.find(name);
                           if (found == m_allotments.end()) {
                               return;
                           }
                           found->second->is_grant_pending = false;
                           if (put.ok() && !m_membership->is_leaving()) {
                               found->second->has_grant = true;
                               found->second->bucket.change_ledger(
                                   m_kernel.now(),
                                   [owned](share_ledger& ledger) { ledger.set_owned(owned); });
                           }
                       }));
}

void allotment_service::remove_own_grant(std::string const& name)
{
    m_platform.read_row(
        row_key(name),
        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>([this, name](auto const& row) {
            if (!row.ok() || !*row) {
                return;
            }
            auto holders = decode_holders(*row);
            auto const& self = m_membership->identity();
            if (!holders.ok()) {
                log_invalid_row(name, (*row)->version, holders.status());
                return;
            }
            auto const own = holders->find(self.name);
            // The grant of a newer process with this VM's name stays.
            if (own == holders->end() || own->second.first != self.incarnation) {
                return;
            }
            holders->erase(own);
            m_platform.put_row(row_key(name), (*row)->version, encode_holders(*holders),
                               m_kernel.guard<absl::StatusOr<std::uint64_t>>([](auto const& /*put*/) {
                                   // After a failure other VMs reclaim the grant after `reclaim_delay`.
                               }));
        }));
}

void allotment_service::log_invalid_row(std::string const& name, std::uint64_t version,
                                        absl::Status const& reason)
{
    auto const [logged, is_new] = m_invalid_versions.try_emplace(name, version);
    if (!is_new && std::exchange(logged->second, version) == version) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["row"] = row_key(name);
    fields["version"] = Json::UInt64(version);
    fields["reason"] = std::string(reason.message());
    m_kernel.log(log_level::warning, service_name, "grants in the table are invalid and were not used",
                 std::move(fields));
}

void allotment_service::update_absent_vms()
{
    auto const now = m_kernel.now();
    auto const& peers = m_membership->peers();
    for (auto const& [name, peer] : peers) {
        if (peer.is_listed || m_membership->is_reachable(peer)) {
            m_absent_since.erase(name);
        }
        else {
            m_absent_since.try_emplace(name, now);
        }
    }
}

} // namespace greengagehitch
