#include "brokers/member_dispatcher.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

constexpr duration rollback_timeout = std::chrono::milliseconds(500);
constexpr int smoothing_divisor = 8;
/// Interval at which waiting requests are tried again if none of them could start.
constexpr duration start_retry_interval = std::chrono::milliseconds(5);
/// Minimum interval of the log records on refusals for one member.
constexpr duration refusal_log_interval = std::chrono::seconds(1);

/// Longest time by which the position that a member reported earlier may be older than the probe that it is
/// reported for again.
constexpr std::uint32_t max_evidence_age_ms = 500;

/// Returns whether the request only asks for the member's position, and leaves nothing at the member.
bool is_position_probe(member_request const& request)
{
    auto const kind = request.commands.front().kind;
    return (kind == command_kind::begin || kind == command_kind::begin_read) &&
           request.commands.back().kind == command_kind::rollback;
}

} // namespace

member_dispatcher::member_dispatcher(kernel& kernel, backend_connection_hooks const& hooks,
                                     backend_connection_target target, options options)
    : m_kernel(kernel), m_options(std::move(options)), m_group(target.group), m_member(target.member),
      m_flight(m_options.slots, m_options.paces_recovery,
               [this](recovery_pace const& pace) { log_pace(pace); }),
      m_doubtful_answers(std::make_shared<doubtful_answer_log>(kernel, target.group, target.member))
{
    backend_connection_pool::options pool;
    pool.connection_limit = m_options.connection_limit;
    pool.on_open_failed = [this](member_error error) {
        m_flight.record_failed_handshake(error, m_kernel.now());
        if (m_options.guard && error == member_error::refused) {
            m_options.guard->record_absence();
        }
        if (m_options.on_open_failed) {
            m_options.on_open_failed(error);
        }
    };
    pool.on_opened = [on_contact = m_options.on_contact](member_answer const&) {
        if (on_contact) {
            on_contact();
        }
    };
    pool.on_unmatched_answer = [counts = m_unmatched_answers](answer_match match) {
        ++counts->at(static_cast<std::size_t>(match));
    };
    m_pool = std::make_shared<backend_connection_pool>(kernel, hooks, std::move(target), std::move(pool));
    if (m_options.has_just_started) {
        m_flight.record_member_start(m_kernel.now());
    }
}

void member_dispatcher::run(member_request request, reply_callback done)
{
    auto const added = std::make_shared<queued_request>();
    added->request = std::move(request);
    added->done = std::move(done);
    added->enqueued_at = m_kernel.now();
    enqueue(added);
}

void member_dispatcher::enqueue(queued_request_pointer const& added)
{
    if (added->request.was_member_absent && m_pool->connections() == 0 && m_options.on_connection_lost) {
        m_options.on_connection_lost();
    }
    auto const leads_to_commit = added->request.commits_write || added->request.begins_transaction();
    if (added->request.was_member_absent && leads_to_commit && m_options.guard) {
        m_options.guard->record_reported_absence();
    }
    added->id = m_next_id++;
    if (!may_send(added->request)) {
        refuse_soon(added, member_error::not_started, "availability zone of the member is evacuated");
        return;
    }
    auto const is_probe = !added->request.needs_slot && !added->request.keeps_connection;
    if (is_probe) {
        start(added);
        return;
    }
    // As long as a request waits for a connection, handshakes are tried.
    if (!added->connection && m_pool->is_unreachable() && m_pool->waiting() != 0) {
        refuse_soon(added, member_error::refused, "member does not answer handshakes");
        return;
    }
    if (added->request.needs_slot && !expected_pace(0)) {
        refuse_soon(added, member_error::not_started,
                    "another VM sends the requests to the member while it warms up");
        return;
    }
    auto const decision = decide(*added);
    m_counters.count(decision.result);
    if (decision.result != admission_result::admitted) {
        log_refusals();
        refuse_soon(added, member_error::not_started,
                    "request is not expected to start at the member in time",
                    assign_return(added->priority(), decision));
        return;
    }
    if (!added->request.needs_slot) {
        start(added);
        return;
    }
    added->queue_wait = decision.queue_wait;
    added->expected_start = decision.expected_start;
    auto const limit = std::chrono::milliseconds(added->request.queue_limit_ms);
    m_queued[added->id] = added;
    m_waiting.push({added->id, added->request.client_account, added->priority(), added->enqueued_at,
                    added->enqueued_at + limit});
    m_kernel.start_timer(limit, [weak = weak_from_this(), id = added->id] {
        if (auto const dispatcher = weak.lock()) {
            dispatcher->expire(id);
        }
    });
    start_waiting_requests();
}

