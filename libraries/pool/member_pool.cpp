#include "pool/member_pool.h"

#include <algorithm>
#include <utility>

#include "database/group_contract.h"

namespace greengagehitch {

namespace {

constexpr duration reset_timeout = std::chrono::seconds(1);
constexpr duration reopen_delay = std::chrono::milliseconds(50);
constexpr duration expiry_check_period = std::chrono::milliseconds(5);

batch single_statement_batch(statement sql_batch)
{
    batch result;
    result.statements.push_back(std::move(sql_batch));
    return result;
}

} // namespace

leased_connection::leased_connection(std::weak_ptr<member_pool> pool,
                                     std::unique_ptr<member_connection> connection)
    : m_pool(std::move(pool)), m_connection(std::move(connection))
{
}

leased_connection::~leased_connection()
{
    auto const pool = m_pool.lock();
    if (m_connection && pool) {
        // The connection may have an open transaction, so it must not be leased to another request.
        m_connection.reset();
        pool->end_lease();
        pool->open_if_needed();
    }
}

void leased_connection::execute(batch sql_batch, duration timeout, batch_callback on_answer)
{
    VERIFY(m_connection);
    m_connection->execute(std::move(sql_batch), timeout, std::move(on_answer));
}

void leased_connection::execute_last(batch sql_batch, duration timeout, batch_callback on_answer)
{
    VERIFY(m_connection);
    auto const owner = m_pool.lock();
    VERIFY(owner);
    auto const succeeded = std::make_shared<bool>(false);
    owner->end_lease();
    // The pool owns the connection until its reset is complete.
    auto* const connection = owner->hold_for_reset(std::move(m_connection));
    connection->execute(
        std::move(sql_batch), timeout,
        [connection, weak = m_pool, succeeded, on_answer = std::move(on_answer)](batch_answer answer) {
            *succeeded = answer.is_ok();
            auto const pool = weak.lock();
            if (pool && connection->is_broken()) {
                pool->finish_reset(connection, false);
            }
            on_answer(std::move(answer));
        });
    connection->execute(single_statement_batch(group_contract::reset()), timeout + reset_timeout,
                        [connection, weak = m_pool, succeeded](batch_answer const& answer) {
                            auto const pool = weak.lock();
                            if (!pool || !pool->is_awaiting_reset(connection)) {
                                return;
                            }
                            if (*succeeded || connection->is_broken()) {
                                pool->finish_reset(connection, answer.is_ok());
                                return;
                            }
                            pool->reset(connection);
                        });
}

void leased_connection::roll_back_and_return()
{
    auto const pool = m_pool.lock();
    if (!m_connection || !pool) {
        return;
    }
    pool->end_lease();
    if (m_connection->is_broken()) {
        m_connection.reset();
        pool->open_if_needed();
        return;
    }
    pool->reset(pool->hold_for_reset(std::move(m_connection)));
}

member_pool::member_pool(kernel& kernel, database_hooks const& hooks, member_address address, options options)
    : m_kernel(kernel), m_hooks(hooks), m_address(std::move(address)), m_options(std::move(options))
{
}

void member_pool::acquire(std::string const& client_account, monotonic_time deadline,
                          leased_connection_callback callback)
{
    if (m_earliest_open_time && m_kernel.now() < *m_earliest_open_time && connections() == 0) {
        callback(database_failure{
            database_error::refused, "",
            "the last connection to the member failed to open; the next attempt is delayed"});
        return;
    }
    constexpr double cost = 1;
    m_waiters.push(client_account, cost, {deadline, std::move(callback)});
    serve_waiters();
}

void member_pool::warm_up()
{
    if (connections() == 0) {
        open_one();
    }
}

Json::Value member_pool::dump() const
{
    Json::Value state(Json::objectValue);
    state["idle"] = Json::UInt64(m_idle.size());
    state["leased"] = Json::UInt64(m_leased);
    state["opening"] = Json::UInt64(m_opening);
    state["resetting"] = Json::UInt64(m_awaiting_reset.size());
    state["waiting"] = Json::UInt64(m_waiters.size());
    state["max_connections"] = Json::UInt64(m_options.max_connections());
    return state;
}

void member_pool::serve_waiters()
{
    while (!m_idle.empty() && !m_waiters.is_empty()) {
        auto next = m_waiters.pop();
        if (next->deadline <= m_kernel.now()) {
            next->callback(database_failure{database_error::timed_out, "",
                                            "no connection became available before the deadline"});
            continue;
        }
        auto connection = std::move(m_idle.front());
        m_idle.pop_front();
        lease_connection(std::move(connection), next->callback);
    }
    open_if_needed();
    schedule_expiry();
}

void member_pool::open_if_needed()
{
    while (m_opening < m_waiters.size() && connections() < m_options.max_connections()) {
        if (m_earliest_open_time && m_kernel.now() < *m_earliest_open_time) {
            return;
        }
        open_one();
    }
}

void member_pool::open_one()
{
    ++m_opening;
    auto const holder = std::make_shared<std::unique_ptr<member_connection>>(
        std::make_unique<member_connection>(m_kernel, m_hooks));
    auto* const connection = holder->get();
    connection->open(m_address, m_options.open_timeout,
                     [weak = weak_from_this(), holder](std::optional<database_failure> const& failure) {
                         auto const self = weak.lock();
                         auto new_connection = std::move(*holder);
                         if (!self) {
                             return;
                         }
                         --self->m_opening;
                         if (failure) {
                             self->m_earliest_open_time = self->m_kernel.now() + reopen_delay;
                             new_connection.reset();
                             self->m_options.on_failure(*failure);
                             self->fail_waiters(*failure);
                             return;
                         }
                         self->m_earliest_open_time.reset();
                         self->m_idle.push_back(std::move(new_connection));
                         self->serve_waiters();
                     });
}

void member_pool::lease_connection(std::unique_ptr<member_connection> connection,
                                   leased_connection_callback const& callback)
{
    VERIFY(connection->batches_in_flight() == 0);
    ++m_leased;
    callback(std::make_shared<leased_connection>(weak_from_this(), std::move(connection)));
}

void member_pool::fail_waiters(database_failure const& failure)
{
    if (failure.error == database_error::too_many_connections && connections() > 0) {
        // The open connections continue to serve requests, so the waiting requests stay queued.
        return;
    }
    for (auto& each : m_waiters.remove_if([](auto const&) { return true; })) {
        each.callback(failure);
    }
}

void member_pool::drop_expired_waiters()
{
    auto const now = m_kernel.now();
    for (auto& each : m_waiters.remove_if([now](auto const& waiting) { return waiting.deadline <= now; })) {
        each.callback(database_failure{database_error::timed_out, "",
                                       "no connection became available before the deadline"});
    }
}

void member_pool::schedule_expiry()
{
    if (m_has_expiry_timer || m_waiters.is_empty()) {
        return;
    }
    m_has_expiry_timer = true;
    m_kernel.start_timer(expiry_check_period, [weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->m_has_expiry_timer = false;
            self->drop_expired_waiters();
            self->serve_waiters();
        }
    });
}

