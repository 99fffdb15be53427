#include "failover/takeover_evidence.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Time for which an answer, or a refused connection, counts. Members are asked several times within it.
constexpr duration answer_lifetime = std::chrono::milliseconds(800);

} // namespace

bool takeover_evidence::is_current(monotonic_time at, monotonic_time now) const
{
    return now - at <= answer_lifetime;
}

void takeover_evidence::set_term(std::uint64_t term)
{
    m_term = term;
    m_was_leading = false;
    m_final_position.reset();
}

void takeover_evidence::set_replicas(std::set<std::string> replicas)
{
    m_replicas = std::move(replicas);
    auto const answer = m_answers.find(m_old_leader);
    if (answer != m_answers.end() && answer->second.status.role == member_role::replica && !m_was_leading) {
        m_replicas.insert(m_old_leader);
    }
}

bool takeover_evidence::is_old_leader_replica(monotonic_time now) const
{
    auto const* const answer = find_answer(m_old_leader, now);
    return answer != nullptr && answer->role == member_role::replica && !m_was_leading;
}

void takeover_evidence::record_status(std::string const& member, replication_status const& status,
                                      monotonic_time sent_at)
{
    auto const known = m_answers.find(member);
    if (known != m_answers.end() && sent_at < known->second.received_at) {
        return;
    }
    m_refusals.erase(member);
    m_answers[member] = {status, sent_at};
    if (status.role == member_role::primary && status.term + 1 == m_term) {
        m_old_leader = member;
        m_was_leading = true;
        m_replicas.erase(member);
    }
    if (member != m_old_leader) {
        return;
    }
    m_final_position.reset();
    if (status.role == member_role::primary) {
        return;
    }
    if (!m_was_leading) {
        m_replicas.insert(member);
        return;
    }
    m_final_position = status.received;
    m_final_since = sent_at;
    m_is_final_in_doubt = false;
}

bool takeover_evidence::record_refusal(std::string const& member, bool is_stopped, monotonic_time started_at)
{
    m_answers.erase(member);
    if (member == m_old_leader && is_stopped && is_current(m_final_since, started_at)) {
        m_final_since = started_at;
        m_is_final_in_doubt = false;
    }
    return m_refusals.insert_or_assign(member, refusal{started_at, is_stopped}).second;
}

bool takeover_evidence::discard_answer(std::string const& member)
{
    auto const had_answer = m_answers.erase(member) != 0;
    if (member == m_old_leader && had_answer) {
        // It may have restarted as the leader, so the position counts again only once this is ruled out.
        m_is_final_in_doubt = true;
    }
    return had_answer;
}

replication_status const* takeover_evidence::find_answer(std::string const& member, monotonic_time now) const
{
    auto const found = m_answers.find(member);
    return found != m_answers.end() && is_current(found->second.received_at, now) ? &found->second.status
                                                                                  : nullptr;
}

std::size_t takeover_evidence::answers(monotonic_time now) const
{
    return static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), [&](auto const& each) {
        return find_answer(each.first, now) != nullptr;
    }));
}

bool takeover_evidence::refuses_connections(std::string const& member, monotonic_time now) const
{
    auto const found = m_refusals.find(member);
    return found != m_refusals.end() && is_current(found->second.started_at, now);
}

bool takeover_evidence::is_stopped(std::string const& member, monotonic_time now) const
{
    return refuses_connections(member, now) && m_refusals.at(member).is_stopped;
}

std::optional<log_position> takeover_evidence::final_position(monotonic_time now) const
{
    return !m_is_final_in_doubt && is_current(m_final_since, now) ? m_final_position : std::nullopt;
}

bool takeover_evidence::have_answering_stopped(monotonic_time now) const
{
    return std::all_of(m_replicas.begin(), m_replicas.end(), [&](std::string const& id) {
        auto const* const answer = find_answer(id, now);
        // A leader of an older term receives nothing from the old leader.
        return answer == nullptr || answer->stopped_at_term >= m_term ||
               (answer->role == member_role::primary && answer->term < m_term);
    });
}

std::vector<std::string> takeover_evidence::unanswered(monotonic_time now) const
{
    std::vector<std::string> ids;
    for (auto const& id : m_replicas) {
        if (find_answer(id, now) == nullptr) {
            ids.push_back(id);
        }
    }
    return ids;
}

log_position takeover_evidence::furthest_position(monotonic_time now) const
{
    log_position furthest;
    for (auto const& id : m_replicas) {
        if (auto const* const answer = find_answer(id, now)) {
            furthest = std::max(furthest, answer->received);
        }
    }
    return furthest;
}

bool takeover_evidence::is_receiving(std::string const& member, monotonic_time now) const
{
    auto const* const answer = find_answer(member, now);
    return answer != nullptr && answer->stopped_at_term < m_term;
}

bool takeover_evidence::holds(std::string const& member, log_position position, monotonic_time now) const
{
    auto const* const answer = find_answer(member, now);
    return answer != nullptr && answer->received >= position;
}

std::optional<std::string> takeover_evidence::find_holder(log_position position,
                                                          drawbacks_hook const& drawbacks,
                                                          monotonic_time now) const
{
    std::optional<std::string> best;
    std::optional<successor_drawbacks> fewest;
    for (auto const& id : m_replicas) {
        auto const own = drawbacks(id);
        if (own && holds(id, position, now) && (!fewest || *own < *fewest)) {
            best = id;
            fewest = own;
        }
    }
    return best;
}

} // namespace greengagehitch
