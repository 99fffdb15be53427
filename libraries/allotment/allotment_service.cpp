#include "allotment/allotment_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(50);
/// Longest time that a request waits for tokens of peers.
constexpr duration wait_limit = std::chrono::milliseconds(60);
constexpr duration check_period = std::chrono::milliseconds(2);
constexpr duration loan_length = std::chrono::seconds(2);
/// Loans that end within this time are prolonged if they are still needed.
constexpr duration prolong_ahead = std::chrono::milliseconds(1'200);
constexpr duration shortest_ask_pause = std::chrono::milliseconds(4);
constexpr duration longest_ask_pause = std::chrono::milliseconds(100);
constexpr duration hint_lifetime = std::chrono::seconds(5);
constexpr duration request_lifetime = std::chrono::seconds(1);
/// A grant of an earlier incarnation may be out on loan for this long.
constexpr duration takeover_quiet_time = loan_length + loan_length / 2;
/// Time for which a VM must be missing from the platform's list before its grant is taken back.
constexpr duration reclaim_quiet_time = std::chrono::seconds(30);
/// Pause after which this VM asks the table before it uses its grants again.
constexpr duration longest_pause = reclaim_quiet_time / 3;
constexpr duration grant_retry_delay = std::chrono::milliseconds(700);
/// Spacing of this VM's calls to the table service.
constexpr duration store_call_spacing = std::chrono::milliseconds(250);
constexpr double demand_smoothing = 0.25;
/// A lender keeps what it needs for this time itself.
constexpr double own_reserve_seconds = 0.05;
/// A borrower asks for what it needs for this time.
constexpr double wanted_seconds = 0.3;
constexpr double micro = 1e6;
constexpr std::size_t urgent_lenders = 3;
constexpr std::size_t calm_lenders = 1;
constexpr double smallest_share_of_demand = 1.1;

std::string row_key(std::string const& allotment)
{
    return "allotments/" + allotment;
}

double fraction(share amount)
{
    return static_cast<double>(amount) / static_cast<double>(whole_share);
}

share to_share(double part)
{
    return static_cast<share>(std::floor(part * static_cast<double>(whole_share)));
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

std::map<std::string, std::pair<std::uint64_t, share>> decode_holders(std::string const& text)
{
    std::map<std::string, std::pair<std::uint64_t, share>> holders;
    auto const root = try_parse_json(text);
    if (root.ok() && root->isObject()) {
        for (auto const& vm : root->getMemberNames()) {
            holders[vm] = {(*root)[vm]["incarnation"].asUInt64(), (*root)[vm]["share"].asInt64()};
        }
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
        [this](peer_state const& peer, share_transfer const& transfer) { take_transfer(peer, transfer); });
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

void allotment_service::keep_only(std::vector<std::string> const& names)
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
    notice_pause();
    auto& entry = *found->second;
    auto const now = m_kernel.now();
    ++entry.arrivals;
    if (entry.waiting.empty() && entry.bucket.take(1, now)) {
        done(std::nullopt);
        return;
    }
    entry.waiting.push_back({now, std::move(done)});
    ask_peers(entry, true);
    schedule_check(entry);
}

void allotment_service::hand_back()
{
    for (auto const& [name, entry] : m_allotments) {
        if (entry->has_grant) {
            entry->has_grant = false;
            auto const now = m_kernel.now();
            entry->bucket.change_ledger(now, [](share_ledger& ledger) { ledger.set_owned(0); });
            // Loans that are out must end before anybody else may own this part.
            m_kernel.start_timer(takeover_quiet_time, [this, name = name] { put_hand_back(name); });
        }
    }
}

void allotment_service::tick()
{
    notice_pause();
    auto const now = m_kernel.now();
    m_last_tick = now;
    watch_list();
    for (auto const& [name, entry] : m_allotments) {
        auto const rate = static_cast<double>(std::exchange(entry->arrivals, 0)) /
                          std::chrono::duration<double>(tick_period).count();
        entry->demand += (rate - entry->demand) * demand_smoothing;
        entry->bucket.change_ledger(now, [now](share_ledger& ledger) { ledger.forget_ended(now); });
        std::erase_if(entry->open_requests,
                      [now](auto const& open) { return now - open.second.asked_at > request_lifetime; });
        serve_waiting(*entry);
        auto const soon = now + prolong_ahead;
        auto const lasting = fraction(entry->bucket.ledger().available(soon)) * entry->bucket.rate();
        if (entry->demand > 1 && lasting < entry->demand * smallest_share_of_demand) {
            ask_peers(*entry, false);
        }
        if (!entry->has_grant && !m_membership->is_leaving() && m_membership->has_list()) {
            try_grant(*entry);
        }
    }
}

void allotment_service::notice_pause()
{
    auto const now = m_kernel.now();
    if (!m_last_tick || now - *m_last_tick <= longest_pause) {
        return;
    }
    // This VM was frozen, and its grants may have been taken back since. The table says whether they stand.
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
        if (!has_token && now - first.since < wait_limit) {
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

void allotment_service::schedule_check(allotment& entry)
{
    if (std::exchange(entry.has_timer, true)) {
        return;
    }
    m_kernel.start_timer(check_period, [this, name = entry.name] {
        auto const found = m_allotments.find(name);
        if (found == m_allotments.end()) {
            return;
        }
        found->second->has_timer = false;
        serve_waiting(*found->second);
        if (!found->second->waiting.empty()) {
            ask_peers(*found->second, true);
            schedule_check(*found->second);
        }
    });
}

void allotment_service::ask_peers(allotment& entry, bool is_urgent)
{
    auto const now = m_kernel.now();
    if (entry.asked_at && now - *entry.asked_at < std::max(entry.ask_pause, shortest_ask_pause)) {
        return;
    }
    entry.asked_at = now;
    // Doubles until a peer gives something.
    entry.ask_pause = std::min(longest_ask_pause, std::max(shortest_ask_pause, entry.ask_pause * 2));
    share_request request;
    request.allotment = entry.name;
    request.held = entry.bucket.ledger().available(now);
    request.demand = static_cast<std::int64_t>(entry.demand * micro);
    auto const wanted =
        std::max(1.0, static_cast<double>(entry.waiting.size())) + entry.demand * wanted_seconds;
    request.wanted = static_cast<std::int64_t>(wanted * micro);
    auto const ending = entry.bucket.ledger().borrowed_until(now + prolong_ahead, now);
    auto lenders = choose_lenders(entry, is_urgent ? urgent_lenders : calm_lenders);
    for (auto const& key : ending) {
        if (std::find(lenders.begin(), lenders.end(), key.lender) == lenders.end()) {
            lenders.push_back(key.lender);
        }
    }
    for (auto const& peer : lenders) {
        request.number = m_next_number++;
        request.prolonged.clear();
        for (auto const& key : ending) {
            if (key.lender == peer) {
                request.prolonged.push_back(key.number);
            }
        }
        entry.open_requests[request.number] = {peer, now};
        m_membership->send(peer, request);
    }
}

std::vector<std::string> allotment_service::choose_lenders(allotment const& entry, std::size_t count)
{
    auto const now = m_kernel.now();
    std::vector<std::pair<double, std::string>> candidates;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!m_membership->is_reachable(peer)) {
            continue;
        }
        // Peers of which nothing is known come before those that had nothing.
        auto const hint = entry.hints.find(name);
        auto const is_known = hint != entry.hints.end() && now - hint->second.heard_at < hint_lifetime;
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
    // One more at random finds peers whose demand has gone elsewhere.
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
    notice_pause();
    auto& entry = *found->second;
    auto& last = entry.last_request_of[peer.name + "#" + std::to_string(peer.incarnation)];
    if (request.number <= last) {
        return;
    }
    last = request.number;
    auto const now = m_kernel.now();
    for (auto const number : request.prolonged) {
        entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
            if (auto const amount = ledger.prolong_lent(number, now, loan_length)) {
                m_membership->send(peer.name, share_transfer{request.allotment, request.number,
                                                             peer.incarnation, number, *amount, 0, 0, true});
            }
        });
    }
    auto const tokens = entry.bucket.tokens(now);
    auto const peer_demand = std::max(static_cast<double>(request.demand) / micro, 1.0);
    auto const all_demand = peer_demand + entry.demand;
    share_transfer answer{request.allotment, request.number, peer.incarnation, 0, 0, 0, 0, false};
    // Shares move until both have as much as their part of the demand.
    auto const lendable = entry.bucket.ledger().lendable(now);
    auto const together = static_cast<double>(entry.bucket.ledger().available(now) + request.held);
    auto const fair = static_cast<share>(together * entry.demand / all_demand);
    auto const excess = std::clamp<share>(entry.bucket.ledger().available(now) - fair, 0, lendable);
    // A burst needs room as well as a rate, and the room comes with the share.
    auto const wanted = static_cast<double>(request.wanted) / micro;
    auto const wanted_room = to_share(std::min(1.0, (wanted + 1) / std::max(entry.bucket.burst(), 1.0)));
    auto const wanted_rate =
        to_share(std::min(1.0, peer_demand * smallest_share_of_demand / std::max(entry.bucket.rate(), 1e-9)));
    auto const missing = std::max(wanted_room, wanted_rate) - request.held;
    auto const amount = std::min(excess, std::max<share>(missing, wanted_room));
    auto const spare = std::max(0.0, tokens - std::min(tokens / 2, entry.demand * own_reserve_seconds));
    auto const given = std::min({wanted, spare * peer_demand / all_demand + (entry.demand < 1 ? spare : 0),
                                 fraction(amount) * entry.bucket.burst(), spare});
    if (amount > 0 && entry.bucket.take(given, now)) {
        answer.loan = m_next_number++;
        answer.amount = amount;
        auto const overflow = entry.bucket.change_ledger(
            now, [&](share_ledger& ledger) { ledger.lend(answer.loan, amount, now, loan_length); });
        // Tokens that lost their room here find it at the borrower.
        auto const room = fraction(amount) * entry.bucket.burst();
        answer.tokens = static_cast<std::int64_t>(std::floor(std::min(given + overflow, room) * micro));
    }
    answer.lender_tokens = static_cast<std::int64_t>(entry.bucket.tokens(now) * micro);
    m_membership->send(peer.name, answer);
}

void allotment_service::take_transfer(peer_state const& peer, share_transfer const& transfer)
{
    auto const found = m_allotments.find(transfer.allotment);
    if (found == m_allotments.end() ||
        transfer.receiver_incarnation != m_membership->identity().incarnation) {
        return;
    }
    auto& entry = *found->second;
    auto const open = entry.open_requests.find(transfer.request);
    if (open == entry.open_requests.end() || open->second.peer != peer.name) {
        return;
    }
    auto const now = m_kernel.now();
    auto const asked_at = open->second.asked_at;
    if (!transfer.is_prolonged) {
        // Only one transfer counts for a request; a doubled one finds it closed.
        entry.open_requests.erase(open);
        entry.hints[peer.name] = {static_cast<double>(transfer.lender_tokens) / micro, now};
    }
    if (transfer.amount > 0 && asked_at + loan_length > now) {
        entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
            ledger.borrow({peer.name + "#" + std::to_string(peer.incarnation), transfer.loan},
                          transfer.amount, asked_at, loan_length);
        });
        if (!transfer.is_prolonged) {
            entry.bucket.add(static_cast<double>(transfer.tokens) / micro, now);
        }
        entry.ask_pause = duration::zero();
    }
    serve_waiting(entry);
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

