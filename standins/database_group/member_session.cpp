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

sql_outcome make_granted_outcome(bool is_granted)
{
    return done(single_row({"granted"}, {is_granted ? "t" : "f"}));
}

std::string text_parameter(statement const& request, std::size_t index)
{
    return index < request.parameters.size() ? request.parameters[index].value_or("") : std::string();
}

std::uint64_t number_parameter(statement const& request, std::size_t index)
{
    return std::strtoull(text_parameter(request, index).c_str(), nullptr, 10);
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

void member_session::submit(batch request, batch_callback callback)
{
    if (m_is_closed) {
        return;
    }
    m_pending_batches.push_back({std::move(request), std::move(callback), {}, {}});
    start_next_batch();
}

void member_session::close()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    m_pending_batches.clear();
    if (std::exchange(m_is_running, false)) {
        m_member->release_slot();
    }
    m_database.reset();
    auto const self = weak_from_this().lock();
    m_member->remove_session(*this);
}

void member_session::start_next_batch()
{
    if (m_is_closed || m_is_running || m_pending_batches.empty() || m_member->switches().is_paused) {
        return;
    }
    if (!m_member->try_acquire_slot()) {
        m_member->m_slot_waiters.push_back(weak_from_this());
        return;
    }
    m_is_running = true;
    auto const service_time = m_member->switches().service_time;
    if (service_time == duration::zero()) {
        continue_batch();
        return;
    }
    m_member->m_hooks.start_timer(service_time, [self = shared_from_this()] { self->continue_batch(); });
}

void member_session::continue_batch()
{
    if (m_is_closed || !m_is_running) {
        return;
    }
    auto& current_batch = m_pending_batches.front();
    while (!current_batch.answer.failure &&
           current_batch.answer.results.size() < current_batch.request.statements.size()) {
        if (!run_next_statement(current_batch)) {
            m_member->m_hooks.start_timer(lock_retry_delay,
                                          [self = shared_from_this()] { self->continue_batch(); });
            return;
        }
    }
    finish_batch();
}

bool member_session::run_next_statement(pending_batch& current_batch)
{
    auto outcome = execute(current_batch.request.statements[current_batch.answer.results.size()]);
    if (outcome.result_kind == sql_outcome::kind::blocked) {
        auto const now = m_member->m_hooks.now();
        current_batch.blocked_since = current_batch.blocked_since.value_or(now);
        if (now - *current_batch.blocked_since < lock_timeout) {
            return false;
        }
        outcome = sql_outcome::failure("55P03", "lock timeout");
    }
    current_batch.blocked_since.reset();
    if (outcome.result_kind == sql_outcome::kind::failed) {
        m_is_transaction_aborted = m_in_transaction;
        current_batch.answer.failure =
            database_failure{classify_sqlstate(outcome.sqlstate), outcome.sqlstate, outcome.message};
        return true;
    }
    current_batch.answer.results.push_back(std::move(outcome.result));
    return true;
}

void member_session::finish_batch()
{
    auto const self = shared_from_this();
    auto finished = std::move(m_pending_batches.front());
    m_pending_batches.pop_front();
    m_is_running = false;
    m_member->release_slot();
    finished.callback(std::move(finished.answer));
    start_next_batch();
}

sql_outcome member_session::execute(statement const& request)
{
    if (auto outcome = execute_transaction_command(request)) {
        return *std::move(outcome);
    }
    if (m_is_transaction_aborted) {
        return sql_outcome::failure("25P02", "current transaction is aborted");
    }
    if (auto outcome = execute_group_function(request)) {
        return *std::move(outcome);
    }
    return execute_data_statement(request);
}

std::optional<sql_outcome> member_session::execute_transaction_command(statement const& request)
{
    if (request.sql == "begin read only") {
        return begin(true);
    }
    if (request.sql == "begin read write") {
        return begin(false);
    }
    if (request.sql == "commit") {
        return m_is_transaction_aborted ? rollback() : commit();
    }
    if (request.sql == "rollback") {
        return rollback();
    }
    if (request.sql == "discard all") {
        if (m_in_transaction) {
            return sql_outcome::failure("25001", "DISCARD ALL cannot run inside a transaction block");
        }
        return done();
    }
    return std::nullopt;
}

std::optional<sql_outcome> member_session::execute_group_function(statement const& request)
{
    auto const& sql = request.sql;
    if (absl::StartsWith(sql, "select set_config('greengagehitch.client_account'")) {
        m_client_account = text_parameter(request, 0);
        m_database->set_client_account(m_client_account);
        return done(single_row({"set_config"}, {m_client_account}));
    }
    if (!absl::StrContains(sql, "from database_group.")) {
        return std::nullopt;
    }
    if (absl::StrContains(sql, "database_group.status(")) {
        return done(status_row(m_member->status(text_parameter(request, 0))));
    }
    if (absl::StrContains(sql, "database_group.fence(")) {
        return make_granted_outcome(
            m_member->fence(number_parameter(request, 0), text_parameter(request, 1)));
    }
    if (absl::StrContains(sql, "database_group.promote(")) {
        return make_granted_outcome(
            m_member->promote(number_parameter(request, 0), text_parameter(request, 1)));
    }
    if (absl::StrContains(sql, "database_group.follow(")) {
        return make_granted_outcome(m_member->follow(number_parameter(request, 0)));
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
    if (outcome.result_kind == sql_outcome::kind::done) {
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
    if (!m_written_statements.empty() && !m_member->is_primary()) {
        rollback();
        return sql_outcome::failure("25006", "this member is no longer the primary");
    }
    auto outcome = m_database->execute({"commit", {}});
    if (outcome.result_kind != sql_outcome::kind::done) {
        return outcome;
    }
    auto written = std::exchange(m_written_statements, {});
    auto client_account = m_client_account;
    clear_transaction_state();
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
    clear_transaction_state();
    return done();
}

sql_outcome member_session::execute_data_statement(statement const& request)
{
    auto const is_autocommit = !m_in_transaction;
    if (is_autocommit) {
        // A statement outside a transaction block is a transaction of its own.
        auto begin_outcome = begin(!m_member->is_primary());
        if (begin_outcome.result_kind != sql_outcome::kind::done) {
            return begin_outcome;
        }
    }
    auto outcome = m_database->execute(request);
    if (outcome.result_kind == sql_outcome::kind::done && outcome.has_written) {
        if (m_is_read_only) {
            rollback();
            return sql_outcome::failure("25006", "cannot write in a read-only transaction");
        }
        m_written_statements.push_back(request);
    }
    if (!is_autocommit) {
        return outcome;
    }
    if (outcome.result_kind != sql_outcome::kind::done) {
        rollback();
        return outcome;
    }
    auto commit_outcome = commit();
    if (commit_outcome.result_kind != sql_outcome::kind::done) {
        rollback();
        return commit_outcome;
    }
    return outcome;
}

void member_session::clear_transaction_state()
{
    m_in_transaction = false;
    m_is_transaction_aborted = false;
    m_is_read_only = false;
    m_client_account.clear();
    m_written_statements.clear();
    if (m_database) {
        m_database->set_client_account({});
    }
}

} // namespace greengagehitch::standin
