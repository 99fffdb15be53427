#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "members/member_command.h"
#include "statement_ledger.h"
#include "virtual_clock.h"

namespace greengagehitch::standin {

/// One commit in the log of a database group.
struct log_entry {
    log_position position;
    std::string statement;           ///< Id of the first write that was committed.
    std::vector<std::string> writes; ///< Ids of all writes that were committed.
};

/// Faults that a test injects at one member.
struct member_faults {
    bool is_down = false;             ///< The member neither answers callers nor receives log entries.
    bool refuses_connections = false; ///< The member's machine refuses connections, as its process has ended.
    bool is_replication_cut = false;  ///< The member receives no log entries from the leader.
    /// The member exchanges log entries only with other isolated members and cannot learn of a successor.
    bool is_isolated = false;
    double lost_answer_share = 0; ///< Fraction of executed statements whose answer is lost, 0 to 1.
    /// Mean time from receiving a log entry to applying it; the time is exponentially distributed.
    duration mean_apply_lag = std::chrono::milliseconds(20);
    /// Fraction of all answers, also to handshakes and orders, that arrive a second time unchanged, 0 to 1.
    double repeated_answer_share = 0;
    /// Mean time from an answer to its repetition; the time is exponentially distributed.
    duration mean_repetition_delay = std::chrono::milliseconds(60);
    /// Fraction of all answers to commands whose connection is lost before they have arrived whole, 0 to 1.
    double cut_answer_share = 0;
};

/// Model of a database group in virtual time.
///
/// One leader replicates its log to the other members. The model covers terms, execution slots, and
/// connections with their transactions, session values and prepared statements. It records every acknowledged
/// commit, so that tests can check that a proxy neither loses a commit nor executes a write twice.
class virtual_database_group {
public:
    struct options {
        std::size_t slots = 3;            ///< Statements that one member executes at a time.
        std::size_t max_connections = 38; ///< Connections that one member accepts.
        /// Mean time that a statement occupies a slot; the time is exponentially distributed.
        duration mean_statement_time = std::chrono::milliseconds(10);
        /// Time that a member takes to accept a connection, without the network round trip.
        duration connection_setup_time = std::chrono::milliseconds(20);
        /// One-way network delay between members, and between a VM and a member.
        duration latency = std::chrono::milliseconds(1);
        /// Time from the order of a promotion to the start of the new term.
        duration promotion_time = std::chrono::milliseconds(300);
        /// Whether a replaced leader loses its leadership when the new term starts. Otherwise it accepts
        /// transactions until it is ordered to step down, or for a time after it can reach its successor.
        bool deposes_replaced_leader = true;
        /// Time for which the directory lists a member that has crashed.
        duration entry_lifetime{};
        duration warm_up_time{}; ///< Time that a member's directory entry says it is slow after a restart.
        /// Whether reads of an item that was written return two rows: their id, and the data written last.
        bool returns_data = false;
        std::string error_text; ///< Text of all errors of members.
        /// Whether answers to the handshake that arrive on an open connection are marked as such.
        bool marks_handshake_answers = false;
    };

    virtual_database_group(virtual_clock& clock, std::string name, std::vector<std::string> ids,
                           options options);

    std::string const& name() const { return m_name; }
    std::vector<std::string> const& ids() const { return m_ids; }
    std::string const& leader() const { return m_leader; }
    std::uint64_t term() const { return m_term; }
    member_faults& faults(std::string const& id) { return m_members.at(id).faults; }

    /// Ends the process of a member: its connections are lost and new ones are refused.
    void crash(std::string const& id);

    /// Restarts a member that was down and closes its connections. It forgets the orders to stop receiving
    /// and to step down. A member that was promoted last leads again; any other member becomes a replica,
    /// which receives what it has missed from the leader.
    void restart(std::string const& id);

    /// Lets a member's process stand still: its connections stay open and new ones get no answer, and all
    /// that arrives at it waits until it goes on.
    void stand_still(std::string const& id);
    /// Lets a member that stands still go on with what it has read and with what has arrived since.
    void go_on(std::string const& id);

