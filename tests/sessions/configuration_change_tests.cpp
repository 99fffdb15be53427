#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include <fmt/format.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t groups = 2;
constexpr std::size_t accounts = 3;
/// VMs without callers; they are killed and started again.
constexpr std::size_t first_vm_without_callers = 3;
/// Time beyond the limit of a statement within which its caller gets the answer.
constexpr duration answer_margin = 250ms;

/// Kinds of changes that operators make, each of which is followed by others at once.
enum class change_kind {
    timeout,
    idle_limit,
    rate,
    key,
    database,
    group_of_class,
    connections,
    replicas,
    groups
};
constexpr std::size_t change_kinds = 9;

/// Caller that sends statements and transactions of all kinds, each as soon as the one before is answered,
/// and now and then leaves or rests. Its statements are answered once, in time.
class mixed_caller {
public:
    mixed_caller(session_fleet& fleet, duration const& longest_timeout)
        : m_fleet(fleet), m_clock(fleet.clock()), m_longest_timeout(longest_timeout)
    {
    }

    /// Sends the next statement if it is due, and checks the answers.
    void advance()
    {
        if (!m_session || m_session->was_closed()) {
            open();
            return;
        }
        cr_assert(m_session->answers().size() <= m_sent, "more answers than statements");
        if (m_session->answers().size() < m_sent) {
            auto const waited = m_clock.now() - m_sent_at;
            cr_assert(waited <= m_limit + answer_margin, "%s had no answer for %.0f ms, limit %.0f ms, in %s",
                      m_last.text.c_str(), to_milliseconds(waited), to_milliseconds(m_limit),
                      m_was_in_transaction ? "a transaction" : "none");
            if (m_leaves_at && m_clock.now() >= *m_leaves_at) {
                leave();
            }
            return;
        }
        if (m_sent != 0 && !std::exchange(m_is_counted, true)) {
            ++m_answered;
            m_next_at = m_clock.now() + (m_clock.random_below(3) == 0 ? m_clock.random_interval(150ms) : 0ms);
        }
        if (m_clock.now() >= m_next_at) {
            send_next();
        }
    }

    std::size_t answered() const { return m_answered; }

private:
    void open()
    {
        m_session.reset();
        if (m_clock.now() < m_next_at) {
            return;
        }
        m_next_at = m_clock.now() + 20ms;
        auto const group = m_clock.random_below(groups);
        auto const consistency = static_cast<read_consistency>(m_clock.random_below(3));
        auto opened =
            std::make_unique<session_caller>(m_fleet, m_clock.random_below(first_vm_without_callers),
                                             session_fleet::database_of(group, consistency),
                                             session_fleet::key_of(m_clock.random_below(accounts)));
        if (!opened->is_open()) {
            cr_assert(opened->open_error().has_value());
            return;
        }
        m_session = std::move(opened);
        m_sent = 0;
    }

    void leave()
    {
        m_session->disconnect();
        m_session.reset();
    }

    session_statement choose_statement()
    {
        auto const state = m_sent == 0 ? transaction_state::idle : m_session->answers().back().state;
        if (state == transaction_state::failed) {
            return session_caller::make_statement(statement_kind::rollback, "ROLLBACK");
        }
        if (state == transaction_state::open && m_clock.random_below(3) == 0) {
            return m_clock.random_below(5) == 0
                       ? session_caller::make_statement(statement_kind::rollback, "ROLLBACK")
                       : session_caller::make_statement(statement_kind::commit, "COMMIT");
        }
        if (state == transaction_state::idle && m_clock.random_below(3) == 0) {
            return m_clock.random_below(3) == 0
                       ? session_caller::make_statement(statement_kind::begin_read, "BEGIN READ")
                       : session_caller::make_statement(statement_kind::begin, "BEGIN");
        }
        switch (m_clock.random_below(8)) {
        case 0:
            return session_caller::set("name", fmt::format("v{}", m_clock.random_below(3)));
        case 1:
            return session_caller::prepare("p", m_clock.random_below(2) == 0, "shape");
        case 2:
            return session_caller::execute("p", "x");
        case 3:
        case 4:
            return session_caller::write("x");
        default:
            return session_caller::read("x");
        }
    }

