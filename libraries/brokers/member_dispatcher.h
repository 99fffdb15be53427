#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "brokers/dispatcher_counters.h"
#include "brokers/doubtful_answer_log.h"
#include "brokers/flight_control.h"
#include "brokers/member_queue.h"
#include "brokers/member_request.h"
#include "brokers/promotion_guard.h"
#include "brokers/return_pace.h"
#include "brokers/warm_up_gate.h"
#include "kernel/kernel.h"
#include "members/backend_connection_pool.h"

namespace greengagehitch {

/// Runs requests on this VM's own connections to one member. The number of requests sent to the member at a
/// time is bounded by its execution slots, so that requests wait in the queue of this VM; see member_queue
/// for their order. A request that waits for a connection holds no slot. A request that is not expected to
/// start or finish in time is refused at once, with the time after which room is expected.
class member_dispatcher : public std::enable_shared_from_this<member_dispatcher> {
public:
    struct options {
        std::function<std::size_t()> connection_limit; ///< Current maximum number of connections.
        std::size_t slots = 1;                         ///< Execution slots of the member.
        bool paces_recovery = false;   ///< Whether a member that started or recovered gets a growing load.
        bool has_just_started = false; ///< Whether the member has just started.
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
        /// Withholds commits while the member may be replaced; null if they are never withheld.
        std::shared_ptr<promotion_guard> guard;
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

    /// Records that another VM may order another member to lead.
    void record_doubt();

    std::size_t connections() const { return m_pool->connections(); }
    std::size_t connection_limit() const { return m_options.connection_limit(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// Answers of the member that were not accepted as the answers to their commands, indexed by
    /// answer_match.
    answer_counts const& unmatched_answers() const { return *m_unmatched_answers; }
    Json::Value dump() const;

private:
    struct queued_request {
        std::uint64_t id = 0;
        member_request request;
        reply_callback done;
        backend_connection_pointer connection; ///< Connection of the open transaction; null if none is open.
        std::shared_ptr<bool const> is_pinned; ///< Whether that transaction still holds the connection.
        monotonic_time enqueued_at;
        /// Whether nothing may have been sent before on the connection that the request gets.
        bool needs_unused_connection = false;
        bool is_sent = false;      ///< True once the request was sent, or will not be.
        duration queue_wait{};     ///< Wait that the member's load suggested when the request was admitted.
        duration expected_start{}; ///< Wait that was expected then.
        /// Set while a commit that the guard decides about is under way.
        std::optional<promotion_guard::sent_commit> sent_commit;

        /// Priority of its class in the queue.
        int priority() const { return connection ? member_queue::transaction_priority : request.priority; }
        /// Whether it may run again if its answer is lost.
        bool is_repeatable() const { return !connection && !request.commits_write; }
        connection_demand connection_demand_of() const
        {
            if (needs_unused_connection) {
                return connection_demand::unused;
            }
            // An error that may be a repetition would leave open whether the write has run.
            return request.commits_write ? connection_demand::no_errors : connection_demand::any;
        }
    };
    using queued_request_pointer = std::shared_ptr<queued_request>;

    void enqueue(queued_request_pointer const& added);
    admission_decision decide(queued_request const& request) const;
    /// Returns the time until the member accepts a request after `ahead` others if it warms up, or no value
    /// if another VM sends the requests to it.
    std::optional<duration> expected_pace(std::size_t ahead) const;
    std::uint32_t assign_return(int priority, admission_decision const& decision);
    void expire(std::uint64_t id);
    void start_waiting_requests();
    bool try_start_next();
    start_condition condition_of(member_queue::entry const& entry, bool must_be_repeatable) const;
    /// Refuses a request whose caller has disconnected. Returns true if it did so.
    bool refuse_if_cancelled(queued_request_pointer const& queued);
    /// Returns false for a statement of a caller while none may be sent to the member.
    bool may_send(member_request const& request) const;
    void start(queued_request_pointer const& queued);
    void acquire_connection(queued_request_pointer const& queued);
    /// Sends the request, once the member is proven to be the leader if the request needs this.
    void send(queued_request_pointer const& queued, backend_connection_pointer const& connection);
    /// Sends the request, once no order can replace the member any more if the request leads to a commit.
    void send_guarded(queued_request_pointer const& queued, backend_connection_pointer const& connection);
    void send_commands(queued_request_pointer const& queued, backend_connection_pointer const& connection);
    /// Refuses a request that has got its connection.
    void refuse_unproven(queued_request_pointer const& queued, backend_connection_pointer const& connection,
                         std::string const& text);
    void handle_answers(queued_request_pointer const& queued, backend_connection_pointer const& connection,
                        std::size_t setup_count, monotonic_time sent_at, std::vector<member_answer> answers);
    /// Tells the guard how a commit has ended, and passes the reply on once its success may be.
    void finish_commit(queued_request_pointer const& queued, member_reply reply);
    void log_withheld(queued_request const& queued, promotion_guard::sent_commit const& commit,
                      member_answer const& answer) const;
    /// Decides what is left of answers that may be repetitions. Returns true if the request is sent again.
    bool resolve_doubtful_answers(queued_request_pointer const& queued,
                                  backend_connection_pointer const& connection,
                                  std::vector<member_answer>& answers);
    /// Replaces the successes among `answers` by errors that leave the outcome open.
    static void withhold_successes(std::vector<member_answer>& answers, std::string const& reason);
    pinned_connection_pointer make_pinned_connection(backend_connection_pointer const& connection);
    void return_connection(backend_connection_pointer const& connection);
    /// Records that a request no longer waits for its connection.
    void mark_sent(queued_request& sent);
    void free_slot(queued_request& finished, bool is_answered);
    void refuse(queued_request_pointer const& refused, member_error error, std::string const& text,
                std::uint32_t retry_after_ms = 0);
    /// Refuses the request after the current event.
    void refuse_soon(queued_request_pointer const& refused, member_error error, std::string const& text,
                     std::uint32_t retry_after_ms = 0);
    void log_refusals();
    void log_pace(recovery_pace const& pace) const;

    kernel& m_kernel;
    options m_options;
    std::string m_group;
    std::string m_member;
    std::shared_ptr<backend_connection_pool> m_pool;
    member_queue m_waiting;
    std::unordered_map<std::uint64_t, queued_request_pointer> m_queued; ///< Waiting requests, keyed by id.
    flight_control m_flight;
    std::size_t m_unsent = 0; ///< Requests that were started and wait for a connection.
    service_times m_service_times;
    wait_corrections m_wait_corrections;
    /// Average time from the request for a connection to its lease if a handshake was needed.
    duration m_handshake_time = std::chrono::milliseconds(20);
    return_pace m_returns;
    std::uint64_t m_next_id = 1;
    bool m_has_start_timer = false;
    /// Shared with the connections, which may outlive the dispatcher.
    std::shared_ptr<answer_counts> m_unmatched_answers = std::make_shared<answer_counts>();
    std::shared_ptr<doubtful_answer_log> m_doubtful_answers;
    dispatcher_counters m_counters;
    dispatcher_counters m_logged_counters; ///< Counters at the last log record.
    monotonic_time m_logged_at;
};

} // namespace greengagehitch
