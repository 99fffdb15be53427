#include "members/backend_connection_pool.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Time after which a handshake is abandoned and the member is treated as failing. A handshake usually takes
/// tens of milliseconds and occupies a slot.
constexpr duration open_timeout = std::chrono::milliseconds(600);
/// Delay before retrying a member that rejected a connection because its limit was reached. Other VMs free
/// connections within about this time.
constexpr duration retry_delay_when_full = std::chrono::milliseconds(60);
/// Delay before retrying a member that could not be reached.
constexpr duration retry_delay_when_unreachable = std::chrono::milliseconds(150);
/// A member is considered unreachable if a handshake takes longer than this while no connection is open.
constexpr duration usual_open_time = std::chrono::milliseconds(150);
/// Maximum number of concurrent handshakes, so that slots remain for statements.
constexpr std::size_t max_opening = 3;

/// Returns whether a connection meets what a request asks of it.
bool meets(backend_connection const& connection, connection_demand demand)
{
    switch (demand) {
    case connection_demand::any:
        return true;
    case connection_demand::no_errors:
        return !connection.has_delivered_error();
    case connection_demand::unused:
        return !connection.has_sent();
    }
    return true;
}

} // namespace

backend_connection_pool::backend_connection_pool(kernel& kernel, backend_connection_hooks const& hooks,
                                                 backend_connection_target target, options options)
    : m_kernel(kernel), m_hooks(hooks), m_target(std::move(target)), m_options(std::move(options))
{
}

backend_connection_request_pointer
backend_connection_pool::acquire(std::string const& client_account,
                                 backend_connection::values_map const& values,
                                 backend_connection_callback callback, connection_demand demand)
{
    auto request = std::make_shared<backend_connection_request>();
    request->m_client_account = client_account;
    request->m_values = values;
    request->m_demand = demand;
    request->m_since = m_kernel.now();
    request->m_callback = std::move(callback);
    m_waiting.push_back(request);
    schedule_serve(duration::zero());
    return request;
}

void backend_connection_pool::release(backend_connection_pointer const& connection)
{
    VERIFY(m_leased > 0);
    --m_leased;
    auto const can_be_reused =
        !m_is_shut_down && connection->may_be_reused() && connections() < m_options.connection_limit();
    if (can_be_reused) {
        m_idle.push_back(connection);
    }
    else {
        connection->close();
    }
    if (!m_waiting.empty()) {
        serve();
    }
}

bool backend_connection_pool::is_unreachable() const
{
    return m_idle.empty() && m_leased == 0 && m_unanswered_since &&
           m_kernel.now() - *m_unanswered_since > usual_open_time;
}

connection_availability backend_connection_pool::availability(std::string const& client_account) const
{
    std::size_t waiting = 0;
    std::size_t waiting_of_account = 0;
    for (auto const& each : m_waiting) {
        waiting += each->is_waiting() ? 1 : 0;
        waiting_of_account += each->is_waiting() && each->m_client_account == client_account ? 1 : 0;
    }
    auto const idle_of_account = static_cast<std::size_t>(
        std::count_if(m_idle.begin(), m_idle.end(), [&client_account](auto const& each) {
            return each->is_open() && each->target().client_account == client_account;
        }));
    if (idle_of_account > waiting_of_account) {
        return connection_availability::idle;
    }
    if (m_kernel.now() < m_next_open_at || std::max(m_opening, waiting) >= max_opening) {
        return connection_availability::paused;
    }
    // Idle connections of other accounts can be closed to make room.
    auto const claimed = m_leased + std::max(m_opening, waiting);
    return claimed < m_options.connection_limit() ? connection_availability::can_open
                                                  : connection_availability::exhausted;
}

void backend_connection_pool::trim(duration limit)
{
    auto const now = m_kernel.now();
    while (!m_idle.empty() &&
           (connections() > m_options.connection_limit() || now - m_idle.front()->last_used() > limit)) {
        m_idle.front()->close();
        m_idle.pop_front();
    }
}

void backend_connection_pool::trim_surplus(std::size_t kept, duration limit)
{
    auto const now = m_kernel.now();
    while (!m_idle.empty() && connections() > kept && now - m_idle.front()->last_used() > limit) {
        m_idle.front()->close();
        m_idle.pop_front();
    }
}

void backend_connection_pool::shut_down()
{
    m_is_shut_down = true;
    for (auto const& connection : std::exchange(m_idle, {})) {
        connection->close();
    }
    fail_waiting(member_error::refused);
}

void backend_connection_pool::schedule_serve(duration delay)
{
    if (std::exchange(m_has_serve_timer, true)) {
        return;
    }
    m_kernel.start_timer(delay, [weak = weak_from_this()] {
        if (auto const pool = weak.lock()) {
            pool->m_has_serve_timer = false;
            pool->serve();
        }
    });
}