    void send_next()
    {
        if (m_clock.random_below(60) == 0) {
            leave();
            return;
        }
        m_last = choose_statement();
        m_was_in_transaction = m_sent != 0 && m_session->answers().back().state != transaction_state::idle;
        m_sent_at = m_clock.now();
        m_limit = m_longest_timeout;
        m_leaves_at = m_clock.random_below(40) == 0
                          ? std::optional(m_clock.now() + m_clock.random_interval(30ms))
                          : std::nullopt;
        m_is_counted = false;
        ++m_sent;
        m_session->send(m_last);
    }

    session_fleet& m_fleet;
    virtual_clock& m_clock;
    duration const& m_longest_timeout;
    std::unique_ptr<session_caller> m_session;
    session_statement m_last;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
    bool m_is_counted = false;
    bool m_was_in_transaction = false;
    monotonic_time m_sent_at;
    monotonic_time m_next_at;
    duration m_limit{};
    std::optional<monotonic_time> m_leaves_at;
};

/// Fleet whose configuration changes several times a second, at some VMs sooner than at others, beside
/// crashes of members and losses of VMs that relay statements.
class changing_fleet {
public:
    explicit changing_fleet(std::uint64_t seed, bool has_faults)
        : m_has_faults(has_faults), m_fleet(shape(), seed), m_clock(m_fleet.clock())
    {
        m_fleet.change_configuration(
            [this](served_configuration& configuration) { m_initial = configuration; });
        m_fleet.set_on_log([this](log_record const& record) {
            m_overdue +=
                record.message == "statement has had no answer for long after its time limit" ? 1 : 0;
        });
        m_clock.run_for(4s);
        for (int i = 0; i < 40; ++i) {
            m_callers.emplace_back(m_fleet, m_longest_timeout);
        }
    }

    void run(duration length)
    {
        for (auto const end = m_clock.now() + length; m_clock.now() < end;) {
            if (m_clock.now() >= m_next_change_at) {
                change();
            }
            if (m_has_faults && m_clock.now() >= m_next_fault_at) {
                inject_fault();
            }
            for (auto& caller : m_callers) {
                caller.advance();
            }
            m_clock.run_for(1ms);
        }
        std::size_t answered = 0;
        for (auto const& caller : m_callers) {
            answered += caller.answered();
        }
        cr_assert(answered > 1000, "only %zu statements were answered", answered);
        cr_assert(m_overdue == 0, "%zu statements were overdue", m_overdue);
    }

private:
    static session_fleet_shape shape()
    {
        session_fleet_shape shape;
        shape.groups = groups;
        shape.accounts = accounts;
        shape.rate = 200;
        shape.group.mean_statement_time = 10ms;
        return shape;
    }

    void change()
    {
        auto const count = 1 + m_clock.random_below(3);
        served_configuration changed;
        m_fleet.change_configuration([&](served_configuration& configuration) {
            for (std::uint64_t i = 0; i < count; ++i) {
                apply_change(configuration, static_cast<change_kind>(m_clock.random_below(change_kinds)));
            }
            changed = configuration;
        });
        ++changed.version;
        // Some VMs receive the change at once, the others with the next publication.
        for (std::size_t vm = 0; vm < m_fleet.vms(); ++vm) {
            if (m_fleet.is_running(vm) && m_clock.random_below(2) == 0) {
                m_fleet.vm(vm).fleet().set_configuration(changed);
            }
        }
        m_next_change_at = m_clock.now() + m_clock.random_interval(120ms);
    }

