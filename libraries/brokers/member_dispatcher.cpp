#include "brokers/member_dispatcher.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Number of requests sent to a member beyond its number of slots, so that a slot that becomes free need not
/// wait for the next request to arrive over the network.
constexpr std::size_t requests_beyond_slots = 1;
/// Statements of open transactions run before all others, since a transaction holds resources that other
/// requests wait for.
constexpr int transaction_priority = -1;
constexpr duration rollback_timeout = std::chrono::milliseconds(500);
constexpr int smoothing_divisor = 16;

} // namespace

member_reply make_failed_reply(std::size_t commands, member_error error, std::string const& text)
{
    member_reply reply;
    member_answer answer;
    answer.error = error;
    answer.error_text = text;
    reply.answers.assign(commands, answer);
    return reply;
}

member_dispatcher::member_dispatcher(kernel& kernel, backend_connection_hooks const& hooks,
                                     backend_connection_target target, options options)
    : m_kernel(kernel), m_options(std::move(options))
{
    backend_connection_pool::options pool;
    pool.connection_limit = m_options.connection_limit;
    pool.on_open_failed = m_options.on_open_failed;
    pool.on_opened = [on_contact = m_options.on_contact](member_answer const&) {
        if (on_contact) {
            on_contact();
        }
    };
    m_pool = std::make_shared<backend_connection_pool>(kernel, hooks, std::move(target), std::move(pool));
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
    if (!may_send(added->request)) {
        refuse(added, member_error::not_started, "availability zone of the member is evacuated");
        return;
    }
    if (!added->request.needs_slot) {
        start(added);
        return;
    }
    auto const priority = added->connection ? transaction_priority : added->request.priority;
    auto const limit = std::chrono::milliseconds(added->request.queue_limit_ms);
    if (expected_wait(priority) > limit) {
        refuse(added, member_error::not_started,
               "request is not expected to leave the queue for the member in time");
        return;
    }
    m_waiting[priority].push(added->request.client_account, 1, added);
    ++m_waiting_count;
    m_kernel.start_timer(limit, [weak = weak_from_this(), waiting = std::weak_ptr(added)] {
        auto const dispatcher = weak.lock();
        auto const late = waiting.lock();
        if (dispatcher && late && !late->is_started) {
            late->is_started = true;
            dispatcher->refuse(late, member_error::not_started,
                               "request waited too long in the queue for the member");
        }
    });
    start_waiting_requests();
}

duration member_dispatcher::expected_wait(int priority) const
{
    std::size_t ahead = 0;
    for (auto const& [each, queue] : m_waiting) {
        if (each <= priority) {
            ahead += queue.size();
        }
    }
    auto const limit = m_options.slots + requests_beyond_slots;
    auto const pace = m_options.warm_up
                          ? m_options.warm_up->expected_wait(m_unsent + ahead).value_or(duration::zero())
                          : duration::zero();
    if (m_running + ahead < limit) {
        return pace;
    }
    return std::max(pace, m_service_time * static_cast<duration::rep>(m_running + ahead + 1 - limit) /
                              static_cast<duration::rep>(m_options.slots));
}

void member_dispatcher::start_waiting_requests()
{
    while (m_running < m_options.slots + requests_beyond_slots && may_start_next()) {
        auto const next = take_next();
        if (!next) {
            return;
        }
        ++m_running;
        ++m_unsent;
        start(next);
    }
}

bool member_dispatcher::may_start_next()
{
    if (m_waiting_count == 0 || !m_options.warm_up) {
        return m_waiting_count != 0;
    }
    auto const wait = m_options.warm_up->expected_wait(m_unsent);
    if (!wait) {
        refuse_waiting("another VM sends the requests to the member while it warms up");
        return false;
    }
    if (*wait == duration::zero()) {
        return true;
    }
    if (!std::exchange(m_has_start_timer, true)) {
        m_kernel.start_timer(*wait, [weak = weak_from_this()] {
            if (auto const dispatcher = weak.lock()) {
                dispatcher->m_has_start_timer = false;
                dispatcher->start_waiting_requests();
            }
        });
    }
    return false;
}

void member_dispatcher::refuse_waiting(std::string const& text)
{
    while (auto const next = take_next()) {
        next->is_started = true;
        refuse(next, member_error::not_started, text);
    }
}

