#include "sessions/member_run.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengagehitch {

namespace {

/// Time by which evidence is renewed before it is too old; covers the way to the member.
constexpr duration age_margin = std::chrono::milliseconds(60);
constexpr duration evidence_poll = std::chrono::milliseconds(3);
/// A question about the lead takes no slot, so its answer is a round trip away.
constexpr duration evidence_patience = std::chrono::milliseconds(40);
constexpr duration busy_pause = std::chrono::milliseconds(20);
/// When a caller that met a long queue may come again: several queue lengths later.
constexpr duration crowded_retry = std::chrono::milliseconds(250);
/// Parts of the delay target for which a statement may wait for its turn, at the leader and elsewhere.
constexpr int leader_queue_divisor = 2;
constexpr int reader_queue_divisor = 4;
constexpr duration unreachable_pause = std::chrono::milliseconds(30);
/// An answer that is later than this makes us ask the member for a sign of life.
constexpr duration overdue_time = std::chrono::milliseconds(220);
/// Time past the statement's timeout for the member's own word about it.
constexpr duration answer_slack = std::chrono::milliseconds(30);
constexpr std::size_t most_attempts = 12;
constexpr std::size_t most_failed_runs = 2;
/// Part of the delay target after which a read is also tried elsewhere.
constexpr int hedge_divisor = 2;

std::uint32_t whole_milliseconds(duration value)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

} // namespace

session_answer to_session_answer(member_answer answer)
{
    session_answer result;
    result.rows = std::move(answer.rows);
    result.proof = std::move(answer.proof);
    result.state = answer.state;
    result.position = answer.position;
    result.error_text = std::move(answer.error_text);
    if (!answer.error) {
        return result;
    }
    switch (*answer.error) {
    case member_error::busy:
    case member_error::not_started:
    case member_error::refused:
        result.error = session_error::busy;
        break;
    case member_error::lagging:
        result.error = session_error::lagging;
        break;
    case member_error::read_only:
        result.error = session_error::read_only;
        break;
    case member_error::wrong_member:
        result.error = session_error::wrong_member;
        break;
    case member_error::too_many_connections:
        result.error = session_error::too_many_connections;
        break;
    case member_error::unknown_prepared:
        result.error = session_error::aborted;
        break;
    case member_error::failed:
        result.error = session_error::failed;
        break;
    case member_error::timed_out:
    case member_error::connection_lost:
        result.error = session_error::timed_out;
        break;
    case member_error::malformed:
        result.error = session_error::malformed;
        break;
    }
    return result;
}

member_request request_for(run_order const& order)
{
    member_request request;
    request.client_account = order.client_account;
    request.values = order.values;
    request.prepared = order.prepared;
    request.priority = order.work.priority;
    member_command command;
    command.id = order.statement.id;
    if (order.prepared) {
        command.kind = command_kind::execute;
        command.name = backend_connection::name_of(*order.prepared);
        command.argument = order.statement.argument;
    }
    else {
        command.kind = command_kind::caller_statement;
        command.text = order.statement.text;
    }
    request.commands.push_back(std::move(command));
    return request;
}

member_run::member_run(kernel& kernel, database_group& group, run_order order, run_mode mode,
                       std::function<void(run_result)> done)
    : m_kernel(kernel), m_group(group), m_order(std::move(order)), m_mode(mode), m_done(std::move(done)),
      m_deadline(m_order.arrived + m_order.work.statement_timeout)
{
}

void member_run::start()
{
    next();
}

bool member_run::needs_leader() const
{
    return m_goes_to_leader || m_mode == run_mode::proven_read || m_mode == run_mode::write ||
           m_mode == run_mode::begin;
}

duration member_run::lead_time() const
{
    return std::max<duration>(m_deadline - m_kernel.now(), duration::zero());
}

void member_run::next_after(duration delay)
{
    m_kernel.start_timer(delay, [self = shared_from_this()] { self->next(); });
}

void member_run::next()
{
    if (!m_done) {
        return;
    }
    if (m_kernel.now() >= m_deadline || ++m_attempts > most_attempts) {
        if (m_in_flight == 0) {
            refuse(session_error::busy, "no member could take the statement in time");
        }
        return;
    }
    if (needs_leader()) {
        if (auto* const leader = m_group.leader()) {
            try_at(leader->entry.id);
            return;
        }
        m_group.refresh_leader_position(m_order.client_account);
        m_group.wait_for_leader(m_deadline, [self = shared_from_this()](bool is_known) {
            if (is_known) {
                self->next();
            }
            else if (self->m_in_flight == 0) {
                self->refuse(session_error::busy, "the group has no leader", std::chrono::milliseconds(300));
            }
        });
        return;
    }
    if (!required_floor()) {
        wait_for_evidence();
        return;
    }
    auto* const member = m_group.choose_reader(m_order.client_account, m_excluded, *required_floor());
    if (member == nullptr) {
        m_goes_to_leader = true;
        next_after(duration::zero());
        return;
    }
    try_at(member->entry.id);
}

