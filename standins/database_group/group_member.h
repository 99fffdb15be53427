#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "database/batch.h"
#include "database/group_contract.h"
#include "kernel/event_loop.h"
#include "sql_database.h"

namespace greengagehitch::standin {

class group_member;

/// Clock and timers that the members of a group use.
struct group_hooks {
    std::function<monotonic_time()> now;
    std::function<timer_id(duration, std::function<void()>)> start_timer;
};

/// Committed transaction in the log of a group. The entry that starts a term has no statements.
struct log_entry {
    std::uint64_t term = 0;
    std::string client_account;
    std::vector<statement> statements;
};

/// Connection to one member, with the state of its transaction. Batches run one at a time, in the order in
/// which they were submitted.
class member_session : public std::enable_shared_from_this<member_session> {
public:
    explicit member_session(group_member& member);
    ~member_session();
    member_session(member_session const&) = delete;
    member_session& operator=(member_session const&) = delete;
    member_session(member_session&&) = delete;
    member_session& operator=(member_session&&) = delete;

    /// Queues the batch for execution. The callback is not called if the session is closed or the member is
    /// killed before the batch finishes.
    void submit(batch request, batch_callback callback);

    /// Rolls back the open transaction and discards all queued batches.
    void close();

    bool is_in_transaction() const { return m_in_transaction; }
    bool has_failed_transaction() const { return m_is_transaction_aborted; }

private:
    friend class group_member;

    struct pending_batch {
        batch request;
        batch_callback callback;
        batch_answer answer;
        std::optional<monotonic_time> blocked_since;
    };

    void start_next_batch();
    void continue_batch();
    bool run_next_statement(pending_batch& current_batch);
    void finish_batch();
    sql_outcome execute(statement const& request);
    std::optional<sql_outcome> execute_transaction_command(statement const& request);
    std::optional<sql_outcome> execute_group_function(statement const& request);
    sql_outcome begin(bool is_read_only);
    sql_outcome commit();
    sql_outcome rollback();
    sql_outcome execute_data_statement(statement const& request);
    void clear_transaction_state();

    group_member* m_member;
    std::shared_ptr<sql_database> m_database;
    std::deque<pending_batch> m_pending_batches;
    bool m_is_running = false;
    bool m_is_closed = false;
    bool m_in_transaction = false;
    bool m_is_transaction_aborted = false;
    bool m_is_read_only = false;
    std::string m_client_account;
    std::vector<statement> m_written_statements; ///< Become the log entry when the transaction commits.
};

/// Limits, delays and faults of one member, as set by tests and by users of the stand-in.
struct member_switches {
    duration lag{};          ///< Delay between receiving and applying a log entry.
    duration service_time{}; ///< Time for which a batch occupies a slot before its statements run.
    std::size_t slots = 5;   ///< Maximum number of batches that run at once.
    std::size_t max_connections = 35;
    bool is_paused = false;
    bool is_killed = false;
};

/// One member of a database group, with its log, its term and its SQL database.
class group_member {
public:
    group_member(std::string name, std::string unique_prefix, group_hooks hooks,
                 std::function<void(group_member&)> on_commit);
    ~group_member();
    group_member(group_member const&) = delete;
    group_member& operator=(group_member const&) = delete;
    group_member(group_member&&) = delete;
    group_member& operator=(group_member&&) = delete;

    std::string const& name() const { return m_name; }
    member_switches& switches() { return m_switches; }

    /// Opens a session. Returns null if the member is killed or its connection limit is reached.
    std::shared_ptr<member_session> open_session();
    std::size_t session_count() const { return m_sessions.size(); }

    /// Ends all sessions and refuses new ones until restart(). The log and the term are kept, as on disk.
    void kill();
    void restart() { m_switches.is_killed = false; }
    void pause() { m_switches.is_paused = true; }
    void resume();

    member_status status(std::string marker) const;
    bool fence(std::uint64_t term, std::string const& claimant);
    bool promote(std::uint64_t term, std::string const& claimant);
    bool follow(std::uint64_t term);

    bool is_primary() const { return m_is_primary; }
    std::uint64_t term() const { return m_term; }
    std::vector<std::shared_ptr<log_entry const>> const& log() const { return m_log; }

    /// Handles the part of a primary's log that follows its first `prefix` entries. Entries that differ from
    /// the primary's are replaced; messages of an older term are ignored.
    void receive(std::uint64_t primary_term, std::size_t prefix,
                 std::vector<std::shared_ptr<log_entry const>> const& suffix);

    /// Executes statements on the database without log entries, to create the initial schema of all members.
    void seed(std::vector<std::string> const& statements);

    /// Sets the callback that is called with each session that the member itself has ended.
    void set_on_session_ended(std::function<void(member_session&)> callback)
    {
        m_on_session_ended = std::move(callback);
    }

private:
    friend class member_session;

    bool try_acquire_slot();
    void release_slot();
    void append(log_entry entry);
    void truncate(std::size_t size);
    void rebuild_database();
    void apply_until(std::size_t size);
    void schedule_apply();
    void apply_due_entries();
    void end_sessions();
    void remove_session(member_session const& session);
    std::shared_ptr<sql_database> open_database() const;

    std::string m_name;
    std::string m_unique_prefix;
    group_hooks m_hooks;
    std::function<void(group_member&)> m_on_commit;
    std::function<void(member_session&)> m_on_session_ended;
    member_switches m_switches;
    std::uint64_t m_term = 1;
    std::string m_claimant; ///< VM or platform that fenced the member in the current term, if known.
    bool m_is_primary = false;
    std::vector<std::shared_ptr<log_entry const>> m_log;
    std::size_t m_applied_count = 0;         ///< Number of log entries that are applied to the database.
    std::uint64_t m_database_generation = 0; ///< Part of the database's name, new at each rebuild.
    std::shared_ptr<sql_database> m_current_database;
    std::vector<std::string> m_seed_statements;
    std::vector<std::shared_ptr<member_session>> m_sessions;
    std::size_t m_busy_slots = 0;
    std::deque<std::weak_ptr<member_session>> m_slot_waiters;
    /// Log sizes up to which entries are to be applied, each with the time when this is due.
    std::deque<std::pair<std::size_t, monotonic_time>> m_apply_times;
    bool m_has_apply_timer = false;
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace greengagehitch::standin