    /// Starts a further replica, which receives the leader's log unless it is isolated from the leader.
    void add_replica(std::string const& id, bool is_isolated);

    /// Time of a member's last restart; the default value if it was never restarted.
    monotonic_time started_at(std::string const& id) const { return m_members.at(id).started_at; }
    /// Returns whether the directory has an entry of the member.
    bool is_listed(std::string const& id) const;
    duration warm_up_time() const { return m_options.warm_up_time; }

    /// Makes a member the leader of the next term after the promotion time; does nothing if the member is the
    /// leader or down by then.
    void promote(std::string const& id);

    /// Returns the number of acknowledged commits that the leader's log lacks.
    std::size_t lost_commits() const;
    /// Returns whether the leader's log contains every acknowledged commit.
    bool holds_all_acknowledged() const { return lost_commits() == 0; }
    /// Returns the number of acknowledged commits.
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    /// Returns how many entries of the leader's log come from the statement with this id.
    std::size_t count_in_log(std::string const& statement) const;
    /// Returns how many entries of the leader's log come from each statement, keyed by its id.
    std::map<std::string, std::size_t> log_counts() const;
    /// Returns the highest position of all commits that were acknowledged before `time`.
    log_position acknowledged_before(monotonic_time time) const;
    /// Returns the position of the last entry in the leader's log.
    log_position end_of_log() const;

    /// Returns how many statements were read at a replaced leader that still acts as a primary and lacked a
    /// commit acknowledged before the read's caller sent it, as far as `note_read` announced the read.
    std::size_t stale_reads() const { return m_stale_reads; }
    /// Announces a read that must see all commits acknowledged so far, wherever it runs.
    void note_read(std::string const& statement);

    /// Returns the number of open connections of a member.
    std::size_t connections(std::string const& id) const { return m_members.at(id).connections; }
    /// Returns the number of connection attempts that a member has answered.
    std::size_t opened_connections() const { return m_opened_connections; }
    /// Returns the number of connections that members have refused over their limit.
    std::size_t refused_connections() const { return m_refused_connections; }
    /// Returns the number of statements that members have executed.
    std::size_t statements_run() const { return m_statements_run; }
    /// Returns the number of answers that were delivered a second time.
    std::size_t repeated_answers() const { return m_repeated_answers; }
    /// Sets the record of what members run, which must outlive the group. May be null.
    void set_ledger(statement_ledger* ledger) { m_ledger = ledger; }
    /// Returns the times at which statements of callers arrived at a member.
    std::vector<monotonic_time> const& arrival_times(std::string const& id) const
    {
        return m_members.at(id).arrival_times;
    }

    // Connections of the VMs; the caller chooses the connection numbers.
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
        bool was_begun_at_leader = false;        ///< Whether the transaction began at the leader of `term`.
        std::uint64_t term = 0;                  ///< Term of the group when the transaction began.
        std::uint64_t transaction = 0;           ///< Number of the open transaction in the group.
        std::vector<std::string> pending_writes; ///< Ids of the uncommitted write statements.
        std::map<std::string, std::string> session_values; ///< Keyed by name.
        std::map<std::string, prepared_shape> prepared;    ///< Keyed by name of the prepared statement.
    };
    using connection_pointer = std::shared_ptr<connection>;

    /// Commit that waits until a replica has received it.
    struct waiting_commit {
        log_entry entry;
        std::uint64_t connection_number = 0;
        std::string proof;
    };

    struct member {
        std::vector<log_entry> log;
        std::size_t applied = 0;           ///< Number of log entries that are visible to reads.
        std::uint64_t stopped_at_term = 0; ///< Entries of lower terms are rejected; 0 accepts all.
        bool has_stepped_down = false;     ///< Whether the member was ordered to step down since it led.
        std::size_t connections = 0;
        std::size_t running_statements = 0; ///< Number of occupied slots.
        member_faults faults;
        std::vector<monotonic_time> arrival_times;
        monotonic_time started_at{};
        monotonic_time crashed_at{};
        bool is_standing_still = false;
        std::vector<std::function<void()>> postponed; ///< Steps of the member that wait until it goes on.
    };