    /// Changes a random setting, or sets it back.
    void apply_change(served_configuration& configuration, change_kind kind)
    {
        auto const account = m_clock.random_below(accounts);
        auto const group = m_clock.random_below(groups);
        auto const& group_name = m_fleet.group(group).name();
        auto const database =
            session_fleet::database_of(group, static_cast<read_consistency>(m_clock.random_below(3)));
        auto const is_set_back = m_clock.random_below(2) == 0;
        switch (kind) {
        case change_kind::timeout:
            for (auto& [name, work] : configuration.classes) {
                work.statement_timeout =
                    is_set_back ? m_longest_timeout : 100ms + m_clock.random_interval(300ms);
                work.statement_timeout = std::min(work.statement_timeout, m_longest_timeout);
            }
            return;
        case change_kind::idle_limit:
            configuration.transaction_idle_limit = is_set_back ? 3s : duration(m_clock.random_interval(50ms));
            return;
        case change_kind::rate:
            if (m_clock.random_below(4) == 0) {
                configuration.limits.erase(session_fleet::account_name(account));
                return;
            }
            configuration.limits[session_fleet::account_name(account)] =
                is_set_back ? account_limit{200, 200} : account_limit{2, 1};
            return;
        case change_kind::key:
            configuration.account_of_key.erase(session_fleet::key_of(account));
            if (is_set_back) {
                configuration.account_of_key = m_initial.account_of_key;
            }
            return;
        case change_kind::database:
            configuration.classes.erase(database);
            if (is_set_back) {
                configuration.classes = m_initial.classes;
            }
            return;
        case change_kind::group_of_class:
            if (auto const found = configuration.classes.find(database);
                found != configuration.classes.end()) {
                found->second.group = m_fleet.group(m_clock.random_below(groups)).name();
            }
            return;
        case change_kind::connections:
            configuration.groups[group_name].max_connections = is_set_back ? 38 : m_clock.random_below(6);
            return;
        case change_kind::replicas:
            configuration.groups[group_name].synchronous_replicas = is_set_back ? 1 : 0;
            return;
        case change_kind::groups:
            configuration.groups.erase(group_name);
            if (is_set_back) {
                configuration.groups = m_initial.groups;
            }
            return;
        }
    }

    void inject_fault()
    {
        m_next_fault_at = m_clock.now() + 300ms + m_clock.random_interval(700ms);
        auto& group = m_fleet.group(m_clock.random_below(groups));
        auto const id = group.ids()[m_clock.random_below(group.ids().size())];
        auto const vm =
            first_vm_without_callers + m_clock.random_below(m_fleet.vms() - first_vm_without_callers);
        auto const length = 200ms + m_clock.random_interval(800ms);
        switch (m_clock.random_below(5)) {
        case 0:
            if (!m_is_member_down) {
                m_is_member_down = true;
                group.crash(id);
                m_clock.start_timer(length, [this, &group, id] {
                    group.restart(id);
                    m_is_member_down = false;
                });
            }
            return;
        case 1:
            if (m_fleet.is_running(vm)) {
                m_fleet.kill_vm(vm);
                m_clock.start_timer(length, [this, vm] { m_fleet.start_vm(vm); });
            }
            return;
        case 2:
            group.faults(id).lost_answer_share = 0.1;
            m_clock.start_timer(length, [&group, id] { group.faults(id).lost_answer_share = 0; });
            return;
        case 3:
            m_fleet.set_member_busy(id, true);
            m_clock.start_timer(length, [this, id] { m_fleet.set_member_busy(id, false); });
            return;
        default:
            m_fleet.set_peer_cut(vm, true);
            m_clock.start_timer(length, [this, vm] { m_fleet.set_peer_cut(vm, false); });
            return;
        }
    }

    bool m_has_faults;
    session_fleet m_fleet;
    virtual_clock& m_clock;
    served_configuration m_initial;
    duration m_longest_timeout = 1000ms;
    std::vector<mixed_caller> m_callers;
    monotonic_time m_next_change_at;
    monotonic_time m_next_fault_at;
    bool m_is_member_down = false;
    std::size_t m_overdue = 0;
};

} // namespace

/// Guards against a statement that gets neither an answer nor a refusal since the configuration changes while
/// it waits for tokens, a connection, a slot or a leader, or while its transaction is open.
Test(configuration_change, statements_beside_changes_in_quick_succession_are_answered_once_in_time)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        changing_fleet(seed, false).run(15s);
    }
}

/// As above, while members crash or lose answers and VMs that relay statements end.
Test(configuration_change, statements_beside_changes_and_losses_of_members_and_vms_are_answered_once)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        changing_fleet(seed, true).run(15s);
    }
}
