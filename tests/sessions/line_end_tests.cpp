// Fields that hold line ends and texts of messages, while all messages pass as bytes. A message of the line
// protocol ends at CR LF and nowhere else, so what a field holds never decides where a message ends.

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <string_view>

#include <fmt/format.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace std::string_view_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr duration caller_patience = 5s;
constexpr duration mean_pause = 10ms;
constexpr std::size_t max_retries = 3;

constexpr std::array field_parts{
    "\n"sv,
    "\r"sv,
    "\r\r"sv,
    "\t"sv,
    "\0"sv,
    "\x01\x7f"sv,
    "\x80\xff\xc3"sv,
    "\n\r"sv,
    "plain"sv,
    " two words "sv,
    "\nQUERY f00d WRITE z stolen"sv,
    "\nQUERY f00d COMMIT"sv,
    "\nDONE 9.forged\nREADY I 99.99"sv,
    "\nROW x"sv,
    "\rBYE"sv,
    "\nBYE"sv,
    "\nERROR BUSY x\nREADY I -"sv,
};

/// Replaces `text` everywhere in a field.
std::string replace_all(std::string field, std::string_view text, std::string_view replacement)
{
    for (auto at = field.find(text); at != std::string::npos; at = field.find(text)) {
        field.replace(at, text.size(), replacement);
    }
    return field;
}

/// Makes a last field of a message, which may hold all but CR LF.
std::string make_last_field(virtual_clock& clock)
{
    std::string field = "a";
    for (auto parts = 1 + clock.random_below(3); parts != 0; --parts) {
        field += field_parts.at(clock.random_below(field_parts.size()));
    }
    return replace_all(std::move(field), "\r\n", "\rx\n");
}

/// Makes a field that others follow, which holds no blank either.
std::string make_field(virtual_clock& clock)
{
    return replace_all(make_last_field(clock), " ", "_");
}

/// Caller that sends one statement after the other in one session, with odd fields.
class odd_caller {
public:
    explicit odd_caller(session_fleet& fleet, std::size_t account) : m_fleet(fleet), m_account(account)
    {
        auto& clock = fleet.clock();
        for (auto i = 0; i < 3; ++i) {
            m_items.push_back(make_field(clock));
            m_names.push_back(make_field(clock));
        }
    }

    /// Sends the next statement once the last one is answered and the pause is over.
    void run()
    {
        auto const now = m_fleet.clock().now();
        if (m_session && m_session->was_closed()) {
            ++m_lost_sessions;
            m_session.reset();
        }
        if (!m_session) {
            open();
            return;
        }
        if (m_session->answers().size() < m_sent) {
            if (now - m_sent_at > caller_patience) {
                ++m_lost_sessions;
                m_session->disconnect();
                m_session.reset();
            }
            return;
        }
        if (m_is_waiting) {
            m_is_waiting = false;
            m_next_at = now + m_fleet.clock().random_interval(mean_pause);
            auto const& answer = m_session->answers().back();
            if (answer.error) {
                ++m_errors;
                m_last_error = fmt::format("{} was answered with {}: {}", m_text,
                                           find_name(session_error_names, *answer.error), answer.error_text);
                retry(answer);
            }
        }
        if (now < m_next_at) {
            return;
        }
        if (m_script.empty()) {
            write_script();
            m_operation = m_script;
            m_retries = 0;
        }
        auto statement = std::move(m_script.front());
        m_script.pop_front();
        ++m_sent;
        ++m_statements;
        m_sent_at = now;
        m_is_waiting = true;
        m_text = statement.text;
        m_session->send(std::move(statement));
    }

    std::size_t statements() const { return m_statements; }
    std::size_t errors() const { return m_errors; }
    std::string const& last_error() const { return m_last_error; }
    std::size_t unserved() const { return m_unserved; }
    std::size_t lost_sessions() const { return m_lost_sessions; }

private:
    void open()
    {
        auto& clock = m_fleet.clock();
        auto const consistency = static_cast<read_consistency>(clock.random_below(3));
        m_session = std::make_unique<session_caller>(m_fleet, clock.random_below(m_fleet.vms()),
                                                     session_fleet::database_of(0, consistency),
                                                     session_fleet::key_of(m_account));
        cr_assert(m_session->is_open());
        m_sent = 0;
        m_is_waiting = false;
        m_is_prepared = false;
        m_script.clear();
    }