void member_run::wait_for_evidence()
{
    auto const now = m_kernel.now();
    if (!std::exchange(m_has_asked_for_evidence, true)) {
        m_evidence_asked_at = now;
        m_group.refresh_leader_position(m_order.client_account);
    }
    if (now - m_evidence_asked_at > evidence_patience) {
        m_goes_to_leader = true;
    }
    --m_attempts;
    next_after(evidence_poll);
}

std::optional<log_position> member_run::required_floor() const
{
    // The statement may wait for its turn, and the evidence must still hold when it is sent.
    auto const latest_start = m_kernel.now() + queue_limit() + age_margin;
    auto floor = m_group.leader_positions().position_covering(latest_start - m_order.work.oldest_age);
    if (floor && m_order.floor) {
        floor = std::max(*floor, *m_order.floor);
    }
    return floor;
}

duration member_run::queue_limit() const
{
    auto const limit = needs_leader() ? m_order.work.delay_target / leader_queue_divisor
                                      : m_order.work.delay_target / reader_queue_divisor;
    return std::min<duration>(lead_time(), limit);
}

run_mode member_run::effective_mode() const
{
    if (!needs_leader()) {
        return m_mode;
    }
    if (m_mode == run_mode::read) {
        return run_mode::proven_read;
    }
    return m_mode == run_mode::begin_read ? run_mode::begin : m_mode;
}

std::optional<member_request> member_run::make_request(attempt& attempt) const
{
    auto request = request_for(m_order);
    auto const needs_floor = attempt.mode == run_mode::read || attempt.mode == run_mode::begin_read;
    auto const floor = needs_floor ? required_floor() : std::nullopt;
    if (needs_floor && !floor) {
        return std::nullopt;
    }
    member_command begin;
    begin.kind = attempt.mode == run_mode::begin_read ? command_kind::begin_read : command_kind::begin;
    begin.floor = floor;
    switch (attempt.mode) {
    case run_mode::begin:
    case run_mode::begin_read:
        request.commands = {std::move(begin)};
        request.prepared.reset();
        request.needs_slot = false;
        request.keeps_link = true;
        break;
    case run_mode::proven_read: {
        member_command rollback;
        rollback.kind = command_kind::rollback;
        request.commands.insert(request.commands.begin(), std::move(begin));
        request.commands.push_back(std::move(rollback));
        attempt.offset = 1;
        break;
    }
    case run_mode::read:
    case run_mode::write:
        request.commands.front().floor = floor;
        break;
    }
    request.time_limit_ms = whole_milliseconds(lead_time() + answer_slack);
    request.queue_limit_ms = whole_milliseconds(queue_limit());
    return request;
}

void member_run::try_at(std::string const& member)
{
    attempt sent{member, effective_mode(), m_kernel.now(), 0};
    auto request = make_request(sent);
    if (!request) {
        next_after(evidence_poll);
        return;
    }
    ++m_in_flight;
    m_group.record_sent(member);
    m_group.run(member, *std::move(request), [self = shared_from_this(), sent](member_reply reply) {
        self->take_reply(sent, std::move(reply));
    });
    watch_for_answer(member, sent.mode);
}

void member_run::watch_for_answer(std::string const& member, run_mode mode)
{
    auto const may_go_anywhere = mode == run_mode::read || mode == run_mode::begin_read;
    auto const delay =
        may_go_anywhere ? std::max(overdue_time, m_order.work.delay_target / hedge_divisor) : overdue_time;
    m_kernel.start_timer(delay, [self = shared_from_this(), member, mode, may_go_anywhere] {
        if (!self->m_done) {
            return;
        }
        self->m_group.probe_member(member, self->m_order.client_account);
        if (may_go_anywhere) {
            self->m_excluded.insert(member);
            self->next();
            return;
        }
        auto* const leader = self->m_group.leader();
        if (mode != run_mode::write && (leader == nullptr || leader->entry.id != member)) {
            self->next();
            return;
        }
        self->watch_for_answer(member, mode);
    });
}

void member_run::take_reply(attempt const& sent, member_reply reply)
{
    --m_in_flight;
    m_group.record_returned(sent.member);
    auto answer = std::move(reply.answers[sent.offset]);
    if (sent.mode == run_mode::proven_read) {
        auto const& begun = reply.answers.front();
        if (begun.is_ok() && begun.position) {
            m_group.confirm_leader(sent.member, *begun.position, sent.sent_at);
        }
        else if (begun.error) {
            answer = begun;
        }
    }
    if (answer.position) {
        m_group.record_position(sent.member, *answer.position);
    }
    if (answer.is_ok()) {
        m_group.record_answer(sent.member, m_kernel.now() - sent.sent_at);
    }
    if (sent.mode == run_mode::begin || sent.mode == run_mode::begin_read) {
        take_begin_answer(sent, std::move(answer), std::move(reply.lease));
        return;
    }
    take_statement_answer(sent, std::move(answer));
}

