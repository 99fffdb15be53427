#include "routing/write_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "request/result_json.h"
#include "request/statement_guard.h"

namespace greengagehitch {

namespace {

constexpr int max_tries = 12;
constexpr duration retry_delay = std::chrono::milliseconds(5);
constexpr duration max_retry_delay = std::chrono::milliseconds(100);
constexpr duration primary_poll_delay = std::chrono::milliseconds(25);
constexpr duration refused_retry_after = std::chrono::milliseconds(200);
constexpr std::string_view unique_violation = "23505";
/// Number of statements in a batch of a write that precede all others: begin the transaction and set the
/// client account.
constexpr std::size_t preamble_size = 2;
/// Index of the result of inserting the outcome record. A batch of a request with a request id inserts the
/// record directly after the first `preamble_size` statements.
constexpr std::size_t outcome_index = preamble_size;

batch preamble(std::string const& client_account)
{
    batch sql_batch;
    sql_batch.statements.push_back(group_contract::begin_write());
    sql_batch.statements.push_back(group_contract::set_client_account(client_account));
    return sql_batch;
}

} // namespace

/// State of one write over its tries, with what is known of its outcome.
struct write_service::attempt {
    request_pointer request;
    std::string request_id;
    std::string fingerprint;
    std::vector<result_set> results;
    int tries = 0;
    /// The statements belong to an interactive transaction and cannot be run again.
    bool is_interactive = false;
    bool may_still_commit = false;  ///< A commit may still take effect, so "not run" requires a tombstone.
    bool is_resolving_only = false; ///< The request is to resolve a request id; no statements are run.
    std::string last_error;

    bool has_id() const { return !request_id.empty(); }
    std::string const& client_account() const { return request->client_account(); }
    monotonic_time resolution_deadline() const { return request->deadline() + resolution_time; }
};

void write_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_majority_commits = &m_kernel.find<majority_commit_service>(majority_commit_service::service_name);
}

Json::Value write_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["acknowledged"] = Json::UInt64(m_acknowledged);
    state["open_fates"] = Json::UInt64(m_unknown_commits);
    state["tombstones"] = Json::UInt64(m_tombstones);
    state["unknown"] = Json::UInt64(m_unknown_answers);
    state["retry_budget"] = m_budget.tokens();
    return state;
}

void write_service::write(request_pointer const& request)
{
    m_budget.count_request();
    auto const new_attempt = std::make_shared<attempt>();
    new_attempt->request = request;
    new_attempt->request_id = request->request().request_id;
    new_attempt->fingerprint = fingerprint_of(request->work().name, request->request().statements);
    run(new_attempt);
}

void write_service::commit(request_pointer const& request, leased_connection_pointer const& connection,
                           std::string request_id, std::string fingerprint)
{
    auto const new_attempt = std::make_shared<attempt>();
    new_attempt->request = request;
    new_attempt->request_id = std::move(request_id);
    new_attempt->fingerprint = std::move(fingerprint);
    new_attempt->is_interactive = true;
    auto* const group = m_directory->find(request->database());
    if (group == nullptr || !group->view.primary()) {
        request->refuse(outcome::not_run, refusal_reason::no_primary,
                        "no primary of the database is known; the transaction was rolled back",
                        refused_retry_after);
        return;
    }
    send_commit(new_attempt, *group->view.primary(), connection);
}

void write_service::resolve(request_pointer const& request)
{
    auto const new_attempt = std::make_shared<attempt>();
    new_attempt->request = request;
    new_attempt->request_id = request->request().request_id;
    new_attempt->is_interactive = true;
    new_attempt->is_resolving_only = true;
    new_attempt->may_still_commit = true;
    insert_tombstone(new_attempt);
}

void write_service::run(attempt_pointer const& attempt)
{
    ++attempt->tries;
    acquire_primary_connection(attempt, attempt->request->deadline(),
                               [this, attempt](active_group& /*group*/, std::size_t member,
                                               leased_connection_pointer const& connection) {
                                   send_statements(attempt, member, connection);
                               });
}

