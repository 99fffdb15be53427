#include "routing/transaction_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "request/statement_guard.h"

namespace greengagehitch {

namespace {

constexpr std::size_t max_statements = 10'000;
constexpr duration retry_after = std::chrono::milliseconds(200);
/// Indexes into the results of the batch that begins a transaction. Its statements are, in order: begin the
/// transaction, set the client account, read the member's status and insert the outcome record.
constexpr std::size_t status_index = 2;
constexpr std::size_t outcome_index = 3;

} // namespace

/// Interactive transaction and the connection that it is pinned to.
struct transaction_service::transaction {
    std::string id;
    std::string client_account;
    std::string key_id;
    work_class work;
    std::string database;
    std::string request_id;
    std::vector<statement> statements; ///< All statements so far; their number is limited.
    leased_connection_pointer connection;
    bool is_busy = false;
    timer_id idle_timer = timer_id::none;
};

void transaction_service::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_writes = &m_kernel.find<write_service>(write_service::service_name);
    m_configuration->on_change([this] { end_transactions_of_withdrawn_keys(); });
}

Json::Value transaction_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["running"] = Json::UInt64(m_transactions.size());
    state["expired"] = Json::UInt64(m_expired);
    return state;
}

void transaction_service::begin(request_pointer const& request)
{
    auto* const group = m_directory->find(request->database());
    if (group == nullptr || !group->view.primary()) {
        if (group != nullptr) {
            m_directory->refresh(*group);
        }
        request->refuse(outcome::not_run, refusal_reason::no_primary,
                        "no primary of the database is known; retry the call", retry_after);
        return;
    }
    auto const member = *group->view.primary();
    request->stage_timer().enter(request_stage::connection_wait, m_kernel.now());
    group->pools[member]->acquire(
        request->client_account(), request->deadline(),
        [this, request, member,
         alive = m_kernel.lifetime()](std::variant<leased_connection_pointer, database_failure> result) {
            if (alive.expired()) {
                return;
            }
            if (auto const* const failure = std::get_if<database_failure>(&result)) {
                auto const reason = failure->error == database_error::timed_out
                                        ? refusal_reason::overloaded
                                        : refusal_reason::database_unavailable;
                request->refuse(outcome::not_run, reason, failure->message, retry_after);
                return;
            }
            send_begin(request, member, std::get<leased_connection_pointer>(result));
        });
}

void transaction_service::send_begin(request_pointer const& request, std::size_t member,
                                     leased_connection_pointer const& connection)
{
    auto const now = m_kernel.now();
    request->stage_timer().enter(request_stage::database, now);
    auto const marker = m_directory->next_marker();
    auto const is_write = request->work().access == class_access::write;
    auto const& request_id = request->request().request_id;
    batch sql_batch;
    sql_batch.statements.push_back(is_write ? group_contract::begin_write() : group_contract::begin_read());
    sql_batch.statements.push_back(group_contract::set_client_account(request->client_account()));
    sql_batch.statements.push_back(group_contract::status(marker));
    if (!request_id.empty()) {
        // The statements are not known yet, so the fingerprint covers only the class of work and the request
        // id alone identifies the transaction.
        sql_batch.statements.push_back(group_contract::insert_outcome(
            request->client_account(), request_id, group_contract::outcome_state::pending,
            fingerprint_of(request->work().name, {})));
    }
    connection->execute(
        std::move(sql_batch), std::max(request->deadline() - now, duration(1)),
        [this, request, member, connection, marker, now,
         alive = m_kernel.lifetime()](batch_answer const& answer) {
            if (alive.expired()) {
                return;
            }
            auto* const group = m_directory->find(request->database());
            auto const status = answer.results.size() > status_index
                                    ? group_contract::parse_status(answer.results[status_index])
                                    : std::nullopt;
            auto const is_expected_answer = status && status->marker == marker && group != nullptr;
            if (is_expected_answer) {
                m_directory->observe(*group, member, *status, now);
            }
            if (answer.failure) {
                connection->roll_back_and_return();
                auto const is_reused = answer.results.size() == outcome_index;
                request->refuse(outcome::not_run,
                                is_reused ? refusal_reason::request_id_reused
                                          : refusal_reason::database_unavailable,
                                answer.failure->message, retry_after);
                return;
            }
            if (!is_expected_answer || status->applied < request->session().position(request->database())) {
                connection->roll_back_and_return();
                request->refuse(
                    outcome::not_run, refusal_reason::data_too_old,
                    "primary did not confirm its status or has not applied the log position of this session",
                    retry_after);
                return;
            }
            auto const open_transaction = std::make_shared<transaction>();
            open_transaction->id = fmt::format("{:016x}{:016x}", m_kernel.random(), m_kernel.random());
            open_transaction->client_account = request->client_account();
            open_transaction->key_id = request->key_id();
            open_transaction->work = request->work();
            open_transaction->database = request->database();
            open_transaction->request_id = request->request().request_id;
            open_transaction->connection = connection;
            m_transactions.emplace(open_transaction->id, open_transaction);
            restart_idle_timer(open_transaction);
            caller_answer result;
            result.transaction = open_transaction->id;
            result.source = served_by::primary;
            request->answer(std::move(result));
        });
}