admission_decision member_dispatcher::decide(queued_request const& request) const
{
    member_load load;
    load.running = m_flight.occupied(m_kernel.now());
    load.limit = m_flight.limit(m_kernel.now());
    load.ahead = m_waiting.ahead_of(request.request.client_account, request.priority());
    if (!request.connection) {
        connection_load const connections{m_pool->availability(request.request.client_account),
                                          m_pool->waiting() + m_waiting.size(), connection_limit(),
                                          m_handshake_time};
        load.connection_wait =
            expected_connection_wait(connections, m_service_times.expected(request.priority()));
    }
    std::size_t ahead = 0;
    for (auto const& [priority, count] : load.ahead) {
        ahead += count;
    }
    load.connection_wait = std::max(load.connection_wait, expected_pace(ahead).value_or(duration::zero()));
    load.wait_correction = m_wait_corrections.factor(request.priority());
    return decide_admission({request.priority(), std::chrono::milliseconds(request.request.queue_limit_ms),
                             std::chrono::milliseconds(request.request.time_limit_ms)},
                            load, m_service_times);
}

std::optional<duration> member_dispatcher::expected_pace(std::size_t ahead) const
{
    return m_options.warm_up ? m_options.warm_up->expected_wait(m_unsent + ahead) : duration::zero();
}

std::uint32_t member_dispatcher::assign_return(int priority, admission_decision const& decision)
{
    auto const limit = std::max<std::size_t>(1, m_flight.limit(m_kernel.now()));
    auto const delay =
        m_returns.assign(priority, m_kernel.now(), decision.room_in,
                         m_service_times.expected(priority) / static_cast<duration::rep>(limit));
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(delay).count());
}

void member_dispatcher::expire(std::uint64_t id)
{
    auto const found = m_queued.find(id);
    if (found == m_queued.end()) {
        return;
    }
    auto const late = found->second;
    m_queued.erase(found);
    m_waiting.remove(id);
    ++m_counters.expired;
    m_wait_corrections.record(late->priority(), late->queue_wait, m_kernel.now() - late->enqueued_at);
    log_refusals();
    auto const is_unreachable = !late->connection && m_pool->is_unreachable();
    refuse(late, is_unreachable ? member_error::refused : member_error::not_started,
           "request waited too long in the queue for the member");
}

void member_dispatcher::start_waiting_requests()
{
    while (try_start_next()) {
    }
    if (m_waiting.is_empty() || std::exchange(m_has_start_timer, true)) {
        return;
    }
    m_kernel.start_timer(start_retry_interval, [weak = weak_from_this()] {
        if (auto const dispatcher = weak.lock()) {
            dispatcher->m_has_start_timer = false;
            dispatcher->start_waiting_requests();
        }
    });
}

