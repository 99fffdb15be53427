#include "sessions/client_session.h"

#include <utility>

#include <fmt/format.h>

#include "sessions/session_engine.h"

namespace greengagehitch {

namespace {

/// Time for the answer to a commit past the statement's timeout; afterwards its fate is told as open.
constexpr duration commit_slack = std::chrono::milliseconds(30);
constexpr int most_busy_tries = 6;
constexpr duration busy_pause = std::chrono::milliseconds(15);

bool is_local(statement_kind kind)
{
    return kind == statement_kind::set_value || kind == statement_kind::prepare ||
           kind == statement_kind::deallocate;
}

} // namespace

client_session::client_session(session_engine& engine, std::string database, std::string key,
                               session_hooks hooks)
    : m_engine(engine), m_kernel(engine.core()), m_kernel_lifetime(m_kernel.lifetime()),
      m_database(std::move(database)), m_key(std::move(key)), m_hooks(std::move(hooks)),
      m_last_active(m_kernel.now())
{
}

client_session::~client_session()
{
    // A session may live in a callback that outlasts the engine.
    if (!m_kernel_lifetime.expired()) {
        m_engine.forget(this);
    }
}

void client_session::handle(session_statement statement)
{
    m_queue.push_back(std::move(statement));
    if (!m_is_running) {
        run_next();
    }
}

void client_session::leave()
{
    m_is_closed = true;
    m_queue.clear();
    m_hooks = {};
    // A statement under way holds the link until it is answered.
    if (!m_is_running) {
        drop_pinned();
    }
}

bool client_session::close_if_idle()
{
    if (!is_idle() || m_is_closed) {
        return false;
    }
    if (auto const close = m_hooks.close) {
        close();
    }
    return true;
}

void client_session::end_resting_transaction(duration limit)
{
    if (m_state != transaction_state::open || m_is_running || m_kernel.now() - m_last_active < limit) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["database"] = m_database;
    fields["rested_ms"] = to_milliseconds(m_kernel.now() - m_last_active);
    m_kernel.log(log_level::info, "sessions", "transaction rested too long and is rolled back",
                 std::move(fields));
    drop_pinned();
    m_state = transaction_state::failed;
}

void client_session::run_next()
{
    if (m_queue.empty() || m_is_closed) {
        return;
    }
    auto statement = std::move(m_queue.front());
    m_queue.pop_front();
    m_is_running = true;
    m_arrived = m_kernel.now();
    m_last_active = m_arrived;
    m_served_by.clear();
    ++m_engine.counters().statements;
    process(statement);
}

void client_session::process(session_statement const& statement)
{
    if (statement.kind == statement_kind::unknown) {
        refuse(statement, session_error::malformed, "statement is not understood");
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
            refuse(statement, session_error::malformed, "the transaction failed; end it first");
        }
        return;
    }
    if (is_local(statement.kind)) {
        change_locally(statement);
        return;
    }
    if (m_state == transaction_state::open) {
        process_in_transaction(statement);
        return;
    }
    process_outside(statement);
}

void client_session::process_in_transaction(session_statement const& statement)
{
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        refuse(statement, session_error::malformed, "a transaction is open");
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

void client_session::process_outside(session_statement const& statement)
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
        run_single(statement);
        return;
    }
}

void client_session::change_locally(session_statement const& statement)
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
        refuse(statement, session_error::unknown_database, "the class of work was removed");
        return std::nullopt;
    }
    auto const& keys = m_engine.fleet().configuration()->account_of_key;
    auto const found = keys.find(m_key);
    if (work->is_open_to_all) {
        return found == keys.end() ? std::string("-") : found->second;
    }
    if (!m_engine.may_trust_keys()) {
        refuse(statement, session_error::busy, "withdrawals of keys cannot be heard now",
               std::chrono::milliseconds(500));
        return std::nullopt;
    }
    if (found == keys.end()) {
        refuse(statement, session_error::unknown_key, "key is unknown or was withdrawn");
        return std::nullopt;
    }
    m_account = found->second;
    return found->second;
}

