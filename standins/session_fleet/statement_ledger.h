#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "members/member_command.h"
#include "sessions/session_answer.h"

namespace greengagehitch::standin {

/// How often each rule to callers was broken.
struct rule_counts {
    std::size_t mixed =
        0; ///< Successes without the proof or with other rows than the member's for the statement.
    std::size_t unasked = 0; ///< Statements run that no caller sent so, or commits that no caller asked for.
    std::size_t pinned =
        0; ///< Statements run in a wrong transaction, on a wrong connection or with wrong values.
    std::size_t refused =
        0;                 ///< Writes that were committed though their caller was told that nothing is kept.
    std::size_t twice = 0; ///< Writes that took effect twice.
    std::size_t missing = 0; ///< Writes whose commit was reported to the caller but is not in the log.
};

/// Records what callers send and are answered, and what members run, and counts the broken rules.
class statement_ledger {
public:
    enum class session_number : std::uint64_t { none = 0 };

    /// State of a member's connection when it runs a statement.
    struct run_place {
        std::uint64_t connection = 0;
        std::uint64_t transaction = 0; ///< Number of the transaction at the member; 0 outside one.
        std::string client_account;
        std::map<std::string, std::string> const& session_values;
        std::map<std::string, prepared_shape> const& prepared;
    };

    session_number add_session(std::string client_account);
    void record_sent(session_number session, session_statement const& statement);
    void record_answer(session_number session, session_answer const& answer);

    /// Records that a member runs a caller's statement. Returns its proof, which is unique for each run.
    std::string record_run(run_place const& place, member_command const& command);
    /// Records the rows that a member returned with a proof.
    void record_rows(std::string const& proof, std::vector<std::string> rows);
    /// Records that a member received a message that is none of the protocol.
    void record_unreadable_command(std::string const& message);
    /// Records that a caller received a message that has no place in an answer.
    void record_unreadable_answer(std::string const& message);
    /// Records that a member commits a transaction on the order of a statement.
    void record_commit(std::uint64_t transaction, std::string const& statement);

    /// Compares the outcomes that callers were told with the number of log entries of each statement. Call it
    /// once, at the end.
    void check_log(std::map<std::string, std::size_t> const& entries);

    rule_counts const& counts() const { return m_counts; }
    /// Returns a line for each broken rule, with the statement.
    std::vector<std::string> const& findings() const { return m_findings; }
    std::size_t served() const { return m_served; }

private:
    enum class outcome { unknown, success, no_effect };

    struct sent_statement {
        session_number session = session_number::none;
        session_statement statement;
        std::uint64_t transaction = 0; ///< Number of the caller's transaction; 0 outside one.
        bool is_write = false;
        std::map<std::string, std::string> session_values;
        outcome result = outcome::unknown;
        std::uint64_t runs = 0;
    };

    struct session_state {
        std::string client_account;
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_shape> prepared;
        std::uint64_t transaction = 0;
        std::deque<std::string> outstanding; ///< Ids of statements without an answer.
    };

    /// What runs in a member's transaction: a caller's transaction, or a single statement.
    struct owner {
        std::uint64_t transaction = 0;
        std::string statement; ///< Empty in a caller's transaction.
        auto operator<=>(owner const&) const = default;
    };

    struct caller_transaction {
        bool is_commit_asked = false;
        outcome result = outcome::unknown;
        std::uint64_t connection = 0;         ///< Connection of its first statement; 0 before.
        std::uint64_t member_transaction = 0; ///< Transaction of its first statement at the member.
    };

    void check_answer(sent_statement const& sent, session_answer const& answer);
    void check_place(sent_statement const& sent, run_place const& place);
    void check_text(sent_statement const& sent, run_place const& place, member_command const& command);
    void add_finding(std::size_t& count, char const* rule, std::string const& statement,
                     std::string const& reason);

    rule_counts m_counts;
    std::vector<std::string> m_findings;
    std::size_t m_served = 0;
    std::uint64_t m_next_session = 1;
    std::uint64_t m_next_transaction = 1;
    std::map<session_number, session_state> m_sessions;
    std::map<std::string, sent_statement> m_sent;               ///< Keyed by statement id.
    std::map<std::uint64_t, caller_transaction> m_transactions; ///< Keyed by the caller's transaction.
    std::map<std::uint64_t, owner> m_owners;                    ///< Keyed by the member's transaction.
    std::map<std::string, std::vector<std::string>> m_rows;     ///< Keyed by proof.
    std::map<std::string, std::set<std::string>> m_proofs;      ///< Keyed by statement id.
};

} // namespace greengagehitch::standin