bool member_dispatcher::try_start_next()
{
    if (m_waiting.is_empty() || expected_pace(0) != duration::zero()) {
        return false;
    }
    auto const now = m_kernel.now();
    auto const permission = m_flight.permission(now);
    if (permission == start_permission::none) {
        return false;
    }
    auto const must_be_repeatable = permission == start_permission::repeatable;
    auto const id = m_waiting.take(
        now, [&](member_queue::entry const& entry) { return condition_of(entry, must_be_repeatable); });
    if (!id) {
        return false;
    }
    auto const next = m_queued.extract(*id).mapped();
    auto const waited = now - next->enqueued_at;
    if (waited + m_service_times.expected(next->priority()) >
        std::chrono::milliseconds(next->request.time_limit_ms)) {
        m_counters.count(admission_result::finish_too_late);
        refuse(next, member_error::not_started, "request could not finish in time any more");
        return true;
    }
    ++m_counters.started;
    m_counters.expected_wait += next->expected_start;
    m_counters.true_wait += waited;
    m_wait_corrections.record(next->priority(), next->queue_wait, waited);
    if (m_flight.start(*id, now)) {
        ++m_counters.trials;
    }
    ++m_unsent;
    start(next);
    return true;
}

start_condition member_dispatcher::condition_of(member_queue::entry const& entry,
                                                bool must_be_repeatable) const
{
    auto const& waiting = *m_queued.at(entry.id);
    if (must_be_repeatable && !waiting.is_repeatable()) {
        return start_condition::not_now;
    }
    if (waiting.connection) {
        return start_condition::ready;
    }
    switch (m_pool->availability(entry.client_account)) {
    case connection_availability::idle:
    case connection_availability::can_open:
        return start_condition::ready;
    case connection_availability::paused:
        return start_condition::not_now;
    case connection_availability::exhausted:
        return start_condition::no_connection;
    }
    return start_condition::not_now;
}

void member_dispatcher::start(queued_request_pointer const& queued)
{
    if (queued->connection && !*queued->is_pinned) {
        // The transaction was rolled back while the statement waited, and its connection may serve another
        // transaction.
        free_slot(*queued, false);
        refuse(queued, member_error::connection_lost,
               "transaction was rolled back while the statement waited");
        return;
    }
    if (refuse_if_cancelled(queued)) {
        return;
    }
    if (queued->connection) {
        send(queued, queued->connection);
        return;
    }
    acquire_connection(queued);
}

bool member_dispatcher::refuse_if_cancelled(queued_request_pointer const& queued)
{
    if (!queued->request.is_cancelled()) {
        return false;
    }
    free_slot(*queued, false);
    refuse(queued, member_error::not_started, "the caller disconnected while the request waited");
    return true;
}

void member_dispatcher::acquire_connection(queued_request_pointer const& queued)
{
    auto const keep_alive = shared_from_this();
    auto const needs_handshake =
        m_pool->availability(queued->request.client_account) == connection_availability::can_open;
    auto const request = m_pool->acquire(
        queued->request.client_account, queued->request.values,
        [this, keep_alive, queued, needs_handshake,
         asked_at = m_kernel.now()](std::variant<backend_connection_pointer, member_error> result) {
            if (auto const* const error = std::get_if<member_error>(&result)) {
                free_slot(*queued, false);
                refuse(queued, *error, "no connection to the member is available");
                return;
            }
            if (needs_handshake) {
                m_handshake_time += (m_kernel.now() - asked_at - m_handshake_time) / smoothing_divisor;
            }
            send(queued, std::get<backend_connection_pointer>(result));
        },
        queued->connection_demand_of());
    auto const waited = m_kernel.now() - queued->enqueued_at;
    auto const limit = std::chrono::milliseconds(queued->request.queue_limit_ms);
    m_kernel.start_timer(
        std::max<duration>(limit - waited, duration::zero()), [this, keep_alive, queued, request] {
            if (!request->is_waiting()) {
                return;
            }
            request->cancel();
            free_slot(*queued, false);
            ++m_counters.expired;
            log_refusals();
            refuse(queued, m_pool->is_unreachable() ? member_error::refused : member_error::not_started,
                   "no connection to the member became free in time");
        });
}

