#include "sessions/statement_execution.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "members/member_drain.h"

namespace greengagehitch {

namespace {

/// Time beyond the longest wait in the queue for which a confirmed position must stay recent enough. It
/// covers the transmission time to the member.
constexpr duration age_margin = std::chrono::milliseconds(60);
constexpr duration position_poll_interval = std::chrono::milliseconds(3);
/// Time to wait for a confirmed position before a read is sent to the leader instead. The request for the
/// position needs no execution slot, so it is answered after one round trip.
constexpr duration confirmed_position_timeout = std::chrono::milliseconds(40);
/// Delay before a statement is sent again to a busy leader.
constexpr duration busy_retry_delay = std::chrono::milliseconds(20);
/// Earliest retry reported to a caller when the leader is not proven to lead.
constexpr duration unproven_refusal_delay = std::chrono::milliseconds(300);
/// Earliest retry reported to a caller when the leader's zone is evacuated, or the leader leaves; a takeover
/// takes about as long.
constexpr duration replacement_refusal_delay = std::chrono::milliseconds(500);
/// The latency target divided by these is the longest time that a statement may wait in the queue for the
/// leader or for another member.
constexpr int leader_queue_divisor = 2;
constexpr int reader_queue_divisor = 4;
constexpr duration unreachable_retry_delay = std::chrono::milliseconds(30);
/// Delay before a statement is tried again after its leader was not proven to lead.
constexpr duration unproven_retry_delay = std::chrono::milliseconds(60);
/// Time without an answer after which a probe is sent to the member.
constexpr duration overdue_time = std::chrono::milliseconds(220);
/// Time that a member gets beyond the statement's timeout, so that its own timeout error arrives first.
constexpr duration answer_margin = std::chrono::milliseconds(30);
constexpr std::size_t max_attempts = 12;
/// Maximum number of attempts that a member may answer with a failure before the caller gets the error.
constexpr std::size_t max_failed_runs = 2;
/// The latency target divided by this is the time after which an unanswered read is also sent to another
/// member.
constexpr int hedge_divisor = 2;

std::uint32_t round_up_to_milliseconds(duration value)
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
    case member_error::unproven_leader:
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

session_answer make_withheld_answer()
{
    session_answer result;
    result.error = session_error::in_doubt;
    result.error_text =
        "the leader committed, but no VM of another availability zone was in contact, so that "
        "a successor may lack the commit";
    return result;
}

std::string zone_of_member(database_group const& group, std::string const& member)
{
    auto const found = group.members().find(member);
    return found == group.members().end() ? std::string() : found->second.entry.availability_zone;
}

member_request make_member_request(execution_request const& execution)
{
    member_request request;
    request.client_account = execution.client_account;
    request.values = execution.values;
    request.prepared = execution.prepared;
    request.priority = execution.work.priority;
    request.cancellation = execution.cancellation;
    member_command command;
    command.id = execution.statement.id;
    if (execution.prepared) {
        command.kind = command_kind::execute;
        command.name = backend_connection::name_of(*execution.prepared);
        command.argument = execution.statement.argument;
    }
    else {
        command.kind = command_kind::caller_statement;
        command.text = execution.statement.text;
    }
    request.commands.push_back(std::move(command));
    return request;
}

statement_execution::statement_execution(kernel& kernel, database_group& group, contact_guard& contact,
                                         execution_request execution, execution_mode mode,
                                         std::function<void(execution_result)> done)
    : m_kernel(kernel), m_group(group), m_contact(contact), m_request(std::move(execution)), m_mode(mode),
      m_done(std::move(done)), m_deadline(m_request.arrived_at + m_request.work.statement_timeout),
      m_waiting_number(m_group.waiting().add(wait_reason::next_attempt, m_kernel.now()))
{
}

void statement_execution::start()
{
    start_next_attempt();
}

void statement_execution::cancel(std::string reason)
{
    m_is_cancelled = true;
    m_cancel_reason = std::move(reason);
    end_if_cancelled();
}

bool statement_execution::end_if_cancelled()
{
    if (m_is_cancelled && m_in_flight == 0) {
        // Nothing was run: an attempt that may have run ends the execution with its answer.
        refuse(session_error::aborted, m_cancel_reason);
    }
    return m_is_cancelled;
}

bool statement_execution::needs_leader() const
{
    return m_must_use_leader || m_mode == execution_mode::leader_read || m_mode == execution_mode::write ||
           m_mode == execution_mode::begin;
}

duration statement_execution::remaining_time() const
{
    return std::max<duration>(m_deadline - m_kernel.now(), duration::zero());
}

void statement_execution::start_next_attempt_after(duration delay)
{
    m_group.waiting().set_reason(m_waiting_number, wait_reason::next_attempt);
    m_kernel.start_timer(delay, [self = shared_from_this()] { self->start_next_attempt(); });
}

void statement_execution::start_next_attempt()
{
    if (!m_done || end_if_cancelled()) {
        return;
    }
    if (m_kernel.now() >= m_deadline || ++m_attempts > max_attempts) {
        if (m_in_flight == 0) {
            refuse(session_error::busy, "no member accepted the statement in time");
        }
        return;
    }
    if (needs_leader()) {
        if (auto* const leader = m_group.reachable_leader()) {
            auto const takes_work = takes_new_work(*leader, m_kernel.now());
            if (takes_work && m_group.may_send_to(leader->entry.id)) {
                send_attempt(leader->entry.id);
            }
            else if (m_in_flight == 0 && !takes_work) {
                refuse(session_error::busy,
                       "the leader leaves and gets no new work, and no other member leads the group yet",
                       spread(replacement_refusal_delay));
            }
            else if (m_in_flight == 0) {
                refuse(session_error::busy,
                       "the leader's availability zone is evacuated, and no other member leads the group yet",
                       spread(replacement_refusal_delay));
            }
            return;
        }
        wait_for_leader();
        return;
    }
    if (!required_position()) {
        wait_for_confirmed_position();
        return;
    }
    auto* const member = m_group.choose_reader(m_request.client_account, m_excluded, *required_position());
    if (member == nullptr) {
        m_must_use_leader = true;
        start_next_attempt_after(duration::zero());
        return;
    }
    send_attempt(member->entry.id);
}

void statement_execution::wait_for_leader()
{
    m_group.refresh_leader_position(m_request.client_account);
    if (m_in_flight == 0 && m_group.expects_no_leader_within(remaining_time())) {
        refuse(session_error::busy, "the group has no reachable leader",
               spread(m_group.expected_leader_wait()));
        return;
    }
    m_group.waiting().set_reason(m_waiting_number, wait_reason::leader);
    m_group.wait_for_leader(m_deadline, [self = shared_from_this()](bool is_known) {
        if (is_known) {
            self->start_next_attempt();
        }
        else if (self->m_in_flight == 0) {
            self->refuse(session_error::busy, "the group has no leader",
                         self->spread(self->m_group.expected_leader_wait()));
        }
    });
}

void statement_execution::wait_for_confirmed_position()
{
    auto const now = m_kernel.now();
    if (!std::exchange(m_has_requested_position, true)) {
        m_position_requested_at = now;
        m_group.refresh_leader_position(m_request.client_account);
    }
    if (now - m_position_requested_at > confirmed_position_timeout) {
        m_must_use_leader = true;
    }
    --m_attempts;
    start_next_attempt_after(position_poll_interval);
    m_group.waiting().set_reason(m_waiting_number, wait_reason::confirmed_position);
}

std::optional<log_position> statement_execution::required_position() const
{
    // The statement may have to wait in a queue, and the confirmed position must still be recent enough when
    // it is sent.
    auto const latest_start = m_kernel.now() + queue_limit() + age_margin;
    auto minimum_position =
        m_group.leader_positions().position_covering(latest_start - m_request.work.max_data_age);
    if (minimum_position && m_request.minimum_position) {
        minimum_position = std::max(*minimum_position, *m_request.minimum_position);
    }
    return minimum_position;
}

duration statement_execution::queue_limit() const
{
    auto const limit = needs_leader() ? m_request.work.latency_target / leader_queue_divisor
                                      : m_request.work.latency_target / reader_queue_divisor;
    return std::min<duration>(remaining_time(), limit);
}

execution_mode statement_execution::effective_mode() const
{
    if (!needs_leader()) {
        return m_mode;
    }
    if (m_mode == execution_mode::read) {
        return execution_mode::leader_read;
    }
    return m_mode == execution_mode::begin_read ? execution_mode::begin : m_mode;
}

std::optional<member_request> statement_execution::make_request(attempt& attempt) const
{
    auto request = make_member_request(m_request);
    auto const needs_minimum_position =
        attempt.mode == execution_mode::read || attempt.mode == execution_mode::begin_read;
    auto const minimum_position = needs_minimum_position ? required_position() : std::nullopt;
    if (needs_minimum_position && !minimum_position) {
        return std::nullopt;
    }
    member_command begin;
    begin.kind = attempt.mode == execution_mode::begin_read ? command_kind::begin_read : command_kind::begin;
    begin.minimum_position = minimum_position;
    request.needs_proven_leader =
        attempt.mode == execution_mode::begin || attempt.mode == execution_mode::leader_read;
    request.commits_write = attempt.mode == execution_mode::write;
    switch (attempt.mode) {
    case execution_mode::begin:
    case execution_mode::begin_read:
        request.commands = {std::move(begin)};
        request.prepared.reset();
        request.needs_slot = false;
        request.keeps_connection = true;
        break;
    case execution_mode::leader_read: {
        member_command rollback;
        rollback.kind = command_kind::rollback;
        request.commands.insert(request.commands.begin(), std::move(begin));
        request.commands.push_back(std::move(rollback));
        attempt.answer_index = 1;
        break;
    }
    case execution_mode::read:
    case execution_mode::write:
        request.commands.front().minimum_position = minimum_position;
        break;
    }
    request.time_limit_ms = round_up_to_milliseconds(remaining_time() + answer_margin);
    request.queue_limit_ms = round_up_to_milliseconds(queue_limit());
    return request;
}

void statement_execution::send_attempt(std::string const& member)
{
    attempt sent{member, effective_mode(), m_kernel.now(), 0, zone_of_member(m_group, member), nullptr};
    if (sent.mode == execution_mode::write) {
        sent.watch = m_contact.watch(sent.zone);
    }
    auto request = make_request(sent);
    if (!request) {
        start_next_attempt_after(position_poll_interval);
        return;
    }
    ++m_in_flight;
    m_group.waiting().set_reason(m_waiting_number, wait_reason::member_answer);
    m_group.record_sent(member);
    m_group.run(member, *std::move(request), [self = shared_from_this(), sent](member_reply reply) {
        self->handle_reply(sent, std::move(reply));
    });
    monitor_answer(member, sent.mode);
}

void statement_execution::monitor_answer(std::string const& member, execution_mode mode)
{
    auto const can_use_any_member = mode == execution_mode::read || mode == execution_mode::begin_read;
    auto const delay = can_use_any_member
                           ? std::max(overdue_time, m_request.work.latency_target / hedge_divisor)
                           : overdue_time;
    m_kernel.start_timer(delay, [self = shared_from_this(), member, mode, can_use_any_member] {
        if (!self->m_done) {
            return;
        }
        self->m_group.probe_member(member, self->m_request.client_account);
        if (can_use_any_member) {
            self->m_excluded.insert(member);
            self->start_next_attempt();
            return;
        }
        auto* const leader = self->m_group.leader();
        if (mode != execution_mode::write && (leader == nullptr || leader->entry.id != member)) {
            self->start_next_attempt();
            return;
        }
        self->monitor_answer(member, mode);
    });
}

void statement_execution::handle_reply(attempt const& sent, member_reply reply)
{
    --m_in_flight;
    m_group.record_returned(sent.member);
    auto answer = std::move(reply.answers[sent.answer_index]);
    if (sent.mode == execution_mode::leader_read) {
        auto const& begin_answer = reply.answers.front();
        if (begin_answer.is_ok() && begin_answer.position) {
            m_group.confirm_leader(sent.member, *begin_answer.position, sent.sent_at);
        }
        else if (begin_answer.error) {
            answer = begin_answer;
        }
    }
    if (answer.position) {
        m_group.record_position(sent.member, *answer.position);
    }
    if (answer.is_ok()) {
        m_group.record_answer(sent.member, m_kernel.now() - sent.sent_at);
    }
    if (sent.mode == execution_mode::begin || sent.mode == execution_mode::begin_read) {
        handle_begin_answer(sent, std::move(answer), std::move(reply.connection));
        return;
    }
    handle_statement_answer(sent, std::move(answer));
}

void statement_execution::handle_statement_answer(attempt const& sent, member_answer answer)
{
    if (!m_done) {
        return;
    }
    answer.state = transaction_state::idle;
    if (answer.is_ok() && sent.mode == execution_mode::write) {
        finish_write(sent, std::move(answer));
        return;
    }
    if (answer.is_ok()) {
        finish({to_session_answer(std::move(answer)), std::nullopt});
        return;
    }
    if (handle_retryable_error(sent.member, *answer.error)) {
        return;
    }
    auto const is_withheld = answer.is_withheld;
    if (!is_withheld) {
        m_group.record_failure(sent.member, *answer.error);
    }
    if (sent.mode == execution_mode::write) {
        auto result = to_session_answer(std::move(answer));
        if (result.error == session_error::timed_out) {
            if (!is_withheld) {
                m_group.record_stuck_commit(sent.member);
            }
            result.error = session_error::in_doubt;
            if (result.error_text.empty()) {
                result.error_text = "the write was sent, but no answer was received";
            }
        }
        finish({std::move(result), std::nullopt});
        return;
    }
    auto const is_unanswered = !is_answer(*answer.error);
    if (is_unanswered || (answer.error == member_error::failed && ++m_failed_runs < max_failed_runs)) {
        m_excluded.insert(sent.member);
        if (m_in_flight == 0) {
            start_next_attempt_after(duration::zero());
        }
        return;
    }
    if (m_in_flight == 0) {
        finish({to_session_answer(std::move(answer)), std::nullopt});
    }
}

void statement_execution::finish_write(attempt const& sent, member_answer answer)
{
    // The write has run, so it must not be refused meanwhile.
    ++m_in_flight;
    m_contact.confirm(sent.zone, sent.sent_at,
                      [self = shared_from_this(), sent, answer = std::move(answer)](bool is_proven) {
                          --self->m_in_flight;
                          if (!self->m_done) {
                              return;
                          }
                          if (!is_proven) {
                              self->finish({make_withheld_answer(), std::nullopt});
                              return;
                          }
                          if (answer.position) {
                              self->m_group.confirm_leader(sent.member, *answer.position, sent.sent_at);
                              self->m_group.record_commit(sent.member, *answer.position);
                          }
                          self->finish({to_session_answer(answer), std::nullopt});
                      });
}

void statement_execution::handle_begin_answer(attempt const& sent, member_answer answer,
                                              pinned_connection_pointer connection)
{
    if (!m_done) {
        // The caller was answered already; destroying the connection rolls the transaction back.
        return;
    }
    if (answer.is_ok() && connection) {
        if (sent.mode == execution_mode::begin && answer.position) {
            m_group.confirm_leader(sent.member, *answer.position, sent.sent_at);
        }
        finish({to_session_answer(std::move(answer)),
                transaction_connection{std::move(connection), sent.member}});
        return;
    }
    if (!answer.error) {
        answer.error = member_error::connection_lost;
    }
    auto const error = *answer.error;
    if (handle_retryable_error(sent.member, error)) {
        return;
    }
    m_group.record_failure(sent.member, error);
    m_excluded.insert(sent.member);
    // No statement of the transaction was run, so it may begin at another member.
    start_next_attempt_after(unreachable_retry_delay);
}

duration statement_execution::queue_time(std::string const& id) const
{
    auto const found = m_group.members().find(id);
    if (found == m_group.members().end()) {
        return m_request.work.latency_target;
    }
    auto const& member = found->second;
    return expected_queue_time(member.latency, member.in_flight, member.entry.slots);
}

duration statement_execution::spread(duration earliest) const
{
    return spread_retry_delay(earliest, [this](std::uint64_t bound) { return m_kernel.random_below(bound); });
}

void statement_execution::log_attempt(std::string const& member, member_error error) const
{
    Json::Value fields(Json::objectValue);
    fields["request"] = m_request.statement.id;
    fields["group"] = m_group.name();
    fields["member"] = member;
    fields["error"] = std::string(find_name(member_error_names, error));
    fields["attempt"] = Json::UInt64(m_attempts);
    fields["after_ms"] = to_milliseconds(m_kernel.now() - m_request.arrived_at);
    m_kernel.log(log_level::info, "sessions", "attempt to run a statement at a member failed",
                 std::move(fields));
}

bool statement_execution::handle_retryable_error(std::string const& member, member_error error)
{
    if (!m_done) {
        return true;
    }
    log_attempt(member, error);
    if (m_is_cancelled && error == member_error::not_started) {
        // The dispatcher refused it since it was cancelled, which says nothing about the member.
        end_if_cancelled();
        return true;
    }
    switch (error) {
    case member_error::read_only:
        m_group.record_not_leading(member);
        start_next_attempt_after(duration::zero());
        return true;
    case member_error::lagging:
        m_excluded.insert(member);
        start_next_attempt_after(duration::zero());
        return true;
    case member_error::busy:
    case member_error::not_started:
    case member_error::unknown_prepared:
        if (!needs_leader()) {
            m_group.record_overload(member);
            m_excluded.insert(member);
            start_next_attempt_after(duration::zero());
            return true;
        }
        if (m_in_flight == 0 && m_kernel.now() - m_request.arrived_at >= m_request.work.latency_target / 2) {
            refuse(session_error::busy, "the leader's queue is too long", spread(queue_time(member)));
            return true;
        }
        start_next_attempt_after(busy_retry_delay);
        return true;
    case member_error::unproven_leader:
        if (m_in_flight == 0 && m_kernel.now() - m_request.arrived_at >= m_request.work.latency_target / 2) {
            refuse(session_error::busy, "the leader is being replaced or is cut off from its group",
                   spread(unproven_refusal_delay));
            return true;
        }
        start_next_attempt_after(unproven_retry_delay);
        return true;
    case member_error::too_many_connections:
    case member_error::wrong_member:
    case member_error::refused:
        m_group.record_failure(member, error);
        m_excluded.insert(member);
        start_next_attempt_after(unreachable_retry_delay);
        return true;
    case member_error::failed:
    case member_error::timed_out:
    case member_error::malformed:
    case member_error::connection_lost:
        return false;
    }
    return false;
}

void statement_execution::refuse(session_error error, std::string text, duration retry_after)
{
    execution_result result;
    result.answer.error = error;
    result.answer.error_text = std::move(text);
    result.answer.retry_after = retry_after;
    finish(std::move(result));
}

void statement_execution::finish(execution_result result)
{
    if (auto const done = std::exchange(m_done, nullptr)) {
        m_group.waiting().remove(m_waiting_number);
        done(std::move(result));
    }
}

} // namespace greengagehitch
