#include "allotment/allotment_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(50);
/// Longest time that a request waits for tokens of peers.
constexpr duration wait_limit = std::chrono::milliseconds(120);
constexpr duration check_period = std::chrono::milliseconds(2);
constexpr duration loan_length = std::chrono::milliseconds(800);
/// Loans that end within this time are prolonged if they are still needed.
constexpr duration prolong_ahead = std::chrono::milliseconds(350);
constexpr duration shortest_ask_pause = std::chrono::milliseconds(4);
constexpr duration longest_ask_pause = std::chrono::milliseconds(40);
constexpr duration hint_lifetime = std::chrono::seconds(5);
constexpr duration request_lifetime = std::chrono::seconds(1);
/// A grant of an earlier incarnation may be out on loan for this long.
constexpr duration takeover_quiet_time = 2 * loan_length;
/// Time for which a VM must be missing from the platform's list before its grant is taken back.
constexpr duration reclaim_quiet_time = std::chrono::seconds(30);
/// Pause after which this VM asks the table before it uses its grants again.
constexpr duration longest_pause = reclaim_quiet_time / 3;
constexpr duration grant_retry_delay = std::chrono::milliseconds(700);
/// Spacing of this VM's calls to the table service.
constexpr duration store_call_spacing = std::chrono::milliseconds(250);
constexpr double demand_smoothing = 0.25;
/// Remembers some seconds, so that a VM with a request now and then keeps what those need.
constexpr double lasting_demand_smoothing = 0.02;
/// Tokens that a lender keeps room for, whatever its demand.
constexpr double kept_tokens = 1.2;
/// A lender keeps what it needs for this time itself.
constexpr double own_reserve_seconds = 0.05;
/// A borrower asks for what it needs for this time.
constexpr double wanted_seconds = 0.3;
constexpr double micro = 1e6;
/// Smaller loans and more of them would cost more messages than they are worth.
constexpr share smallest_loan = whole_share / 100;
constexpr std::size_t most_loans = 32;
constexpr std::size_t urgent_lenders = 7;
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

/// Name of the VM that gave a loan; the key also carries its incarnation.
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
    if (entry.waiting.empty()) {
        // A new shortage; what an earlier one learnt about peers is out of date.
        entry.ask_pause = duration::zero();
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
        entry->lasting_demand += (rate - entry->lasting_demand) * lasting_demand_smoothing;
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
    request.waiting = entry.waiting.size();
    request.held = entry.bucket.ledger().available(now);
    request.demand = static_cast<std::int64_t>(entry.demand * micro);
    auto const wanted =
        std::max(1.0, static_cast<double>(entry.waiting.size())) + entry.demand * wanted_seconds;
    request.wanted = static_cast<std::int64_t>(wanted * micro);
    auto const ending = loans_to_prolong(entry, now);
    auto lenders = choose_lenders(entry, is_urgent ? urgent_lenders : calm_lenders);
    for (auto const& key : ending) {
        if (std::find(lenders.begin(), lenders.end(), lender_name(key)) == lenders.end()) {
            lenders.push_back(lender_name(key));
        }
    }
    // Each lender is asked for a part; together they give twice of what is missing at most.
    constexpr std::int64_t surplus = 2;
    auto const asked = std::max<std::int64_t>(1, static_cast<std::int64_t>(lenders.size()));
    request.wanted =
        std::max<std::int64_t>(request.wanted * surplus / asked, static_cast<std::int64_t>(micro) / surplus);
    for (auto const& peer : lenders) {
        request.number = m_next_number++;
        request.loans_to_renew.clear();
        for (auto const& key : ending) {
            if (lender_name(key) == peer) {
                request.loans_to_renew.push_back(key.number);
            }
        }
        entry.open_requests[request.number] = {peer, now};
        m_membership->send(peer, request);
    }
}

std::vector<loan_key> allotment_service::loans_to_prolong(allotment const& entry, monotonic_time now)
{
    auto const soon = now + prolong_ahead;
    auto const lasting = fraction(entry.bucket.ledger().available(soon)) * entry.bucket.rate();
    auto const needed = std::max(entry.demand, entry.lasting_demand) * smallest_share_of_demand;
    // What is not needed goes back to its owner by itself.
    return lasting >= needed ? std::vector<loan_key>() : entry.bucket.ledger().borrowed_until(soon, now);
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
    share_transfer answer{request.allotment, request.number, peer.incarnation, {}, 0, 0};
    auto const add_loan = [&answer](lent_part const& part) {
        answer.loans.push_back(
            {part.number, part.amount, static_cast<std::uint64_t>(to_microseconds(part.length))});
    };
    entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
        for (auto const number : request.loans_to_renew) {
            if (auto const part = ledger.prolong(number, now, loan_length)) {
                add_loan(*part);
            }
        }
    });
    auto amount = amount_to_lend(entry, request, now);
    auto given = tokens_to_give(entry, request, amount, now);
    auto const spared = tokens_to_spare(entry, request, now);
    if (spared > given) {
        // A request waits there, and tokens lie idle here: whatever the balance of shares, they go.
        given = spared;
        amount = std::max(amount, to_share(spared / std::max(entry.bucket.burst(), 1.0)) + 1);
    }
    if (amount > 0 && entry.bucket.take(given, now)) {
        share lent = 0;
        auto const overflow = entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
            for (auto const& part :
                 ledger.lend(amount, now, loan_length, [this] { return m_next_number++; })) {
                add_loan(part);
                lent += part.amount;
            }
        });
        // Tokens that lost their room here find it at the borrower.
        auto const room = fraction(lent) * entry.bucket.burst();
        answer.tokens = static_cast<std::int64_t>(std::floor(std::min(given + overflow, room) * micro));
    }
    answer.lender_tokens = static_cast<std::int64_t>(entry.bucket.tokens(now) * micro);
    m_membership->send(peer.name, answer);
}