void member_dispatcher::send(queued_request_pointer const& queued,
                             backend_connection_pointer const& connection)
{
    if (!queued->request.needs_proven_leader || !m_options.check_leadership) {
        send_guarded(queued, connection);
        return;
    }
    m_options.check_leadership([dispatcher = shared_from_this(), queued, connection](bool is_proven) {
        if (is_proven) {
            dispatcher->send_guarded(queued, connection);
            return;
        }
        dispatcher->refuse_unproven(queued, connection, "member is not proven to be the leader of its group");
    });
}

void member_dispatcher::send_guarded(queued_request_pointer const& queued,
                                     backend_connection_pointer const& connection)
{
    auto const leads_to_commit = queued->request.commits_write || queued->request.begins_transaction();
    if (!leads_to_commit || !m_options.guard) {
        send_commands(queued, connection);
        return;
    }
    m_options.guard->check(
        connection->opened_at(), [dispatcher = shared_from_this(), queued, connection](bool is_clear) {
            if (!is_clear) {
                dispatcher->refuse_unproven(queued, connection,
                                            "an order to promote another member may still be carried out");
                return;
            }
            if (queued->connection && !*queued->is_pinned) {
                dispatcher->free_slot(*queued, false);
                dispatcher->refuse(queued, member_error::connection_lost,
                                   "transaction was rolled back while the statement waited");
                return;
            }
            dispatcher->send_commands(queued, connection);
        });
}

void member_dispatcher::refuse_unproven(queued_request_pointer const& queued,
                                        backend_connection_pointer const& connection, std::string const& text)
{
    if (!queued->connection) {
        m_pool->release(connection);
    }
    free_slot(*queued, false);
    // The transaction stays open, so the statement may be sent again.
    refuse(queued, queued->connection ? member_error::not_started : member_error::unproven_leader, text);
}

bool member_dispatcher::may_send(member_request const& request) const
{
    auto const is_for_caller = request.keeps_connection || request.needs_slot;
    return !is_for_caller || !m_options.may_send || m_options.may_send();
}

void member_dispatcher::send_commands(queued_request_pointer const& queued,
                                      backend_connection_pointer const& connection)
{
    auto& request = queued->request;
    if (request.is_cancelled()) {
        if (!queued->connection) {
            m_pool->release(connection);
        }
        refuse_if_cancelled(queued);
        return;
    }
    auto const is_in_time = may_send(request);
    if (!is_in_time || (request.needs_slot && m_options.warm_up && !m_options.warm_up->try_take())) {
        if (!queued->connection) {
            m_pool->release(connection);
        }
        free_slot(*queued, false);
        refuse(queued, member_error::not_started,
               is_in_time ? "member warms up and gets no further request at present"
                          : "availability zone of the member is evacuated");
        return;
    }
    mark_sent(*queued);
    auto commands = connection->commands_to_set_values(request.values);
    if (request.prepared) {
        for (auto& prepare : connection->commands_to_prepare(*request.prepared)) {
            commands.push_back(std::move(prepare));
        }
    }
    auto const setup_count = commands.size();
    if (setup_count != 0 && queued->connection) {
        connection->set_changed_in_transaction();
    }
    commands.insert(commands.end(), request.commands.begin(), request.commands.end());
    m_flight.record_sent(queued->id, m_kernel.now(), m_service_times.expected(queued->priority()));
    if (request.commits_write && m_options.guard) {
        queued->sent_commit = m_options.guard->record_sent_commit();
    }
    connection->send(commands, std::chrono::milliseconds(request.time_limit_ms),
                     [dispatcher = shared_from_this(), queued, connection, setup_count,
                      sent_at = m_kernel.now()](std::vector<member_answer> answers) {
                         dispatcher->handle_answers(queued, connection, setup_count, sent_at,
                                                    std::move(answers));
                     });
}

