#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sessions/statement_execution.h"

namespace greengagehitch {

class session_engine;

/// Callbacks through which a session answers its caller and closes its connection.
struct session_hooks {
    std::function<void(session_answer)> answer; ///< Called once for each statement, in order.
    std::function<void()> close; ///< Closes the caller's connection while no statement is outstanding.
};

/// One caller's session with a database. Holds the session values, the prepared statements, the open
/// transaction and the position of the last commit. Runs one statement at a time, in order of arrival.
class client_session : public std::enable_shared_from_this<client_session> {
public:
    client_session(session_engine& engine, std::string database, std::string key, session_hooks hooks);
    ~client_session();
    client_session(client_session const&) = delete;
    client_session& operator=(client_session const&) = delete;
    client_session(client_session&&) = delete;
    client_session& operator=(client_session&&) = delete;

    void handle(session_statement statement);

    /// Ends the session with its caller's connection. Discards queued statements and rolls back an open
    /// transaction. A statement that was sent may end first; nothing further is sent but the rollback.
    void disconnect(session_end reason = session_end::caller_left);

    /// Returns true if no statement is outstanding and no transaction is open.
    bool is_idle() const { return m_state == transaction_state::idle && !m_is_running && m_queue.empty(); }
    bool is_in_transaction() const { return m_state != transaction_state::idle; }

    /// Closes the caller's connection if the session is idle. Returns false if the session is not idle or the
    /// caller has disconnected already.
    bool close_if_idle();

    /// Closes the session as soon as it is idle, since the VM shuts down. Until then, the running statement
    /// and a COMMIT end as usual; all other statements are refused without being sent.
    void close_when_idle();

    /// Refuses the running statement if it was not yet sent to a member. One that was sent is not affected.
    void refuse_unsent();

    /// Answers the running statement with an unknown outcome, refuses the queued ones, and closes the
    /// session.
    void abandon();

    /// Rolls back a transaction that was idle for at least `limit`.
    void end_idle_transaction(duration limit);

    /// Logs and counts the running statement, once, if it has had no answer for long after its time limit.
    void report_overdue_statement();

    std::string const& database() const { return m_database; }

private:
    /// Runs queued statements until one has to wait.
    void run_queued();
    void start(session_statement statement);
    /// Refuses a statement that may not start, since the session closes. Returns true if it did so.
    bool refuse_while_closing(session_statement const& statement);
    void process(session_statement const& statement);
    void process_in_transaction(session_statement const& statement);
    void process_outside_transaction(session_statement const& statement);
    void begin(session_statement const& statement);
    void commit(session_statement const& statement);
    void roll_back();
    /// Rolls back a transaction that `statement` failed in. A COMMIT ends the transaction also when it fails.
    void fail_transaction(session_statement const& statement);
    void run_single_statement(session_statement const& statement);
    void run_in_transaction(session_statement const& statement);
    void begin_and_run(session_statement const& statement);
    void send_in_transaction(session_statement const& statement, int retries);
    void handle_transaction_answer(session_statement const& statement, int retries, monotonic_time sent_at,
                                   member_answer answer);
    /// Answers a COMMIT that wrote and that the member acknowledged, or withholds its success if the commit
    /// may be lost.
    void finish_commit(session_statement const& statement, monotonic_time sent_at, session_answer result);
    void apply_locally(session_statement const& statement);

    /// Checks the key and the class of work before each statement, since a key may be withdrawn and a class
    /// removed at any time. Returns the client account. If the statement may not run, answers it with an
    /// error and returns std::nullopt.
    std::optional<std::string> authorize(session_statement const& statement);
    std::optional<served_class> find_class() const;
    void admit(std::string const& client_account, session_statement const& statement,
               std::function<void()> on_admitted);
    void run_admitted(execution_request execution);
    void execute(database_group& group, execution_request execution, execution_mode mode,
                 std::function<void(execution_result)> done);
    /// Ends a statement that was not sent before its caller disconnected. Returns true if it did so.
    bool end_if_disconnected(session_statement const& statement);
    std::optional<execution_request> make_execution_request(session_statement statement,
                                                            std::string const& client_account);

    void answer_locally(session_statement const& statement);
    void refuse(session_statement const& statement, session_error error, std::string text,
                duration retry_after = {});
    void finish(session_statement const& statement, session_answer answer);
    void release_connection();
    void log_outcome(session_statement const& statement, session_answer const& answer) const;
    /// Counts and logs the statements that get no answer, since the connection has ended.
    void record_unanswered(session_end reason);
    /// Returns what log lines say about the running statement.
    Json::Value describe_running_statement() const;

    session_engine& m_engine;
    kernel& m_kernel;
    std::weak_ptr<bool> m_kernel_lifetime;
    std::string m_database;
    std::string m_key;
    session_hooks m_hooks;
    backend_connection::values_map m_values;
    std::map<std::string, prepared_shape> m_prepared;
    transaction_state m_state = transaction_state::idle;
    bool m_is_read_transaction = false;
    bool m_has_written = false; ///< True once the open transaction has sent a write.
    served_class m_transaction_class;
    std::string m_transaction_account;
    std::optional<transaction_connection> m_connection;
    std::shared_ptr<request_cancellation> m_cancellation; ///< Of the running statement.
    std::weak_ptr<statement_execution> m_execution;       ///< Of the running statement; empty for none.
    std::optional<log_position> m_minimum_position;       ///< Position of the session's last commit.
    std::deque<session_statement> m_queue;
    session_statement m_running; ///< Statement that is running; the last one otherwise.
    bool m_is_running = false;
    bool m_is_reported_overdue = false; ///< Whether the running statement was reported as overdue.
    bool m_is_running_queue = false;    ///< Whether run_queued() is on the stack.
    bool m_closes_when_idle = false;    ///< Whether the VM shuts down.
    bool m_is_abandoned = false;        ///< Whether the running statement was answered before it has ended.
    bool m_is_closed = false;
    monotonic_time m_arrived_at;
    duration m_time_limit{}; ///< Of the running statement, from the configuration at its arrival.
    monotonic_time m_last_active_at;
    std::string m_served_by; ///< Id of the member that last answered in a transaction; empty for none.
    std::string m_account;   ///< Client account of the statement that was authorized last; "-" for none.
};

} // namespace greengagehitch
