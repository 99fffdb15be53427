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
constexpr duration longest_retry_delay = std::chrono::milliseconds(100);
constexpr duration primary_poll_delay = std::chrono::milliseconds(25);
constexpr duration refused_retry_after = std::chrono::milliseconds(200);
constexpr std::string_view unique_violation = "23505";
/// Beginning of the transaction and client account stand before everything else.
constexpr std::size_t preamble_size = 2;
/// With a request id, the outcome record stands between the preamble and the statements.
constexpr std::size_t outcome_index = preamble_size;

batch preamble(std::string const& client_account)
{
    batch question;
    question.statements.push_back(group_contract::begin_write());
    question.statements.push_back(group_contract::set_client_account(client_account));
    return question;
}

} // namespace

/// Write on its way, with what is known of its fate.
struct write_service::attempt {
    request_pointer request;
    std::string request_id;
    std::string fingerprint;
    std::vector<result_set> results;
    int tries = 0;
    bool is_interactive = false;    ///< Its statements cannot be run again.
    bool must_close = false;        ///< A commit may still take effect, so "not run" needs a tombstone.
    bool is_resolving_only = false; ///< The caller asked what became of the id; nothing is run.
    std::string last_problem;

    bool has_id() const { return !request_id.empty(); }
    std::string const& client_account() const { return request->client_account(); }
    monotonic_time resolution_deadline() const { return request->deadline() + resolution_time; }
};

void write_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_evidence = &m_kernel.find<evidence_service>(evidence_service::service_name);
}

Json::Value write_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["acknowledged"] = Json::UInt64(m_acknowledged);
    state["open_fates"] = Json::UInt64(m_open_fates);
    state["tombstones"] = Json::UInt64(m_tombstones);
    state["unknown"] = Json::UInt64(m_unknown);
    state["retry_budget"] = m_budget.tokens();
    return state;
}

void write_service::write(request_pointer const& request)
{
    m_budget.count_request();
    auto const next = std::make_shared<attempt>();
    next->request = request;
    next->request_id = request->request().request_id;
    next->fingerprint = fingerprint_of(request->work().name, request->request().statements);
    run(next);
}

void write_service::commit(request_pointer const& request, lease_pointer const& lease, std::string request_id,
                           std::string fingerprint)
{
    auto const next = std::make_shared<attempt>();
    next->request = request;
    next->request_id = std::move(request_id);
    next->fingerprint = std::move(fingerprint);
    next->is_interactive = true;
    auto* const group = m_directory->find(request->database());
    if (group == nullptr || !group->view.primary()) {
        request->refuse(outcome::not_run, refusal_reason::no_primary, "no primary is known; rolled back",
                        refused_retry_after);
        return;
    }
    send_commit(next, *group->view.primary(), lease);
}

void write_service::resolve(request_pointer const& request)
{
    auto const next = std::make_shared<attempt>();
    next->request = request;
    next->request_id = request->request().request_id;
    next->is_interactive = true;
    next->is_resolving_only = true;
    next->must_close = true;
    place_tombstone(next);
}

void write_service::run(attempt_pointer const& attempt)
{
    ++attempt->tries;
    with_primary(attempt, attempt->request->deadline(),
                 [this, attempt](active_group& /*group*/, std::size_t member, lease_pointer const& lease) {
                     send_statements(attempt, member, lease);
                 });
}

void write_service::with_primary(attempt_pointer const& attempt, monotonic_time deadline,
                                 primary_callback run)
{
    auto const now = m_kernel.now();
    auto& request = *attempt->request;
    auto* const group = m_directory->find(request.database());
    if (now >= deadline) {
        run_out_of_time(attempt);
        return;
    }
    if (group == nullptr || !group->view.primary()) {
        wait_for_primary(attempt, deadline, std::move(run));
        return;
    }
    auto const member = *group->view.primary();
    request.stage_timer().enter(request_stage::connection_wait, now);
    group->pools[member]->acquire(
        request.client_account(), deadline,
        [this, attempt, deadline, member, run = std::move(run),
         alive = m_kernel.lifetime()](std::variant<lease_pointer, database_failure> result) {
            if (alive.expired()) {
                return;
            }
            auto* const served = m_directory->find(attempt->request->database());
            if (auto const* const failure = std::get_if<database_failure>(&result)) {
                attempt->last_problem = failure->message;
                if (served != nullptr) {
                    m_directory->refresh(*served);
                }
                wait_for_primary(attempt, deadline, run);
                return;
            }
            attempt->request->stage_timer().enter(request_stage::database, m_kernel.now());
            run(*served, member, std::get<lease_pointer>(result));
        });
}