void member_dispatcher::handle_answers(queued_request_pointer const& queued,
                                       backend_connection_pointer const& connection, std::size_t setup_count,
                                       monotonic_time sent_at, std::vector<member_answer> answers)
{
    auto const setup_end = answers.begin() + static_cast<std::ptrdiff_t>(setup_count);
    auto const is_set_up =
        std::all_of(answers.begin(), setup_end, [](auto const& answer) { return answer.is_ok(); });
    if (!is_set_up) {
        // The values and prepared statements of the connection are unknown.
        connection->close();
    }
    answers.erase(answers.begin(), setup_end);
    if (resolve_doubtful_answers(queued, connection, answers)) {
        return;
    }
    if (!is_set_up) {
        withhold_successes(answers, "the member ran the statement without the values of its session");
    }
    for (auto const& answer : answers) {
        if (answer.error == member_error::unknown_prepared) {
            connection->clear_prepared();
        }
    }
    if (queued->request.commits_write && answers.back().is_ok() && m_options.on_commit) {
        m_options.on_commit(sent_at);
    }
    m_flight.record_outcome(queued->request.needs_slot, answers.back().error, sent_at, m_kernel.now(),
                            m_service_times.usual(queued->priority()));
    // This VM closes a connection on which answers cannot be told apart, which says nothing about the member.
    auto const is_lost_by_member =
        answers.back().error == member_error::connection_lost && !answers.back().is_doubtful;
    if (is_lost_by_member && m_options.on_connection_lost) {
        m_options.on_connection_lost();
    }
    if (answers.back().is_ok() && m_options.on_contact) {
        m_options.on_contact();
    }
    if (queued->request.needs_slot && answers.back().is_ok()) {
        m_service_times.record(queued->priority(), m_kernel.now() - sent_at);
    }
    auto const is_answered = answers.back().is_ok() || is_answer(*answers.back().error);
    if (is_answered && !answers.back().is_doubtful && m_options.guard) {
        m_options.guard->record_answer(connection->opened_at(), sent_at);
    }
    member_reply reply;
    auto const is_kept = queued->request.keeps_connection && connection->is_open() &&
                         connection->state() != transaction_state::idle;
    reply.answers = std::move(answers);
    if (!queued->connection) {
        if (is_kept) {
            reply.connection = make_pinned_connection(connection);
        }
        else {
            m_pool->release(connection);
        }
    }
    free_slot(*queued, is_answered);
    if (queued->sent_commit) {
        finish_commit(queued, std::move(reply));
        return;
    }
    queued->done(std::move(reply));
}

void member_dispatcher::finish_commit(queued_request_pointer const& queued, member_reply reply)
{
    auto const commit = *std::exchange(queued->sent_commit, std::nullopt);
    if (!reply.answers.back().is_ok()) {
        m_options.guard->record_failed_commit();
        queued->done(std::move(reply));
        return;
    }
    m_options.guard->check_success(commit, [dispatcher = shared_from_this(), queued, commit,
                                            reply = std::move(reply)](bool is_passed) mutable {
        if (!is_passed) {
            dispatcher->log_withheld(*queued, commit, reply.answers.back());
            withhold_successes(reply.answers,
                               "the leader committed, but another member may have been ordered "
                               "to lead, which may lack the commit");
        }
        queued->done(std::move(reply));
    });
}

void member_dispatcher::log_withheld(queued_request const& queued, promotion_guard::sent_commit const& commit,
                                     member_answer const& answer) const
{
    Json::Value fields(Json::objectValue);
    fields["group"] = m_group;
    fields["leader"] = m_member;
    fields["request"] = queued.request.commands.back().id;
    fields["sent_ms_ago"] = to_milliseconds(m_kernel.now() - commit.sent_at);
    if (answer.position) {
        fields["term"] = Json::UInt64(answer.position->term);
        fields["position"] = Json::UInt64(answer.position->position);
    }
    m_kernel.log(log_level::info, "brokers",
                 "success of a commit is withheld, since an order may replace the leader", std::move(fields));
}

