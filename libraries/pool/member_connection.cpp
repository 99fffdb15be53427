#include "pool/member_connection.h"

#include <utility>

namespace greengagehitch {

member_connection::member_connection(kernel& kernel, database_hooks const& hooks)
    : m_kernel(kernel), m_hooks(hooks), m_kernel_lifetime(kernel.lifetime())
{
}

member_connection::~member_connection()
{
    m_state->is_alive = false;
    set_broken();
}

void member_connection::open(member_address const& address, duration timeout, opened_callback opened)
{
    auto const settled = std::make_shared<bool>(false);
    auto const timer = std::make_shared<timer_id>(timer_id::none);
    auto const settle = [this, state = m_state, settled, timer,
                         opened = std::move(opened)](std::optional<database_failure> failure) {
        if (!state->is_alive || std::exchange(*settled, true)) {
            return;
        }
        m_kernel.cancel_timer(*timer);
        if (failure) {
            set_broken();
        }
        opened(std::move(failure));
    };
    *timer = m_kernel.start_timer(timeout, [settle] {
        settle(database_failure{database_error::timed_out, "", "no connection in time"});
    });
    m_id = m_hooks.open(address, settle);
}

void member_connection::execute(batch question, duration timeout, batch_callback answered)
{
    VERIFY(!m_is_broken);
    auto const settled = std::make_shared<bool>(false);
    auto const timer = std::make_shared<timer_id>(timer_id::none);
    auto const settle = [this, state = m_state, settled, timer,
                         answered = std::move(answered)](batch_answer answer) {
        if (!state->is_alive || std::exchange(*settled, true)) {
            return;
        }
        m_kernel.cancel_timer(*timer);
        --m_in_flight;
        if (answer.failure && !is_definite(answer.failure->error)) {
            set_broken();
        }
        answered(std::move(answer));
    };
    ++m_in_flight;
    *timer = m_kernel.start_timer(timeout, [settle] {
        settle({{}, database_failure{database_error::timed_out, "", "no answer in time"}});
    });
    m_hooks.execute(m_id, std::move(question), settle);
}

void member_connection::set_broken()
{
    auto const was_broken = std::exchange(m_is_broken, true);
    if (!was_broken && m_id != connection_id::none && !m_kernel_lifetime.expired()) {
        m_hooks.close(m_id);
    }
}

} // namespace greengagehitch