void write_service::wait_for_primary(attempt_pointer const& attempt, monotonic_time deadline,
                                     primary_callback run)
{
    auto& request = *attempt->request;
    request.stage_timer().enter(request_stage::primary_wait, m_kernel.now());
    if (attempt->last_problem.empty()) {
        attempt->last_problem = "no primary is known";
    }
    if (auto* const group = m_directory->find(request.database())) {
        m_directory->refresh(*group);
    }
    // Whichever comes first, the news of a primary or the delay, runs the attempt again.
    auto const is_done = std::make_shared<bool>(false);
    auto const again = [this, attempt, deadline, run = std::move(run), is_done] {
        if (!std::exchange(*is_done, true)) {
            with_primary(attempt, deadline, run);
        }
    };
    m_directory->on_next_primary(request.database(), again);
    m_kernel.start_timer(std::min(primary_poll_delay, std::max(deadline - m_kernel.now(), duration(1))),
                         again);
}

void write_service::run_out_of_time(attempt_pointer const& attempt)
{
    auto& request = *attempt->request;
    if (attempt->must_close) {
        ++m_unknown;
        request.refuse(outcome::unknown, refusal_reason::commit_unresolved,
                       attempt->has_id() ? "the commit's fate is open; call resolve with the request id"
                                         : "the commit's fate is open; the request carried no request id",
                       refused_retry_after);
        return;
    }
    auto* const group = m_directory->find(request.database());
    auto const has_primary = group != nullptr && group->view.primary();
    request.refuse(outcome::not_run, has_primary ? refusal_reason::overloaded : refusal_reason::no_primary,
                   attempt->last_problem.empty() ? "no time left within the delay target"
                                                 : attempt->last_problem,
                   refused_retry_after);
}

void write_service::send_statements(attempt_pointer const& attempt, std::size_t member,
                                    lease_pointer const& lease)
{
    if (attempt->has_id()) {
        send_before_commit(attempt, member, lease);
        return;
    }
    send_with_commit(attempt, member, lease);
}

void write_service::send_with_commit(attempt_pointer const& attempt, std::size_t member,
                                     lease_pointer const& lease)
{
    auto const& request = *attempt->request;
    auto const& statements = request.request().statements;
    auto question = preamble(request.client_account());
    question.statements.insert(question.statements.end(), statements.begin(), statements.end());
    question.statements.push_back(group_contract::commit());
    auto const marker = m_directory->next_marker();
    question.statements.push_back(group_contract::status(marker));
    auto const asked_at = m_kernel.now();
    auto const timeout = attempt->resolution_deadline() - asked_at;
    lease->execute_last(std::move(question), timeout,
                        [this, attempt, member, asked_at, marker, count = statements.size(),
                         alive = m_kernel.lifetime()](batch_answer answer) {
                            if (alive.expired()) {
                                return;
                            }
                            auto const commit_index = preamble_size + count;
                            if (answer.failure && is_definite(answer.failure->error) &&
                                answer.results.size() <= commit_index) {
                                take_failure(attempt, member, *answer.failure, answer.results.size());
                                return;
                            }
                            if (!answer.failure && answer.results.size() == commit_index + 2) {
                                auto const begin =
                                    answer.results.begin() + static_cast<std::ptrdiff_t>(preamble_size);
                                attempt->results.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
                            }
                            take_commit(attempt, member, answer, asked_at, marker);
                        });
}