void allotment_service::try_grant(allotment& entry)
{
    auto const now = m_kernel.now();
    // An earlier incarnation of this VM may have lent its part; those loans must end first.
    if (entry.is_granting || now < entry.next_grant_try || now < m_next_store_call) {
        return;
    }
    entry.is_granting = true;
    m_next_store_call = now + store_call_spacing;
    auto const jitter = duration(static_cast<duration::rep>(
        m_kernel.random_below(static_cast<std::uint64_t>(grant_retry_delay.count()))));
    entry.next_grant_try = now + grant_retry_delay + jitter;
    m_platform.read_row(row_key(entry.name), m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                                                 [this, name = entry.name](auto const& row) {
                                                     auto const found = m_allotments.find(name);
                                                     if (found == m_allotments.end()) {
                                                         return;
                                                     }
                                                     found->second->is_granting = false;
                                                     if (row.ok()) {
                                                         take_grant_row(name, *row);
                                                     }
                                                 }));
}

void allotment_service::take_grant_row(std::string const& name, std::optional<table_row> const& row)
{
    auto const now = m_kernel.now();
    auto const& self = m_membership->identity();
    auto holders = row ? decode_holders(row->value) : holder_table();
    auto const own = holders.find(self.name);
    if (own != holders.end() && own->second.first == self.incarnation) {
        // An earlier put took effect although its answer was lost.
        m_allotments.at(name)->has_grant = true;
        m_allotments.at(name)->bucket.change_ledger(
            now, [&](share_ledger& ledger) { ledger.set_owned(own->second.second); });
        return;
    }
    if (own != holders.end() && now - m_started_at < takeover_quiet_time) {
        return;
    }
    if (own != holders.end()) {
        holders.erase(own);
    }
    for (auto const& [vm, grant] : holders) {
        if (!m_membership->peers().contains(vm)) {
            m_gone_since.try_emplace(vm, now);
        }
    }
    std::erase_if(holders, [this, now](auto const& holder) {
        auto const gone = m_gone_since.find(holder.first);
        return gone != m_gone_since.end() && now - gone->second >= reclaim_quiet_time;
    });
    share held = 0;
    for (auto const& [vm, grant] : holders) {
        held += grant.second;
    }
    VERIFY(held <= whole_share);
    auto const fair =
        whole_share / static_cast<share>(std::max(m_membership->fleet_size(), holders.size() + 1));
    auto const owned = std::min(fair, whole_share - held);
    if (owned <= 0) {
        return;
    }
    holders[self.name] = {self.incarnation, owned};
    put_grant(name, row ? row->version : 0, holders, owned);
}