void client_session::admit(std::string const& client_account, session_statement const& statement,
                           std::function<void()> admitted)
{
    m_engine.rates().take(client_account, [self = shared_from_this(), statement,
                                           admitted = std::move(admitted)](std::optional<duration> wait) {
        if (wait) {
            self->refuse(statement, session_error::busy, "client account is above its rate", *wait);
            return;
        }
        admitted();
    });
}

std::optional<run_order> client_session::make_order(session_statement statement,
                                                    std::string const& client_account)
{
    run_order order;
    order.client_account = client_account;
    order.values = m_values;
    order.floor = m_floor;
    order.arrived = m_arrived;
    order.is_write = statement.kind == statement_kind::write;
    if (statement.kind == statement_kind::execute) {
        auto const found = m_prepared.find(statement.name);
        if (found == m_prepared.end()) {
            refuse(statement, session_error::unknown_prepared, "nothing is prepared under this name");
            return std::nullopt;
        }
        order.prepared = found->second;
        order.is_write = found->second.is_write;
    }
    order.statement = std::move(statement);
    return order;
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

void client_session::run_single(session_statement const& statement)
{
    auto const account = authorize(statement);
    if (!account) {
        return;
    }
    auto order = make_order(statement, *account);
    if (!order) {
        return;
    }
    order->work = *find_class();
    admit(*account, statement,
          [self = shared_from_this(), order = *std::move(order)] { self->run_admitted(order); });
}

void client_session::run_admitted(run_order order)
{
    auto const statement = order.statement;
    auto const mode = order.is_write                                             ? run_mode::write
                      : order.work.consistency == read_consistency::every_commit ? run_mode::proven_read
                                                                                 : run_mode::read;
    auto& group = m_engine.groups().group(order.work.group);
    std::make_shared<member_run>(
        m_kernel, group, std::move(order), mode,
        [self = shared_from_this(), statement, mode](run_result result) {
            if (mode == run_mode::write && result.answer.is_ok() && result.answer.position) {
                self->m_floor = std::max(self->m_floor.value_or(log_position{}), *result.answer.position);
            }
            self->finish(statement, std::move(result.answer));
        })
        ->start();
}

void client_session::run_in_transaction(session_statement const& statement)
{
    auto const account = authorize(statement);
    if (!account) {
        return;
    }
    if (m_pinned) {
        send_pinned(statement, 0);
        return;
    }
    open_and_run(statement);
}

void client_session::open_and_run(session_statement const& statement)
{
    auto order = make_order(statement, m_transaction_account);
    if (!order) {
        return;
    }
    order->work = m_transaction_class;
    auto const may_use_replica =
        m_is_read_transaction && m_transaction_class.consistency != read_consistency::every_commit;
    auto& group = m_engine.groups().group(m_transaction_class.group);
    std::make_shared<member_run>(m_kernel, group, *std::move(order),
                                 may_use_replica ? run_mode::begin_read : run_mode::begin,
                                 [self = shared_from_this(), statement](run_result result) {
                                     if (!result.pinned) {
                                         self->m_state = transaction_state::failed;
                                         self->finish(statement, std::move(result.answer));
                                         return;
                                     }
                                     self->m_pinned = std::move(result.pinned);
                                     if (self->m_is_closed) {
                                         self->drop_pinned();
                                         return;
                                     }
                                     self->send_pinned(statement, 0);
                                 })
        ->start();
}

void client_session::commit(session_statement const& statement)
{
    if (!authorize(statement)) {
        return;
    }
    if (!m_pinned) {
        open_and_run(statement);
        return;
    }
    send_pinned(statement, 0);
}

void client_session::send_pinned(session_statement const& statement, int tries)
{
    auto order = make_order(statement, m_transaction_account);
    if (!order) {
        return;
    }
    auto request = request_for(*order);
    request.time_limit_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(m_transaction_class.statement_timeout + commit_slack)
            .count());
    request.queue_limit_ms = request.time_limit_ms;
    request.keeps_link = true;
    m_has_written = m_has_written || order->is_write;
    auto const sent_at = m_kernel.now();
    auto& group = m_engine.groups().group(m_transaction_class.group);
    auto const member = m_pinned->member;
    group.record_sent(member);
    m_pinned->lease->send(std::move(request), [self = shared_from_this(), &group, member, statement, tries,
                                               sent_at](member_reply reply) {
        group.record_returned(member);
        auto& answer = reply.answers.back();
        if (answer.is_ok()) {
            group.record_answer(member, self->m_kernel.now() - sent_at);
        }
        else {
            group.record_failure(member, *answer.error);
        }
        self->take_pinned_answer(statement, tries, sent_at, std::move(answer));
    });
}

