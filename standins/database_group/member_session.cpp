#include <utility>

#include <absl/strings/match.h>
#include <fmt/format.h>

#include "base/verify.h"
#include "group_member.h"

namespace greengagehitch::standin {

namespace {

constexpr duration lock_retry_delay = std::chrono::milliseconds(1);
constexpr duration lock_timeout = std::chrono::seconds(2);

result_set single_row(std::vector<std::string> const& names, std::vector<std::string> const& values)
{
    result_set result;
    result.rows.emplace_back();
    for (std::size_t i = 0; i < names.size(); ++i) {
        result.columns.push_back({names[i], type_oid::text});
        result.rows.front().emplace_back(values[i]);
    }
    return result;
}

sql_outcome done(result_set result = {})
{
    sql_outcome outcome;
    outcome.result = std::move(result);
    return outcome;
}

sql_outcome granted(bool is_granted)
{
    return done(single_row({"granted"}, {is_granted ? "t" : "f"}));
}

std::string text_parameter(statement const& question, std::size_t index)
{
    return index < question.parameters.size() ? question.parameters[index].value_or("") : std::string();
}

std::uint64_t number_parameter(statement const& question, std::size_t index)
{
    return std::strtoull(text_parameter(question, index).c_str(), nullptr, 10);
}

result_set status_row(member_status const& status)
{
    return single_row(
        {"term", "role", "received_term", "received_position", "applied_term", "applied_position", "marker"},
        {fmt::to_string(status.term), std::string(find_name(member_role_names, status.role)),
         fmt::to_string(status.received.term), fmt::to_string(status.received.position),
         fmt::to_string(status.applied.term), fmt::to_string(status.applied.position), status.marker});
}

} // namespace

member_session::member_session(group_member& member) : m_member(&member), m_database(member.open_database())
{
}

member_session::~member_session()
{
    close();
}

void member_session::submit(batch question, batch_callback callback)
{
    if (m_is_closed) {
        return;
    }
    m_pending.push_back({std::move(question), std::move(callback), {}, {}});
    run_front();
}

void member_session::close()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    m_pending.clear();
    if (std::exchange(m_is_running, false)) {
        m_member->release_slot();
    }
    m_database.reset();
    auto const self = weak_from_this().lock();
    m_member->forget_session(*this);
}

void member_session::run_front()
{
    if (m_is_closed || m_is_running || m_pending.empty() || m_member->switches().is_paused) {
        return;
    }
    if (!m_member->try_take_slot()) {
        m_member->m_slot_waiters.push_back(weak_from_this());
        return;
    }
    m_is_running = true;
    auto const service_time = m_member->switches().service_time;
    if (service_time == duration::zero()) {
        continue_front();
        return;
    }
    m_member->m_hooks.start_timer(service_time, [self = shared_from_this()] { self->continue_front(); });
}

void member_session::continue_front()
{
    if (m_is_closed || !m_is_running) {
        return;
    }
    auto& running = m_pending.front();
    while (!running.answer.failure && running.answer.results.size() < running.question.statements.size()) {
        if (!run_next_statement(running)) {
            m_member->m_hooks.start_timer(lock_retry_delay,
                                          [self = shared_from_this()] { self->continue_front(); });
            return;
        }
    }
    finish_front();
}

bool member_session::run_next_statement(pending_batch& running)
{
    auto outcome = execute(running.question.statements[running.answer.results.size()]);
    if (outcome.what == sql_outcome::kind::blocked) {
        auto const now = m_member->m_hooks.now();
        running.blocked_since = running.blocked_since.value_or(now);
        if (now - *running.blocked_since < lock_timeout) {
            return false;
        }
        outcome = sql_outcome::failure("55P03", "lock timeout");
    }
    running.blocked_since.reset();
    if (outcome.what == sql_outcome::kind::failed) {
        m_has_failed = m_in_transaction;
        running.answer.failure =
            database_failure{classify_sqlstate(outcome.sqlstate), outcome.sqlstate, outcome.message};
        return true;
    }
    running.answer.results.push_back(std::move(outcome.result));
    return true;
}

void member_session::finish_front()
{
    auto const self = shared_from_this();
    auto finished = std::move(m_pending.front());
    m_pending.pop_front();
    m_is_running = false;
    m_member->release_slot();
    finished.callback(std::move(finished.answer));
    run_front();
}

