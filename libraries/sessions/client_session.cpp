#include "sessions/client_session.h"

#include <utility>

#include <fmt/format.h>

#include "base/verify.h"
#include "sessions/session_engine.h"

namespace greengagehitch {

namespace {

/// Time that a member gets beyond the statement's timeout, so that its own timeout error arrives first. A
/// commit without an answer after this time is reported with an unknown outcome.
constexpr duration commit_answer_margin = std::chrono::milliseconds(30);
/// Earliest retry reported to a caller while this VM accepts no keys.
constexpr duration key_refusal_delay = std::chrono::milliseconds(300);
constexpr int max_busy_retries = 6;
/// Statements of one session that are started before the work of others gets its turn.
constexpr std::size_t max_statements_in_a_row = 64;
constexpr duration busy_retry_delay = std::chrono::milliseconds(15);
/// A statement is overdue after this multiple of its time limit and the time beyond it. It may wait in a
/// queue first, and a transaction may have to begin.
constexpr int overdue_multiple = 2;
constexpr duration overdue_margin = std::chrono::milliseconds(500);

bool is_local(statement_kind kind)
{
    return kind == statement_kind::set_value || kind == statement_kind::prepare ||
           kind == statement_kind::deallocate;
}

} // namespace

client_session::client_session(session_engine& engine, std::string database, std::string key,
                               session_hooks hooks)
    : m_engine(engine), m_kernel(engine.service_kernel()), m_kernel_lifetime(m_kernel.lifetime()),
      m_database(std::move(database)), m_key(std::move(key)), m_hooks(std::move(hooks)),
      m_last_active_at(m_kernel.now())
{
}

client_session::~client_session()
{
    // A pending callback may keep the session alive after the engine was destroyed.
    if (!m_kernel_lifetime.expired()) {
        m_engine.remove(this);
    }
}

void client_session::handle(session_statement statement)
{
    auto const keep_alive = shared_from_this();
    m_queue.push_back(std::move(statement));
    run_queued();
}

void client_session::disconnect(session_end reason)
{
    record_unanswered(reason);
    m_is_closed = true;
    m_queue.clear();
    m_hooks = {};
    // A running statement uses the connection until it is answered.
    if (!m_is_running) {
        release_connection();
        return;
    }
    m_cancellation->cancel();
    if (auto const execution = m_execution.lock()) {
        execution->cancel("the caller disconnected before the statement was sent");
    }
}

bool client_session::close_if_idle()
{
    if (!is_idle() || m_is_closed) {
        return false;
    }
    if (auto const close = m_hooks.close) {
        ++m_engine.counters().closed;
        close();
    }
    return true;
}

void client_session::close_when_idle()
{
    m_closes_when_idle = true;
    close_if_idle();
}

void client_session::refuse_unsent()
{
    if (!m_is_running || m_is_closed) {
        return;
    }
    auto const keep_alive = shared_from_this();
    m_cancellation->cancel();
    if (auto const execution = m_execution.lock()) {
        execution->cancel("this VM shuts down, and the statement was not sent");
    }
}

void client_session::abandon()
{
    if (m_is_closed) {
        return;
    }
    auto const keep_alive = shared_from_this();
    m_closes_when_idle = true;
    // Returning the connection ends a statement that was sent on it, which is answered before.
    auto const connection = std::exchange(m_connection, std::nullopt);
    if (m_is_running) {
        auto const is_commit = m_running.kind == statement_kind::commit;
        auto const is_write =
            m_state == transaction_state::idle &&
            (m_running.kind == statement_kind::write ||
             (m_running.kind == statement_kind::execute && m_prepared.contains(m_running.name) &&
              m_prepared.at(m_running.name).is_write));
        auto const may_be_kept = (is_commit && m_has_written) || is_write;
        if (is_commit) {
            m_state = transaction_state::idle;
        }
        refuse(m_running, may_be_kept ? session_error::in_doubt : session_error::timed_out,
               "this VM shuts down, and the member has not answered");
    }
    m_is_abandoned = true;
    if (auto const close = std::exchange(m_is_closed, true) ? nullptr : m_hooks.close) {
        close();
    }
}

bool client_session::refuse_while_closing(session_statement const& statement)
{
    auto const ends_transaction =
        statement.kind == statement_kind::commit || statement.kind == statement_kind::rollback;
    if (!m_closes_when_idle || (m_state != transaction_state::idle && ends_transaction)) {
        return false;
    }
    auto const is_open = m_state == transaction_state::open;
    refuse(statement, is_open ? session_error::aborted : session_error::busy,
           is_open ? "this VM shuts down; the transaction is rolled back" : "this VM shuts down");
    return true;
}

void client_session::end_idle_transaction(duration limit)
{
    if (m_state != transaction_state::open || m_is_running || m_kernel.now() - m_last_active_at < limit) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["database"] = m_database;
    fields["rested_ms"] = to_milliseconds(m_kernel.now() - m_last_active_at);
    m_kernel.log(log_level::info, "sessions", "idle transaction was rolled back", std::move(fields));
    release_connection();
    m_state = transaction_state::failed;
}

void client_session::run_queued()
{
    // A statement that is answered at once calls this again, which must not nest: a caller may queue
    // thousands.
    if (std::exchange(m_is_running_queue, true)) {
        return;
    }
    auto const keep_alive = shared_from_this();
    for (std::size_t started = 0; !m_is_running && !m_queue.empty() && !m_is_closed; ++started) {
        if (started == max_statements_in_a_row) {
            m_kernel.start_timer(duration::zero(), [self = keep_alive] { self->run_queued(); });
            break;
        }
        auto statement = std::move(m_queue.front());
        m_queue.pop_front();
        start(std::move(statement));
    }
    m_is_running_queue = false;
}

void client_session::start(session_statement statement)
{
    m_is_running = true;
    m_is_reported_overdue = false;
    auto const work = m_state == transaction_state::idle ? find_class() : std::optional(m_transaction_class);
    m_time_limit = work ? work->statement_timeout : duration::zero();
    m_arrived_at = m_kernel.now();
    m_last_active_at = m_arrived_at;
    m_served_by.clear();
    m_cancellation = std::make_shared<request_cancellation>();
    m_execution.reset();
    m_running = std::move(statement);
    ++m_engine.counters().statements;
    // Its answer may start the next statement.
    auto const running = m_running;
    process(running);
}

void client_session::process(session_statement const& statement)
{
    if (statement.kind == statement_kind::unknown) {
        refuse(statement, session_error::malformed, "statement could not be parsed");
        return;
    }
    if (m_state != transaction_state::failed && refuse_while_closing(statement)) {
        return;
    }
    if (m_state == transaction_state::failed) {
        if (statement.kind == statement_kind::rollback) {
            m_state = transaction_state::idle;
            answer_locally(statement);
        }
        else if (statement.kind == statement_kind::commit) {
            m_state = transaction_state::idle;
            refuse(statement, session_error::aborted, "the transaction failed and was rolled back");
        }
        else {
            refuse(statement, session_error::malformed, "the transaction failed; roll it back first");
        }
        return;
    }
    if (is_local(statement.kind)) {
        apply_locally(statement);
        return;
    }
    if (m_state == transaction_state::open) {
        process_in_transaction(statement);
        return;
    }
    process_outside_transaction(statement);
}

void client_session::process_in_transaction(session_statement const& statement)
{
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        refuse(statement, session_error::malformed, "a transaction is already open");
        return;
    case statement_kind::rollback:
        roll_back();
        answer_locally(statement);
        return;
    case statement_kind::commit:
        commit(statement);
        return;
    default:
        run_in_transaction(statement);
        return;
    }
}

