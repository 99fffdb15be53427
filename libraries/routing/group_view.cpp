#include "routing/group_view.h"

#include <algorithm>

namespace greengagehitch {

namespace {

constexpr std::size_t max_position_samples = 512;
constexpr std::size_t max_commits = 4'096;
constexpr duration position_sample_spacing = std::chrono::milliseconds(5);
constexpr int round_trip_weight = 8;
/// When an observed upper bound is below the lag estimate, the estimate falls by 1 / lag_decay of the
/// difference.
constexpr int lag_decay = 4;

} // namespace

group_view::group_view(group_description description)
    : m_description(std::move(description)), m_members(m_description.members.size())
{
}

void group_view::set_description(group_description description)
{
    auto const is_same_set =
        std::equal(description.members.begin(), description.members.end(), m_description.members.begin(),
                   m_description.members.end(), [](auto const& left, auto const& right) {
                       return left.name == right.name && left.address == right.address;
                   });
    m_description = std::move(description);
    if (!is_same_set) {
        m_members.assign(m_description.members.size(), {});
        m_primary.reset();
        m_position_samples.clear();
    }
}

void group_view::observe(std::size_t member, member_status const& status, monotonic_time asked_at,
                         monotonic_time answered_at)
{
    auto& view = m_members[member];
    view.last_success = std::max(view.last_success.value_or(asked_at), asked_at);
    if (!view.failing_since || asked_at >= *view.failing_since) {
        view.failing_since.reset();
    }
    auto const elapsed = answered_at - asked_at;
    view.round_trip = view.round_trip == duration::zero()
                          ? elapsed
                          : view.round_trip + (elapsed - view.round_trip) / round_trip_weight;
    auto const is_older =
        view.latest && (asked_at < view.latest->asked_at || status.term < view.latest->status.term);
    if (is_older) {
        return;
    }
    update_apply_lag(member, status, asked_at, answered_at);
    view.latest = member_observation{status, asked_at, answered_at};
    if (status.term > m_term) {
        m_term = status.term;
        m_primary.reset();
    }
    if (status.term == m_term && status.role == member_role::primary) {
        m_primary = member;
        record_commit(status.applied, answered_at);
    }
    add_position_sample();
}

void group_view::observe_failure(std::size_t member, monotonic_time now)
{
    auto& view = m_members[member];
    view.failing_since = view.failing_since.value_or(now);
}

void group_view::record_primary(std::uint64_t term, std::size_t member)
{
    if (term < m_term || (term == m_term && m_primary)) {
        return;
    }
    m_term = term;
    m_primary = member;
}

bool group_view::is_held_by_majority(log_position position) const
{
    auto const count = std::count_if(m_members.begin(), m_members.end(), [position](auto const& each) {
        return each.latest && each.latest->status.term == position.term &&
               each.latest->status.received.term == position.term &&
               each.latest->status.received.position >= position.position;
    });
    return static_cast<std::size_t>(count) >= m_description.majority();
}

std::optional<monotonic_time> group_view::fresh_as_of(log_position applied) const
{
    for (auto each = m_position_samples.rbegin(); each != m_position_samples.rend(); ++each) {
        if (each->position <= applied) {
            return each->time;
        }
    }
    return std::nullopt;
}

std::optional<log_position> group_view::position_required_for(monotonic_time time) const
{
    for (auto const& each : m_position_samples) {
        if (each.time >= time) {
            return each.position;
        }
    }
    return std::nullopt;
}

monotonic_time group_view::expected_apply_time(std::size_t member, log_position position,
                                               monotonic_time now) const
{
    auto const& view = m_members[member];
    if (view.latest && view.latest->status.applied >= position) {
        return now;
    }
    auto const seen_at = first_seen_at(position);
    return std::max(now, seen_at.value_or(now) + view.apply_lag);
}

void group_view::record_commit(log_position position, monotonic_time now)
{
    if (!m_commits.empty() && position <= m_commits.back().position) {
        return;
    }
    m_commits.push_back({now, position});
    if (m_commits.size() > max_commits) {
        m_commits.pop_front();
    }
}

void group_view::add_position_sample()
{
    if (!m_primary) {
        return;
    }
    std::vector<monotonic_time> request_times;
    for (auto const& each : m_members) {
        if (each.latest && each.latest->status.term == m_term) {
            request_times.push_back(each.latest->asked_at);
        }
    }
    auto const majority = m_description.majority();
    auto const& primary = m_members[*m_primary].latest;
    if (request_times.size() < majority || !primary || primary->status.term != m_term) {
        return;
    }
    // While a majority is at this term, no primary of a later term can have committed. The primary's position
    // therefore contains all commits before the earliest time at which a request was sent to the primary or
    // to a member of the most recently confirmed majority.
    std::sort(request_times.begin(), request_times.end(), std::greater<>());
    auto const time = std::min(primary->asked_at, request_times[majority - 1]);
    auto const position = primary->status.applied;
    if (!m_position_samples.empty() && time <= m_position_samples.back().time) {
        return;
    }
    auto const is_close =
        m_position_samples.size() >= 2 &&
        time - m_position_samples[m_position_samples.size() - 2].time < position_sample_spacing;
    if (is_close) {
        m_position_samples.back() = {time, position};
        return;
    }
    m_position_samples.push_back({time, position});
    if (m_position_samples.size() > max_position_samples) {
        m_position_samples.pop_front();
    }
}

void group_view::update_apply_lag(std::size_t member, member_status const& status, monotonic_time asked_at,
                                  monotonic_time answered_at)
{
    auto& lag = m_members[member].apply_lag;
    if (status.role == member_role::primary) {
        lag = duration::zero();
        return;
    }
    if (auto const missing_since = later_position_seen_at(status.applied)) {
        auto const lower = asked_at - *missing_since;
        lag = std::max(lag, lower);
    }
    if (auto const known_since = first_seen_at(status.applied)) {
        auto const upper = answered_at - *known_since;
        if (upper < lag) {
            lag -= (lag - upper) / lag_decay;
        }
    }
}

std::optional<monotonic_time> group_view::first_seen_at(log_position position) const
{
    auto const found = std::lower_bound(
        m_commits.begin(), m_commits.end(), position,
        [](position_sample const& each, log_position value) { return each.position < value; });
    if (found == m_commits.end()) {
        return std::nullopt;
    }
    return found->time;
}

std::optional<monotonic_time> group_view::later_position_seen_at(log_position position) const
{
    auto const found = std::upper_bound(
        m_commits.begin(), m_commits.end(), position,
        [](log_position value, position_sample const& each) { return value < each.position; });
    if (found == m_commits.end()) {
        return std::nullopt;
    }
    return found->time;
}

} // namespace greengagehitch
