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
#include "members/member_command.h"

namespace greengagehitch {

/// Answers to the commands of one batch, in order. Commands without an answer carry connection_lost or, when
/// the time was over, timed_out.
using answers_callback = std::function<void(std::vector<member_answer>)>;

/// Connection to one member on behalf of one client account. Several batches may be on their way; answers
/// come in order. Tracks which session values and prepared shapes the member holds for it.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
public:
    using values_map = std::map<std::string, std::string>;

    backend_connection(kernel& kernel, backend_connection_hooks const& hooks,
                       backend_connection_target target);
    ~backend_connection();
    backend_connection(backend_connection const&) = delete;
    backend_connection& operator=(backend_connection const&) = delete;
    backend_connection(backend_connection&&) = delete;
    backend_connection& operator=(backend_connection&&) = delete;

    /// Opens the connection; `opened` comes once.
    void open(duration timeout, std::function<void(member_answer)> opened);

    /// Sends a batch. When it is not answered within `timeout`, the link closes: late answers are dropped.
    void send(std::vector<member_command> const& commands, duration timeout, answers_callback answered);

    void close();

    backend_connection_target const& target() const { return m_target; }
    bool is_open() const { return m_is_open; }
    bool is_closed() const { return m_is_closed; }
    bool is_idle() const { return m_batches.empty(); }
    transaction_state state() const { return m_state; }

    /// Commands that give the connection exactly `values`; notes that it will hold them.
    std::vector<member_command> align_values(values_map const& values);
    bool has_values(values_map const& values) const { return m_are_values_known && m_values == values; }

    /// Commands that make the shape known under `name_of(shape)`; none when it is already.
    std::vector<member_command> align_prepared(prepared_shape const& shape);
    static std::string name_of(prepared_shape const& shape);

    /// Notes that values or names were set inside a transaction. They may go when it is rolled back, so that
    /// what the member holds is not known once the transaction has ended.
    void set_changed_in_transaction() { m_is_changed_in_transaction = true; }
    /// Takes in that the transaction has ended: values are then reset before the next ones are set.
    void end_transaction()
    {
        if (std::exchange(m_is_changed_in_transaction, false)) {
            m_are_values_known = false;
        }
    }

    /// Forgets what is prepared, after the member said that it does not know a name.
    void forget_prepared() { m_prepared.clear(); }

    monotonic_time last_used() const { return m_last_used; }

private:
    struct batch_state {
        std::size_t expected = 0;
        std::vector<member_answer> answers;
        answers_callback answered;
        timer_id timer = timer_id::none;
    };

    void handle_opened(member_answer const& answer);
    void handle_answer(member_answer answer);
    void fail_all(member_error error);

    kernel& m_kernel;
    backend_connection_hooks const& m_hooks;
    std::weak_ptr<bool> m_kernel_lifetime;
    backend_connection_target m_target;
    backend_connection_id m_id = backend_connection_id::none;
    bool m_is_open = false;
    bool m_is_closed = false;
    transaction_state m_state = transaction_state::idle;
    monotonic_time m_last_used;
    std::function<void(member_answer)> m_opened;
    timer_id m_open_timer = timer_id::none;
    std::deque<std::shared_ptr<batch_state>> m_batches;
    values_map m_values;
    bool m_are_values_known = true;
    bool m_is_changed_in_transaction = false;
    std::set<prepared_shape> m_prepared;
};

using backend_connection_pointer = std::shared_ptr<backend_connection>;

} // namespace greengagehitch