void transaction_service::execute_statements(request_pointer const& request)
{
    auto const open_transaction = find_or_refuse(*request);
    if (!open_transaction) {
        return;
    }
    auto const& statements = request->request().statements;
    if (open_transaction->statements.size() + statements.size() > max_statements) {
        request->refuse(outcome::not_run, refusal_reason::invalid_request,
                        "transaction has too many statements");
        return;
    }
    open_transaction->statements.insert(open_transaction->statements.end(), statements.begin(),
                                        statements.end());
    open_transaction->is_busy = true;
    m_kernel.cancel_timer(open_transaction->idle_timer);
    auto const now = m_kernel.now();
    request->stage_timer().enter(request_stage::database, now);
    open_transaction->connection->execute(
        batch{statements}, std::max(request->deadline() - now, duration(1)),
        [this, request, open_transaction, alive = m_kernel.lifetime()](batch_answer answer) {
            if (alive.expired()) {
                return;
            }
            open_transaction->is_busy = false;
            if (answer.failure) {
                // Either the database has ended the transaction, or it is rolled back here; no commit was
                // sent.
                end(open_transaction);
                auto const is_rejected = answer.failure->error == database_error::statement_failed;
                request->refuse(outcome::not_run,
                                is_rejected ? refusal_reason::statement_rejected
                                            : refusal_reason::database_unavailable,
                                fmt::format("{} ({}); the transaction was rolled back",
                                            answer.failure->message, answer.failure->sqlstate));
                return;
            }
            restart_idle_timer(open_transaction);
            caller_answer result;
            result.results = std::move(answer.results);
            result.transaction = open_transaction->id;
            result.source = served_by::primary;
            request->answer(std::move(result));
        });
}

void transaction_service::commit(request_pointer const& request)
{
    auto const open_transaction = find_or_refuse(*request);
    if (!open_transaction) {
        return;
    }
    m_transactions.erase(open_transaction->id);
    m_kernel.cancel_timer(open_transaction->idle_timer);
    if (open_transaction->work.access == class_access::read) {
        open_transaction->connection->roll_back_and_return();
        request->answer({});
        return;
    }
    request->stage_timer().enter(request_stage::database, m_kernel.now());
    m_writes->commit(request, std::exchange(open_transaction->connection, nullptr),
                     open_transaction->request_id, fingerprint_of(open_transaction->work.name, {}));
}

void transaction_service::roll_back(request_pointer const& request)
{
    auto const open_transaction = find_or_refuse(*request);
    if (!open_transaction) {
        return;
    }
    end(open_transaction);
    request->answer({});
}

std::string transaction_service::class_of(std::string const& transaction) const
{
    auto const found = m_transactions.find(transaction);
    return found == m_transactions.end() ? std::string() : found->second->work.name;
}

std::string transaction_service::database_of(std::string const& transaction) const
{
    auto const found = m_transactions.find(transaction);
    return found == m_transactions.end() ? std::string() : found->second->database;
}

transaction_service::transaction_pointer transaction_service::find_or_refuse(request_context& request)
{
    auto const found = m_transactions.find(request.request().transaction);
    // A transaction of another client account is refused like one that does not exist, so that its existence
    // is not disclosed.
    if (found == m_transactions.end() || found->second->client_account != request.client_account()) {
        // An earlier commit may have succeeded, and its answer may have been lost on the way to the caller.
        auto const is_commit = request.request().kind == request_kind::commit;
        request.refuse(
            is_commit ? outcome::unknown : outcome::not_run, refusal_reason::unknown_transaction,
            "transaction is unknown at this VM or has ended; it was rolled back unless a commit had "
            "succeeded");
        return nullptr;
    }
    if (found->second->is_busy) {
        request.refuse(outcome::not_run, refusal_reason::conflict,
                       "transaction is still running an earlier request", retry_after);
        return nullptr;
    }
    return found->second;
}

void transaction_service::restart_idle_timer(transaction_pointer const& open_transaction)
{
    m_kernel.cancel_timer(open_transaction->idle_timer);
    open_transaction->idle_timer =
        m_kernel.start_timer(open_transaction->work.transaction_idle_limit, [this, open_transaction] {
            if (!open_transaction->is_busy && m_transactions.contains(open_transaction->id)) {
                ++m_expired;
                end(open_transaction);
            }
        });
}

void transaction_service::end(transaction_pointer const& open_transaction)
{
    m_kernel.cancel_timer(open_transaction->idle_timer);
    m_transactions.erase(open_transaction->id);
    if (open_transaction->connection) {
        open_transaction->connection->roll_back_and_return();
        open_transaction->connection.reset();
    }
}

void transaction_service::end_transactions_of_withdrawn_keys()
{
    auto const& keys = m_configuration->current()->keys;
    std::vector<transaction_pointer> ended;
    for (auto const& [id, open_transaction] : m_transactions) {
        if (!open_transaction->key_id.empty() && !keys.contains(open_transaction->key_id)) {
            ended.push_back(open_transaction);
        }
    }
    for (auto const& open_transaction : ended) {
        end(open_transaction);
    }
}

} // namespace greengagehitch
