#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "brokers/member_request.h"
#include "kernel/kernel.h"
#include "members/backend_connection_pool.h"
#include "pool/fair_queue.h"

namespace greengagehitch {

/// Runs requests on this VM's own connections to one member. No more of them are with the member than it has
/// slots for, so that those that wait do so here: by priority, then fairly among client accounts. A request
/// that is not expected to start in time is refused at once.
class member_desk : public std::enable_shared_from_this<member_desk> {
public:
    struct options {
        std::function<std::size_t()> connection_limit;
        std::size_t slots = 1; ///< Of the member.
        std::function<void(member_error)> on_open_failed;
        std::function<void()> on_opened;
    };

    member_desk(kernel& kernel, backend_connection_hooks const& hooks, backend_connection_target target,
                options options);

    void run(member_request request, reply_callback done);

    /// Fails what waits, since the member is gone.
    void shut_down();

    /// Closes idle connections beyond the bound, and those that were idle for longer than `limit`.
    void trim(duration limit) { m_pool->trim(limit); }

    /// Closes idle connections beyond `kept` that were idle for longer than `limit`.
    void trim_surplus(std::size_t kept, duration limit) { m_pool->trim_surplus(kept, limit); }

    std::size_t connections() const { return m_pool->connections(); }
    std::size_t connection_limit() const { return m_options.connection_limit(); }
    std::size_t waiting() const { return m_waiting_count; }

private:
    struct entry {
        member_request request;
        reply_callback done;
        backend_connection_pointer link;     ///< Of the transaction that sends it; null for a new one.
        std::shared_ptr<bool const> is_held; ///< Whether that transaction still has the link.
        monotonic_time since;
        bool is_started = false;
    };
    using entry_pointer = std::shared_ptr<entry>;

    void enqueue(entry_pointer const& added);
    duration expected_wait(int priority) const;
    void pump();
    entry_pointer take_next();
    void start(entry_pointer const& started);
    void send(entry_pointer const& started, backend_connection_pointer const& link);
    void take_answers(entry_pointer const& started, backend_connection_pointer const& link,
                      std::size_t aligned, monotonic_time sent_at, std::vector<member_answer> answers);
    lease_pointer make_lease(backend_connection_pointer const& link);
    void give_back(backend_connection_pointer const& link);
    void free_slot(entry const& finished);
    void refuse(entry_pointer const& refused, member_error error, std::string const& text);

    kernel& m_kernel;
    options m_options;
    std::shared_ptr<backend_connection_pool> m_pool;
    std::map<int, fair_queue<entry_pointer>> m_waiting; ///< By priority.
    std::size_t m_waiting_count = 0;
    std::size_t m_running = 0;                               ///< Requests that hold a slot.
    duration m_service_time = std::chrono::milliseconds(25); ///< Smoothed time for which they do.
};

} // namespace greengagehitch
