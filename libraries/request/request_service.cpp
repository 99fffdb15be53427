#include "request/request_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "request/statement_guard.h"

namespace greengagehitch {

namespace {

constexpr duration retry_after_drain = std::chrono::milliseconds(1);
constexpr duration retry_after_isolation = std::chrono::seconds(1);
constexpr duration retry_after_start = std::chrono::milliseconds(200);
constexpr std::string_view request_id_alphabet =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";

refusal not_run(refusal_reason reason, std::string message, duration retry_after = {})
{
    return {outcome::not_run, reason, std::move(message), retry_after};
}

bool is_in_transaction(request_kind kind)
{
    return kind == request_kind::continue_transaction || kind == request_kind::commit ||
           kind == request_kind::rollback;
}

} // namespace

/// Properties of a call that its validation determined.
struct request_service::admission {
    work_class work;
    std::string client_account;
    std::string key_id;
    session_token session;
    std::string database;
};

request_service::request_service(kernel& kernel, session_codec codec)
    : m_kernel(kernel), m_codec(std::move(codec))
{
}

void request_service::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_keys = &m_kernel.find<key_service>(key_service::service_name);
    m_limits = &m_kernel.find<limit_service>(limit_service::service_name);
    m_reads = &m_kernel.find<read_service>(read_service::service_name);
    m_writes = &m_kernel.find<write_service>(write_service::service_name);
    m_transactions = &m_kernel.find<transaction_service>(transaction_service::service_name);
    m_diagnosis = &m_kernel.find<diagnosis_service>(diagnosis_service::service_name);
}

Json::Value request_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["in_flight"] = Json::UInt64(m_in_flight);
    state["is_draining"] = m_is_draining;
    for (auto const& [reason, count] : m_immediate_refusals) {
        state["refused_at_once"][std::string(find_name(refusal_reason_names, reason))] = Json::UInt64(count);
    }
    return state;
}

void request_service::handle(caller_request request, caller_reply reply)
{
    admission admitted;
    if (auto refused = check(request, admitted)) {
        ++m_immediate_refusals[refused->reason];
        reply(*std::move(refused));
        return;
    }
    admit_by_rate(std::move(request), std::move(admitted), std::move(reply));
}

void request_service::admit_by_rate(caller_request request, admission admitted, caller_reply reply)
{
    auto const started = m_kernel.now();
    // Calls that end a transaction are exempt from the rate limit, since refusing them would keep connections
    // occupied for longer.
    auto const is_rate_exempt =
        request.kind == request_kind::commit || request.kind == request_kind::rollback;
    if (is_rate_exempt) {
        run(std::move(request), std::move(admitted), std::move(reply), started);
        return;
    }
    ++m_waiting_for_rate;
    auto const client_account = admitted.client_account;
    m_limits->admit(client_account, [this, started, request = std::move(request),
                                     admitted = std::move(admitted),
                                     reply = std::move(reply)](std::optional<duration> wait) {
        --m_waiting_for_rate;
        if (!wait) {
            run(request, admitted, reply, started);
            return;
        }
        ++m_immediate_refusals[refusal_reason::over_rate];
        reply(not_run(refusal_reason::over_rate,
                      fmt::format("client account '{}' exceeds its rate limit", admitted.client_account),
                      *wait));
        report_drained_if_idle();
    });
}

void request_service::run(caller_request request, admission admitted, caller_reply reply,
                          monotonic_time started)
{
    ++m_in_flight;
    auto const context = std::make_shared<request_context>(
        std::move(request), std::move(admitted.work), std::move(admitted.client_account),
        std::move(admitted.key_id), std::move(admitted.session), started,
        [this, reply = std::move(reply)](request_context& finished, caller_response response) {
            finish(finished, std::move(response), reply);
        });
    context->set_database(std::move(admitted.database));
    dispatch(context);
}

void request_service::drain(std::function<void()> on_drained)
{
    m_is_draining = true;
    m_on_drained = std::move(on_drained);
    report_drained_if_idle();
}

std::optional<refusal> request_service::check(caller_request& request, admission& admitted)
{
    if (m_is_draining && !is_in_transaction(request.kind)) {
        return not_run(refusal_reason::vm_draining, "this VM is shutting down; retry the call",
                       retry_after_drain);
    }
    if (!m_configuration->current()) {
        return not_run(refusal_reason::configuration_unavailable, "this VM has no configuration yet",
                       retry_after_start);
    }
    if (auto refused = check_class(request, admitted)) {
        return refused;
    }
    if (auto refused = check_key(request, admitted)) {
        return refused;
    }
    if (auto refused = check_session(request, admitted)) {
        return refused;
    }
    if (auto refused = check_database(request, admitted)) {
        return refused;
    }
    return check_work(request, admitted);
}

std::optional<refusal> request_service::check_class(caller_request const& request, admission& admitted) const
{
    auto const name =
        is_in_transaction(request.kind) ? m_transactions->class_of(request.transaction) : request.class_name;
    if (is_in_transaction(request.kind) && name.empty()) {
        auto const is_commit = request.kind == request_kind::commit;
        return refusal{
            is_commit ? outcome::unknown : outcome::not_run,
            refusal_reason::unknown_transaction,
            "transaction is unknown at this VM or has ended; it was rolled back unless a commit had "
            "succeeded",
            {}};
    }
    auto const* const work = m_configuration->current()->find_class(name);
    if (work == nullptr) {
        return not_run(refusal_reason::unknown_class, fmt::format("class '{}' is not configured", name));
    }
    admitted.work = *work;
    return std::nullopt;
}