void write_service::send_before_commit(attempt_pointer const& attempt, std::size_t member,
                                       lease_pointer const& lease)
{
    auto const& request = *attempt->request;
    auto const& statements = request.request().statements;
    auto question = preamble(request.client_account());
    question.statements.push_back(
        group_contract::insert_outcome(request.client_account(), attempt->request_id,
                                       group_contract::outcome_state::pending, attempt->fingerprint));
    question.statements.insert(question.statements.end(), statements.begin(), statements.end());
    auto const timeout = std::max(request.deadline() - m_kernel.now(), duration(1));
    lease->execute(std::move(question), timeout,
                   [this, attempt, member, lease, count = statements.size(),
                    alive = m_kernel.lifetime()](batch_answer answer) {
                       if (alive.expired()) {
                           return;
                       }
                       if (answer.failure) {
                           // Commit was not sent, so nothing of this attempt can take effect.
                           lease->roll_back_and_give_back();
                           take_failure(attempt, member, *answer.failure, answer.results.size());
                           return;
                       }
                       auto const first = static_cast<std::ptrdiff_t>(outcome_index + 1);
                       attempt->results.assign(std::make_move_iterator(answer.results.begin() + first),
                                               std::make_move_iterator(answer.results.end()));
                       VERIFY(attempt->results.size() == count);
                       send_commit(attempt, member, lease);
                   });
}

void write_service::send_commit(attempt_pointer const& attempt, std::size_t member,
                                lease_pointer const& lease)
{
    auto& request = *attempt->request;
    auto const asked_at = m_kernel.now();
    if (lease->is_broken()) {
        take_failure(attempt, member,
                     {database_error::connection_lost, "", "connection was lost before the commit"}, 0);
        return;
    }
    batch question;
    if (attempt->has_id()) {
        question.statements.push_back(group_contract::complete_outcome(
            request.client_account(), attempt->request_id, encode_results(attempt->results)));
    }
    question.statements.push_back(group_contract::commit());
    auto const commit_index = question.statements.size() - 1;
    auto const marker = m_directory->next_marker();
    question.statements.push_back(group_contract::status(marker));
    lease->execute_last(std::move(question), attempt->resolution_deadline() - asked_at,
                        [this, attempt, member, asked_at, marker, commit_index,
                         alive = m_kernel.lifetime()](batch_answer const& answer) {
                            if (alive.expired()) {
                                return;
                            }
                            if (answer.failure && is_definite(answer.failure->error) &&
                                answer.results.size() <= commit_index) {
                                take_failure(attempt, member, *answer.failure, answer.results.size());
                                return;
                            }
                            take_commit(attempt, member, answer, asked_at, marker);
                        });
}

void write_service::take_commit(attempt_pointer const& attempt, std::size_t member,
                                batch_answer const& answer, monotonic_time asked_at,
                                std::string const& marker)
{
    if (answer.failure) {
        observe_failure(attempt, member, *answer.failure);
        attempt->last_problem = answer.failure->message;
        handle_open_fate(attempt);
        return;
    }
    auto const position = committed_position(attempt, member, answer.results.back(), asked_at, marker);
    if (!position) {
        attempt->last_problem = "primary was replaced while it committed";
        handle_open_fate(attempt);
        return;
    }
    attempt->request->stage_timer().enter(request_stage::evidence, m_kernel.now());
    await_evidence(
        attempt, *position,
        [this, attempt, position] {
            caller_answer result;
            result.results = std::move(attempt->results);
            acknowledge(attempt, *position, std::move(result));
        },
        [this, attempt] {
            attempt->last_problem = "no majority of the group confirmed the commit";
            handle_open_fate(attempt);
        });
}

