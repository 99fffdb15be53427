#include "routing/read_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengagehitch {

namespace {

constexpr int max_tries = 8;
/// Reads keep what is known of members no older than this, or a quarter of their freshness.
constexpr duration longest_knowledge_age = std::chrono::milliseconds(100);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
constexpr duration retry_delay = std::chrono::milliseconds(5);
constexpr duration longest_retry_delay = std::chrono::milliseconds(80);
/// Time that a read leaves for the primary when it waits for a replica: two round trips and this.
constexpr duration primary_reserve = std::chrono::milliseconds(20);
/// Time by which data must be fresher than the target when the read is sent.
constexpr duration freshness_reserve = std::chrono::milliseconds(10);
/// Load that a member in another availability zone must be lower by to be chosen.
constexpr double other_zone_penalty = 2;
/// Beginning of the transaction, client account and status stand before the results.
constexpr std::size_t statements_before_results = 3;

} // namespace

/// Read on its way through members.
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
    state["answers_below_position"] = Json::UInt64(m_answers_below);
    state["retry_budget"] = m_budget.tokens();
    return state;
}

void read_service::read(request_pointer const& request)
{
    m_budget.count_request();
    if (auto* const group = m_directory->find(request->database())) {
        keep_known(*group, request->work());
    }
    try_next(std::make_shared<attempt>(request));
}

void read_service::keep_known(active_group& group, work_class const& work)
{
    auto const age = std::min(longest_knowledge_age, work.freshness.value_or(longest_knowledge_age) / 4);
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
                       "the platform has not described this database yet", longest_retry_delay);
        return;
    }
    if (now >= request.deadline() || attempt->tries >= max_tries) {
        give_up(attempt);
        return;
    }
    auto const target = choose(*attempt, *group);
    if (!target) {
        attempt->has_no_primary = true;
        m_directory->refresh(*group);
        retry(attempt);
        return;
    }
    if (target->not_before > now) {
        request.stage_timer().enter(request_stage::replica_wait, now);
        m_kernel.start_timer(target->not_before - now, [this, attempt, member = target->member] {
            auto* const waited = m_directory->find(attempt->request->database());
            if (waited != nullptr) {
                send(attempt, *waited, member);
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
         alive = m_kernel.lifetime()](std::variant<lease_pointer, database_failure> result) {
            if (alive.expired()) {
                return;
            }
            if (auto const* const failure = std::get_if<database_failure>(&result)) {
                take_failure(attempt, member, *failure, 0);
                return;
            }
            auto const lease = std::get<lease_pointer>(result);
            auto const now = m_kernel.now();
            auto& served = *attempt->request;
            served.stage_timer().enter(request_stage::database, now);
            auto const marker = m_directory->next_marker();
            batch question;
            question.statements.push_back(group_contract::begin_read());
            question.statements.push_back(group_contract::set_client_account(served.client_account()));
            question.statements.push_back(group_contract::status(marker));
            VERIFY(question.statements.size() == statements_before_results);
            for (auto const& each : served.request().statements) {
                question.statements.push_back(each);
            }
            question.statements.push_back(group_contract::commit());
            auto const timeout = std::max(served.deadline() - now, duration(1));
            lease->execute_last(std::move(question), timeout,
                                [this, attempt, member, now, marker, alive](batch_answer answer) {
                                    if (!alive.expired()) {
                                        take_answer(attempt, member, std::move(answer), now, marker);
                                    }
                                });
        });
}

void read_service::take_answer(attempt_pointer const& attempt, std::size_t member, batch_answer answer,
                               monotonic_time asked_at, std::string const& marker)
{
    if (answer.failure) {
        take_failure(attempt, member, *answer.failure, answer.results.size());
        return;
    }
    auto* const group = m_directory->find(attempt->request->database());
    auto const expected_results =
        statements_before_results + attempt->request->request().statements.size() + 1;
    auto const status = answer.results.size() == expected_results
                            ? group_contract::parse_status(answer.results[statements_before_results - 1])
                            : std::nullopt;
    if (group == nullptr || !status || status->marker != marker) {
        // Not the answer to this question.
        take_failure(attempt, member,
                     {database_error::connection_lost, "", "answer belongs to another question"}, 0);
        return;
    }
    m_directory->observe(*group, member, *status, asked_at);
    if (!is_good_enough(*attempt, *group, *status)) {
        ++m_answers_below;
        attempt->was_too_old = true;
        attempt->failed_members.push_back(member);
        try_next(attempt);
        return;
    }
    finish(attempt, *group, member, std::move(answer), *status);
}

void read_service::take_failure(attempt_pointer const& attempt, std::size_t member,
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
        request.refuse(outcome::not_run, refusal_reason::forbidden_statement, "class allows no writes");
        return;
    }
    auto* const group = m_directory->find(request.database());
    if (group != nullptr && !is_definite(failure.error)) {
        m_directory->observe_failure(*group, member, failure);
    }
    attempt->failed_members.push_back(member);
    if (attempt->tries > 1 && !m_budget.try_take()) {
        give_up(attempt);
        return;
    }
    retry(attempt);
}

