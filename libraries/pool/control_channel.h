#pragma once

#include <deque>
#include <memory>

#include "pool/member_connection.h"

namespace greengagehitch {

/// One connection to a member for internal statements: status requests, fences and promotions. It is separate
/// from the pool, so that client requests cannot delay them.
class control_channel : public std::enable_shared_from_this<control_channel> {
public:
    control_channel(kernel& kernel, database_hooks const& hooks, member_address address);

    /// Sends a batch, and opens a connection first if there is none. Runs `on_answer` once, with the answer
    /// or a failure.
    void send_batch(batch sql_batch, duration timeout, batch_callback on_answer);

private:
    struct waiting_batch {
        batch sql_batch;
        monotonic_time deadline;
        batch_callback on_answer;
    };

    void open();
    void send_waiting();
    void fail_waiting(database_failure const& failure);

    kernel& m_kernel;
    database_hooks const& m_hooks;
    member_address m_address;
    std::unique_ptr<member_connection> m_connection;
    bool m_is_opening = false;
    std::deque<waiting_batch> m_waiting;
};

} // namespace greengagehitch
