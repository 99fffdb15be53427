#include "group_member.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/verify.h"

namespace greengagehitch::standin {

group_member::group_member(std::string name, std::string unique_prefix, group_hooks hooks,
                           std::function<void(group_member&)> on_commit)
    : m_name(std::move(name)), m_unique_prefix(std::move(unique_prefix)), m_hooks(std::move(hooks)),
      m_on_commit(std::move(on_commit))
{
    rebuild_database();
}

group_member::~group_member()
{
    m_lifetime.reset();
    m_on_session_ended = nullptr;
    end_sessions();
}

std::shared_ptr<member_session> group_member::open_session()
{
    if (m_switches.is_killed || m_sessions.size() >= m_switches.max_connections) {
        return nullptr;
    }
    auto session = std::make_shared<member_session>(*this);
    m_sessions.push_back(session);
    return session;
}

void group_member::kill()
{
    m_switches.is_killed = true;
    end_sessions();
}

void group_member::resume()
{
    m_switches.is_paused = false;
    auto const sessions = m_sessions;
    for (auto const& session : sessions) {
        session->start_next_batch();
    }
    schedule_apply();
}

member_status group_member::status(std::string marker) const
{
    auto const term_at = [this](std::size_t size) { return size == 0 ? 0 : m_log[size - 1]->term; };
    member_status status;
    status.term = m_term;
    status.role = m_is_primary ? member_role::primary : member_role::replica;
    status.received = {term_at(m_log.size()), m_log.size()};
    status.applied = {term_at(m_applied_count), m_applied_count};
    status.marker = std::move(marker);
    return status;
}

bool group_member::fence(std::uint64_t term, std::string const& claimant)
{
    if (term < m_term || (term == m_term && claimant != m_claimant)) {
        return false;
    }
    if (term > m_term) {
        m_term = term;
        m_claimant = claimant;
        m_is_primary = false;
    }
    return true;
}

bool group_member::promote(std::uint64_t term, std::string const& claimant)
{
    if (term != m_term || claimant != m_claimant) {
        return false;
    }
    if (m_is_primary) {
        return true;
    }
    apply_until(m_log.size());
    if (m_applied_count != m_log.size()) {
        return false;
    }
    m_is_primary = true;
    // An empty entry in the new term makes every position of this term greater than the positions of entries
    // from earlier terms that were never acknowledged.
    append(log_entry{m_term, {}, {}});
    return true;
}

bool group_member::follow(std::uint64_t term)
{
    if (term < m_term) {
        return false;
    }
    if (term > m_term) {
        m_term = term;
        m_claimant.clear();
        m_is_primary = false;
    }
    return true;
}

void group_member::receive(std::uint64_t primary_term, std::size_t prefix,
                           std::vector<std::shared_ptr<log_entry const>> const& suffix)
{
    if (m_switches.is_killed || m_switches.is_paused || primary_term < m_term || m_log.size() < prefix) {
        return;
    }
    if (primary_term > m_term) {
        m_term = primary_term;
        m_claimant.clear();
        m_is_primary = false;
    }
    VERIFY(!m_is_primary);
    for (std::size_t i = 0; i < suffix.size(); ++i) {
        auto const index = prefix + i;
        if (index < m_log.size() && m_log[index]->term == suffix[i]->term) {
            continue;
        }
        if (index < m_log.size()) {
            truncate(index);
        }
        m_log.push_back(suffix[i]);
        m_apply_times.emplace_back(m_log.size(), m_hooks.now() + m_switches.lag);
    }
    schedule_apply();
}

void group_member::seed(std::vector<std::string> const& statements)
{
    m_seed_statements.insert(m_seed_statements.end(), statements.begin(), statements.end());
    for (auto const& sql : statements) {
        auto const outcome = m_current_database->execute({sql, {}});
        VERIFY(outcome.result_kind == sql_outcome::kind::done);
    }
}

bool group_member::try_acquire_slot()
{
    if (m_busy_slots >= m_switches.slots) {
        return false;
    }
    ++m_busy_slots;
    return true;
}

void group_member::release_slot()
{
    VERIFY(m_busy_slots > 0);
    --m_busy_slots;
    while (!m_slot_waiters.empty()) {
        auto const waiter = m_slot_waiters.front().lock();
        m_slot_waiters.pop_front();
        if (waiter) {
            m_hooks.start_timer(duration::zero(), [waiter] { waiter->start_next_batch(); });
            return;
        }
    }
}

void group_member::append(log_entry entry)
{
    m_log.push_back(std::make_shared<log_entry const>(std::move(entry)));
    m_applied_count = m_log.size();
    m_on_commit(*this);
}

void group_member::truncate(std::size_t size)
{
    m_log.resize(size);
    std::erase_if(m_apply_times, [size](auto const& each) { return each.first > size; });
    if (m_applied_count > size) {
        rebuild_database();
    }
}

void group_member::rebuild_database()
{
    end_sessions();
    ++m_database_generation;
    m_current_database = open_database();
    m_current_database->execute(
        {"create table database_group.outcomes (client_account text, request_id text, state text, "
         "fingerprint text, answer text, primary key (client_account, request_id)) without rowid",
         {}});
    for (auto const& sql : m_seed_statements) {
        m_current_database->execute({sql, {}});
    }
    auto const applied = std::min(m_applied_count, m_log.size());
    m_applied_count = 0;
    apply_until(applied);
}

void group_member::apply_until(std::size_t size)
{
    while (m_applied_count < size) {
        auto const& entry = *m_log[m_applied_count];
        m_current_database->set_client_account(entry.client_account);
        if (m_current_database->execute({"begin immediate", {}}).result_kind != sql_outcome::kind::done) {
            return;
        }
        for (auto const& each : entry.statements) {
            VERIFY(m_current_database->execute(each).result_kind == sql_outcome::kind::done);
        }
        if (m_current_database->execute({"commit", {}}).result_kind != sql_outcome::kind::done) {
            m_current_database->execute({"rollback", {}});
            return;
        }
        ++m_applied_count;
    }
}

void group_member::schedule_apply()
{
    if (m_has_apply_timer || m_apply_times.empty()) {
        return;
    }
    m_has_apply_timer = true;
    auto const delay = std::max(m_apply_times.front().second - m_hooks.now(), duration::zero());
    m_hooks.start_timer(delay, [this, lifetime = std::weak_ptr(m_lifetime)] {
        if (!lifetime.expired()) {
            m_has_apply_timer = false;
            apply_due_entries();
        }
    });
}

void group_member::apply_due_entries()
{
    constexpr duration retry_delay = std::chrono::milliseconds(1);
    if (m_switches.is_paused || m_switches.is_killed) {
        return;
    }
    auto const now = m_hooks.now();
    while (!m_apply_times.empty() && m_apply_times.front().second <= now) {
        auto const size = m_apply_times.front().first;
        apply_until(size);
        if (m_applied_count < size) {
            // A reader holds a lock on the database. Entries are applied in log order, so later ones wait
            // too.
            m_apply_times.front().second = now + retry_delay;
            break;
        }
        m_apply_times.pop_front();
    }
    schedule_apply();
}

void group_member::end_sessions()
{
    auto const sessions = std::exchange(m_sessions, {});
    for (auto const& session : sessions) {
        session->close();
        if (m_on_session_ended) {
            m_on_session_ended(*session);
        }
    }
}

void group_member::remove_session(member_session const& session)
{
    std::erase_if(m_sessions, [&session](auto const& each) { return each.get() == &session; });
}

std::shared_ptr<sql_database> group_member::open_database() const
{
    return std::make_shared<sql_database>(
        fmt::format("/{}-{}-{}", m_unique_prefix, m_name, m_database_generation));
}

} // namespace greengagehitch::standin