void write_service::acquire_primary_connection(attempt_pointer const& attempt, monotonic_time deadline,
                                               primary_callback on_connection)
{
    auto const now = m_kernel.now();
    auto& request = *attempt->request;
    auto* const group = m_directory->find(request.database());
    if (now >= deadline) {
        refuse_incomplete(attempt);
        return;
    }
    if (group == nullptr || !group->view.primary()) {
        wait_for_primary(attempt, deadline, std::move(on_connection));
        return;
    }
    auto const member = *group->view.primary();
    request.stage_timer().enter(request_stage::connection_wait, now);
    group->pools[member]->acquire(
        request.client_account(), deadline,
        [this, attempt, deadline, member, on_connection = std::move(on_connection),
         alive = m_kernel.lifetime()](std::variant<leased_connection_pointer, database_failure> result) {
            if (alive.expired()) {
                return;
            }
            auto* const current_group = m_directory->find(attempt->request->database());
            if (auto const* const failure = std::get_if<database_failure>(&result)) {
                attempt->last_error = failure->message;
                if (current_group != nullptr) {
                    m_directory->refresh(*current_group);
                }
                wait_for_primary(attempt, deadline, on_connection);
                return;
            }
            attempt->request->stage_timer().enter(request_stage::database, m_kernel.now());
            on_connection(*current_group, member, std::get<leased_connection_pointer>(result));
        });
}

void write_service::wait_for_primary(attempt_pointer const& attempt, monotonic_time deadline,
                                     primary_callback on_connection)
{
    auto& request = *attempt->request;
    request.stage_timer().enter(request_stage::primary_wait, m_kernel.now());
    if (attempt->last_error.empty()) {
        attempt->last_error = "no primary of the database is known";
    }
    if (auto* const group = m_directory->find(request.database())) {
        m_directory->refresh(*group);
    }
    // The attempt runs again when a primary becomes known or after the delay, whichever is first.
    auto const is_done = std::make_shared<bool>(false);
    auto const again = [this, attempt, deadline, on_connection = std::move(on_connection), is_done] {
        if (!std::exchange(*is_done, true)) {
            acquire_primary_connection(attempt, deadline, on_connection);
        }
    };
    m_directory->on_next_primary(request.database(), again);
    m_kernel.start_timer(std::min(primary_poll_delay, std::max(deadline - m_kernel.now(), duration(1))),
                         again);
}

void write_service::refuse_incomplete(attempt_pointer const& attempt)
{
    auto& request = *attempt->request;
    if (attempt->may_still_commit) {
        ++m_unknown_answers;
        request.refuse(outcome::unknown, refusal_reason::commit_unresolved,
                       attempt->has_id()
                           ? "outcome of the commit is unknown; call resolve with the request id"
                           : "outcome of the commit is unknown and cannot be resolved, since the request had "
                             "no request id",
                       refused_retry_after);
        return;
    }
    auto* const group = m_directory->find(request.database());
    auto const has_primary = group != nullptr && group->view.primary();
    request.refuse(
        outcome::not_run, has_primary ? refusal_reason::overloaded : refusal_reason::no_primary,
        attempt->last_error.empty()
            ? "no connection to the primary was available within the delay target; the request was not sent"
            : attempt->last_error,
        refused_retry_after);
}

void write_service::send_statements(attempt_pointer const& attempt, std::size_t member,
                                    leased_connection_pointer const& connection)
{
    if (attempt->has_id()) {
        send_before_commit(attempt, member, connection);
        return;
    }
    send_with_commit(attempt, member, connection);
}

