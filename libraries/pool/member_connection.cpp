#include "pool/member_connection.h"

#include <utility>

namespace greengagehitch {

member_connection::member_connection(kernel& kernel, database_hooks const& hooks)
    : m_kernel(kernel), m_hooks(hooks), m_kernel_lifetime(kernel.lifetime())
{
}

member_connection::~member_connection()
{
    *m_is_alive = false;
    set_broken();
}

void member_connection::open(member_address const& address, duration timeout, opened_callback on_open)
{
    auto const settled = std::make_shared<bool>(false);
    auto const timer = std::make_shared<timer_id>(timer_id::none);
    auto const settle = [this, is_alive = m_is_alive, settled, timer,
                         on_open = std::move(on_open)](std::optional<database_failure> failure) {
        if (!*is_alive || std::exchange(*settled, true)) {
            return;
        }
        m_kernel.cancel_timer(*timer);
        if (failure) {
            set_broken();
        }
        on_open(std::move(failure));
    };
    *timer = m_kernel.start_timer(timeout, [settle] {
        settle(
            database_failure{database_error::timed_out, "", "connection was not opened within its timeout"});
    });
    m_id = m_hooks.open(address, settle);
}

void member_connection::execute(batch sql_batch, duration timeout, batch_callback on_answer)
{
    VERIFY(!m_is_broken);
    auto const pending = std::make_shared<pending_batch>();
    pending->on_answer = std::move(on_answer);
    m_pending.push_back(pending);
    auto const handle = [this, is_alive = m_is_alive, pending](batch_answer answer) {
        if (*is_alive) {
            handle_answer(pending, std::move(answer));
        }
    };
    pending->timer = m_kernel.start_timer(timeout, [handle] {
        handle({{},
                database_failure{database_error::timed_out, "", "member did not answer within the timeout"}});
    });
    m_hooks.execute(m_id, std::move(sql_batch), handle);
}

void member_connection::handle_answer(std::shared_ptr<pending_batch> const& pending, batch_answer answer)
{
    if (pending->is_settled) {
        return;
    }
    if (answer.failure && !is_definite(answer.failure->error)) {
        fail_all(*answer.failure);
        return;
    }
    if (m_pending.front() != pending) {
        fail_all({database_error::connection_lost, "", "member returned answers out of order"});
        return;
    }
    m_pending.pop_front();
    pending->is_settled = true;
    m_kernel.cancel_timer(pending->timer);
    std::exchange(pending->on_answer, nullptr)(std::move(answer));
}

void member_connection::fail_all(database_failure failure)
{
    set_broken();
    auto const failed = std::exchange(m_pending, {});
    for (auto const& each : failed) {
        each->is_settled = true;
        m_kernel.cancel_timer(each->timer);
    }
    for (auto const& each : failed) {
        // An earlier callback may have destroyed this object; the remaining callbacks must run nevertheless.
        std::exchange(each->on_answer, nullptr)({{}, failure});
    }
}

void member_connection::set_broken()
{
    auto const was_broken = std::exchange(m_is_broken, true);
    if (!was_broken && m_id != connection_id::none && !m_kernel_lifetime.expired()) {
        m_hooks.close(m_id);
    }
}

} // namespace greengagehitch
