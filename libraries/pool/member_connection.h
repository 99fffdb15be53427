#pragma once

#include <deque>
#include <memory>
#include <string>

#include "database/batch.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Connection to one member. The destructor closes it; answers that arrive later are dropped, so that they
/// cannot reach another request.
class member_connection {
public:
    using opened_callback = std::function<void(std::optional<database_failure>)>;

    member_connection(kernel& kernel, database_hooks const& hooks);
    ~member_connection();
    member_connection(member_connection const&) = delete;
    member_connection& operator=(member_connection const&) = delete;
    member_connection(member_connection&&) = delete;
    member_connection& operator=(member_connection&&) = delete;

    /// Opens the connection. Runs `on_open` once, unless the object is destroyed first.
    void open(member_address const& address, duration timeout, opened_callback on_open);

    /// Sends a batch. Runs `on_answer` once, unless the object is destroyed first. A timeout or a lost
    /// connection marks the connection as broken.
    void execute(batch sql_batch, duration timeout, batch_callback on_answer);

    bool is_broken() const { return m_is_broken; }
    std::size_t batches_in_flight() const { return m_pending.size(); }

    /// Closes the connection and marks it as broken, so that it is not used for another request.
    void set_broken();

private:
    struct pending_batch {
        bool is_settled = false;
        timer_id timer = timer_id::none;
        batch_callback on_answer;
    };

    /// Handles the answer to a batch. An answer that is out of order, or that leaves the outcome of the batch
    /// unknown, breaks the connection and fails all batches that are pending on it.
    void handle_answer(std::shared_ptr<pending_batch> const& pending, batch_answer answer);
    void fail_all(database_failure failure);

    kernel& m_kernel;
    database_hooks const& m_hooks;
    std::weak_ptr<bool> m_kernel_lifetime;
    std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
    connection_id m_id = connection_id::none;
    bool m_is_broken = false;
    std::deque<std::shared_ptr<pending_batch>> m_pending;
};

} // namespace greengagehitch