void write_service::send_with_commit(attempt_pointer const& attempt, std::size_t member,
                                     leased_connection_pointer const& connection)
{
    auto const& request = *attempt->request;
    auto const& statements = request.request().statements;
    auto sql_batch = preamble(request.client_account());
    sql_batch.statements.insert(sql_batch.statements.end(), statements.begin(), statements.end());
    sql_batch.statements.push_back(group_contract::commit());
    auto const marker = m_directory->next_marker();
    sql_batch.statements.push_back(group_contract::status(marker));
    auto const asked_at = m_kernel.now();
    auto const timeout = attempt->resolution_deadline() - asked_at;
    connection->execute_last(
        std::move(sql_batch), timeout,
        [this, attempt, member, asked_at, marker, count = statements.size(),
         alive = m_kernel.lifetime()](batch_answer answer) {
            if (alive.expired()) {
                return;
            }
            auto const commit_index = preamble_size + count;
            if (answer.failure && is_definite(answer.failure->error) &&
                answer.results.size() <= commit_index) {
                handle_failure(attempt, member, *answer.failure, answer.results.size());
                return;
            }
            if (!answer.failure && answer.results.size() == commit_index + 2) {
                auto const begin = answer.results.begin() + static_cast<std::ptrdiff_t>(preamble_size);
                attempt->results.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
            }
            handle_commit_answer(attempt, member, answer, asked_at, marker);
        });
}

void write_service::send_before_commit(attempt_pointer const& attempt, std::size_t member,
                                       leased_connection_pointer const& connection)
{
    auto const& request = *attempt->request;
    auto const& statements = request.request().statements;
    auto sql_batch = preamble(request.client_account());
    sql_batch.statements.push_back(
        group_contract::insert_outcome(request.client_account(), attempt->request_id,
                                       group_contract::outcome_state::pending, attempt->fingerprint));
    sql_batch.statements.insert(sql_batch.statements.end(), statements.begin(), statements.end());
    auto const timeout = std::max(request.deadline() - m_kernel.now(), duration(1));
    connection->execute(std::move(sql_batch), timeout,
                        [this, attempt, member, connection, count = statements.size(),
                         alive = m_kernel.lifetime()](batch_answer answer) {
                            if (alive.expired()) {
                                return;
                            }
                            if (answer.failure) {
                                // The commit was not sent, so this attempt cannot take effect.
                                connection->roll_back_and_return();
                                handle_failure(attempt, member, *answer.failure, answer.results.size());
                                return;
                            }
                            auto const first = static_cast<std::ptrdiff_t>(outcome_index + 1);
                            attempt->results.assign(std::make_move_iterator(answer.results.begin() + first),
                                                    std::make_move_iterator(answer.results.end()));
                            VERIFY(attempt->results.size() == count);
                            send_commit(attempt, member, connection);
                        });
}

void write_service::send_commit(attempt_pointer const& attempt, std::size_t member,
                                leased_connection_pointer const& connection)
{
    auto& request = *attempt->request;
    auto const asked_at = m_kernel.now();
    if (connection->is_broken()) {
        handle_failure(attempt, member,
                       {database_error::connection_lost, "", "connection was lost before the commit"}, 0);
        return;
    }
    batch sql_batch;
    if (attempt->has_id()) {
        sql_batch.statements.push_back(group_contract::complete_outcome(
            request.client_account(), attempt->request_id, encode_results(attempt->results)));
    }
    sql_batch.statements.push_back(group_contract::commit());
    auto const commit_index = sql_batch.statements.size() - 1;
    auto const marker = m_directory->next_marker();
    sql_batch.statements.push_back(group_contract::status(marker));
    connection->execute_last(std::move(sql_batch), attempt->resolution_deadline() - asked_at,
                             [this, attempt, member, asked_at, marker, commit_index,
                              alive = m_kernel.lifetime()](batch_answer const& answer) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 if (answer.failure && is_definite(answer.failure->error) &&
                                     answer.results.size() <= commit_index) {
                                     handle_failure(attempt, member, *answer.failure, answer.results.size());
                                     return;
                                 }
                                 handle_commit_answer(attempt, member, answer, asked_at, marker);
                             });
}