void member_dispatcher::record_doubt()
{
    if (m_options.guard) {
        m_options.guard->record_doubt();
    }
}

bool member_dispatcher::resolve_doubtful_answers(queued_request_pointer const& queued,
                                                 backend_connection_pointer const& connection,
                                                 std::vector<member_answer>& answers)
{
    if (!answers.back().is_doubtful) {
        return false;
    }
    auto const& request = queued->request;
    if (request.needs_slot && queued->is_repeatable()) {
        // Nothing depends on whether a read has run, so its error counts; its position proves nothing.
        for (auto& answer : answers) {
            answer.position.reset();
        }
        m_doubtful_answers->record(doubtful_answer_use::accepted);
        return false;
    }
    if (is_position_probe(request) && answers.front().evidence_age_ms <= max_evidence_age_ms) {
        m_doubtful_answers->record(doubtful_answer_use::accepted);
        return false;
    }
    if (!request.needs_slot && !queued->connection && !std::exchange(queued->needs_unused_connection, true)) {
        m_doubtful_answers->record(doubtful_answer_use::sent_again);
        m_pool->release(connection);
        acquire_connection(queued);
        return true;
    }
    m_doubtful_answers->record(doubtful_answer_use::outcome_unknown);
    for (auto& answer : answers) {
        if (answer.is_doubtful) {
            answer.error = member_error::connection_lost;
            answer.error_text = "the member may have repeated an earlier answer";
        }
    }
    return false;
}

void member_dispatcher::withhold_successes(std::vector<member_answer>& answers, std::string const& reason)
{
    for (auto& answer : answers) {
        if (answer.is_ok()) {
            answer = {};
            answer.error = member_error::connection_lost;
            answer.error_text = reason;
            // The member is not to blame, and the outcome is unknown.
            answer.is_doubtful = true;
            answer.is_withheld = true;
        }
    }
}

pinned_connection_pointer
member_dispatcher::make_pinned_connection(backend_connection_pointer const& connection)
{
    auto const is_pinned = std::make_shared<bool>(true);
    return std::make_shared<pinned_connection>(pinned_connection::hooks{
        [dispatcher = shared_from_this(), connection, is_pinned](member_request request,
                                                                 reply_callback done) {
            auto const added = std::make_shared<queued_request>();
            added->request = std::move(request);
            added->done = std::move(done);
            added->connection = connection;
            added->is_pinned = is_pinned;
            added->enqueued_at = dispatcher->m_kernel.now();
            dispatcher->enqueue(added);
        },
        [weak = weak_from_this(), lifetime = m_kernel.lifetime(), connection, is_pinned] {
            *is_pinned = false;
            auto const dispatcher = weak.lock();
            if (dispatcher && !lifetime.expired()) {
                dispatcher->return_connection(connection);
            }
        }});
}

void member_dispatcher::return_connection(backend_connection_pointer const& connection)
{
    connection->end_transaction();
    if (!connection->is_open() || !connection->is_idle()) {
        connection->close();
    }
    if (connection->is_closed() || connection->state() == transaction_state::idle) {
        m_pool->release(connection);
        start_waiting_requests();
        return;
    }
    std::vector<member_command> commands(1);
    commands.front().kind = command_kind::rollback;
    connection->send(
        commands, rollback_timeout,
        [dispatcher = shared_from_this(), connection](std::vector<member_answer> const& answers) {
            if (!answers.front().is_ok()) {
                connection->close();
            }
            dispatcher->m_pool->release(connection);
            dispatcher->start_waiting_requests();
        });
}

void member_dispatcher::mark_sent(queued_request& sent)
{
    if (sent.request.needs_slot && !std::exchange(sent.is_sent, true)) {
        --m_unsent;
    }
}

void member_dispatcher::free_slot(queued_request& finished, bool is_answered)
{
    mark_sent(finished);
    if (finished.request.needs_slot) {
        m_flight.finish(finished.id, is_answered);
        start_waiting_requests();
    }
}

