#include "pool/control_channel.h"

#include <utility>

namespace greengagehitch {

control_channel::control_channel(kernel& kernel, database_hooks const& hooks, member_address address)
    : m_kernel(kernel), m_hooks(hooks), m_address(std::move(address))
{
}

void control_channel::send_batch(batch sql_batch, duration timeout, batch_callback on_answer)
{
    m_waiting.push_back({std::move(sql_batch), m_kernel.now() + timeout, std::move(on_answer)});
    if (m_is_opening) {
        return;
    }
    if (!m_connection || m_connection->is_broken()) {
        open();
        return;
    }
    send_waiting();
}

void control_channel::open()
{
    m_is_opening = true;
    m_connection = std::make_unique<member_connection>(m_kernel, m_hooks);
    auto const timeout = m_waiting.back().deadline - m_kernel.now();
    m_connection->open(m_address, timeout, [this](std::optional<database_failure> const& failure) {
        m_is_opening = false;
        if (failure) {
            fail_waiting(*failure);
            return;
        }
        send_waiting();
    });
}

void control_channel::send_waiting()
{
    auto const self = shared_from_this();
    while (!m_waiting.empty() && !m_connection->is_broken()) {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        auto const time_left = next.deadline - m_kernel.now();
        if (time_left <= duration::zero()) {
            next.on_answer({{},
                            database_failure{database_error::timed_out, "",
                                             "control connection was not opened before the deadline"}});
            continue;
        }
        m_connection->execute(std::move(next.sql_batch), time_left, std::move(next.on_answer));
    }
}

void control_channel::fail_waiting(database_failure const& failure)
{
    auto const waiting = std::exchange(m_waiting, {});
    for (auto const& each : waiting) {
        each.on_answer({{}, failure});
    }
}

} // namespace greengagehitch
