#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "brokers/contact_guard.h"
#include "fleet/served_configuration.h"
#include "kernel/kernel.h"
#include "members/database_group.h"
#include "sessions/retry_delay.h"
#include "sessions/session_answer.h"
#include "sessions/session_statement.h"

namespace greengagehitch {

/// One statement for a database, with the data that determines at which members it may run.
struct execution_request {
    served_class work;
    std::string client_account;
    session_statement statement;
    std::optional<prepared_shape> prepared;       ///< Shape to execute; unset for other statements.
    backend_connection::values_map values;        ///< Values of the session.
    std::optional<log_position> minimum_position; ///< Position of the session's last commit.
    monotonic_time arrived_at;
    bool is_write = false;
    std::shared_ptr<request_cancellation> cancellation; ///< Tells when the caller has disconnected.
};

/// Connection that an open transaction holds, and the id of the member at its other end.
struct transaction_connection {
    pinned_connection_pointer pinned;
    std::string member;
};

/// Answer to a statement, with the connection of the transaction that it began.
struct execution_result {
    session_answer answer;
    std::optional<transaction_connection> connection; ///< Set after a begin that succeeded.
};

/// Determines at which members a statement may run, and how.
enum class execution_mode {
    read,        ///< At any member that holds the position required by the limit on the data's age.
    leader_read, ///< At the leader, inside an internal transaction that only a leader accepts.
    write,       ///< At the leader, at most once.
    begin,       ///< Starts a transaction at the leader.
    begin_read,  ///< Starts a read transaction at any member that holds the required position.
};

/// Converts a member's answer into an answer to the session's caller.
session_answer to_session_answer(member_answer answer);

/// Answer to a statement whose commit a leader acknowledged, when its success may not be passed on.
session_answer make_withheld_answer();

/// Returns the availability zone of a member, or an empty name if it is not known.
std::string zone_of_member(database_group const& group, std::string const& member);

/// Makes the request that runs the statement of `execution`, with the values and the prepared statement that
/// its connection must have.
member_request make_member_request(execution_request const& execution);

/// Runs one statement: chooses a member, waits for a connection and sends the statement. Retries at another
/// member if nothing was run or if a read may be repeated. Invokes the callback once.
class statement_execution : public std::enable_shared_from_this<statement_execution> {
public:
    statement_execution(kernel& kernel, database_group& group, contact_guard& contact,
                        execution_request execution, execution_mode mode,
                        std::function<void(execution_result)> done);

    void start();

    /// Ends the execution for the given reason: sends nothing further. An attempt that was sent may end; its
    /// result is passed to the callback.
    void cancel(std::string reason);

private:
    struct attempt {
        std::string member;
        execution_mode mode = execution_mode::read;
        monotonic_time sent_at;
        std::size_t answer_index = 0; ///< Index of the statement's own answer in the reply.
        std::string zone;             ///< Availability zone of the member.
        std::shared_ptr<void> watch;  ///< Keeps contact with other zones watched while a write runs.
    };

    bool needs_leader() const;
    /// Ends the execution if it was cancelled and no attempt is unanswered. Returns true if it was cancelled.
    bool end_if_cancelled();
    void start_next_attempt();
    void start_next_attempt_after(duration delay);
    void wait_for_confirmed_position();
    /// Waits for a reachable leader, or refuses the statement if none is expected before the deadline.
    void wait_for_leader();
    execution_mode effective_mode() const;
    void send_attempt(std::string const& member);
    /// Makes the request for an attempt. Returns std::nullopt if the confirmed position for a read is too
    /// old.
    std::optional<member_request> make_request(attempt& attempt) const;
    void monitor_answer(std::string const& member, execution_mode mode);
    void handle_reply(attempt const& sent, member_reply reply);
    void handle_statement_answer(attempt const& sent, member_answer answer);
    /// Passes the success of a write on, or withholds it if the commit may be lost.
    void finish_write(attempt const& sent, member_answer answer);
    void handle_begin_answer(attempt const& sent, member_answer answer, pinned_connection_pointer connection);
    /// Handles an error which guarantees that nothing was run. Returns true if the error was handled or the
    /// statement was answered already; other errors are left to the caller.
    bool handle_retryable_error(std::string const& member, member_error error);
    /// Expected time until the member has answered the statements in flight there.
    duration queue_time(std::string const& id) const;
    duration spread(duration earliest) const;
    void log_attempt(std::string const& member, member_error error) const;
    std::optional<log_position> required_position() const;
    duration remaining_time() const;
    duration queue_limit() const;
    void refuse(session_error error, std::string text, duration retry_after = {});
    void finish(execution_result result);

    kernel& m_kernel;
    database_group& m_group;
    contact_guard& m_contact;
    execution_request m_request;
    execution_mode m_mode;
    std::function<void(execution_result)> m_done;
    monotonic_time m_deadline;
    std::uint64_t m_waiting_number;   ///< Number of the statement among those that wait at the group.
    std::set<std::string> m_excluded; ///< Ids of members at which no read is tried again.
    std::size_t m_attempts = 0;
    std::size_t m_in_flight = 0;   ///< Attempts that were sent and are not yet answered.
    std::size_t m_failed_runs = 0; ///< Attempts that a member answered with a failure.
    bool m_must_use_leader = false;
    bool m_is_cancelled = false;
    std::string m_cancel_reason;
    monotonic_time m_position_requested_at;
    bool m_has_requested_position = false;
};

} // namespace greengagehitch