member_dispatcher::queued_request_pointer member_dispatcher::take_next()
{
    for (auto& [priority, queue] : m_waiting) {
        while (auto next = queue.pop()) {
            --m_waiting_count;
            if (!(*next)->is_started) {
                return *next;
            }
        }
    }
    return nullptr;
}

void member_dispatcher::start(queued_request_pointer const& queued)
{
    queued->is_started = true;
    if (queued->connection && !*queued->is_pinned) {
        // The transaction was rolled back while the statement waited, and its connection may serve another
        // transaction.
        free_slot(*queued);
        refuse(queued, member_error::connection_lost,
               "transaction was rolled back while the statement waited");
        return;
    }
    if (queued->connection) {
        send(queued, queued->connection);
        return;
    }
    auto const keep_alive = shared_from_this();
    auto const request = m_pool->acquire(
        queued->request.client_account, queued->request.values,
        [this, keep_alive, queued](std::variant<backend_connection_pointer, member_error> result) {
            if (auto const* const error = std::get_if<member_error>(&result)) {
                free_slot(*queued);
                refuse(queued, *error, "no connection to the member is available");
                return;
            }
            send(queued, std::get<backend_connection_pointer>(result));
        });
    m_kernel.start_timer(
        std::chrono::milliseconds(queued->request.queue_limit_ms), [this, keep_alive, queued, request] {
            if (!request->is_waiting()) {
                return;
            }
            request->cancel();
            free_slot(*queued);
            refuse(queued, m_pool->is_unreachable() ? member_error::refused : member_error::not_started,
                   "no connection to the member became free in time");
        });
}

void member_dispatcher::send(queued_request_pointer const& queued,
                             backend_connection_pointer const& connection)
{
    if (!queued->request.needs_proven_leader || !m_options.check_leadership) {
        send_commands(queued, connection);
        return;
    }
    m_options.check_leadership([dispatcher = shared_from_this(), queued, connection](bool is_proven) {
        if (is_proven) {
            dispatcher->send_commands(queued, connection);
            return;
        }
        if (!queued->connection) {
            dispatcher->m_pool->release(connection);
        }
        dispatcher->free_slot(*queued);
        dispatcher->refuse(queued, member_error::unproven_leader,
                           "member is not proven to be the leader of its group");
    });
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
    auto const is_in_time = may_send(request);
    if (!is_in_time || (request.needs_slot && m_options.warm_up && !m_options.warm_up->try_take())) {
        if (!queued->connection) {
            m_pool->release(connection);
        }
        free_slot(*queued);
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
    for (std::size_t i = 0; i < setup_count; ++i) {
        if (!answers[i].is_ok()) {
            // A setup command failed, so the values and prepared statements of the connection are unknown.
            connection->close();
            break;
        }
    }
    answers.erase(answers.begin(), answers.begin() + static_cast<std::ptrdiff_t>(setup_count));
    for (auto const& answer : answers) {
        if (answer.error == member_error::unknown_prepared) {
            connection->clear_prepared();
        }
    }
    if (queued->request.commits_write && answers.back().is_ok() && m_options.on_commit) {
        m_options.on_commit(sent_at);
    }
    if (answers.back().error == member_error::connection_lost && m_options.on_connection_lost) {
        m_options.on_connection_lost();
    }
    if (answers.back().is_ok() && m_options.on_contact) {
        m_options.on_contact();
    }
    if (queued->request.needs_slot && answers.back().is_ok()) {
        m_service_time += (m_kernel.now() - sent_at - m_service_time) / smoothing_divisor;
    }
    free_slot(*queued);
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
    queued->done(std::move(reply));
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
        });
}

void member_dispatcher::mark_sent(queued_request& sent)
{
    if (sent.request.needs_slot && !std::exchange(sent.is_sent, true)) {
        --m_unsent;
    }
}

void member_dispatcher::free_slot(queued_request& finished)
{
    mark_sent(finished);
    if (finished.request.needs_slot) {
        VERIFY(m_running > 0);
        --m_running;
        start_waiting_requests();
    }
}

void member_dispatcher::refuse(queued_request_pointer const& refused, member_error error,
                               std::string const& text)
{
    if (auto const done = std::exchange(refused->done, nullptr)) {
        done(make_failed_reply(refused->request.commands.size(), error, text));
    }
}

void member_dispatcher::shut_down()
{
    m_pool->shut_down();
    while (auto const next = take_next()) {
        refuse(next, member_error::refused, "member was removed from the directory");
    }
}

} // namespace greengagehitch