std::optional<refusal> request_service::check_key(caller_request const& request, admission& admitted) const
{
    if (admitted.work.is_open_to_all && request.key.empty()) {
        admitted.client_account = open_to_all_account;
        return std::nullopt;
    }
    auto const result = m_keys->authenticate(request.key);
    if (result.error) {
        auto const reason =
            *result.error == key_error::missing ? refusal_reason::missing_key : refusal_reason::unknown_key;
        return not_run(reason, std::string(find_name(key_error_names, *result.error)));
    }
    if (!m_keys->is_current()) {
        return not_run(
            refusal_reason::vm_isolated,
            "this VM has neither a recently confirmed configuration nor contact with a majority of the "
            "fleet, so it cannot determine whether the key was withdrawn",
            retry_after_isolation);
    }
    admitted.client_account = result.client_account;
    admitted.key_id = result.key_id;
    return std::nullopt;
}

std::optional<refusal> request_service::check_session(caller_request const& request,
                                                      admission& admitted) const
{
    if (request.session.empty()) {
        return std::nullopt;
    }
    auto decoded = m_codec.decode(request.session, admitted.client_account);
    if (decoded.error) {
        return not_run(refusal_reason::invalid_session,
                       std::string(find_name(session_token_error_names, *decoded.error)));
    }
    admitted.session = std::move(decoded.token);
    return std::nullopt;
}

std::optional<refusal> request_service::check_database(caller_request const& request,
                                                       admission& admitted) const
{
    if (is_in_transaction(request.kind)) {
        admitted.database = m_transactions->database_of(request.transaction);
        return std::nullopt;
    }
    auto const& names = admitted.work.databases;
    auto const wanted = request.database.empty() ? names.front() : request.database;
    if (std::find(names.begin(), names.end(), wanted) == names.end()) {
        return not_run(refusal_reason::unknown_database,
                       fmt::format("class '{}' does not use database '{}'", admitted.work.name, wanted));
    }
    auto const& entry = m_configuration->current()->document.databases.at(wanted);
    if (entry.is_leaving && request.kind != request_kind::resolve) {
        return not_run(refusal_reason::database_leaving,
                       fmt::format("database '{}' is being removed and accepts no new work", wanted));
    }
    admitted.database = wanted;
    return std::nullopt;
}

std::optional<refusal> request_service::check_work(caller_request const& request,
                                                   admission const& admitted) const
{
    auto const has_statements =
        request.kind == request_kind::execute || request.kind == request_kind::continue_transaction;
    if (has_statements && request.statements.empty()) {
        return not_run(refusal_reason::invalid_request, "expected at least one statement");
    }
    if (request.statements.size() > max_statements) {
        return not_run(refusal_reason::invalid_request,
                       fmt::format("expected at most {} statements", max_statements));
    }
    auto const& id = request.request_id;
    if (id.size() > max_request_id_size || id.find_first_not_of(request_id_alphabet) != std::string::npos) {
        return not_run(refusal_reason::invalid_request,
                       "request id: expected at most 128 letters, digits and the characters - _ . :");
    }
    auto const starts_work = request.kind == request_kind::execute || request.kind == request_kind::begin;
    if (starts_work && !admitted.work.is_repeatable && id.empty()) {
        return not_run(refusal_reason::missing_request_id,
                       fmt::format("class '{}' is not repeatable, so the request needs a request id",
                                   admitted.work.name));
    }
    if (request.kind == request_kind::resolve && id.empty()) {
        return not_run(refusal_reason::missing_request_id, "expected the request id to resolve");
    }
    if (request.kind == request_kind::resolve && admitted.work.access == class_access::read) {
        return not_run(refusal_reason::invalid_request, "reads have no outcome to resolve");
    }
    for (auto const& each : request.statements) {
        if (auto forbidden = find_forbidden(each)) {
            return not_run(refusal_reason::forbidden_statement, *std::move(forbidden));
        }
    }
    return std::nullopt;
}

void request_service::dispatch(request_pointer const& request)
{
    switch (request->request().kind) {
    case request_kind::execute:
        if (request->work().access == class_access::read) {
            m_reads->read(request);
        }
        else {
            m_writes->write(request);
        }
        return;
    case request_kind::begin:
        m_transactions->begin(request);
        return;
    case request_kind::continue_transaction:
        m_transactions->execute_statements(request);
        return;
    case request_kind::commit:
        m_transactions->commit(request);
        return;
    case request_kind::rollback:
        m_transactions->roll_back(request);
        return;
    case request_kind::resolve:
        m_writes->resolve(request);
        return;
    }
}

void request_service::finish(request_context& request, caller_response response, caller_reply const& reply)
{
    VERIFY(m_in_flight > 0);
    --m_in_flight;
    m_diagnosis->record(request, response);
    if (auto* const answer = std::get_if<caller_answer>(&response)) {
        answer->session = m_codec.encode(request.session(), request.client_account());
    }
    reply(std::move(response));
    report_drained_if_idle();
}

void request_service::report_drained_if_idle()
{
    if (m_is_draining && m_in_flight == 0 && m_waiting_for_rate == 0 && m_transactions->size() == 0 &&
        m_on_drained) {
        auto const on_drained = std::exchange(m_on_drained, nullptr);
        on_drained();
    }
}

} // namespace greengagehitch