bool read_service::is_good_enough(attempt const& attempt, active_group const& group,
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
    // Later reads of the session must not go back behind what this one saw.
    if (!request.session().raise_position(request.database(), status.applied)) {
        request.refuse(outcome::not_run, refusal_reason::invalid_session,
                       "session has touched too many databases; start another");
        return;
    }
    request.answer(std::move(result));
}

void read_service::retry(attempt_pointer const& attempt)
{
    auto const exponential = retry_delay * (1 << std::min(attempt->tries, 4));
    auto const longest = std::min<duration>(exponential, longest_retry_delay);
    auto const delay = longest / 2 + duration(static_cast<duration::rep>(m_kernel.random_below(
                                         static_cast<std::uint64_t>(longest.count() / 2))));
    attempt->request->stage_timer().enter(request_stage::primary_wait, m_kernel.now());
    // Another member can be asked at once; only a second round over all of them waits.
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

void read_service::give_up(attempt_pointer const& attempt)
{
    auto& request = *attempt->request;
    if (attempt->was_too_old) {
        request.refuse(outcome::not_run, refusal_reason::data_too_old,
                       "no member is known to be fresh enough for this session and class", retry_delay);
        return;
    }
    if (attempt->last_failure && attempt->last_failure->error == database_error::timed_out) {
        request.refuse(outcome::not_run, refusal_reason::deadline_exceeded,
                       "no answer within the delay target: " + attempt->last_failure->message,
                       longest_retry_delay);
        return;
    }
    request.refuse(outcome::not_run, refusal_reason::database_unavailable,
                   attempt->last_failure ? attempt->last_failure->message : "no member answered in time",
                   longest_retry_delay);
}

std::optional<read_target> read_service::choose(attempt const& attempt, active_group const& group)
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
        auto const at = view.expected_at(i, *required, now);
        auto const load = load_of(group, i);
        if (!best || at < best->not_before || (at == best->not_before && load < best_load)) {
            best = read_target{i, false, at};
            best_load = load;
        }
    }
    auto const primary_round_trip =
        view.primary() ? view.member(*view.primary()).round_trip : duration::zero();
    auto const latest_start = request.deadline() - 2 * primary_round_trip - primary_reserve;
    if (best && (best->not_before <= now || best->not_before <= latest_start)) {
        return best;
    }
    if (view.primary() && !has_failed(*view.primary())) {
        return read_target{*view.primary(), true, now};
    }
    // No primary is known or it failed: any member that may be fresh enough is better than none.
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
    auto const is_near = description.availability_zone == m_membership->identity().availability_zone;
    auto const busy = static_cast<double>(group.pools[member]->leased() + group.pools[member]->waiting());
    return busy + (is_near ? 0 : other_zone_penalty);
}

} // namespace greengagehitch