double allotment_service::tokens_to_spare(allotment& entry, share_request const& request, monotonic_time now)
{
    if (request.waiting == 0 || !entry.waiting.empty()) {
        return 0;
    }
    auto const tokens = entry.bucket.tokens(now);
    auto const kept = std::min(1.0, entry.lasting_demand * own_reserve_seconds);
    constexpr double smallest_gift = 0.2;
    auto const is_needier = static_cast<double>(request.demand) / micro >= entry.demand;
    auto const spare = tokens - (is_needier && tokens < 1 + kept ? 0 : kept);
    auto const gift =
        std::min({1.0, spare, fraction(entry.bucket.ledger().available(now)) * entry.bucket.burst() - 0.01});
    return gift >= (is_needier ? smallest_gift : 1.0) ? gift : 0;
}

share allotment_service::amount_to_lend(allotment& entry, share_request const& request, monotonic_time now)
{
    // Shares move until both have as much as their part of the demand.
    auto const peer_demand = std::max(static_cast<double>(request.demand) / micro, 1.0);
    auto const available = entry.bucket.ledger().available(now);
    auto const together = static_cast<double>(available + request.held);
    auto const fair = static_cast<share>(together * entry.demand / (peer_demand + entry.demand));
    auto const kept_room = kept_tokens / std::max(entry.bucket.burst(), kept_tokens);
    auto const kept_rate = std::max(entry.demand, entry.lasting_demand) * smallest_share_of_demand /
                           std::max(entry.bucket.rate(), 1e-9);
    auto const kept = to_share(std::min(1.0, std::max(kept_room, kept_rate)));
    // A peer whose demand is far above the rate takes no more than its fair part from those below it.
    auto const excess =
        std::max<share>(available - std::max(fair, std::min(kept, entry.bucket.ledger().owned())), 0);
    // A burst needs room as well as a rate, and the room comes with the share.
    auto const wanted = static_cast<double>(request.wanted) / micro;
    auto const wanted_room = to_share(std::min(1.0, (wanted + 1) / std::max(entry.bucket.burst(), 1.0)));
    auto const wanted_rate =
        to_share(std::min(1.0, peer_demand * smallest_share_of_demand / std::max(entry.bucket.rate(), 1e-9)));
    // The borrower asks several lenders, so each gives a part of what is missing.
    constexpr share parts = 3;
    auto const missing = (std::max(wanted_room, wanted_rate) - request.held) / parts;
    auto const amount = std::min(excess, std::max(missing, wanted_room));
    auto const is_worth_it = amount >= smallest_loan && entry.bucket.ledger().loans() < most_loans;
    return is_worth_it ? amount : 0;
}

double allotment_service::tokens_to_give(allotment& entry, share_request const& request, share amount,
                                         monotonic_time now)
{
    auto const peer_demand = std::max(static_cast<double>(request.demand) / micro, 1.0);
    auto const tokens = entry.bucket.tokens(now);
    auto const spare = std::max(0.0, tokens - std::max(1.0, entry.demand * own_reserve_seconds));
    auto const fair = entry.demand < 1 ? spare : spare * peer_demand / (peer_demand + entry.demand);
    return std::min(
        {static_cast<double>(request.wanted) / micro, fair, fraction(amount) * entry.bucket.burst()});
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
    // Only one transfer counts for a request; a doubled one finds it closed.
    entry.open_requests.erase(open);
    entry.hints[peer.name] = {static_cast<double>(transfer.lender_tokens) / micro, now};
    entry.bucket.change_ledger(now, [&](share_ledger& ledger) {
        for (auto const& loan : transfer.loans) {
            ledger.borrow({peer.name + "#" + std::to_string(peer.incarnation), loan.number}, loan.amount,
                          asked_at, std::chrono::microseconds(loan.duration_us));
        }
    });
    entry.bucket.add(static_cast<double>(transfer.tokens) / micro, now);
    serve_waiting(entry);
    if (entry.waiting.empty()) {
        entry.ask_pause = duration::zero();
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
