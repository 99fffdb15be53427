#include "brokers/contact_guard.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Interval at which other zones are asked while a commit runs.
constexpr duration renewal_period = std::chrono::milliseconds(100);
/// Time without an answer after which all other zones are asked.
constexpr duration answer_time = std::chrono::milliseconds(30);
/// Interval at which is_undecided() asks a zone.
constexpr duration zone_ask_period = std::chrono::milliseconds(50);
/// Fewest other zones with which contact is needed. With a single one, its loss cannot be told from a cut.
constexpr std::size_t min_other_zones = 2;
/// Unanswered messages that are remembered; the oldest ones tell since when there is no answer.
constexpr std::size_t max_asked = 32;

} // namespace

bool contact_guard::is_needed(std::string const& leader_zone) const
{
    return (leader_zone.empty() || leader_zone == m_hooks.own_zone()) &&
           m_hooks.other_zones().size() >= min_other_zones;
}

void contact_guard::record_round_trip(std::string const& zone, monotonic_time sent_at)
{
    if (zone.empty() || zone == m_hooks.own_zone()) {
        return;
    }
    auto& state = m_zones[zone];
    state.proven_at = std::max(state.proven_at.value_or(sent_at), sent_at);
    m_answering_zone = zone;
    if (m_proven_at && sent_at <= *m_proven_at) {
        return;
    }
    if (!m_proven_at || sent_at - *m_proven_at > max_gap) {
        auto const is_known_break = !m_asked.empty() && sent_at - m_asked.front() > max_gap;
        m_unbroken_since = std::max(m_unbroken_since, is_known_break ? sent_at + settling_time : sent_at);
    }
    m_proven_at = sent_at;
    std::erase_if(m_asked, [sent_at](monotonic_time asked_at) { return asked_at <= sent_at; });
    check_waiting();
}

std::shared_ptr<void> contact_guard::watch(std::string const& leader_zone)
{
    if (!is_needed(leader_zone)) {
        return nullptr;
    }
    auto watch = m_watch.lock();
    if (!watch) {
        watch = std::make_shared<bool>(true);
        m_watch = watch;
        m_kernel.start_timer(renewal_period, [this, weak = m_watch] { renew(weak); });
    }
    return watch;
}

void contact_guard::renew(std::weak_ptr<bool> const& watch)
{
    if (watch.expired()) {
        // An answer that arrives after the next commit was sent tells nothing about the time between them.
        if (m_waiting.empty() && !m_asked.empty() && m_kernel.now() - m_asked.front() <= max_gap) {
            m_asked.clear();
        }
        return;
    }
    ask();
    m_kernel.start_timer(renewal_period, [this, watch] { renew(watch); });
}

void contact_guard::ask()
{
    auto const now = m_kernel.now();
    auto const zones = m_hooks.other_zones();
    auto const is_overdue = !m_asked.empty() && now - m_asked.front() >= answer_time;
    if (m_asked.size() < max_asked) {
        m_asked.push_back(now);
    }
    m_last_asked_at = now;
    auto const has_answered = std::find(zones.begin(), zones.end(), m_answering_zone) != zones.end();
    if (!is_overdue && has_answered) {
        m_hooks.ask(m_answering_zone);
        return;
    }
    for (auto const& zone : zones) {
        m_hooks.ask(zone);
    }
}

void contact_guard::confirm(std::string const& leader_zone, monotonic_time sent_at, result_callback done)
{
    if (!is_needed(leader_zone)) {
        done(true);
        return;
    }
    m_waiting.push_back({sent_at, m_kernel.now(), std::move(done)});
    ask_for_waiting();
}

void contact_guard::ask_for_waiting()
{
    if (m_waiting.empty()) {
        return;
    }
    // Commits that are answered while a message is under way share the next one.
    auto const is_answered = !m_last_asked_at || (m_proven_at && *m_proven_at >= *m_last_asked_at);
    if (is_answered || m_kernel.now() - *m_last_asked_at >= answer_time) {
        ask();
    }
    if (!std::exchange(m_has_check_timer, true)) {
        m_kernel.start_timer(answer_time, [this] {
            m_has_check_timer = false;
            check_waiting();
        });
    }
}

bool contact_guard::is_unbroken_since(monotonic_time sent_at) const
{
    return m_proven_at && m_unbroken_since <= sent_at + max_gap;
}

void contact_guard::check_waiting()
{
    auto const now = m_kernel.now();
    std::vector<std::pair<waiting_commit, bool>> decided;
    std::erase_if(m_waiting, [&](waiting_commit& each) {
        auto const is_proven = m_proven_at && *m_proven_at >= each.answered_at;
        if (!is_proven && now - each.answered_at < lapse_time) {
            return false;
        }
        decided.emplace_back(std::move(each), is_proven && is_unbroken_since(each.sent_at));
        return true;
    });
    ask_for_waiting();
    for (auto const& [commit, is_proven] : decided) {
        note_result(is_proven);
        commit.done(is_proven);
    }
}

void contact_guard::note_result(bool is_proven)
{
    m_withheld += is_proven ? 0 : 1;
    if (std::exchange(m_is_withholding, !is_proven) == !is_proven) {
        return;
    }
    Json::Value fields(Json::objectValue);
    if (m_proven_at) {
        fields["proven_before_ms"] = to_milliseconds(m_kernel.now() - *m_proven_at);
        fields["unbroken_for_ms"] = to_milliseconds(m_kernel.now() - m_unbroken_since);
    }
    fields["withheld"] = Json::UInt64(m_withheld);
    m_kernel.log(log_level::info, "brokers",
                 is_proven ? "successes of commits are passed on again"
                           : "successes of commits are withheld, since no proof of contact with other "
                             "availability zones covers them",
                 std::move(fields));
}

bool contact_guard::is_settled(std::string const& leader_zone)
{
    if (!is_needed(leader_zone)) {
        return true;
    }
    auto const now = m_kernel.now();
    auto const is_broken = !m_asked.empty() && now - m_asked.front() > max_gap;
    if (is_broken && now - *m_last_asked_at >= answer_time) {
        ask();
    }
    return !is_broken && now >= m_unbroken_since;
}

bool contact_guard::is_undecided(std::string const& zone)
{
    auto const zones = m_hooks.other_zones();
    if (zone == m_hooks.own_zone() || zones.size() < min_other_zones ||
        std::find(zones.begin(), zones.end(), zone) == zones.end()) {
        return false;
    }
    auto const now = m_kernel.now();
    auto& state = m_zones[zone];
    if (state.proven_at && now - *state.proven_at < max_gap) {
        state.asked_since.reset();
        return false;
    }
    // An earlier series of messages says nothing about the time since its end.
    if (!state.asked_since || now - state.asked_at > max_gap) {
        state.asked_since = now;
        state.asked_at = {};
    }
    if (now - state.asked_at >= zone_ask_period) {
        state.asked_at = now;
        m_hooks.ask(zone);
    }
    return now - *state.asked_since < lapse_time;
}

Json::Value contact_guard::dump() const
{
    Json::Value state(Json::objectValue);
    state["waiting"] = Json::UInt64(m_waiting.size());
    state["withheld"] = Json::UInt64(m_withheld);
    state["is_withholding"] = m_is_withholding;
    return state;
}

} // namespace greengagehitch
