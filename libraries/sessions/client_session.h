#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sessions/member_run.h"

namespace greengagehitch {

class session_engine;

/// How a session reaches its caller.
struct session_hooks {
    std::function<void(session_answer)> answer; ///< One for each statement, in order.
    std::function<void()> close;                ///< Ends the connection; nothing is outstanding.
};

/// One caller's session with a database: its values, prepared names, open transaction and last commit.
/// Statements are answered one after the other.
class client_session : public std::enable_shared_from_this<client_session> {
public:
    client_session(session_engine& engine, std::string database, std::string key, session_hooks hooks);
    ~client_session();
    client_session(client_session const&) = delete;
    client_session& operator=(client_session const&) = delete;
    client_session(client_session&&) = delete;
    client_session& operator=(client_session&&) = delete;

    void handle(session_statement statement);

    /// The caller is gone; what is open is rolled back.
    void leave();

    /// True between operations: nothing outstanding and no transaction open.
    bool is_idle() const { return m_state == transaction_state::idle && !m_is_running && m_queue.empty(); }
    bool is_in_transaction() const { return m_state != transaction_state::idle; }

    /// Ends the session if it is idle; false otherwise.
    bool close_if_idle();

    /// Rolls back a transaction that has rested for longer than `limit`.
    void end_resting_transaction(duration limit);

    std::string const& database() const { return m_database; }

private:
    void run_next();
    void process(session_statement const& statement);
    void process_in_transaction(session_statement const& statement);
    void process_outside(session_statement const& statement);
    void begin(session_statement const& statement);
    void commit(session_statement const& statement);
    void roll_back();
    void run_single(session_statement const& statement);
    void run_in_transaction(session_statement const& statement);
    void open_and_run(session_statement const& statement);
    void send_pinned(session_statement const& statement, int tries);
    void take_pinned_answer(session_statement const& statement, int tries, monotonic_time sent_at,
                            member_answer answer);
    void change_locally(session_statement const& statement);

    /// Checks key and class anew; answers the statement and returns nothing when it may not run.
    std::optional<std::string> authorize(session_statement const& statement);
    std::optional<served_class> find_class() const;
    void admit(std::string const& client_account, session_statement const& statement,
               std::function<void()> admitted);
    void run_admitted(run_order order);
    std::optional<run_order> make_order(session_statement statement, std::string const& client_account);

    void answer_locally(session_statement const& statement);
    void refuse(session_statement const& statement, session_error error, std::string text,
                duration retry_after = {});
    void finish(session_statement const& statement, session_answer answer);
    void drop_pinned();
    void log_outcome(session_statement const& statement, session_answer const& answer) const;

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
    bool m_has_written = false;
    served_class m_transaction_class;
    std::string m_transaction_account;
    std::optional<pinned_lease> m_pinned;
    std::optional<log_position> m_floor;
    std::deque<session_statement> m_queue;
    bool m_is_running = false;
    bool m_is_closed = false;
    monotonic_time m_arrived;
    monotonic_time m_last_active;
    std::string m_served_by;
    std::string m_account; ///< Of the statement that was authorized last.
};

} // namespace greengagehitch
