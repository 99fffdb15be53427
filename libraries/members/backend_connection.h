#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/kernel.h"
#include "members/answer_history.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Receives the answers to the commands of one batch, in order. Commands without an answer get the error that
/// closed the connection, such as connection_lost, or timed_out after the timeout.
using answers_callback = std::function<void(std::vector<member_answer>)>;

/// Connection to one member on behalf of one client account. Several batches may be in flight; their answers
/// arrive in order. Tracks which session values and prepared shapes the member holds for the connection.
///
/// A member may repeat an answer at any time. A repetition is dropped, and an answer that belongs to no
/// command closes the connection. An answer that may be a repetition is accepted if a later one of its batch
/// shows that it arrived for its own command; otherwise it is marked as doubtful, and the connection is
/// closed.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
public:
    using values_map = std::map<std::string, std::string>;
    /// Called for each answer that was not accepted as the answer to its command.
    using unmatched_answer_hook = std::function<void(answer_match)>;

    backend_connection(kernel& kernel, backend_connection_hooks const& hooks,
                       backend_connection_target target, unmatched_answer_hook on_unmatched_answer = {});
    ~backend_connection();
    backend_connection(backend_connection const&) = delete;
    backend_connection& operator=(backend_connection const&) = delete;
    backend_connection(backend_connection&&) = delete;
    backend_connection& operator=(backend_connection&&) = delete;

    /// Opens the connection; `on_opened` is called once, with the result.
    void open(duration timeout, std::function<void(member_answer)> on_opened);

    /// Sends a batch. If the batch is not answered within `timeout`, the connection is closed and later
    /// answers are ignored.
    void send(std::vector<member_command> const& commands, duration timeout, answers_callback on_answered);

    void close();

    backend_connection_target const& target() const { return m_target; }
    bool is_open() const { return m_is_open; }
    bool is_closed() const { return m_is_closed; }
    bool is_idle() const { return m_batches.empty(); }
    bool has_sent() const { return m_has_sent; }
    /// Whether the connection has delivered an error, an equal one of which would be doubtful.
    bool has_delivered_error() const { return m_has_delivered_error; }
    /// Leaves the connection open after a doubtful answer. A repetition then shows by an answer at rest.
    void keep_open_when_doubtful() { m_closes_when_doubtful = false; }
    /// Returns whether the connection may serve another transaction or single statement. One on which an
    /// answer was repeated may have more repetitions under way.
    bool may_be_reused() const
    {
        return m_is_open && is_idle() && m_state == transaction_state::idle && !m_has_repeated_answer &&
               !m_history.is_full();
    }
    transaction_state state() const { return m_state; }

    /// Returns the commands that set the session values of the connection to exactly `values`, and records
    /// these values.
    std::vector<member_command> commands_to_set_values(values_map const& values);
    bool has_values(values_map const& values) const { return m_are_values_known && m_values == values; }

    /// Returns the commands that prepare the shape under `name_of(shape)`, and records the shape; returns no
    /// command if it is prepared already.
    std::vector<member_command> commands_to_prepare(prepared_shape const& shape);
    /// Name of the shape at members, a single word.
    static std::string name_of(prepared_shape const& shape);

    /// Records that session values or prepared statements were changed inside a transaction. A rollback may
    /// undo the changes, so the values that the member holds are unknown once the transaction has ended.
    void set_changed_in_transaction() { m_is_changed_in_transaction = true; }
    /// Records the end of the transaction. If the transaction changed session values, the next request resets
    /// the connection before it sets new values.
    void end_transaction()
    {
        if (std::exchange(m_is_changed_in_transaction, false)) {
            m_are_values_known = false;
        }
    }

    /// Clears the record of prepared shapes, after the member reported that a prepared statement is unknown.
    void clear_prepared() { m_prepared.clear(); }

    monotonic_time last_used() const { return m_last_used; }
    /// Time at which the member had accepted the connection.
    monotonic_time opened_at() const { return m_opened_at; }

private:
    struct batch_state {
        std::vector<member_command> commands;
        std::vector<member_answer> answers;
        answers_callback on_answered;
        timer_id timer = timer_id::none;
        monotonic_time sent_at;

        std::size_t expected() const { return commands.size(); }
    };

    void handle_opened(member_answer const& answer);
    void handle_answer(member_answer answer);
    /// Handles an answer that arrives while no command is outstanding.
    void handle_unasked_answer(member_answer const& answer);
    void finish_batch(std::shared_ptr<batch_state> const& batch);
    /// Returns the index of the first answer of the batch that may be a repetition, as far as the later ones
    /// show; the number of answers if there is none. Answers that set up the connection count if any new
    /// answer follows, since members do not refuse such commands.
    static std::size_t find_unconfirmed(batch_state const& batch);
    /// Counts and logs an answer that was dropped.
    void report_dropped(answer_match match, member_answer const& answer, std::string const& request) const;
    void count_unmatched(answer_match match) const;
    void fail_all(member_error error, bool is_refused_by_host = false);

    kernel& m_kernel;
    backend_connection_hooks const& m_hooks;
    std::weak_ptr<bool> m_kernel_lifetime;
    backend_connection_target m_target;
    unmatched_answer_hook m_on_unmatched_answer;
    backend_connection_id m_id = backend_connection_id::none;
    bool m_is_open = false;
    bool m_is_closed = false;
    transaction_state m_state = transaction_state::idle;
    monotonic_time m_last_used;
    monotonic_time m_opened_at;
    std::function<void(member_answer)> m_on_opened;
    timer_id m_open_timer = timer_id::none;
    std::deque<std::shared_ptr<batch_state>> m_batches;
    values_map m_values;
    bool m_are_values_known = true;
    bool m_is_changed_in_transaction = false;
    std::set<prepared_shape> m_prepared;
    answer_history m_history;
    bool m_has_sent = false;
    bool m_has_delivered_error = false;
    bool m_closes_when_doubtful = true;
    bool m_has_repeated_answer = false;
};

using backend_connection_pointer = std::shared_ptr<backend_connection>;

} // namespace greengagehitch
