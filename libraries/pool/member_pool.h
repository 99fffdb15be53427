#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "pool/fair_queue.h"
#include "pool/member_connection.h"

namespace greengagehitch {

class member_pool;

/// Connection that is leased to one request. It returns to the pool after execute_last() or
/// roll_back_and_return(), once it was reset; otherwise the destructor closes it.
class leased_connection {
public:
    leased_connection(std::weak_ptr<member_pool> pool, std::unique_ptr<member_connection> connection);
    ~leased_connection();
    leased_connection(leased_connection const&) = delete;
    leased_connection& operator=(leased_connection const&) = delete;
    leased_connection(leased_connection&&) = delete;
    leased_connection& operator=(leased_connection&&) = delete;

    /// Sends a batch and keeps the connection leased.
    void execute(batch sql_batch, duration timeout, batch_callback on_answer);

    /// Sends the last batch of a request, followed by a reset, and ends the lease. The connection returns to
    /// the pool after the reset, and is rolled back first if the batch failed. `on_answer` does not wait for
    /// that.
    void execute_last(batch sql_batch, duration timeout, batch_callback on_answer);

    /// Rolls back the open transaction, resets the connection and returns it to the pool.
    void roll_back_and_return();

    bool is_broken() const { return !m_connection || m_connection->is_broken(); }

private:
    std::weak_ptr<member_pool> m_pool;
    std::unique_ptr<member_connection> m_connection;
};

using leased_connection_pointer = std::shared_ptr<leased_connection>;
using leased_connection_callback =
    std::function<void(std::variant<leased_connection_pointer, database_failure>)>;

/// Bounded set of connections to one member. Waiting requests get connections by deficit round robin over
/// client accounts, and fail at their deadline.
class member_pool : public std::enable_shared_from_this<member_pool> {
public:
    struct options {
        duration open_timeout{};
        /// Returns the current limit of connections of this VM to the member.
        std::function<std::size_t()> max_connections;
        std::function<void(database_failure const&)> on_failure; ///< Runs after a connection failed to open.
    };

    member_pool(kernel& kernel, database_hooks const& hooks, member_address address, options options);

    /// Requests a connection; fails if none is available before `deadline`. The callback may run before this
    /// function returns.
    void acquire(std::string const& client_account, monotonic_time deadline,
                 leased_connection_callback callback);

    /// Opens a connection if the pool has none, before a request needs it.
    void warm_up();

    /// Number of connections that are idle, leased, being opened or being reset.
    std::size_t connections() const { return m_idle.size() + m_leased + m_opening + m_awaiting_reset.size(); }
    std::size_t leased() const { return m_leased; }
    std::size_t waiting() const { return m_waiters.size(); }

    Json::Value dump() const;

private:
    friend class leased_connection;

    struct waiter {
        monotonic_time deadline;
        leased_connection_callback callback;
    };

    void serve_waiters();
    void open_if_needed();
    void open_one();
    void lease_connection(std::unique_ptr<member_connection> connection,
                          leased_connection_callback const& callback);
    void fail_waiters(database_failure const& failure);
    void drop_expired_waiters();
    void schedule_expiry();
    /// Takes ownership of a connection whose last answers or reset are outstanding.
    member_connection* hold_for_reset(std::unique_ptr<member_connection> connection);
    bool is_awaiting_reset(member_connection* connection) const
    {
        return m_awaiting_reset.contains(connection);
    }
    void reset(member_connection* connection);
    void finish_reset(member_connection* connection, bool was_reset);
    void end_lease() { --m_leased; }

    kernel& m_kernel;
    database_hooks const& m_hooks;
    member_address m_address;
    options m_options;
    std::list<std::unique_ptr<member_connection>> m_idle;
    fair_queue<waiter> m_waiters;
    std::size_t m_leased = 0;
    std::size_t m_opening = 0;
    std::map<member_connection*, std::unique_ptr<member_connection>> m_awaiting_reset;
    std::optional<monotonic_time> m_earliest_open_time;
    bool m_has_expiry_timer = false;
};

} // namespace greengagehitch