void client_session::take_pinned_answer(session_statement const& statement, int tries, monotonic_time sent_at,
                                        member_answer answer)
{
    if (!m_pinned || m_is_closed) {
        drop_pinned();
        m_is_running = false;
        return;
    }
    auto const is_commit = statement.kind == statement_kind::commit;
    m_served_by = m_pinned->member;
    auto const is_unsent = answer.error == member_error::not_started;
    auto const may_repeat =
        answer.error == member_error::busy || answer.error == member_error::unknown_prepared;
    if ((is_unsent || (may_repeat && answer.state == transaction_state::open)) && tries < most_busy_tries) {
        m_kernel.start_timer(busy_pause, [self = shared_from_this(), statement, tries] {
            if (self->m_pinned) {
                self->send_pinned(statement, tries + 1);
            }
        });
        return;
    }
    auto const error = answer.error;
    auto const state = answer.state;
    auto& group = m_engine.groups().group(m_transaction_class.group);
    auto result = to_session_answer(std::move(answer));
    if (is_commit) {
        if (result.is_ok() && m_has_written && result.position) {
            m_floor = std::max(m_floor.value_or(log_position{}), *result.position);
            group.confirm_leader(m_pinned->member, *result.position, sent_at);
            group.record_commit(m_pinned->member, *result.position);
        }
        if (error == member_error::connection_lost || error == member_error::timed_out) {
            result.error = m_has_written ? session_error::in_doubt : session_error::failed;
            result.error_text = "the commit was sent and its answer is missing";
            if (m_has_written) {
                group.record_stuck_commit(m_pinned->member);
            }
        }
        m_state = transaction_state::idle;
        drop_pinned();
        finish(statement, std::move(result));
        return;
    }
    if (result.is_ok()) {
        finish(statement, std::move(result));
        return;
    }
    // Nothing of the transaction is kept, since no commit was sent and the link closes.
    if (error == member_error::connection_lost || error == member_error::timed_out) {
        result.error = session_error::aborted;
        result.error_text = "the member was lost; the transaction is rolled back";
    }
    if (error == member_error::read_only && !m_is_read_transaction) {
        group.record_not_leading(m_pinned->member);
    }
    if (state != transaction_state::open || !is_answer(*error)) {
        m_state = transaction_state::failed;
        drop_pinned();
    }
    finish(statement, std::move(result));
}

void client_session::roll_back()
{
    m_state = transaction_state::idle;
    drop_pinned();
}

void client_session::drop_pinned()
{
    // A lease that goes rolls back what is open.
    m_pinned.reset();
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
        drop_pinned();
        m_state = transaction_state::failed;
    }
    finish(statement, std::move(answer));
}

void client_session::finish(session_statement const& statement, session_answer answer)
{
    auto const keep_alive = shared_from_this();
    answer.state = m_state;
    if (answer.is_ok()) {
        ++m_engine.counters().answered;
        auto const kind = static_cast<std::size_t>(statement.kind);
        m_engine.counters().latencies[kind].record(m_kernel.now() - m_arrived);
    }
    else {
        ++m_engine.counters().refused[static_cast<std::size_t>(*answer.error)];
    }
    log_outcome(statement, answer);
    m_is_running = false;
    m_last_active = m_kernel.now();
    if (m_is_closed) {
        drop_pinned();
        return;
    }
    if (auto const deliver = m_hooks.answer) {
        deliver(std::move(answer));
    }
    if (!m_is_running) {
        run_next();
    }
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
    fields["after_ms"] = to_milliseconds(m_kernel.now() - m_arrived);
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
    m_kernel.log(log_level::info, "sessions", "statement was refused", std::move(fields));
}

} // namespace greengagehitch