    /// Runs a step of a member, now or once the member goes on.
    void run_step(std::string const& id, std::function<void()> step);
    /// Ends the standstill of a member that crashes or restarts, whose connections are lost.
    void drop_postponed_steps(std::string const& id);
    void run_next_command(std::uint64_t connection_number);
    void finish_handshake(std::uint64_t connection_number, connection_pointer const& added,
                          std::string const& group);
    void finish_command(std::uint64_t connection_number, connection_pointer const& current,
                        member_command const& command, bool takes_slot);
    /// Sends an answer after the latency, then runs the next command. With `was_run`, the answer may be lost.
    void send_answer(std::uint64_t connection_number, member_answer const& answer, bool was_run);
    /// Delivers an answer after the latency, and a second time if the member repeats it.
    void deliver(std::uint64_t connection_number, std::string const& member, member_answer const& answer);
    void deliver_after(duration delay, std::uint64_t connection_number, member_answer answer);
    /// Ends a connection as a member does that fails while it answers.
    void lose_connection(std::uint64_t connection_number);
    bool draw(double share) { return share > 0 && m_clock.random_share() < share; }
    /// Records that a statement runs. Returns its proof.
    std::string record_run(std::uint64_t connection_number, connection const& current,
                           member_command const& command);
    member_answer run_command(std::uint64_t connection_number, connection& current,
                              member_command const& command);
    member_answer run_statement(std::uint64_t connection_number, connection& current,
                                member_command const& command);
    void commit(std::uint64_t connection_number, connection_pointer const& current,
                member_command const& command);
    void lose_connections(std::string const& id);
    /// Sends a log entry to all replicas. The commit is acknowledged once the first has received it.
    void replicate(log_entry const& entry, std::uint64_t connection_number, std::string const& proof);
    bool is_receiving(std::string const& replica, std::string const& sender) const;
    /// Copies the sender's log up to `position` to a replica and acknowledges the commits that waited for it.
    void receive(std::string const& replica, std::string const& sender, log_position position);
    void acknowledge(waiting_commit const& commit, std::string const& leader);
    member_answer make_answer(connection const& current) const;
    /// Makes an answer with an error; an open transaction fails.
    member_answer make_error_answer(connection& current, member_error error) const;
    /// Returns the position of the last log entry that reads at a member see.
    log_position applied_position(member const& queried) const;
    static bool needs_slot(connection const& current, member_command const& command);
    /// Returns whether the member acts as a primary, which a replaced leader may do beside its successor.
    bool is_primary(std::string const& id) const { return m_primaries.contains(id); }
    void depose_replaced_leader(std::string const& id);
    void check_noted_read(std::string const& statement, log_position applied);
    /// Stores the data of a write, or returns the data of the item that a read names.
    std::optional<std::string> use_data(connection const& current, member_command const& command);

    virtual_clock& m_clock;
    std::string m_name;
    std::vector<std::string> m_ids;
    options m_options;
    std::map<std::string, member> m_members;
    std::map<std::uint64_t, connection_pointer> m_connections; ///< Keyed by connection number.
    std::string m_leader;                                      ///< Member that was promoted last.
    std::set<std::string> m_primaries;                         ///< Ids of the members that act as a primary.
    std::uint64_t m_term = 1;
    std::uint64_t m_next_number = 1; ///< Position of the next log entry.
    std::vector<waiting_commit> m_waiting_commits;
    /// Acknowledged commits in order, each with the time of its acknowledgement.
    std::vector<std::pair<monotonic_time, log_entry>> m_acknowledged;
    std::map<std::string, log_position> m_noted_reads; ///< Positions that reads must see, keyed by statement.
    std::map<std::string, std::string> m_data; ///< Data that ran last, committed or not, keyed by item.
    std::size_t m_stale_reads = 0;
    std::size_t m_opened_connections = 0;
    std::size_t m_refused_connections = 0;
    std::size_t m_statements_run = 0;
    std::size_t m_repeated_answers = 0;
    std::uint64_t m_next_transaction = 1;
    statement_ledger* m_ledger = nullptr;
};

} // namespace greengagehitch::standin