void backend_connection_pool::serve()
{
    auto const keep_alive = shared_from_this();
    std::erase_if(m_waiting, [](auto const& request) { return !request->is_waiting(); });
    if (m_is_shut_down) {
        fail_waiting(member_error::refused);
        return;
    }
    auto const waiting = m_waiting;
    for (auto const& request : waiting) {
        if (request->is_waiting()) {
            try_serve(*request);
        }
    }
    std::erase_if(m_waiting, [](auto const& request) { return !request->is_waiting(); });
    if (!m_waiting.empty()) {
        schedule_serve(std::max<duration>(std::chrono::milliseconds(5), m_next_open_at - m_kernel.now()));
    }
}

bool backend_connection_pool::try_serve(backend_connection_request& request)
{
    if (auto connection = take_idle(request)) {
        ++m_leased;
        auto const callback = std::exchange(request.m_callback, nullptr);
        callback(std::move(connection));
        return true;
    }
    auto const now = m_kernel.now();
    if (now < m_next_open_at || m_opening >= max_opening) {
        return false;
    }
    auto const same_account = [&request](auto const& other) {
        return other->is_waiting() && other->m_client_account == request.m_client_account;
    };
    auto const wanted =
        static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), same_account));
    if (m_opening_by_account[request.m_client_account] >= wanted) {
        return false;
    }
    if (connections() < m_options.connection_limit() || evict_idle()) {
        open_connection(request.m_client_account);
    }
    return false;
}

backend_connection_pointer backend_connection_pool::take_idle(backend_connection_request const& request)
{
    auto best = m_idle.end();
    for (auto each = m_idle.begin(); each != m_idle.end(); ++each) {
        if (!(*each)->is_open() || (*each)->target().client_account != request.m_client_account ||
            !meets(**each, request.m_demand)) {
            continue;
        }
        best = each;
        if ((*each)->has_values(request.m_values)) {
            break;
        }
    }
    if (best == m_idle.end()) {
        return nullptr;
    }
    auto connection = *best;
    m_idle.erase(best);
    return connection;
}

bool backend_connection_pool::evict_idle()
{
    std::erase_if(m_idle, [](auto const& connection) { return !connection->is_open(); });
    if (connections() < m_options.connection_limit()) {
        return true;
    }
    if (m_idle.empty()) {
        return false;
    }
    m_idle.front()->close();
    m_idle.pop_front();
    return connections() < m_options.connection_limit();
}

void backend_connection_pool::open_connection(std::string const& client_account)
{
    auto target = m_target;
    target.client_account = client_account;
    auto const connection = std::make_shared<backend_connection>(m_kernel, m_hooks, std::move(target),
                                                                 m_options.on_unmatched_answer);
    ++m_opening;
    ++m_opening_by_account[client_account];
    m_opening_connections.push_back(connection);
    m_unanswered_since = m_unanswered_since.value_or(m_kernel.now());
    connection->open(
        open_timeout, [weak = weak_from_this(), raw = connection.get()](member_answer const& answer) {
            auto const pool = weak.lock();
            if (!pool) {
                return;
            }
            auto const found =
                std::find_if(pool->m_opening_connections.begin(), pool->m_opening_connections.end(),
                             [raw](auto const& each) { return each.get() == raw; });
            VERIFY(found != pool->m_opening_connections.end());
            auto const opened = *found;
            pool->m_opening_connections.erase(found);
            pool->finish_open(opened, answer);
        });
}

void backend_connection_pool::finish_open(backend_connection_pointer const& connection,
                                          member_answer const& answer)
{
    --m_opening;
    --m_opening_by_account[connection->target().client_account];
    if (answer.is_ok()) {
        m_unanswered_since.reset();
        m_idle.push_back(connection);
        if (m_options.on_opened) {
            m_options.on_opened(answer);
        }
        serve();
        return;
    }
    auto const error = *answer.error;
    auto const is_full = error == member_error::too_many_connections || error == member_error::busy;
    m_next_open_at = m_kernel.now() + (is_full ? retry_delay_when_full : retry_delay_when_unreachable);
    if (m_options.on_open_failed) {
        m_options.on_open_failed(error);
    }
    if (!is_full || connections() == 0) {
        fail_waiting(error);
    }
}

void backend_connection_pool::fail_waiting(member_error error)
{
    for (auto const& request : std::exchange(m_waiting, {})) {
        if (auto const callback = std::exchange(request->m_callback, nullptr)) {
            callback(error);
        }
    }
}

} // namespace greengagehitch