void write_service::handle_commit_answer(attempt_pointer const& attempt, std::size_t member,
                                         batch_answer const& answer, monotonic_time asked_at,
                                         std::string const& marker)
{
    if (answer.failure) {
        observe_failure(attempt, member, *answer.failure);
        attempt->last_error = answer.failure->message;
        handle_unknown_outcome(attempt);
        return;
    }
    auto const position = committed_position(attempt, member, answer.results.back(), asked_at, marker);
    if (!position) {
        attempt->last_error = "the member that ran the commit did not confirm that it is still primary";
        handle_unknown_outcome(attempt);
        return;
    }
    attempt->request->stage_timer().enter(request_stage::evidence, m_kernel.now());
    await_majority(
        attempt, *position,
        [this, attempt, position] {
            caller_answer result;
            result.results = std::move(attempt->results);
            acknowledge(attempt, *position, std::move(result));
        },
        [this, attempt] {
            attempt->last_error = "no majority of the group is known to hold the commit";
            handle_unknown_outcome(attempt);
        });
}

void write_service::handle_failure(attempt_pointer const& attempt, std::size_t member,
                                   database_failure const& failure, std::size_t failed_statement)
{
    auto& request = *attempt->request;
    attempt->last_error = failure.message;
    auto const is_duplicate = attempt->has_id() && !attempt->is_interactive &&
                              failed_statement == outcome_index && failure.sqlstate == unique_violation;
    if (is_duplicate) {
        look_up_outcome(attempt);
        return;
    }
    if (failure.error == database_error::statement_failed && attempt->may_still_commit) {
        // An earlier try may have committed, and its effect may be what made this one fail.
        if (attempt->has_id()) {
            insert_tombstone(attempt);
            return;
        }
        refuse_incomplete(attempt);
        return;
    }
    if (failure.error == database_error::statement_failed) {
        request.refuse(outcome::not_run, refusal_reason::statement_rejected,
                       fmt::format("{} ({})", failure.message, failure.sqlstate));
        return;
    }
    if (failure.error == database_error::conflict) {
        retry(attempt, refusal_reason::conflict, failure.message);
        return;
    }
    observe_failure(attempt, member, failure);
    retry(attempt, refusal_reason::database_unavailable, failure.message);
}

void write_service::handle_unknown_outcome(attempt_pointer const& attempt)
{
    ++m_unknown_commits;
    attempt->may_still_commit = true;
    auto& request = *attempt->request;
    auto const now = m_kernel.now();
    request.stage_timer().enter(request_stage::resolution, now);
    if (attempt->has_id()) {
        auto const can_run_again =
            !attempt->is_interactive && now < request.deadline() && attempt->tries < max_tries;
        if (can_run_again && m_budget.try_take()) {
            // Running the same request id again is safe, since its outcome record is unique: the new try
            // either finds the record of the earlier try or, by inserting its own, makes the earlier try
            // fail.
            run(attempt);
            return;
        }
        insert_tombstone(attempt);
        return;
    }
    auto const may_repeat = request.work().is_repeatable && !attempt->is_interactive &&
                            now < request.deadline() && attempt->tries < max_tries;
    if (may_repeat && m_budget.try_take()) {
        retry(attempt, refusal_reason::commit_unresolved, attempt->last_error);
        return;
    }
    refuse_incomplete(attempt);
}

void write_service::retry(attempt_pointer const& attempt, refusal_reason reason, std::string const& message)
{
    auto& request = *attempt->request;
    auto const now = m_kernel.now();
    auto const can_retry = !attempt->is_interactive && attempt->tries < max_tries && now < request.deadline();
    if (!can_retry || (attempt->tries > 1 && !m_budget.try_take())) {
        if (attempt->may_still_commit && attempt->has_id()) {
            insert_tombstone(attempt);
            return;
        }
        if (attempt->may_still_commit) {
            refuse_incomplete(attempt);
            return;
        }
        request.refuse(outcome::not_run, reason, message, refused_retry_after);
        return;
    }
    auto const exponential =
        std::min<duration>(retry_delay * (1 << std::min(attempt->tries, 5)), max_retry_delay);
    auto const jitter = duration(
        static_cast<duration::rep>(m_kernel.random_below(static_cast<std::uint64_t>(exponential.count()))));
    request.stage_timer().enter(request_stage::primary_wait, now);
    m_kernel.start_timer(exponential / 2 + jitter / 2, [this, attempt] { run(attempt); });
}

