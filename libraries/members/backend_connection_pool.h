#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <variant>

#include "members/backend_connection.h"

namespace greengagehitch {

using backend_connection_callback =
    std::function<void(std::variant<backend_connection_pointer, member_error>)>;

/// What a request asks of the connection that it gets.
enum class connection_demand {
    any,
    no_errors, ///< It has delivered no error, so that an error on it is no repetition.
    unused,    ///< Nothing has been sent on it, so that no answer on it is a repetition.
};

/// Pending request for a connection, which can be cancelled.
class backend_connection_request {
public:
    /// Cancels the request; its callback is not called any more.
    void cancel() { m_callback = nullptr; }
    bool is_waiting() const { return m_callback != nullptr; }

private:
    friend class backend_connection_pool;

    std::string m_client_account;
    backend_connection::values_map m_values;
    connection_demand m_demand = connection_demand::any;
    monotonic_time m_since;
    backend_connection_callback m_callback;
};

/// How a request for a connection would fare at this moment.
enum class connection_availability {
    idle,      ///< An idle connection of the account is free.
    can_open,  ///< A handshake could begin.
    paused,    ///< Handshakes are delayed, since enough are in progress or the last one failed.
    exhausted, ///< All connections are in use.
};

using backend_connection_request_pointer = std::shared_ptr<backend_connection_request>;

/// Connections to one member. Each connection belongs to one client account for its whole life, and the total
/// number is bounded: when the limit is reached, the connection that has been idle for longest is closed to
/// make room for another account. Requests wait in order of arrival. A released connection serves the first
/// waiting request of its own account, unless an earlier request of another account closes it to make room.
class backend_connection_pool : public std::enable_shared_from_this<backend_connection_pool> {
public:
    struct options {
        std::function<std::size_t()> connection_limit; ///< Current maximum number of connections for this VM.
        std::function<void(member_answer const&)> on_opened;
        std::function<void(member_error)> on_open_failed;
        backend_connection::unmatched_answer_hook on_unmatched_answer; ///< May be empty.
    };

    backend_connection_pool(kernel& kernel, backend_connection_hooks const& hooks,
                            backend_connection_target target, options options);

    /// Requests a connection of the account, preferably one whose session values equal `values`. The callback
    /// is called once, after this call has returned.
    backend_connection_request_pointer acquire(std::string const& client_account,
                                               backend_connection::values_map const& values,
                                               backend_connection_callback callback,
                                               connection_demand demand = connection_demand::any);

    /// Returns a connection to the pool. The pool closes the connection if it is not open, has commands in
    /// flight or an open transaction, or if the pool is at its connection limit.
    void release(backend_connection_pointer const& connection);

    /// Returns true if no connection is open and opening one has taken longer than a handshake usually takes.
    bool is_unreachable() const;

    connection_availability availability(std::string const& client_account) const;

    std::size_t connections() const { return m_idle.size() + m_leased + m_opening; }
    std::size_t leased() const { return m_leased; }
    std::size_t waiting() const { return m_waiting.size(); }

    /// Closes idle connections beyond the connection limit, and those that were idle for longer than `limit`.
    void trim(duration limit);

    /// Closes connections that were idle for longer than `limit`, but keeps `kept` connections in total.
    void trim_surplus(std::size_t kept, duration limit);

    /// Closes all idle connections and fails the waiting requests, after the member was removed.
    void shut_down();

private:
    void serve();
    bool try_serve(backend_connection_request& request);
    backend_connection_pointer take_idle(backend_connection_request const& request);
    bool evict_idle();
    void open_connection(std::string const& client_account);
    void finish_open(backend_connection_pointer const& connection, member_answer const& answer);
    void fail_waiting(member_error error);
    void schedule_serve(duration delay);

    kernel& m_kernel;
    backend_connection_hooks const& m_hooks;
    backend_connection_target m_target;
    options m_options;
    std::list<backend_connection_pointer> m_idle; ///< Ordered by idle time, longest first.
    std::size_t m_leased = 0;
    std::size_t m_opening = 0;
    std::map<std::string, std::size_t> m_opening_by_account; ///< Handshakes in progress, keyed by account.
    std::list<backend_connection_pointer> m_opening_connections;
    std::list<backend_connection_request_pointer> m_waiting;
    monotonic_time m_next_open_at; ///< Earliest time of the next handshake, after a failed one.
    std::optional<monotonic_time> m_unanswered_since; ///< Time of the first handshake since one succeeded.
    bool m_has_serve_timer = false;
    bool m_is_shut_down = false;
};

} // namespace greengagehitch
