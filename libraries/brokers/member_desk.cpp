#include "brokers/member_desk.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Requests with a member beyond its slots, so that a slot does not wait for the way to the next request.
constexpr std::size_t requests_ahead = 1;
/// Statements of open transactions go before all others, since they hold what others wait for.
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

member_desk::member_desk(kernel& kernel, backend_connection_hooks const& hooks,
                         backend_connection_target target, options options)
    : m_kernel(kernel), m_options(std::move(options))
{
    backend_connection_pool::options pool;
    pool.connection_limit = m_options.connection_limit;
    pool.on_open_failed = m_options.on_open_failed;
    pool.on_opened = [on_opened = m_options.on_opened](member_answer const&) {
        if (on_opened) {
            on_opened();
        }
    };
    m_pool = std::make_shared<backend_connection_pool>(kernel, hooks, std::move(target), std::move(pool));
}

void member_desk::run(member_request request, reply_callback done)
{
    auto const added = std::make_shared<entry>();
    added->request = std::move(request);
    added->done = std::move(done);
    added->since = m_kernel.now();
    enqueue(added);
}

void member_desk::enqueue(entry_pointer const& added)
{
    if (!added->request.needs_slot) {
        start(added);
        return;
    }
    auto const priority = added->link ? transaction_priority : added->request.priority;
    auto const limit = std::chrono::milliseconds(added->request.queue_limit_ms);
    if (expected_wait(priority) > limit) {
        refuse(added, member_error::not_started, "queue is too long");
        return;
    }
    m_waiting[priority].push(added->request.client_account, 1, added);
    ++m_waiting_count;
    m_kernel.start_timer(limit, [weak = weak_from_this(), waiting = std::weak_ptr(added)] {
        auto const desk = weak.lock();
        auto const late = waiting.lock();
        if (desk && late && !late->is_started) {
            late->is_started = true;
            desk->refuse(late, member_error::not_started, "waited too long");
        }
    });
    pump();
}

duration member_desk::expected_wait(int priority) const
{
    std::size_t ahead = 0;
    for (auto const& [each, queue] : m_waiting) {
        if (each <= priority) {
            ahead += queue.size();
        }
    }
    auto const limit = m_options.slots + requests_ahead;
    if (m_running + ahead < limit) {
        return duration::zero();
    }
    return m_service_time * static_cast<duration::rep>(m_running + ahead + 1 - limit) /
           static_cast<duration::rep>(m_options.slots);
}

void member_desk::pump()
{
    while (m_running < m_options.slots + requests_ahead) {
        auto const next = take_next();
        if (!next) {
            return;
        }
        ++m_running;
        start(next);
    }
}

member_desk::entry_pointer member_desk::take_next()
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

void member_desk::start(entry_pointer const& started)
{
    started->is_started = true;
    if (started->link && !*started->is_held) {
        // The transaction was rolled back while this waited, and the link may serve another one.
        free_slot(*started);
        refuse(started, member_error::connection_lost, "transaction is gone");
        return;
    }
    if (started->link) {
        send(started, started->link);
        return;
    }
    auto const keep_alive = shared_from_this();
    auto const request = m_pool->acquire(
        started->request.client_account, started->request.values,
        [this, keep_alive, started](std::variant<backend_connection_pointer, member_error> result) {
            if (auto const* const error = std::get_if<member_error>(&result)) {
                free_slot(*started);
                refuse(started, *error, "no connection");
                return;
            }
            send(started, std::get<backend_connection_pointer>(result));
        });
    m_kernel.start_timer(
        std::chrono::milliseconds(started->request.queue_limit_ms), [this, keep_alive, started, request] {
            if (!request->is_waiting()) {
                return;
            }
            request->cancel();
            free_slot(*started);
            refuse(started, m_pool->is_unreachable() ? member_error::refused : member_error::not_started,
                   "no connection became free");
        });
}

