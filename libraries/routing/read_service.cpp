#include "routing/read_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengagehitch {

namespace {

constexpr int max_tries = 8;
/// A read probes each member whose latest status is older than this, or than a quarter of the freshness limit
/// if that is lower.
constexpr duration max_status_age = std::chrono::milliseconds(100);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
constexpr duration retry_delay = std::chrono::milliseconds(5);
constexpr duration max_retry_delay = std::chrono::milliseconds(80);
/// A read stops waiting for a replica two round trips to the primary and this time before its deadline, so
/// that the primary can still serve it.
constexpr duration primary_reserve = std::chrono::milliseconds(20);
/// When a read is sent, its data must be fresher than the limit by this time.
constexpr duration freshness_reserve = std::chrono::milliseconds(10);
/// Number of pending requests that is added to the load of a member in another availability zone.
constexpr double other_zone_penalty = 2;
/// Number of statements in a batch of a read that precede those of the caller: begin the transaction, set the
/// client account and read the member's status.
constexpr std::size_t statements_before_results = 3;

} // namespace

/// State of one read over its tries at one or several members.
struct read_service::attempt {
    explicit attempt(request_pointer read) : request(std::move(read)) {}

    request_pointer request;
    int tries = 0;
    std::vector<std::size_t> failed_members;
    bool was_too_old = false;
    bool has_no_primary = false;
    std::optional<database_failure> last_failure;
};

void read_service::start()
{
    m_directory = &m_kernel.find<group_directory>(group_directory::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
}

Json::Value read_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["replica_reads"] = Json::UInt64(m_replica_reads);
    state["primary_reads"] = Json::UInt64(m_primary_reads);
    state["answers_below_position"] = Json::UInt64(m_answers_below_position);
    state["retry_budget"] = m_budget.tokens();
    return state;
}

void read_service::read(request_pointer const& request)
{
    m_budget.count_request();
    if (auto* const group = m_directory->find(request->database())) {
        probe_stale_members(*group, request->work());
    }
    try_next(std::make_shared<attempt>(request));
}

void read_service::probe_stale_members(active_group& group, work_class const& work)
{
    auto const age = std::min(max_status_age, work.freshness.value_or(max_status_age) / 4);
    auto const now = m_kernel.now();
    for (std::size_t i = 0; i < group.view.size(); ++i) {
        auto const& latest = group.view.member(i).latest;
        if (!latest || now - latest->asked_at > age) {
            m_directory->probe(group, i, probe_timeout);
        }
    }
}

void read_service::try_next(attempt_pointer const& attempt)
{
    auto const now = m_kernel.now();
    auto& request = *attempt->request;
    auto* const group = m_directory->find(request.database());
    if (group == nullptr) {
        request.refuse(outcome::not_run, refusal_reason::database_unavailable,
                       "the description of this database has not been read from the platform",
                       max_retry_delay);
        return;
    }
    if (now >= request.deadline() || attempt->tries >= max_tries) {
        refuse_read(attempt);
        return;
    }
    auto const target = choose_target(*attempt, *group);
    if (!target) {
        attempt->has_no_primary = true;
        m_directory->refresh(*group);
        retry(attempt);
        return;
    }
    if (target->earliest_send_time > now) {
        request.stage_timer().enter(request_stage::replica_wait, now);
        m_kernel.start_timer(target->earliest_send_time - now, [this, attempt, member = target->member] {
            auto* const current_group = m_directory->find(attempt->request->database());
            if (current_group != nullptr) {
                send(attempt, *current_group, member);
            }
        });
        return;
    }
    send(attempt, *group, target->member);
}