    /// Sends the operation again in full, with new ids, if the error says that nothing of it was kept.
    void retry(session_answer const& answer)
    {
        m_script.clear();
        if (answer.state != transaction_state::idle) {
            m_script.push_back(session_caller::make_statement(statement_kind::rollback, "ROLLBACK"));
        }
        if (!guarantees_no_effect(*answer.error) || ++m_retries > max_retries) {
            ++m_unserved;
            return;
        }
        for (auto const& sent : m_operation) {
            m_script.push_back(sent);
            m_script.back().id = session_caller::make_statement(sent.kind, sent.text).id;
        }
    }

    std::string const& pick(std::vector<std::string> const& fields)
    {
        return fields.at(m_fleet.clock().random_below(fields.size()));
    }

    void write_script()
    {
        auto& clock = m_fleet.clock();
        switch (clock.random_below(8)) {
        case 0:
            m_script.push_back(session_caller::set(pick(m_names), make_last_field(clock)));
            return;
        case 1:
            m_prepared = pick(m_names);
            m_is_prepared = true;
            m_script.push_back(
                session_caller::prepare(m_prepared, clock.random_below(2) == 0, make_last_field(clock)));
            return;
        case 2:
            if (m_is_prepared) {
                m_script.push_back(session_caller::deallocate(m_prepared));
                m_is_prepared = false;
                return;
            }
            m_script.push_back(work());
            return;
        case 3:
        case 4:
            m_script.push_back(session_caller::make_statement(statement_kind::begin, "BEGIN"));
            for (auto left = 1 + clock.random_below(3); left != 0; --left) {
                m_script.push_back(work());
            }
            m_script.push_back(clock.random_below(4) == 0
                                   ? session_caller::make_statement(statement_kind::rollback, "ROLLBACK")
                                   : session_caller::make_statement(statement_kind::commit, "COMMIT"));
            return;
        default:
            m_script.push_back(work());
            return;
        }
    }

    session_statement work()
    {
        auto& clock = m_fleet.clock();
        auto const choice = clock.random_below(6);
        if (choice < 2 && m_is_prepared) {
            return session_caller::execute(m_prepared, pick(m_items) + " " + make_last_field(clock));
        }
        return choice < 4 ? session_caller::read(pick(m_items))
                          : session_caller::write(pick(m_items), make_last_field(clock));
    }

    session_fleet& m_fleet;
    std::size_t m_account;
    std::vector<std::string> m_items;
    std::vector<std::string> m_names; ///< Of session values and of prepared statements.
    std::unique_ptr<session_caller> m_session;
    std::deque<session_statement> m_script;    ///< Statements to send next.
    std::deque<session_statement> m_operation; ///< All statements of the operation.
    std::size_t m_retries = 0;                 ///< Of the operation.
    std::string m_prepared;
    bool m_is_prepared = false;
    bool m_is_waiting = false;
    std::size_t m_sent = 0; ///< Statements sent in the session.
    std::size_t m_statements = 0;
    std::size_t m_errors = 0;
    std::size_t m_unserved = 0;      ///< Operations that failed for good.
    std::size_t m_lost_sessions = 0; ///< Sessions that were closed or left a statement without an answer.
    std::string m_text;              ///< Text of the last statement.
    std::string m_last_error;
    monotonic_time m_sent_at{};
    monotonic_time m_next_at{};
};

struct odd_soak_result {
    rule_counts counts;
    std::size_t statements = 0;
    std::size_t errors = 0;
    std::size_t unserved = 0;
    std::size_t lost_sessions = 0;
    std::size_t repeated = 0;
    std::string first_finding;
    std::string last_error;

    bool holds_all_rules() const
    {
        return counts.mixed + counts.unasked + counts.pinned + counts.refused + counts.twice +
                   counts.missing ==
               0;
    }
    bool is_all_served() const { return unserved + lost_sessions == 0; }
    std::string to_text() const
    {
        return fmt::format(
            "{} statements, {} repeated answers: MIXED {}, UNASKED {}, PINNED {}, REFUSED {}, "
            "TWICE {}, missing {}, {} errors, {} operations not served, {} sessions lost; {:?}; {:?}",
            statements, repeated, counts.mixed, counts.unasked, counts.pinned, counts.refused, counts.twice,
            counts.missing, errors, unserved, lost_sessions, first_finding, last_error);
    }
};

