#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "members/member_command.h"
#include "virtual_clock.h"

namespace greengagehitch::standin {

/// One commit in a group's log.
struct log_entry {
    log_position position;
    std::string statement; ///< Id of the statement that made it.
};

/// What may go wrong at one member.
struct member_faults {
    bool is_down = false;            ///< Answers nothing and receives nothing.
    bool is_replication_cut = false; ///< Receives nothing from the leader.
    double lost_answer_share = 0;    ///< Share of statements that run without an answer.
    duration mean_apply_lag =
        std::chrono::milliseconds(20); ///< From receiving a commit to its being readable.
};

/// A database group in virtual time: one leader, replicas that receive its log, terms, slots and connections
/// with their transactions and session values. Counts what a proxy must never cause.
class virtual_database_group {
public:
    struct options {
        std::size_t slots = 3;
        std::size_t max_connections = 38;
        duration mean_statement_time = std::chrono::milliseconds(10);
        duration connection_setup_time = std::chrono::milliseconds(20);
        duration latency = std::chrono::milliseconds(1); ///< One way, between members and to callers.
        duration promotion_time = std::chrono::milliseconds(300);
    };

    virtual_database_group(virtual_clock& clock, std::string name, std::vector<std::string> ids,
                           options options);

    std::string const& name() const { return m_name; }
    std::vector<std::string> const& ids() const { return m_ids; }
    std::string const& leader() const { return m_leader; }
    std::uint64_t term() const { return m_term; }
    member_faults& faults(std::string const& id) { return m_members.at(id).faults; }

    /// Restarts a member that was dark: it comes back with its log, as a replica unless it still leads.
    void restart(std::string const& id);

    /// Makes a member the leader of the next term, some time from now.
    void promote(std::string const& id);

    /// Commits that were acknowledged, in order, and whether the leader's log holds each.
    bool holds_all_acknowledged() const;
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    /// Number of times that a write of this statement is in the leader's log.
    std::size_t count_in_log(std::string const& statement) const;
    /// Highest position of a commit that was acknowledged before `time`.
    log_position acknowledged_before(monotonic_time time) const;
    log_position end_of_log() const;

    std::size_t connections(std::string const& id) const { return m_members.at(id).connections; }
    std::size_t opened_connections() const { return m_opened_connections; }
    std::size_t statements_run() const { return m_statements_run; }

    // The link's side.
    void open(std::uint64_t connection_number, backend_connection_target const& target,
              backend_connection_events events);
    void send(std::uint64_t connection_number, std::vector<member_command> const& commands);
    void close(std::uint64_t connection_number);

private:
    struct connection {
        std::string member;
        std::string client_account;
        backend_connection_events events;
        std::vector<member_command> queue;
        bool is_running = false;
        transaction_state state = transaction_state::idle;
        bool is_write_transaction = false;
        bool was_begun_at_leader = false; ///< The transaction began at the leader of `term`.
        std::uint64_t term = 0;
        std::vector<std::string> pending_writes;
        std::map<std::string, std::string> session_values;
        std::map<std::string, prepared_shape> prepared;
    };
    using connection_pointer = std::shared_ptr<connection>;

    struct member {
        std::vector<log_entry> log;
        std::size_t applied = 0; ///< Entries that reads see.
        std::uint64_t stopped_at_term = 0;
        std::size_t connections = 0;
        std::size_t running_statements = 0;
        member_faults faults;
    };

    void run_next_command(std::uint64_t connection_number);
    void send_answer(std::uint64_t connection_number, member_answer answer, bool was_run);
    member_answer run_command(connection& current, member_command const& command);
    member_answer run_statement(connection& current, member_command const& command);
    void commit(std::uint64_t connection_number, connection_pointer const& current, std::string const& id);
    void replicate(log_entry const& entry, std::uint64_t connection_number, std::string const& id);
    member_answer make_answer(connection const& current) const;
    member_answer make_error_answer(connection& current, member_error error) const;
    log_position applied_position(member const& queried) const;
    static bool needs_slot(connection const& current, member_command const& command);
    bool is_leader(std::string const& id) const { return m_leader == id; }

    virtual_clock& m_clock;
    std::string m_name;
    std::vector<std::string> m_ids;
    options m_options;
    std::map<std::string, member> m_members;
    std::map<std::uint64_t, connection_pointer> m_connections;
    std::string m_leader;
    std::uint64_t m_term = 1;
    std::uint64_t m_next_number = 1;
    std::vector<std::pair<monotonic_time, log_entry>> m_acknowledged;
    std::size_t m_opened_connections = 0;
    std::size_t m_statements_run = 0;
};

} // namespace greengagehitch::standin