void read_service::send(attempt_pointer const& attempt, active_group& group, std::size_t member)
{
    ++attempt->tries;
    auto& request = *attempt->request;
    request.stage_timer().enter(request_stage::connection_wait, m_kernel.now());
    group.pools[member]->acquire(
        request.client_account(), request.deadline(),
        [this, attempt, member,
         alive = m_kernel.lifetime()](std::variant<leased_connection_pointer, database_failure> result) {
            if (alive.expired()) {
                return;
            }
            if (auto const* const failure = std::get_if<database_failure>(&result)) {
                handle_failure(attempt, member, *failure, 0);
                return;
            }
            auto const connection = std::get<leased_connection_pointer>(result);
            auto const now = m_kernel.now();
            auto& context = *attempt->request;
            context.stage_timer().enter(request_stage::database, now);
            auto const marker = m_directory->next_marker();
            batch sql_batch;
            sql_batch.statements.push_back(group_contract::begin_read());
            sql_batch.statements.push_back(group_contract::set_client_account(context.client_account()));
            sql_batch.statements.push_back(group_contract::status(marker));
            VERIFY(sql_batch.statements.size() == statements_before_results);
            for (auto const& each : context.request().statements) {
                sql_batch.statements.push_back(each);
            }
            sql_batch.statements.push_back(group_contract::commit());
            auto const timeout = std::max(context.deadline() - now, duration(1));
            connection->execute_last(std::move(sql_batch), timeout,
                                     [this, attempt, member, now, marker, alive](batch_answer answer) {
                                         if (!alive.expired()) {
                                             handle_answer(attempt, member, std::move(answer), now, marker);
                                         }
                                     });
        });
}

void read_service::handle_answer(attempt_pointer const& attempt, std::size_t member, batch_answer answer,
                                 monotonic_time asked_at, std::string const& marker)
{
    if (answer.failure) {
        handle_failure(attempt, member, *answer.failure, answer.results.size());
        return;
    }
    auto* const group = m_directory->find(attempt->request->database());
    auto const expected_results =
        statements_before_results + attempt->request->request().statements.size() + 1;
    auto const status = answer.results.size() == expected_results
                            ? group_contract::parse_status(answer.results[statements_before_results - 1])
                            : std::nullopt;
    if (group == nullptr || !status || status->marker != marker) {
        // The answer belongs to another request, so its rows must not reach this caller.
        handle_failure(attempt, member,
                       {database_error::connection_lost, "", "member returned the answer to another request"},
                       0);
        return;
    }
    m_directory->observe(*group, member, *status, asked_at);
    if (!meets_read_requirements(*attempt, *group, *status)) {
        ++m_answers_below_position;
        attempt->was_too_old = true;
        attempt->failed_members.push_back(member);
        try_next(attempt);
        return;
    }
    finish(attempt, *group, member, std::move(answer), *status);
}

void read_service::handle_failure(attempt_pointer const& attempt, std::size_t member,
                                  database_failure const& failure, std::size_t failed_statement)
{
    auto& request = *attempt->request;
    attempt->last_failure = failure;
    if (failure.error == database_error::statement_failed && failed_statement >= statements_before_results) {
        request.refuse(outcome::not_run, refusal_reason::statement_rejected,
                       fmt::format("{} ({})", failure.message, failure.sqlstate));
        return;
    }
    if (failure.error == database_error::read_only) {
        request.refuse(outcome::not_run, refusal_reason::forbidden_statement,
                       "class of work does not allow writes");
        return;
    }
    auto* const group = m_directory->find(request.database());
    if (group != nullptr && !is_definite(failure.error)) {
        m_directory->observe_failure(*group, member, failure);
    }
    attempt->failed_members.push_back(member);
    if (attempt->tries > 1 && !m_budget.try_take()) {
        refuse_read(attempt);
        return;
    }
    retry(attempt);
}

bool read_service::meets_read_requirements(attempt const& attempt, active_group const& group,
                                           member_status const& status) const
{
    auto const& request = *attempt.request;
    if (status.applied < request.session().position(request.database())) {
        return false;
    }
    if (!request.work().has_freshness()) {
        return true;
    }
    auto const as_of = group.view.fresh_as_of(status.applied);
    return as_of && m_kernel.now() - *as_of <= *request.work().freshness;
}

void read_service::finish(attempt_pointer const& attempt, active_group& group, std::size_t member,
                          batch_answer answer, member_status const& status)
{
    auto& request = *attempt->request;
    auto const& required = request.session().position(request.database());
    VERIFY(status.applied >= required);
    caller_answer result;
    auto const begin = answer.results.begin() + static_cast<std::ptrdiff_t>(statements_before_results);
    result.results.assign(std::make_move_iterator(begin), std::make_move_iterator(answer.results.end() - 1));
    result.source = group.view.primary() == member ? served_by::primary : served_by::replica;
    (result.source == served_by::primary ? m_primary_reads : m_replica_reads) += 1;
    // Later reads of the session must not see older data than this one.
    if (!request.session().raise_position(request.database(), status.applied)) {
        request.refuse(
            outcome::not_run, refusal_reason::invalid_session,
            "the session already holds positions of the maximum number of databases; start a new session");
        return;
    }
    request.answer(std::move(result));
}