void member_run::take_statement_answer(attempt const& sent, member_answer answer)
{
    if (!m_done) {
        return;
    }
    answer.state = transaction_state::idle;
    if (answer.is_ok()) {
        if (sent.mode == run_mode::write && answer.position) {
            m_group.confirm_leader(sent.member, *answer.position, sent.sent_at);
            m_group.record_commit(sent.member, *answer.position);
        }
        finish({to_session_answer(std::move(answer)), std::nullopt});
        return;
    }
    if (try_elsewhere(sent.member, *answer.error)) {
        return;
    }
    m_group.record_failure(sent.member, *answer.error);
    if (sent.mode == run_mode::write) {
        auto result = to_session_answer(std::move(answer));
        if (result.error == session_error::timed_out) {
            m_group.record_stuck_commit(sent.member);
            result.error = session_error::in_doubt;
            result.error_text = "the write was sent and its answer is missing";
        }
        finish({std::move(result), std::nullopt});
        return;
    }
    auto const is_silence = !is_answer(*answer.error);
    if (is_silence || (answer.error == member_error::failed && ++m_failed_runs < most_failed_runs)) {
        m_excluded.insert(sent.member);
        if (m_in_flight == 0) {
            next_after(duration::zero());
        }
        return;
    }
    if (m_in_flight == 0) {
        finish({to_session_answer(std::move(answer)), std::nullopt});
    }
}

void member_run::take_begin_answer(attempt const& sent, member_answer answer, lease_pointer lease)
{
    if (!m_done) {
        // The caller was answered already; giving up the lease rolls the transaction back.
        return;
    }
    if (answer.is_ok() && lease) {
        if (sent.mode == run_mode::begin && answer.position) {
            m_group.confirm_leader(sent.member, *answer.position, sent.sent_at);
        }
        finish({to_session_answer(std::move(answer)), pinned_lease{std::move(lease), sent.member}});
        return;
    }
    if (!answer.error) {
        answer.error = member_error::connection_lost;
    }
    auto const error = *answer.error;
    if (try_elsewhere(sent.member, error)) {
        return;
    }
    m_group.record_failure(sent.member, error);
    m_excluded.insert(sent.member);
    // A transaction without a statement may begin again anywhere.
    next_after(unreachable_pause);
}

void member_run::log_attempt(std::string const& member, member_error error) const
{
    Json::Value fields(Json::objectValue);
    fields["request"] = m_order.statement.id;
    fields["group"] = m_group.name();
    fields["member"] = member;
    fields["error"] = std::string(find_name(member_error_names, error));
    fields["attempt"] = Json::UInt64(m_attempts);
    fields["after_ms"] = to_milliseconds(m_kernel.now() - m_order.arrived);
    m_kernel.log(log_level::info, "sessions", "attempt at a member failed", std::move(fields));
}

bool member_run::try_elsewhere(std::string const& member, member_error error)
{
    if (!m_done) {
        return true;
    }
    log_attempt(member, error);
    switch (error) {
    case member_error::read_only:
        m_group.record_not_leading(member);
        next_after(duration::zero());
        return true;
    case member_error::lagging:
        m_excluded.insert(member);
        next_after(duration::zero());
        return true;
    case member_error::busy:
    case member_error::not_started:
    case member_error::unknown_prepared:
        if (!needs_leader()) {
            m_group.record_overload(member);
            m_excluded.insert(member);
            next_after(duration::zero());
            return true;
        }
        if (m_in_flight == 0 && m_kernel.now() - m_order.arrived >= m_order.work.delay_target / 2) {
            refuse(session_error::busy, "the leader's queue is too long", crowded_retry);
            return true;
        }
        next_after(busy_pause);
        return true;
    case member_error::too_many_connections:
    case member_error::wrong_member:
    case member_error::refused:
        m_group.record_failure(member, error);
        m_excluded.insert(member);
        next_after(unreachable_pause);
        return true;
    case member_error::failed:
    case member_error::timed_out:
    case member_error::malformed:
    case member_error::connection_lost:
        return false;
    }
    return false;
}

void member_run::refuse(session_error error, std::string text, duration retry_after)
{
    run_result result;
    result.answer.error = error;
    result.answer.error_text = std::move(text);
    result.answer.retry_after = retry_after;
    finish(std::move(result));
}

void member_run::finish(run_result result)
{
    if (auto const done = std::exchange(m_done, nullptr)) {
        done(std::move(result));
    }
}

} // namespace greengagehitch