void allotment_service::put_grant(std::string const& name, std::uint64_t row_version,
                                  holder_table const& holders, share owned)
{
    m_allotments.at(name)->is_granting = true;
    m_platform.put_row(row_key(name), row_version, encode_holders(holders),
                       m_kernel.guard<absl::StatusOr<std::uint64_t>>([this, name, owned](auto const& put) {
                           auto const found = m_allotments.find(name);
                           if (found == m_allotments.end()) {
                               return;
                           }
                           found->second->is_granting = false;
                           if (put.ok() && !m_membership->is_leaving()) {
                               found->second->has_grant = true;
                               found->second->bucket.change_ledger(
                                   m_kernel.now(),
                                   [owned](share_ledger& ledger) { ledger.set_owned(owned); });
                           }
                       }));
}

void allotment_service::put_hand_back(std::string const& name)
{
    m_platform.read_row(
        row_key(name),
        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>([this, name](auto const& row) {
            if (!row.ok() || !*row) {
                return;
            }
            auto holders = decode_holders((*row)->value);
            if (holders.erase(m_membership->identity().name) == 0) {
                return;
            }
            m_platform.put_row(row_key(name), (*row)->version, encode_holders(holders),
                               m_kernel.guard<absl::StatusOr<std::uint64_t>>([](auto const& /*put*/) {
                                   // What is not handed back is reclaimed after the quiet time.
                               }));
        }));
}

void allotment_service::watch_list()
{
    auto const now = m_kernel.now();
    auto const& peers = m_membership->peers();
    for (auto const& [name, peer] : peers) {
        if (peer.is_listed || m_membership->is_reachable(peer)) {
            m_gone_since.erase(name);
        }
        else {
            m_gone_since.try_emplace(name, now);
        }
    }
}

} // namespace greengagehitch