void write_service::look_up_outcome(attempt_pointer const& attempt)
{
    attempt->request->stage_timer().enter(request_stage::resolution, m_kernel.now());
    acquire_primary_connection(
        attempt, attempt->resolution_deadline(),
        [this, attempt](active_group& /*group*/, std::size_t member,
                        leased_connection_pointer const& connection) {
            auto const marker = m_directory->next_marker();
            batch sql_batch;
            sql_batch.statements.push_back(group_contract::begin_read());
            sql_batch.statements.push_back(
                group_contract::find_outcome(attempt->client_account(), attempt->request_id));
            sql_batch.statements.push_back(group_contract::commit());
            sql_batch.statements.push_back(group_contract::status(marker));
            auto const asked_at = m_kernel.now();
            connection->execute_last(std::move(sql_batch), attempt->resolution_deadline() - asked_at,
                                     [this, attempt, member, asked_at, marker,
                                      alive = m_kernel.lifetime()](batch_answer const& answer) {
                                         if (!alive.expired()) {
                                             handle_outcome_record(attempt, member, answer, asked_at, marker);
                                         }
                                     });
        });
}

void write_service::handle_outcome_record(attempt_pointer const& attempt, std::size_t member,
                                          batch_answer const& answer, monotonic_time asked_at,
                                          std::string const& marker)
{
    if (answer.failure) {
        observe_failure(attempt, member, *answer.failure);
        retry_resolution(attempt, [this, attempt] { look_up_outcome(attempt); });
        return;
    }
    constexpr std::size_t record_index = 1;
    auto const position = committed_position(attempt, member, answer.results.back(), asked_at, marker);
    auto const record = group_contract::parse_outcome(answer.results[record_index]);
    if (!position) {
        retry_resolution(attempt, [this, attempt] { look_up_outcome(attempt); });
        return;
    }
    if (!record) {
        // The other attempt with this request id was rolled back.
        if (attempt->may_still_commit) {
            insert_tombstone(attempt);
            return;
        }
        retry(attempt, refusal_reason::conflict,
              "another attempt with this request id was in progress and was rolled back");
        return;
    }
    answer_from_record(attempt, *record, *position);
}

void write_service::answer_from_record(attempt_pointer const& attempt,
                                       group_contract::outcome_record const& record, log_position position)
{
    auto& request = *attempt->request;
    if (!attempt->is_resolving_only && record.state == group_contract::outcome_state::done &&
        record.fingerprint != attempt->fingerprint) {
        request.refuse(outcome::not_run, refusal_reason::request_id_reused,
                       "this request id was used for a different request of this client account");
        return;
    }
    await_majority(
        attempt, position,
        [this, attempt, record, position] {
            if (record.state != group_contract::outcome_state::done) {
                attempt->request->refuse(
                    outcome::not_run, refusal_reason::closed_unrun,
                    "the request with this id did not run and can no longer run; use a new request id");
                return;
            }
            auto results = try_decode_results(record.answer);
            caller_answer result;
            result.is_repeated = true;
            if (results.ok()) {
                result.results = *std::move(results);
            }
            acknowledge(attempt, position, std::move(result));
        },
        [this, attempt] { retry_resolution(attempt, [this, attempt] { look_up_outcome(attempt); }); });
}