session_fleet_shape make_shape()
{
    session_fleet_shape shape;
    shape.passes_wire = true;
    shape.group.mean_statement_time = 5ms;
    shape.group.returns_data = true;
    shape.group.error_text = "no\nDONE 9.forged\nREADY I 99.99";
    return shape;
}

/// Runs callers with odd fields beside members that repeat a part of their answers.
odd_soak_result run_odd_soak(double repeated_answer_share, std::uint64_t seeds)
{
    odd_soak_result result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        session_fleet fleet(make_shape(), seed);
        auto& clock = fleet.clock();
        clock.run_for(4s);
        for (auto const& id : fleet.group().ids()) {
            fleet.group().faults(id).repeated_answer_share = repeated_answer_share;
        }
        std::vector<odd_caller> callers;
        for (std::size_t i = 0; i < 12; ++i) {
            callers.emplace_back(fleet, i % 2);
        }
        auto const end = clock.now() + 10s;
        while (clock.now() < end) {
            for (auto& each : callers) {
                each.run();
            }
            clock.run_for(2ms);
        }
        clock.run_for(caller_patience);
        fleet.ledger().check_log(fleet.group().log_counts());
        for (auto const& each : callers) {
            result.statements += each.statements();
            result.errors += each.errors();
            result.last_error = each.last_error().empty() ? result.last_error : each.last_error();
            result.unserved += each.unserved();
            result.lost_sessions += each.lost_sessions();
        }
        auto const& counts = fleet.ledger().counts();
        result.counts.mixed += counts.mixed;
        result.counts.unasked += counts.unasked;
        result.counts.pinned += counts.pinned;
        result.counts.refused += counts.refused;
        result.counts.twice += counts.twice;
        result.counts.missing += counts.missing;
        result.repeated += fleet.group().repeated_answers();
        if (result.first_finding.empty() && !fleet.ledger().findings().empty()) {
            result.first_finding = fleet.ledger().findings().front();
        }
    }
    return result;
}

} // namespace

/// Guards against MIXED and UNASKED through fields that hold line ends: a message was ended at a lone LF, so
/// the rest of a write ran as a statement of its own, and a row gave its caller a proof from inside the data.
Test(line_ends, fields_hold_line_ends_and_all_statements_are_served)
{
    auto const result = run_odd_soak(0, 2);
    cr_assert(result.errors == 0, "%s", result.to_text().c_str());
    cr_assert(result.holds_all_rules(), "%s", result.to_text().c_str());
    cr_assert(result.is_all_served(), "%s", result.to_text().c_str());
    cr_assert(result.statements > 1000, "%s", result.to_text().c_str());
}

/// Guards against the same where members give answers a second time: a repetition with line ends in its rows
/// must still be recognised as one.
Test(line_ends, fields_hold_line_ends_while_answers_are_repeated_and_all_rules_hold)
{
    for (auto const share : {0.02, 0.1}) {
        auto const result = run_odd_soak(share, 2);
        cr_assert(result.holds_all_rules(), "%s", result.to_text().c_str());
        cr_assert(result.lost_sessions == 0, "%s", result.to_text().c_str());
        cr_assert(result.repeated > 0, "%s", result.to_text().c_str());
    }
}

/// Guards against operations that fail for good where one answer in fifty is repeated, although their callers
/// send them again after each promise that nothing was kept.
Test(line_ends, two_of_a_hundred_answers_are_repeated_and_all_operations_are_served)
{
    auto const result = run_odd_soak(0.02, 2);
    cr_assert(result.is_all_served(), "%s", result.to_text().c_str());
}

/// Guards against the same where one answer in ten is repeated.
Test(line_ends, ten_of_a_hundred_answers_are_repeated_and_all_operations_are_served)
{
    auto const result = run_odd_soak(0.1, 2);
    cr_assert(result.is_all_served(), "%s", result.to_text().c_str());
}

/// Guards against a session that opens with a part of its caller's key: the key was cut at a line feed.
Test(line_ends, key_with_a_line_feed_opens_no_session)
{
    session_fleet fleet(make_shape(), 1);
    fleet.clock().run_for(4s);
    auto const database = session_fleet::database_of(0, read_consistency::every_commit);
    session_caller const caller(fleet, 0, database, session_fleet::key_of(0) + "\nx");
    cr_assert(not(caller.is_open()));
    cr_assert(caller.open_error() == session_error::unknown_key);
}
