#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/served_configuration.h"
#include "kernel/kernel.h"
#include "members/database_group.h"
#include "sessions/session_answer.h"
#include "sessions/session_statement.h"

namespace greengagehitch {

/// One statement for a database, with all that decides where it may run.
struct execution_request {
    served_class work;
    std::string client_account;
    session_statement statement;
    std::optional<prepared_shape> prepared;       ///< Of an execution.
    member_link::values_map values;               ///< Of the session.
    std::optional<log_position> minimum_position; ///< Last commit of the session.
    monotonic_time arrived_at;
    bool is_write = false;
};

/// Connection that an open transaction holds.
struct transaction_connection {
    pinned_connection_pointer pinned;
    std::string member;
};

struct execution_result {
    session_answer answer;
    std::optional<transaction_connection> connection; ///< After a begin that succeeded.
};

/// How a statement reaches a member.
enum class execution_mode {
    read,        ///< At any member that holds a position which bounds the age.
    leader_read, ///< At the leader, inside a transaction of our own that only a leader accepts.
    write,       ///< At the leader, once.
    begin,       ///< Starts a transaction at the leader.
    begin_read,  ///< Starts a read transaction at any member that holds the position.
};

/// Turns a member's answer into the session's.
session_answer to_session_answer(member_answer answer);

/// Request that runs the statement of `execution`, with what its connection has to hold.
member_request make_member_request(execution_request const& execution);

/// Runs one statement: chooses a member, waits for a link, sends, and tries again elsewhere where nothing was
/// run or a read may be repeated. Calls back once.
class statement_execution : public std::enable_shared_from_this<statement_execution> {
public:
    statement_execution(kernel& kernel, database_group& group, execution_request execution,
                        execution_mode mode, std::function<void(execution_result)> done);

    void start();

private:
    struct attempt {
        std::string member;
        execution_mode mode = execution_mode::read;
        monotonic_time sent_at;
        std::size_t answer_index = 0; ///< Of the statement's own answer in the reply.
    };

    bool needs_leader() const;
    void start_next_attempt();
    void start_next_attempt_after(duration delay);
    void wait_for_confirmed_position();
    execution_mode effective_mode() const;
    void send_attempt(std::string const& member);
    /// Makes the request for an attempt; nothing when the evidence for a read has grown too old.
    std::optional<member_request> make_request(attempt& attempt) const;
    void monitor_answer(std::string const& member, execution_mode mode);
    void handle_reply(attempt const& sent, member_reply reply);
    void handle_statement_answer(attempt const& sent, member_answer answer);
    void handle_begin_answer(attempt const& sent, member_answer answer, pinned_connection_pointer connection);
    /// Handles an error that says nothing was run; true when it was one.
    bool handle_retryable_error(std::string const& member, member_error error);
    void log_attempt(std::string const& member, member_error error) const;
    std::optional<log_position> required_position() const;
    duration remaining_time() const;
    duration queue_limit() const;
    void refuse(session_error error, std::string text, duration retry_after = {});
    void finish(execution_result result);

    kernel& m_kernel;
    database_group& m_group;
    execution_request m_request;
    execution_mode m_mode;
    std::function<void(execution_result)> m_done;
    monotonic_time m_deadline;
    std::set<std::string> m_excluded;
    std::size_t m_attempts = 0;
    std::size_t m_in_flight = 0; ///< Attempts that were sent and not answered.
    std::size_t m_failed_runs = 0;
    bool m_must_use_leader = false;
    monotonic_time m_position_requested_at;
    bool m_has_requested_position = false;
};

} // namespace greengagehitch
