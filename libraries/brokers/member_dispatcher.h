#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "brokers/member_request.h"
#include "brokers/warm_up_gate.h"
#include "kernel/kernel.h"
#include "members/backend_connection_pool.h"
#include "pool/fair_queue.h"

namespace greengagehitch {

/// Runs requests on this VM's own connections to one member. The number of requests sent to the member at a
/// time is bounded by its execution slots, so that requests wait in the queue of this VM, which orders them
/// by priority and then fairly among client accounts. A request that is not expected to start in time is
/// refused at once.
class member_dispatcher : public std::enable_shared_from_this<member_dispatcher> {
public:
    struct options {
        std::function<std::size_t()> connection_limit; ///< Current maximum number of connections.
        std::size_t slots = 1;                         ///< Execution slots of the member.
        std::function<void(member_error)> on_open_failed;
        std::function<void()> on_contact; ///< Called when the member accepted a connection or a request.
        /// Checks whether the member is the only leader of its group. May be empty if a replaced leader
        /// rejects transactions at once.
        std::function<void(std::function<void(bool)>)> check_leadership;
        /// Called after a write was committed, with the time at which it was sent.
        std::function<void(monotonic_time sent_at)> on_commit;
        /// Returns whether statements of callers may be sent to the member, whose availability zone operators
        /// may evacuate. May be empty if they always may.
        std::function<bool()> may_send;
        /// Called when the member lost a connection with a request, or another VM found it not to be running.
        std::function<void()> on_connection_lost;
        std::shared_ptr<warm_up_gate> warm_up; ///< Paces requests after the member's start; may be null.
    };

    member_dispatcher(kernel& kernel, backend_connection_hooks const& hooks, backend_connection_target target,
                      options options);

    void run(member_request request, reply_callback done);

    /// Closes idle connections and fails all waiting requests, after the member was removed.
    void shut_down();

    /// Closes idle connections beyond the connection limit, and those that were idle for longer than `limit`.
    void trim(duration limit) { m_pool->trim(limit); }

    /// Closes connections that were idle for longer than `limit`, but keeps `kept` connections in total.
    void trim_surplus(std::size_t kept, duration limit) { m_pool->trim_surplus(kept, limit); }

    std::size_t connections() const { return m_pool->connections(); }
    std::size_t connection_limit() const { return m_options.connection_limit(); }
    std::size_t waiting() const { return m_waiting_count; }

private:
    struct queued_request {
        member_request request;
        reply_callback done;
        backend_connection_pointer connection; ///< Connection of the open transaction; null if none is open.
        std::shared_ptr<bool const> is_pinned; ///< Whether that transaction still holds the connection.
        monotonic_time enqueued_at;
        bool is_started = false;
        bool is_sent = false; ///< True once the request was sent, or will not be.
    };
    using queued_request_pointer = std::shared_ptr<queued_request>;

    void enqueue(queued_request_pointer const& added);
    duration expected_wait(int priority) const;
    void start_waiting_requests();
    /// Returns whether the next request may start. Starts it later otherwise, or refuses all that wait if
    /// another VM sends the requests to the member while it warms up.
    bool may_start_next();
    void refuse_waiting(std::string const& text);
    /// Returns false for a statement of a caller while none may be sent to the member.
    bool may_send(member_request const& request) const;
    queued_request_pointer take_next();
    void start(queued_request_pointer const& queued);
    /// Sends the request, once the member is proven to be the leader if the request needs this.
    void send(queued_request_pointer const& queued, backend_connection_pointer const& connection);
    void send_commands(queued_request_pointer const& queued, backend_connection_pointer const& connection);
    void handle_answers(queued_request_pointer const& queued, backend_connection_pointer const& connection,
                        std::size_t setup_count, monotonic_time sent_at, std::vector<member_answer> answers);
    pinned_connection_pointer make_pinned_connection(backend_connection_pointer const& connection);
    void return_connection(backend_connection_pointer const& connection);
    /// Records that a request no longer waits for its connection.
    void mark_sent(queued_request& sent);
    void free_slot(queued_request& finished);
    void refuse(queued_request_pointer const& refused, member_error error, std::string const& text);

    kernel& m_kernel;
    options m_options;
    std::shared_ptr<backend_connection_pool> m_pool;
    std::map<int, fair_queue<queued_request_pointer>> m_waiting; ///< Keyed by priority.
    std::size_t m_waiting_count = 0;
    std::size_t m_running = 0; ///< Number of requests that hold a slot.
    std::size_t m_unsent = 0;  ///< Number of these that wait for a connection.
    bool m_has_start_timer = false;
    /// Moving average of the time from sending a request to its answer, which is used to estimate waiting
    /// times.
    duration m_service_time = std::chrono::milliseconds(25);
};

} // namespace greengagehitch