member_connection* member_pool::hold_for_reset(std::unique_ptr<member_connection> connection)
{
    auto* const kept = connection.get();
    m_awaiting_reset.emplace(kept, std::move(connection));
    return kept;
}

void member_pool::reset(member_connection* connection)
{
    connection->execute(single_statement_batch(group_contract::rollback()), reset_timeout,
                        [](batch_answer const& /*answer*/) {
                            // If the rollback fails, the reset that follows fails too.
                        });
    connection->execute(single_statement_batch(group_contract::reset()), reset_timeout,
                        [weak = weak_from_this(), connection](batch_answer const& answer) {
                            if (auto const self = weak.lock()) {
                                self->finish_reset(connection, answer.is_ok());
                            }
                        });
}

void member_pool::finish_reset(member_connection* connection, bool was_reset)
{
    auto const found = m_awaiting_reset.find(connection);
    VERIFY(found != m_awaiting_reset.end());
    auto finished = std::move(found->second);
    m_awaiting_reset.erase(found);
    auto const is_within_limit = connections() < m_options.max_connections();
    if (was_reset && !finished->is_broken() && is_within_limit) {
        m_idle.push_back(std::move(finished));
    }
    else {
        finished.reset();
    }
    serve_waiters();
}

} // namespace greengagehitch