void write_service::take_failure(attempt_pointer const& attempt, std::size_t member,
                                 database_failure const& failure, std::size_t failed_statement)
{
    auto& request = *attempt->request;
    attempt->last_problem = failure.message;
    auto const is_duplicate = attempt->has_id() && !attempt->is_interactive &&
                              failed_statement == outcome_index && failure.sqlstate == unique_violation;
    if (is_duplicate) {
        look_up(attempt);
        return;
    }
    if (failure.error == database_error::statement_failed && attempt->must_close) {
        // An earlier try may have committed, and this one may have failed on its very effect.
        if (attempt->has_id()) {
            place_tombstone(attempt);
            return;
        }
        run_out_of_time(attempt);
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

void write_service::handle_open_fate(attempt_pointer const& attempt)
{
    ++m_open_fates;
    attempt->must_close = true;
    auto& request = *attempt->request;
    auto const now = m_kernel.now();
    request.stage_timer().enter(request_stage::resolution, now);
    if (attempt->has_id()) {
        auto const can_run_again =
            !attempt->is_interactive && now < request.deadline() && attempt->tries < max_tries;
        if (can_run_again && m_budget.try_take()) {
            // Running the same id again is safe: it either finds the record of the first try or makes the
            // first try fail on it.
            run(attempt);
            return;
        }
        place_tombstone(attempt);
        return;
    }
    auto const may_repeat = request.work().is_repeatable && !attempt->is_interactive &&
                            now < request.deadline() && attempt->tries < max_tries;
    if (may_repeat && m_budget.try_take()) {
        retry(attempt, refusal_reason::commit_unresolved, attempt->last_problem);
        return;
    }
    run_out_of_time(attempt);
}

void write_service::retry(attempt_pointer const& attempt, refusal_reason otherwise,
                          std::string const& message)
{
    auto& request = *attempt->request;
    auto const now = m_kernel.now();
    auto const can_retry = !attempt->is_interactive && attempt->tries < max_tries && now < request.deadline();
    if (!can_retry || (attempt->tries > 1 && !m_budget.try_take())) {
        if (attempt->must_close && attempt->has_id()) {
            place_tombstone(attempt);
            return;
        }
        if (attempt->must_close) {
            run_out_of_time(attempt);
            return;
        }
        request.refuse(outcome::not_run, otherwise, message, refused_retry_after);
        return;
    }
    auto const exponential =
        std::min<duration>(retry_delay * (1 << std::min(attempt->tries, 5)), longest_retry_delay);
    auto const jitter = duration(
        static_cast<duration::rep>(m_kernel.random_below(static_cast<std::uint64_t>(exponential.count()))));
    request.stage_timer().enter(request_stage::primary_wait, now);
    m_kernel.start_timer(exponential / 2 + jitter / 2, [this, attempt] { run(attempt); });
}

void write_service::look_up(attempt_pointer const& attempt)
{
    attempt->request->stage_timer().enter(request_stage::resolution, m_kernel.now());
    with_primary(attempt, attempt->resolution_deadline(),
                 [this, attempt](active_group& /*group*/, std::size_t member, lease_pointer const& lease) {
                     auto const marker = m_directory->next_marker();
                     batch question;
                     question.statements.push_back(group_contract::begin_read());
                     question.statements.push_back(
                         group_contract::find_outcome(attempt->client_account(), attempt->request_id));
                     question.statements.push_back(group_contract::commit());
                     question.statements.push_back(group_contract::status(marker));
                     auto const asked_at = m_kernel.now();
                     lease->execute_last(std::move(question), attempt->resolution_deadline() - asked_at,
                                         [this, attempt, member, asked_at, marker,
                                          alive = m_kernel.lifetime()](batch_answer const& answer) {
                                             if (!alive.expired()) {
                                                 take_record(attempt, member, answer, asked_at, marker);
                                             }
                                         });
                 });
}

void write_service::take_record(attempt_pointer const& attempt, std::size_t member,
                                batch_answer const& answer, monotonic_time asked_at,
                                std::string const& marker)
{
    if (answer.failure) {
        observe_failure(attempt, member, *answer.failure);
        retry_resolution(attempt, [this, attempt] { look_up(attempt); });
        return;
    }
    constexpr std::size_t record_index = 1;
    auto const position = committed_position(attempt, member, answer.results.back(), asked_at, marker);
    auto const record = group_contract::parse_outcome(answer.results[record_index]);
    if (!position) {
        retry_resolution(attempt, [this, attempt] { look_up(attempt); });
        return;
    }
    if (!record) {
        // The other attempt rolled back after all.
        if (attempt->must_close) {
            place_tombstone(attempt);
            return;
        }
        retry(attempt, refusal_reason::conflict, "another attempt with this request id was under way");
        return;
    }
    settle_record(attempt, *record, *position);
}

void write_service::settle_record(attempt_pointer const& attempt,
                                  group_contract::outcome_record const& record, log_position position)
{
    auto& request = *attempt->request;
    if (!attempt->is_resolving_only && record.state == group_contract::outcome_state::done &&
        record.fingerprint != attempt->fingerprint) {
        request.refuse(outcome::not_run, refusal_reason::request_id_reused,
                       "this request id belongs to another request of this client account");
        return;
    }
    await_evidence(
        attempt, position,
        [this, attempt, record, position] {
            if (record.state != group_contract::outcome_state::done) {
                attempt->request->refuse(outcome::not_run, refusal_reason::closed_unrun,
                                         "the request with this id did not run and never will; use a new id");
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
        [this, attempt] { retry_resolution(attempt, [this, attempt] { look_up(attempt); }); });
}

void write_service::place_tombstone(attempt_pointer const& attempt)
{
    with_primary(
        attempt, attempt->resolution_deadline(),
        [this, attempt](active_group& /*group*/, std::size_t member, lease_pointer const& lease) {
            auto question = preamble(attempt->client_account());
            question.statements.push_back(
                group_contract::insert_outcome(attempt->client_account(), attempt->request_id,
                                               group_contract::outcome_state::not_run, attempt->fingerprint));
            question.statements.push_back(group_contract::commit());
            auto const marker = m_directory->next_marker();
            question.statements.push_back(group_contract::status(marker));
            auto const asked_at = m_kernel.now();
            lease->execute_last(
                std::move(question), attempt->resolution_deadline() - asked_at,
                [this, attempt, member, asked_at, marker,
                 alive = m_kernel.lifetime()](batch_answer const& answer) {
                    if (alive.expired()) {
                        return;
                    }
                    auto const is_recorded = answer.failure && answer.results.size() == outcome_index &&
                                             answer.failure->sqlstate == unique_violation;
                    if (is_recorded) {
                        look_up(attempt);
                        return;
                    }
                    if (answer.failure) {
                        observe_failure(attempt, member, *answer.failure);
                        retry_resolution(attempt, [this, attempt] { place_tombstone(attempt); });
                        return;
                    }
                    auto const position =
                        committed_position(attempt, member, answer.results.back(), asked_at, marker);
                    auto const again = [this, attempt] {
                        retry_resolution(attempt, [this, attempt] { place_tombstone(attempt); });
                    };
                    if (!position) {
                        again();
                        return;
                    }
                    await_evidence(
                        attempt, *position,
                        [this, attempt] {
                            ++m_tombstones;
                            attempt->request->refuse(
                                outcome::not_run, refusal_reason::closed_unrun,
                                "the request did not run and never will; use a new request id to try again");
                        },
                        again);
                });
        });
}

void write_service::retry_resolution(attempt_pointer const& attempt, std::function<void()> again)
{
    // A look-up that started before anything was committed by this attempt has nothing to close.
    if (m_kernel.now() >= attempt->resolution_deadline()) {
        attempt->must_close = true;
        run_out_of_time(attempt);
        return;
    }
    m_kernel.start_timer(primary_poll_delay, std::move(again));
}

void write_service::await_evidence(attempt_pointer const& attempt, log_position position,
                                   std::function<void()> held, std::function<void()> otherwise)
{
    auto const deadline = attempt->resolution_deadline();
    m_evidence->await(attempt->request->database(), position, deadline,
                      [held = std::move(held), otherwise = std::move(otherwise)](evidence result) {
                          result == evidence::held ? held() : otherwise();
                      });
}

void write_service::acknowledge(attempt_pointer const& attempt, log_position position, caller_answer answer)
{
    auto& request = *attempt->request;
    auto* const group = m_directory->find(request.database());
    // The invariant of the whole write path: no acknowledgement below a majority at the commit's term.
    VERIFY(group != nullptr);
    if (!request.session().raise_position(request.database(), position)) {
        request.refuse(outcome::unknown, refusal_reason::invalid_session,
                       "session has touched too many databases; the request was run");
        return;
    }
    ++m_acknowledged;
    group->view.learn_commit(position, m_kernel.now());
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