void write_service::insert_tombstone(attempt_pointer const& attempt)
{
    acquire_primary_connection(
        attempt, attempt->resolution_deadline(),
        [this, attempt](active_group& /*group*/, std::size_t member,
                        leased_connection_pointer const& connection) {
            auto sql_batch = preamble(attempt->client_account());
            sql_batch.statements.push_back(
                group_contract::insert_outcome(attempt->client_account(), attempt->request_id,
                                               group_contract::outcome_state::not_run, attempt->fingerprint));
            sql_batch.statements.push_back(group_contract::commit());
            auto const marker = m_directory->next_marker();
            sql_batch.statements.push_back(group_contract::status(marker));
            auto const asked_at = m_kernel.now();
            connection->execute_last(
                std::move(sql_batch), attempt->resolution_deadline() - asked_at,
                [this, attempt, member, asked_at, marker,
                 alive = m_kernel.lifetime()](batch_answer const& answer) {
                    if (alive.expired()) {
                        return;
                    }
                    auto const is_recorded = answer.failure && answer.results.size() == outcome_index &&
                                             answer.failure->sqlstate == unique_violation;
                    if (is_recorded) {
                        look_up_outcome(attempt);
                        return;
                    }
                    if (answer.failure) {
                        observe_failure(attempt, member, *answer.failure);
                        retry_resolution(attempt, [this, attempt] { insert_tombstone(attempt); });
                        return;
                    }
                    auto const position =
                        committed_position(attempt, member, answer.results.back(), asked_at, marker);
                    auto const again = [this, attempt] {
                        retry_resolution(attempt, [this, attempt] { insert_tombstone(attempt); });
                    };
                    if (!position) {
                        again();
                        return;
                    }
                    await_majority(
                        attempt, *position,
                        [this, attempt] {
                            ++m_tombstones;
                            attempt->request->refuse(outcome::not_run, refusal_reason::closed_unrun,
                                                     "the request did not run and can no longer run; use a "
                                                     "new request id to try again");
                        },
                        again);
                });
        });
}

void write_service::retry_resolution(attempt_pointer const& attempt, std::function<void()> again)
{
    // The outcome record could not be read in time, so the outcome is reported as unknown, even if this
    // attempt itself sent no commit.
    if (m_kernel.now() >= attempt->resolution_deadline()) {
        attempt->may_still_commit = true;
        refuse_incomplete(attempt);
        return;
    }
    m_kernel.start_timer(primary_poll_delay, std::move(again));
}

void write_service::await_majority(attempt_pointer const& attempt, log_position position,
                                   std::function<void()> on_held, std::function<void()> on_not_held)
{
    auto const deadline = attempt->resolution_deadline();
    m_majority_commits->wait_for_majority(
        attempt->request->database(), position, deadline,
        [on_held = std::move(on_held), on_not_held = std::move(on_not_held)](majority_result result) {
            result == majority_result::held ? on_held() : on_not_held();
        });
}

void write_service::acknowledge(attempt_pointer const& attempt, log_position position, caller_answer answer)
{
    auto& request = *attempt->request;
    auto* const group = m_directory->find(request.database());
    // Invariant of the write path: a write is acknowledged only if a majority holds it at the commit's term.
    VERIFY(group != nullptr);
    if (!request.session().raise_position(request.database(), position)) {
        request.refuse(
            outcome::unknown, refusal_reason::invalid_session,
            "the write was committed, but the session already holds positions of the maximum number of "
            "databases; start a new session");
        return;
    }
    ++m_acknowledged;
    group->view.record_commit(position, m_kernel.now());
    answer.source = served_by::primary;
    request.answer(std::move(answer));
}

void write_service::observe_failure(attempt_pointer const& attempt, std::size_t member,
                                    database_failure const& failure)
{
    auto* const group = m_directory->find(attempt->request->database());
    if (group == nullptr) {
        return;
    }
    if (!is_definite(failure.error) || failure.error == database_error::refused) {
        m_directory->observe_failure(*group, member, failure);
    }
    m_directory->refresh(*group);
}

std::optional<log_position> write_service::committed_position(attempt_pointer const& attempt,
                                                              std::size_t member,
                                                              result_set const& status_result,
                                                              monotonic_time asked_at,
                                                              std::string const& marker)
{
    auto* const group = m_directory->find(attempt->request->database());
    auto const status = group_contract::parse_status(status_result);
    if (group == nullptr || !status || status->marker != marker) {
        return std::nullopt;
    }
    m_directory->observe(*group, member, *status, asked_at);
    if (status->role != member_role::primary || status->received.term != status->term) {
        return std::nullopt;
    }
    return status->received;
}

} // namespace greengagehitch
