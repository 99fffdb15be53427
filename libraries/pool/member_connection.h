#pragma once

#include <deque>
#include <memory>
#include <string>

#include "database/batch.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Open connection to one member. Closes it when it goes out of scope; answers that come later are dropped,
/// so they cannot reach another request.
class member_connection {
public:
    using opened_callback = std::function<void(std::optional<database_failure>)>;

    member_connection(kernel& kernel, database_hooks const& hooks);
    ~member_connection();
    member_connection(member_connection const&) = delete;
    member_connection& operator=(member_connection const&) = delete;
    member_connection(member_connection&&) = delete;
    member_connection& operator=(member_connection&&) = delete;

    /// Opens the connection. `on_open` comes once, unless the object goes first.
    void open(member_address const& address, duration timeout, opened_callback on_open);

    /// Sends a batch. `on_answer` comes once, unless the object goes first; after a timeout or a lost
    /// connection the connection is broken.
    void execute(batch sql_batch, duration timeout, batch_callback on_answer);

    bool is_broken() const { return m_is_broken; }
    std::size_t batches_in_flight() const { return m_pending.size(); }

    /// Marks the connection as unfit for another request.
    void set_broken();

private:
    struct pending_batch {
        bool is_settled = false;
        timer_id timer = timer_id::none;
        batch_callback on_answer;
    };

    /// Takes in the answer to a batch. An answer out of turn, or one that leaves the fate of the batch open,
    /// breaks the connection, and all batches that wait on it fail.
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