void member_dispatcher::refuse(queued_request_pointer const& refused, member_error error,
                               std::string const& text, std::uint32_t retry_after_ms)
{
    auto const done = std::exchange(refused->done, nullptr);
    if (!done) {
        return;
    }
    auto reply = make_failed_reply(refused->request.commands.size(), error, text);
    for (auto& answer : reply.answers) {
        answer.retry_after_ms = retry_after_ms;
    }
    done(std::move(reply));
}

void member_dispatcher::refuse_soon(queued_request_pointer const& refused, member_error error,
                                    std::string const& text, std::uint32_t retry_after_ms)
{
    // The caller of run() may not expect a reply before run() returns.
    m_kernel.start_timer(duration::zero(),
                         [dispatcher = shared_from_this(), refused, error, text, retry_after_ms] {
                             dispatcher->refuse(refused, error, text, retry_after_ms);
                         });
}

void member_dispatcher::log_refusals()
{
    auto const now = m_kernel.now();
    if (now - m_logged_at < refusal_log_interval) {
        return;
    }
    Json::Value fields = dump();
    fields["member"] = m_member;
    fields["since_last"] = m_counters.to_json(m_logged_counters);
    m_logged_counters = m_counters;
    m_logged_at = now;
    m_kernel.log(log_level::info, "brokers", "member has too little room; requests were refused",
                 std::move(fields));
}

void member_dispatcher::log_pace(recovery_pace const& pace) const
{
    Json::Value fields(Json::objectValue);
    fields["member"] = m_member;
    fields["pace"] = std::string(find_name(pace_state_names, pace.state()));
    fields["last_ramp_ms"] = to_milliseconds(pace.last_ramp());
    m_kernel.log(log_level::info, "brokers", "pace of requests to the member changed", std::move(fields));
}

Json::Value member_dispatcher::dump() const
{
    auto const now = m_kernel.now();
    Json::Value state(Json::objectValue);
    state["running"] = Json::UInt64(m_flight.occupied(now));
    state["overdue"] = Json::UInt64(m_flight.overdue(now));
    state["waiting"] = Json::UInt64(m_waiting.size());
    state["limit"] = Json::UInt64(m_flight.limit(now));
    state["connections"] = Json::UInt64(connections());
    state["leased"] = Json::UInt64(m_pool->leased());
    state["waiting_for_connection"] = Json::UInt64(m_pool->waiting());
    state["connection_limit"] = Json::UInt64(connection_limit());
    state["handshake_ms"] = to_milliseconds(m_handshake_time);
    for (auto const& match : answer_match_names) {
        state["unmatched_answers"][std::string(match.name)] =
            Json::UInt64(m_unmatched_answers->at(static_cast<std::size_t>(match.value)));
    }
    state["pace"] = std::string(find_name(pace_state_names, m_flight.pace().state()));
    state["last_ramp_ms"] = to_milliseconds(m_flight.pace().last_ramp());
    state["total"] = m_counters.to_json({});
    if (m_options.guard) {
        auto const& successes = m_options.guard->successes();
        state["commits"]["passed"] = Json::UInt64(successes.passed);
        state["commits"]["looked_up"] = Json::UInt64(successes.looked_up);
        state["commits"]["withheld"] = Json::UInt64(successes.withheld);
        state["commits"]["lookups"] = Json::UInt64(m_options.guard->lookups());
    }
    return state;
}

void member_dispatcher::shut_down()
{
    if (m_options.guard) {
        // Transactions keep their connections, but reports about the member no longer arrive here.
        m_options.guard->retire();
    }
    m_pool->shut_down();
    for (auto const id : m_waiting.clear()) {
        refuse(m_queued.extract(id).mapped(), member_error::refused, "member was removed from the directory");
    }
}

} // namespace greengagehitch