sql_outcome member_session::execute(statement const& question)
{
    if (auto outcome = execute_control(question)) {
        return *std::move(outcome);
    }
    if (m_has_failed) {
        return sql_outcome::failure("25P02", "current transaction is aborted");
    }
    if (auto outcome = execute_contract(question)) {
        return *std::move(outcome);
    }
    return execute_data(question);
}

std::optional<sql_outcome> member_session::execute_control(statement const& question)
{
    if (question.sql == "begin read only") {
        return begin(true);
    }
    if (question.sql == "begin read write") {
        return begin(false);
    }
    if (question.sql == "commit") {
        return m_has_failed ? rollback() : commit();
    }
    if (question.sql == "rollback") {
        return rollback();
    }
    if (question.sql == "discard all") {
        if (m_in_transaction) {
            return sql_outcome::failure("25001", "DISCARD ALL cannot run inside a transaction block");
        }
        return done();
    }
    return std::nullopt;
}

std::optional<sql_outcome> member_session::execute_contract(statement const& question)
{
    auto const& sql = question.sql;
    if (absl::StartsWith(sql, "select set_config('greengagehitch.client_account'")) {
        m_client_account = text_parameter(question, 0);
        m_database->set_client_account(m_client_account);
        return done(single_row({"set_config"}, {m_client_account}));
    }
    if (!absl::StrContains(sql, "from database_group.")) {
        return std::nullopt;
    }
    if (absl::StrContains(sql, "database_group.status(")) {
        return done(status_row(m_member->status(text_parameter(question, 0))));
    }
    if (absl::StrContains(sql, "database_group.fence(")) {
        return granted(m_member->fence(number_parameter(question, 0), text_parameter(question, 1)));
    }
    if (absl::StrContains(sql, "database_group.promote(")) {
        return granted(m_member->promote(number_parameter(question, 0), text_parameter(question, 1)));
    }
    if (absl::StrContains(sql, "database_group.follow(")) {
        return granted(m_member->follow(number_parameter(question, 0)));
    }
    return std::nullopt;
}

sql_outcome member_session::begin(bool is_read_only)
{
    if (m_in_transaction) {
        return sql_outcome::failure("25001", "there is already a transaction in progress");
    }
    if (!is_read_only && !m_member->is_primary()) {
        return sql_outcome::failure("25006", "this member is not the primary");
    }
    auto outcome = m_database->execute({is_read_only ? "begin" : "begin immediate", {}});
    if (outcome.what == sql_outcome::kind::done) {
        m_in_transaction = true;
        m_is_read_only = is_read_only;
    }
    return outcome;
}

sql_outcome member_session::commit()
{
    if (!m_in_transaction) {
        return done();
    }
    if (!m_written.empty() && !m_member->is_primary()) {
        rollback();
        return sql_outcome::failure("25006", "this member is no longer the primary");
    }
    auto outcome = m_database->execute({"commit", {}});
    if (outcome.what != sql_outcome::kind::done) {
        return outcome;
    }
    auto written = std::exchange(m_written, {});
    auto client_account = m_client_account;
    forget_transaction();
    if (!written.empty()) {
        m_member->append(log_entry{m_member->term(), std::move(client_account), std::move(written)});
    }
    return done();
}

sql_outcome member_session::rollback()
{
    if (m_database->is_in_transaction()) {
        m_database->execute({"rollback", {}});
    }
    forget_transaction();
    return done();
}

sql_outcome member_session::execute_data(statement const& question)
{
    auto const was_alone = !m_in_transaction;
    if (was_alone) {
        // A statement outside a transaction block is a transaction of its own.
        auto begun = begin(!m_member->is_primary());
        if (begun.what != sql_outcome::kind::done) {
            return begun;
        }
    }
    auto outcome = m_database->execute(question);
    if (outcome.what == sql_outcome::kind::done && outcome.has_written) {
        if (m_is_read_only) {
            rollback();
            return sql_outcome::failure("25006", "cannot write in a read-only transaction");
        }
        m_written.push_back(question);
    }
    if (!was_alone) {
        return outcome;
    }
    if (outcome.what != sql_outcome::kind::done) {
        rollback();
        return outcome;
    }
    auto committed = commit();
    if (committed.what != sql_outcome::kind::done) {
        rollback();
        return committed;
    }
    return outcome;
}

void member_session::forget_transaction()
{
    m_in_transaction = false;
    m_has_failed = false;
    m_is_read_only = false;
    m_client_account.clear();
    m_written.clear();
    if (m_database) {
        m_database->set_client_account({});
    }
}

} // namespace greengagehitch::standin
