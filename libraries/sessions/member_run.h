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
struct run_order {
    served_class work;
    std::string client_account;
    session_statement statement;
    std::optional<prepared_shape> prepared; ///< Of an execution.
    backend_connection::values_map values;  ///< Of the session.
    std::optional<log_position> floor;      ///< Last commit of the session.
    monotonic_time arrived;
    bool is_write = false;
};

/// Connection that an open transaction holds.
struct pinned_lease {
    lease_pointer lease;
    std::string member;
};

struct run_result {
    session_answer answer;
    std::optional<pinned_lease> pinned; ///< After a begin that succeeded.
};

/// How a statement reaches a member.
enum class run_mode {
    read,        ///< At any member that holds a position which bounds the age.
    proven_read, ///< At the leader, inside a transaction of our own that only a leader accepts.
    write,       ///< At the leader, once.
    begin,       ///< Starts a transaction at the leader.
    begin_read,  ///< Starts a read transaction at any member that holds the position.
};

/// Turns a member's answer into the session's.
session_answer to_session_answer(member_answer answer);

/// Request that runs the statement of `order`, with what its connection has to hold.
member_request request_for(run_order const& order);

/// Runs one statement: chooses a member, waits for a link, sends, and tries again elsewhere where nothing was
/// run or a read may be repeated. Calls back once.
class member_run : public std::enable_shared_from_this<member_run> {
public:
    member_run(kernel& kernel, database_group& group, run_order order, run_mode mode,
               std::function<void(run_result)> done);

    void start();

private:
    struct attempt {
        std::string member;
        run_mode mode = run_mode::read;
        monotonic_time sent_at;
        std::size_t offset = 0; ///< Of the statement's own answer in the reply.
    };

    bool needs_leader() const;
    void next();
    void next_after(duration delay);
    void wait_for_evidence();
    run_mode effective_mode() const;
    void try_at(std::string const& member);
    /// Makes the request for an attempt; nothing when the evidence for a read has grown too old.
    std::optional<member_request> make_request(attempt& attempt) const;
    void watch_for_answer(std::string const& member, run_mode mode);
    void take_reply(attempt const& sent, member_reply reply);
    void take_statement_answer(attempt const& sent, member_answer answer);
    void take_begin_answer(attempt const& sent, member_answer answer, lease_pointer lease);
    /// Handles an error that says nothing was run; true when it was one.
    bool try_elsewhere(std::string const& member, member_error error);
    void log_attempt(std::string const& member, member_error error) const;
    std::optional<log_position> required_floor() const;
    duration lead_time() const;
    duration queue_limit() const;
    void refuse(session_error error, std::string text, duration retry_after = {});
    void finish(run_result result);

    kernel& m_kernel;
    database_group& m_group;
    run_order m_order;
    run_mode m_mode;
    std::function<void(run_result)> m_done;
    monotonic_time m_deadline;
    std::set<std::string> m_excluded;
    std::size_t m_attempts = 0;
    std::size_t m_in_flight = 0; ///< Attempts that were sent and not answered.
    std::size_t m_failed_runs = 0;
    bool m_goes_to_leader = false;
    monotonic_time m_evidence_asked_at;
    bool m_has_asked_for_evidence = false;
};

} // namespace greengagehitch