void member_desk::send(entry_pointer const& started, backend_connection_pointer const& link)
{
    auto& request = started->request;
    auto commands = link->align_values(request.values);
    if (request.prepared) {
        for (auto& prepare : link->align_prepared(*request.prepared)) {
            commands.push_back(std::move(prepare));
        }
    }
    auto const aligned = commands.size();
    if (aligned != 0 && started->link) {
        link->set_changed_in_transaction();
    }
    commands.insert(commands.end(), request.commands.begin(), request.commands.end());
    link->send(commands, std::chrono::milliseconds(request.time_limit_ms),
               [desk = shared_from_this(), started, link, aligned,
                sent_at = m_kernel.now()](std::vector<member_answer> answers) {
                   desk->take_answers(started, link, aligned, sent_at, std::move(answers));
               });
}

void member_desk::take_answers(entry_pointer const& started, backend_connection_pointer const& link,
                               std::size_t aligned, monotonic_time sent_at,
                               std::vector<member_answer> answers)
{
    for (std::size_t i = 0; i < aligned; ++i) {
        if (!answers[i].is_ok()) {
            // What the connection holds is not known any more.
            link->close();
            break;
        }
    }
    answers.erase(answers.begin(), answers.begin() + static_cast<std::ptrdiff_t>(aligned));
    for (auto const& answer : answers) {
        if (answer.error == member_error::unknown_prepared) {
            link->forget_prepared();
        }
    }
    if (started->request.needs_slot && answers.back().is_ok()) {
        m_service_time += (m_kernel.now() - sent_at - m_service_time) / smoothing_divisor;
    }
    free_slot(*started);
    member_reply reply;
    auto const is_kept =
        started->request.keeps_link && link->is_open() && link->state() != transaction_state::idle;
    reply.answers = std::move(answers);
    if (!started->link) {
        if (is_kept) {
            reply.lease = make_lease(link);
        }
        else {
            m_pool->release(link);
        }
    }
    started->done(std::move(reply));
}

lease_pointer member_desk::make_lease(backend_connection_pointer const& link)
{
    auto const is_held = std::make_shared<bool>(true);
    return std::make_shared<member_lease>(member_lease::hooks{
        [desk = shared_from_this(), link, is_held](member_request request, reply_callback done) {
            auto const added = std::make_shared<entry>();
            added->request = std::move(request);
            added->done = std::move(done);
            added->link = link;
            added->is_held = is_held;
            added->since = desk->m_kernel.now();
            desk->enqueue(added);
        },
        [weak = weak_from_this(), lifetime = m_kernel.lifetime(), link, is_held] {
            *is_held = false;
            auto const desk = weak.lock();
            if (desk && !lifetime.expired()) {
                desk->give_back(link);
            }
        }});
}

void member_desk::give_back(backend_connection_pointer const& link)
{
    link->end_transaction();
    if (!link->is_open() || !link->is_idle()) {
        link->close();
    }
    if (link->is_closed() || link->state() == transaction_state::idle) {
        m_pool->release(link);
        return;
    }
    std::vector<member_command> commands(1);
    commands.front().kind = command_kind::rollback;
    link->send(commands, rollback_timeout,
               [desk = shared_from_this(), link](std::vector<member_answer> const& answers) {
                   if (!answers.front().is_ok()) {
                       link->close();
                   }
                   desk->m_pool->release(link);
               });
}

void member_desk::free_slot(entry const& finished)
{
    if (finished.request.needs_slot) {
        VERIFY(m_running > 0);
        --m_running;
        pump();
    }
}

void member_desk::refuse(entry_pointer const& refused, member_error error, std::string const& text)
{
    if (auto const done = std::exchange(refused->done, nullptr)) {
        done(make_failed_reply(refused->request.commands.size(), error, text));
    }
}

void member_desk::shut_down()
{
    m_pool->shut_down();
    while (auto const next = take_next()) {
        refuse(next, member_error::refused, "member is gone");
    }
}

} // namespace greengagehitch