void read_service::retry(attempt_pointer const& attempt)
{
    auto const exponential = retry_delay * (1 << std::min(attempt->tries, 4));
    auto const longest = std::min<duration>(exponential, max_retry_delay);
    auto const delay = longest / 2 + duration(static_cast<duration::rep>(m_kernel.random_below(
                                         static_cast<std::uint64_t>(longest.count() / 2))));
    attempt->request->stage_timer().enter(request_stage::primary_wait, m_kernel.now());
    // A member that was not tried yet is tried at once; the delay applies after all members were tried.
    auto* const group = m_directory->find(attempt->request->database());
    auto const has_untried = group != nullptr && attempt->failed_members.size() < group->view.size();
    m_kernel.start_timer(has_untried && !attempt->has_no_primary ? duration::zero() : delay,
                         [this, attempt, has_untried] {
                             if (!has_untried) {
                                 attempt->failed_members.clear();
                             }
                             attempt->has_no_primary = false;
                             try_next(attempt);
                         });
}

void read_service::refuse_read(attempt_pointer const& attempt)
{
    auto& request = *attempt->request;
    if (attempt->was_too_old) {
        request.refuse(outcome::not_run, refusal_reason::data_too_old,
                       "no member is known to hold data that is recent enough for this session and class",
                       retry_delay);
        return;
    }
    if (attempt->last_failure && attempt->last_failure->error == database_error::timed_out) {
        request.refuse(outcome::not_run, refusal_reason::deadline_exceeded,
                       "no member answered within the delay target: " + attempt->last_failure->message,
                       max_retry_delay);
        return;
    }
    request.refuse(outcome::not_run, refusal_reason::database_unavailable,
                   attempt->last_failure ? attempt->last_failure->message
                                         : "no member answered within the delay target",
                   max_retry_delay);
}

std::optional<read_target> read_service::choose_target(attempt const& attempt, active_group const& group)
{
    auto const now = m_kernel.now();
    auto const& request = *attempt.request;
    auto const required = required_position(attempt, group);
    auto const& view = group.view;
    auto const has_failed = [&attempt](std::size_t member) {
        return std::find(attempt.failed_members.begin(), attempt.failed_members.end(), member) !=
               attempt.failed_members.end();
    };
    std::optional<read_target> best;
    double best_load = 0;
    for (std::size_t i = 0; i < view.size() && required; ++i) {
        if (view.primary() == i || has_failed(i) || view.member(i).failing_since || !view.member(i).latest) {
            continue;
        }
        auto const expected_time = view.expected_apply_time(i, *required, now);
        auto const load = load_of(group, i);
        if (!best || expected_time < best->earliest_send_time ||
            (expected_time == best->earliest_send_time && load < best_load)) {
            best = read_target{i, false, expected_time};
            best_load = load;
        }
    }
    auto const primary_round_trip =
        view.primary() ? view.member(*view.primary()).round_trip : duration::zero();
    auto const latest_start = request.deadline() - 2 * primary_round_trip - primary_reserve;
    if (best && (best->earliest_send_time <= now || best->earliest_send_time <= latest_start)) {
        return best;
    }
    if (view.primary() && !has_failed(*view.primary())) {
        return read_target{*view.primary(), true, now};
    }
    // The primary is unknown or has failed. Any other member may have data that is recent enough,
    // so one is tried.
    for (std::size_t i = 0; i < view.size(); ++i) {
        if (!has_failed(i)) {
            return read_target{i, false, now};
        }
    }
    return std::nullopt;
}

std::optional<log_position> read_service::required_position(attempt const& attempt,
                                                            active_group const& group) const
{
    auto const& request = *attempt.request;
    auto required = request.session().position(request.database());
    if (!request.work().has_freshness()) {
        return required;
    }
    auto const oldest = m_kernel.now() - *request.work().freshness + freshness_reserve;
    auto const fresh = group.view.position_required_for(oldest);
    if (!fresh) {
        return std::nullopt;
    }
    return std::max(required, *fresh);
}

double read_service::load_of(active_group const& group, std::size_t member) const
{
    auto const& description = group.view.description().members[member];
    auto const is_same_zone = description.availability_zone == m_membership->identity().availability_zone;
    auto const pending_requests =
        static_cast<double>(group.pools[member]->leased() + group.pools[member]->waiting());
    return pending_requests + (is_same_zone ? 0 : other_zone_penalty);
}

} // namespace greengagehitch