void client_session::process_outside_transaction(session_statement const& statement)
{
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        begin(statement);
        return;
    case statement_kind::rollback:
    case statement_kind::commit:
        refuse(statement, session_error::malformed, "no transaction is open");
        return;
    default:
        run_single_statement(statement);
        return;
    }
}

void client_session::apply_locally(session_statement const& statement)
{
    switch (statement.kind) {
    case statement_kind::set_value:
        m_values[statement.name] = statement.argument;
        break;
    case statement_kind::prepare:
        m_prepared[statement.name] = statement.prepared;
        break;
    default:
        m_prepared.erase(statement.name);
        break;
    }
    answer_locally(statement);
}

std::optional<served_class> client_session::find_class() const
{
    auto const& configuration = m_engine.fleet().configuration();
    auto const found = configuration->classes.find(m_database);
    if (found == configuration->classes.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::string> client_session::authorize(session_statement const& statement)
{
    auto const work = find_class();
    if (!work) {
        refuse(statement, session_error::unknown_database,
               "the class of work of this database was removed from the configuration");
        return std::nullopt;
    }
    auto const& keys = m_engine.fleet().configuration()->account_of_key;
    auto const found = keys.find(m_key);
    if (!work->is_open_to_all && !m_engine.may_trust_keys()) {
        refuse(statement, session_error::busy,
               "this VM cannot receive key withdrawals at present, so it accepts no keys",
               spread_retry_delay(key_refusal_delay,
                                  [this](std::uint64_t bound) { return m_kernel.random_below(bound); }));
        return std::nullopt;
    }
    if (!work->is_open_to_all && found == keys.end()) {
        refuse(statement, session_error::unknown_key, "key is unknown or was withdrawn");
        return std::nullopt;
    }
    m_account = found == keys.end() ? std::string("-") : found->second;
    // An open transaction keeps the class and account that it began with.
    auto refusal = m_state == transaction_state::idle
                       ? m_engine.fleet().configuration()->find_refusal(*work, m_account)
                       : std::string();
    if (!refusal.empty()) {
        refuse(statement, session_error::failed, std::move(refusal));
        return std::nullopt;
    }
    return m_account;
}

void client_session::admit(std::string const& client_account, session_statement const& statement,
                           std::function<void()> on_admitted)
{
    m_engine.rates().take(
        client_account, [self = shared_from_this(), statement,
                         on_admitted = std::move(on_admitted)](std::optional<duration> wait) {
            if (self->end_if_disconnected(statement)) {
                return;
            }
            if (wait) {
                self->refuse(statement, session_error::busy, "client account exceeds its rate limit", *wait);
                return;
            }
            on_admitted();
        });
}

std::optional<execution_request> client_session::make_execution_request(session_statement statement,
                                                                        std::string const& client_account)
{
    execution_request execution;
    execution.client_account = client_account;
    execution.values = m_values;
    execution.minimum_position = m_minimum_position;
    execution.arrived_at = m_arrived_at;
    execution.is_write = statement.kind == statement_kind::write;
    execution.cancellation = m_cancellation;
    if (statement.kind == statement_kind::execute) {
        auto const found = m_prepared.find(statement.name);
        if (found == m_prepared.end()) {
            refuse(statement, session_error::unknown_prepared, "no statement is prepared under this name");
            return std::nullopt;
        }
        execution.prepared = found->second;
        execution.is_write = found->second.is_write;
    }
    execution.statement = std::move(statement);
    return execution;
}

void client_session::begin(session_statement const& statement)
{
    auto const account = authorize(statement);
    if (!account) {
        return;
    }
    m_transaction_class = *find_class();
    m_transaction_account = *account;
    admit(*account, statement, [self = shared_from_this(), statement] {
        self->m_state = transaction_state::open;
        self->m_is_read_transaction = statement.kind == statement_kind::begin_read;
        self->m_has_written = false;
        self->answer_locally(statement);
    });
}

void client_session::run_single_statement(session_statement const& statement)
{
    auto const account = authorize(statement);
    if (!account) {
        return;
    }
    auto execution = make_execution_request(statement, *account);
    if (!execution) {
        return;
    }
    execution->work = *find_class();
    admit(*account, statement,
          [self = shared_from_this(), execution = *std::move(execution)] { self->run_admitted(execution); });
}

void client_session::run_admitted(execution_request execution)
{
    auto const statement = execution.statement;
    auto const mode = execution.is_write ? execution_mode::write
                      : execution.work.consistency == read_consistency::every_commit
                          ? execution_mode::leader_read
                          : execution_mode::read;
    auto& group = m_engine.groups().group(execution.work.group);
    execute(group, std::move(execution), mode,
            [self = shared_from_this(), statement, mode](execution_result result) {
                if (mode == execution_mode::write && result.answer.is_ok() && result.answer.position) {
                    self->m_minimum_position =
                        std::max(self->m_minimum_position.value_or(log_position{}), *result.answer.position);
                }
                self->finish(statement, std::move(result.answer));
            });
}

void client_session::execute(database_group& group, execution_request execution, execution_mode mode,
                             std::function<void(execution_result)> done)
{
    auto const started = std::make_shared<statement_execution>(m_kernel, group, m_engine.contact(),
                                                               std::move(execution), mode, std::move(done));
    m_execution = started;
    started->start();
}

bool client_session::end_if_disconnected(session_statement const& statement)
{
    if (!m_is_closed) {
        return false;
    }
    refuse(statement, session_error::aborted, "the caller disconnected before the statement was sent");
    return true;
}

void client_session::run_in_transaction(session_statement const& statement)
{
    auto const account = authorize(statement);
    if (!account) {
        return;
    }
    if (m_connection) {
        send_in_transaction(statement, 0);
        return;
    }
    begin_and_run(statement);
}

void client_session::begin_and_run(session_statement const& statement)
{
    auto execution = make_execution_request(statement, m_transaction_account);
    if (!execution) {
        return;
    }
    execution->work = m_transaction_class;
    auto const may_use_replica =
        m_is_read_transaction && m_transaction_class.consistency != read_consistency::every_commit;
    auto& group = m_engine.groups().group(m_transaction_class.group);
    execute(group, *std::move(execution),
            may_use_replica ? execution_mode::begin_read : execution_mode::begin,
            [self = shared_from_this(), statement](execution_result result) {
                if (!result.connection) {
                    self->fail_transaction(statement);
                    self->finish(statement, std::move(result.answer));
                    return;
                }
                self->m_connection = std::move(result.connection);
                self->send_in_transaction(statement, 0);
            });
}

void client_session::commit(session_statement const& statement)
{
    if (!authorize(statement)) {
        return;
    }
    if (!m_connection) {
        begin_and_run(statement);
        return;
    }
    send_in_transaction(statement, 0);
}

void client_session::send_in_transaction(session_statement const& statement, int retries)
{
    if (end_if_disconnected(statement)) {
        return;
    }
    if (!m_engine.groups().group(m_transaction_class.group).may_send_to(m_connection->member)) {
        refuse(statement, session_error::aborted,
               "the member's availability zone is evacuated; the transaction is rolled back");
        return;
    }
    auto execution = make_execution_request(statement, m_transaction_account);
    if (!execution) {
        return;
    }
    auto request = make_member_request(*execution);
    request.time_limit_ms =
        static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(
                                       m_transaction_class.statement_timeout + commit_answer_margin)
                                       .count());
    request.queue_limit_ms = request.time_limit_ms;
    request.keeps_connection = true;
    m_has_written = m_has_written || execution->is_write;
    request.commits_write = m_has_written && statement.kind == statement_kind::commit;
    auto const sent_at = m_kernel.now();
    auto& group = m_engine.groups().group(m_transaction_class.group);
    auto const member = m_connection->member;
    if (!m_engine.brokers().may_commit(request, member, zone_of_member(group, member))) {
        fail_transaction(statement);
        refuse(
            statement, session_error::aborted,
            "contact with the leader or other availability zones was lost a short time ago; the transaction "
            "is rolled back");
        return;
    }
    group.record_sent(member);
    auto watch = request.commits_write ? m_engine.contact().watch(zone_of_member(group, member)) : nullptr;
    auto const waiting = group.waiting().add(wait_reason::member_answer, sent_at);
    m_connection->pinned->send(std::move(request), [self = shared_from_this(), &group, member, statement,
                                                    retries, sent_at, waiting,
                                                    watch = std::move(watch)](member_reply reply) {
        group.waiting().remove(waiting);
        group.record_returned(member);
        auto& answer = reply.answers.back();
        if (answer.is_ok()) {
            group.record_answer(member, self->m_kernel.now() - sent_at);
        }
        else if (!answer.is_withheld) {
            group.record_failure(member, *answer.error);
        }
        self->handle_transaction_answer(statement, retries, sent_at, std::move(answer));
    });
}

void client_session::handle_transaction_answer(session_statement const& statement, int retries,
                                               monotonic_time sent_at, member_answer answer)
{
    if (m_is_abandoned) {
        return;
    }
    // A connection is released only while no statement is running.
    VERIFY(m_connection);
    auto const is_commit = statement.kind == statement_kind::commit;
    m_served_by = m_connection->member;
    auto const is_unsent = answer.error == member_error::not_started;
    auto const may_repeat =
        answer.error == member_error::busy || answer.error == member_error::unknown_prepared;
    if ((is_unsent || (may_repeat && answer.state == transaction_state::open)) &&
        retries < max_busy_retries && !m_is_closed) {
        m_kernel.start_timer(busy_retry_delay, [self = shared_from_this(), statement, retries] {
            self->send_in_transaction(statement, retries + 1);
        });
        return;
    }
    auto const error = answer.error;
    auto const is_withheld = answer.is_withheld;
    auto const state = answer.state;
    auto& group = m_engine.groups().group(m_transaction_class.group);
    auto result = to_session_answer(std::move(answer));
    if (is_commit) {
        if (result.is_ok() && m_has_written) {
            finish_commit(statement, sent_at, std::move(result));
            return;
        }
        if (error == member_error::connection_lost || error == member_error::timed_out) {
            result.error = m_has_written ? session_error::in_doubt : session_error::failed;
            if (result.error_text.empty()) {
                result.error_text = "the commit was sent, but no answer was received";
            }
            if (m_has_written && !is_withheld) {
                group.record_stuck_commit(m_connection->member);
            }
        }
        m_state = transaction_state::idle;
        release_connection();
        finish(statement, std::move(result));
        return;
    }
    if (result.is_ok()) {
        finish(statement, std::move(result));
        return;
    }
    // The transaction has no effect, since no commit was sent and closing the connection rolls it back.
    if (error == member_error::connection_lost || error == member_error::timed_out) {
        result.error = session_error::aborted;
        result.error_text = "no answer was received from the member; the transaction is rolled back";
    }
    if (error == member_error::read_only && !m_is_read_transaction) {
        group.record_not_leading(m_connection->member);
    }
    if (state != transaction_state::open || !is_answer(*error)) {
        fail_transaction(statement);
    }
    finish(statement, std::move(result));
}

void client_session::finish_commit(session_statement const& statement, monotonic_time sent_at,
                                   session_answer result)
{
    auto& group = m_engine.groups().group(m_transaction_class.group);
    auto const member = m_connection->member;
    m_state = transaction_state::idle;
    release_connection();
    m_engine.contact().confirm(zone_of_member(group, member), sent_at,
                               [self = shared_from_this(), &group, member, statement, sent_at,
                                result = std::move(result)](bool is_proven) mutable {
                                   if (self->m_is_abandoned) {
                                       return;
                                   }
                                   if (!is_proven) {
                                       self->finish(statement, make_withheld_answer());
                                       return;
                                   }
                                   if (result.position) {
                                       self->m_minimum_position =
                                           std::max(self->m_minimum_position.value_or(log_position{}),
                                                    *result.position);
                                       group.confirm_leader(member, *result.position, sent_at);
                                       group.record_commit(member, *result.position);
                                   }
                                   self->finish(statement, std::move(result));
                               });
}

void client_session::roll_back()
{
    m_state = transaction_state::idle;
    release_connection();
}

void client_session::fail_transaction(session_statement const& statement)
{
    m_state = statement.kind == statement_kind::commit ? transaction_state::idle : transaction_state::failed;
    release_connection();
}

void client_session::release_connection()
{
    // Destroying the pinned connection rolls back a transaction that is still open.
    m_connection.reset();
}

void client_session::answer_locally(session_statement const& statement)
{
    session_answer answer;
    finish(statement, std::move(answer));
}

void client_session::refuse(session_statement const& statement, session_error error, std::string text,
                            duration retry_after)
{
    session_answer answer;
    answer.error = error;
    answer.error_text = std::move(text);
    answer.retry_after = retry_after;
    if (m_state == transaction_state::open && error != session_error::malformed) {
        fail_transaction(statement);
    }
    finish(statement, std::move(answer));
}

void client_session::finish(session_statement const& statement, session_answer answer)
{
    auto const keep_alive = shared_from_this();
    if (m_is_abandoned) {
        return;
    }
    answer.state = m_state;
    if (answer.is_ok()) {
        ++m_engine.counters().answered;
        auto const kind = static_cast<std::size_t>(statement.kind);
        m_engine.counters().latencies[kind].record(m_kernel.now() - m_arrived_at);
    }
    else {
        ++m_engine.counters().refused[static_cast<std::size_t>(*answer.error)];
    }
    log_outcome(statement, answer);
    m_is_running = false;
    m_last_active_at = m_kernel.now();
    if (m_is_closed) {
        release_connection();
        return;
    }
    if (auto const deliver = m_hooks.answer) {
        deliver(std::move(answer));
    }
    run_queued();
    if (m_closes_when_idle) {
        close_if_idle();
    }
}

void client_session::report_overdue_statement()
{
    if (!m_is_running || m_is_reported_overdue || m_is_closed) {
        return;
    }
    if (m_kernel.now() - m_arrived_at <= overdue_multiple * m_time_limit + overdue_margin) {
        return;
    }
    m_is_reported_overdue = true;
    ++m_engine.counters().overdue;
    m_kernel.log(log_level::warning, "sessions", "statement has had no answer for long after its time limit",
                 describe_running_statement());
}

void client_session::record_unanswered(session_end reason)
{
    auto const count = m_queue.size() + (m_is_running ? 1 : 0);
    if (m_is_closed || count == 0 || m_kernel_lifetime.expired()) {
        return;
    }
    m_engine.counters().unanswered[static_cast<std::size_t>(reason)] += count;
    auto fields = describe_running_statement();
    fields["end"] = std::string(find_name(session_end_names, reason));
    fields["statements"] = Json::UInt64(count);
    m_kernel.log(log_level::info, "sessions", "connection ended before its statements were answered",
                 std::move(fields));
}

Json::Value client_session::describe_running_statement() const
{
    Json::Value fields(Json::objectValue);
    fields["database"] = m_database;
    fields["client_account"] = m_account;
    fields["is_in_transaction"] = is_in_transaction();
    if (m_is_running) {
        fields["request"] = m_running.id;
        fields["kind"] = std::string(find_name(statement_kind_names, m_running.kind));
        fields["after_ms"] = to_milliseconds(m_kernel.now() - m_arrived_at);
    }
    if (auto const age = m_engine.fleet().configuration_age()) {
        fields["configuration_age_ms"] = to_milliseconds(*age);
    }
    return fields;
}

void client_session::log_outcome(session_statement const& statement, session_answer const& answer) const
{
    if (answer.is_ok()) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["request"] = statement.id;
    fields["database"] = m_database;
    fields["kind"] = std::string(find_name(statement_kind_names, statement.kind));
    fields["error"] = std::string(find_name(session_error_names, *answer.error));
    fields["reason"] = answer.error_text;
    fields["after_ms"] = to_milliseconds(m_kernel.now() - m_arrived_at);
    fields["client_account"] = m_account;
    if (answer.retry_after > duration::zero()) {
        fields["retry_after_ms"] = to_milliseconds(answer.retry_after);
    }
    if (!m_served_by.empty()) {
        fields["member"] = m_served_by;
    }
    if (auto const age = m_engine.fleet().configuration_age()) {
        fields["configuration_age_ms"] = to_milliseconds(*age);
    }
    m_kernel.log(log_level::info, "sessions",
                 m_is_closed ? "statement ended with an error after its caller had disconnected"
                             : "statement was answered with an error",
                 std::move(fields));
}

} // namespace greengagehitch
