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

/// Wait for a link that may be given up.
class backend_connection_request {
public:
    /// Forgets the request; its callback does not come any more.
    void cancel() { m_callback = nullptr; }
    bool is_waiting() const { return m_callback != nullptr; }

private:
    friend class backend_connection_pool;

    std::string m_client_account;
    backend_connection::values_map m_values;
    monotonic_time m_since;
    backend_connection_callback m_callback;
};

using backend_connection_request_pointer = std::shared_ptr<backend_connection_request>;

/// Links to one member. Each belongs to one client account for life, while the number of all is bounded: the
/// longest idle link of another account makes room where none is left. Requests wait in the order in which
/// they came, save that a freed link goes to its own account first unless another one has waited long.
class backend_connection_pool : public std::enable_shared_from_this<backend_connection_pool> {
public:
    struct options {
        std::function<std::size_t()> connection_limit; ///< Share of this VM now.
        std::function<void(member_answer const&)> on_opened;
        std::function<void(member_error)> on_open_failed;
    };

    backend_connection_pool(kernel& kernel, backend_connection_hooks const& hooks,
                            backend_connection_target target, options options);

    /// Asks for a link of the account, preferably one that holds `values`. The callback comes later, once.
    backend_connection_request_pointer acquire(std::string const& client_account,
                                               backend_connection::values_map const& values,
                                               backend_connection_callback callback);

    /// Takes back a link. One that is not clean is closed.
    void release(backend_connection_pointer const& connection);

    /// True when no connection stands and the member has not taken a new one for a while.
    bool is_unreachable() const;

    std::size_t connections() const { return m_idle.size() + m_leased + m_opening; }
    std::size_t leased() const { return m_leased; }
    std::size_t waiting() const { return m_waiting.size(); }

    /// Closes idle links beyond the bound, and those that were idle for longer than `limit`.
    void trim(duration limit);

    /// Closes idle links beyond `kept` that were idle for longer than `limit`.
    void trim_surplus(std::size_t kept, duration limit);

    /// Closes all idle links and fails the waiting requests, since the member is gone.
    void shut_down();

private:
    void serve();
    bool try_serve(backend_connection_request& request);
    backend_connection_pointer take_idle(std::string const& client_account,
                                         backend_connection::values_map const& values);
    bool make_room();
    void open_for(std::string const& client_account);
    void finish_open(backend_connection_pointer const& connection, member_answer const& answer);
    void fail_waiting(member_error error);
    void schedule_serve(duration delay);

    kernel& m_kernel;
    backend_connection_hooks const& m_hooks;
    backend_connection_target m_target;
    options m_options;
    std::list<backend_connection_pointer> m_idle; ///< Longest idle first.
    std::size_t m_leased = 0;
    std::size_t m_opening = 0;
    std::map<std::string, std::size_t> m_opening_by_account;
    std::list<backend_connection_pointer> m_opening_connections;
    std::list<backend_connection_request_pointer> m_waiting;
    monotonic_time m_no_opening_before;
    std::optional<monotonic_time> m_unanswered_since; ///< First attempt to open since the last success.
    bool m_has_serve_timer = false;
    bool m_is_shut_down = false;
};

} // namespace greengagehitch
