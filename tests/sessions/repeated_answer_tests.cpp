// Members that give answers a second time, some hundred milliseconds late at most, while callers use
// transactions with pauses, prepared statements and session values through several VMs. The members' protocol
// does not say which statement an answer belongs to.

#include <criterion/criterion.h>

#include <fmt/format.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr duration caller_patience = 5s;
constexpr duration mean_pause = 30ms;

/// Caller with one session after the other, which sends one statement at a time.
class scripted_caller {
public:
    scripted_caller(session_fleet& fleet, std::size_t account) : m_fleet(fleet), m_account(account) {}

    /// Sends the next statement once the last one is answered and the pause is over.
    void run()
    {
        auto& clock = m_fleet.clock();
        if (m_session && !m_fleet.is_running(m_vm)) {
            m_session.reset();
        }
        if (!m_session || m_session->was_closed()) {
            open();
            return;
        }
        if (m_session->answers().size() < m_sent) {
            if (clock.now() - m_sent_at > caller_patience) {
                leave();
            }
            return;
        }
        if (!m_is_pausing) {
            m_is_pausing = true;
            m_next_at = clock.now() + clock.random_interval(mean_pause);
        }
        if (clock.now() >= m_next_at) {
            m_is_pausing = false;
            send_next();
        }
    }

private:
    void open()
    {
        m_vm = m_fleet.clock().random_below(m_fleet.vms());
        if (!m_fleet.is_running(m_vm)) {
            return;
        }
        auto const consistency = static_cast<read_consistency>(m_fleet.clock().random_below(3));
        m_session = std::make_unique<session_caller>(
            m_fleet, m_vm, session_fleet::database_of(0, consistency), session_fleet::key_of(m_account));
        m_sent = 0;
        m_is_in_transaction = false;
        m_prepared.clear();
        if (!m_session->is_open()) {
            m_session.reset();
        }
    }

    void leave()
    {
        m_session->disconnect();
        m_session.reset();
    }

    void send(session_statement statement)
    {
        ++m_sent;
        m_sent_at = m_fleet.clock().now();
        m_session->send(std::move(statement));
    }

    void send_next()
    {
        auto& clock = m_fleet.clock();
        auto const has_failed = m_sent != 0 && m_session->answers().back().error.has_value();
        if (m_is_in_transaction) {
            continue_transaction(has_failed);
            return;
        }
        switch (clock.random_below(20)) {
        case 0:
            leave();
            return;
        case 1:
        case 2:
            send(session_caller::set(fmt::format("v{}", clock.random_below(2)),
                                     fmt::format("{}", clock.random_below(3))));
            return;
        case 3:
        case 4: {
            auto const name = fmt::format("p{}", clock.random_below(2));
            m_prepared.insert(name);
            send(session_caller::prepare(name, clock.random_below(2) == 0,
                                         fmt::format("q{}", clock.random_below(3))));
            return;
        }
        case 5:
        case 6:
        case 7:
        case 8:
        case 9:
            m_is_in_transaction = true;
            m_left = 1 + clock.random_below(4);
            send(clock.random_below(3) == 0
                     ? session_caller::make_statement(statement_kind::begin_read, "BEGIN READ")
                     : session_caller::make_statement(statement_kind::begin, "BEGIN"));
            return;
        default:
            send(work());
            return;
        }
    }

    void continue_transaction(bool has_failed)
    {
        auto& clock = m_fleet.clock();
        if (!has_failed && m_left != 0) {
            --m_left;
            if (clock.random_below(25) == 0) {
                leave();
                return;
            }
            send(work());
            return;
        }
        m_is_in_transaction = false;
        auto const is_over = has_failed && m_session->answers().back().state == transaction_state::idle;
        if (is_over) {
            return;
        }
        if (has_failed || clock.random_below(4) == 0) {
            send(session_caller::make_statement(statement_kind::rollback, "ROLLBACK"));
            return;
        }
        send(session_caller::make_statement(statement_kind::commit, "COMMIT"));
    }

    session_statement work()
    {
        auto& clock = m_fleet.clock();
        auto const choice = clock.random_below(6);
        if (choice < 2 && !m_prepared.empty()) {
            return session_caller::execute(*m_prepared.begin(), fmt::format("item{} data", choice));
        }
        return choice < 4 ? session_caller::read("x") : session_caller::write("x");
    }

    session_fleet& m_fleet;
    std::size_t m_account;
    std::size_t m_vm = 0;
    std::unique_ptr<session_caller> m_session;
    std::size_t m_sent = 0;
    monotonic_time m_sent_at{};
    monotonic_time m_next_at{};
    bool m_is_pausing = false;
    bool m_is_in_transaction = false;
    std::uint64_t m_left = 0;
    std::set<std::string> m_prepared;
};

struct soak_faults {
    double repeated_answer_share = 0;
    duration mean_repetition_delay = 60ms;
    double cut_answer_share = 0;
    bool has_crashes = false;
    /// Time after which the store and the platform's calls answer VMs again; no value for once only.
    std::optional<duration> call_repetition_delay;
    std::size_t callers = 24;
};

/// Runs callers beside members that repeat answers, and counts the rules that were broken.
class repeated_answer_soak {
public:
    repeated_answer_soak(soak_faults const& faults, std::uint64_t seed)
        : m_faults(faults), m_fleet(shape(), seed)
    {
        m_fleet.set_call_repetition_delay(faults.call_repetition_delay);
        m_fleet.clock().run_for(4s);
        for (auto const& id : m_fleet.group().ids()) {
            auto& member = m_fleet.group().faults(id);
            member.repeated_answer_share = faults.repeated_answer_share;
            member.mean_repetition_delay = faults.mean_repetition_delay;
            member.cut_answer_share = faults.cut_answer_share;
        }
        for (std::size_t i = 0; i < faults.callers; ++i) {
            m_callers.emplace_back(m_fleet, i % 2);
        }
    }

    void run(duration length)
    {
        auto& clock = m_fleet.clock();
        auto const end = clock.now() + length;
        auto next_crash = clock.now() + 5s;
        while (clock.now() < end) {
            if (m_faults.has_crashes && clock.now() >= next_crash) {
                next_crash = clock.now() + 8s;
                auto const leader = m_fleet.group().leader();
                m_fleet.group().crash(leader);
                clock.start_timer(4s, [this, leader] { m_fleet.group().restart(leader); });
            }
            for (auto& each : m_callers) {
                each.run();
            }
            clock.run_for(2ms);
        }
        clock.run_for(caller_patience);
        m_fleet.ledger().check_log(m_fleet.group().log_counts());
    }

    session_fleet& fleet() { return m_fleet; }

private:
    static session_fleet_shape shape()
    {
        session_fleet_shape shape;
        shape.group.mean_statement_time = 5ms;
        return shape;
    }

    soak_faults m_faults;
    session_fleet m_fleet;
    std::vector<scripted_caller> m_callers;
};

/// Counts over several seeds.
struct soak_result {
    rule_counts counts;
    std::size_t lost = 0; ///< Acknowledged commits that the leader's log lacks.
    std::size_t served = 0;
    std::size_t repeated = 0;

    bool holds_all_rules() const
    {
        return counts.mixed + counts.unasked + counts.pinned + counts.refused + counts.twice +
                   counts.missing + lost ==
               0;
    }
    std::string to_text() const
    {
        return fmt::format("{} served, {} repeated: MIXED {}, UNASKED {}, PINNED {}, REFUSED {}, TWICE {}, "
                           "LOST {}, missing {}",
                           served, repeated, counts.mixed, counts.unasked, counts.pinned, counts.refused,
                           counts.twice, lost, counts.missing);
    }
};

soak_result run_soak(soak_faults const& faults, std::uint64_t seeds, duration length)
{
    soak_result result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        repeated_answer_soak soak(faults, seed);
        soak.run(length);
        auto const& ledger = soak.fleet().ledger();
        result.counts.mixed += ledger.counts().mixed;
        result.counts.unasked += ledger.counts().unasked;
        result.counts.pinned += ledger.counts().pinned;
        result.counts.refused += ledger.counts().refused;
        result.counts.twice += ledger.counts().twice;
        result.counts.missing += ledger.counts().missing;
        result.lost += soak.fleet().group().lost_commits();
        result.served += ledger.served();
        result.repeated += soak.fleet().group().repeated_answers();
    }
    return result;
}

} // namespace

/// Guards against counters that find breaches where no member repeats an answer, and against rules that break
/// beside members that cut answers short or crash.
Test(repeated_answers, no_answer_is_repeated_and_all_rules_hold)
{
    soak_faults faults;
    faults.cut_answer_share = 0.002;
    auto const result = run_soak(faults, 2, 20s);
    cr_assert(result.holds_all_rules(), "%s", result.to_text().c_str());
    cr_assert(result.served > 1000, "%s", result.to_text().c_str());
}

/// Guards against an answer that is taken for the next statement's: a member gives it a second time while
/// that statement is under way.
Test(repeated_answers, two_of_a_hundred_answers_are_repeated_and_all_rules_hold)
{
    soak_faults faults;
    faults.repeated_answer_share = 0.02;
    auto const result = run_soak(faults, 2, 20s);
    cr_assert(result.holds_all_rules(), "%s", result.to_text().c_str());
    cr_assert(result.served > 1000, "%s", result.to_text().c_str());
}

/// Guards against the same beside members that crash and are replaced, where an order's answer that belongs
/// to an earlier command hides commits of a member.
Test(repeated_answers, leaders_crash_while_answers_are_repeated_and_all_rules_hold)
{
    soak_faults faults;
    faults.repeated_answer_share = 0.02;
    faults.cut_answer_share = 0.002;
    faults.has_crashes = true;
    auto const result = run_soak(faults, 2, 25s);
    cr_assert(result.holds_all_rules(), "%s", result.to_text().c_str());
}

/// Guards against a crash, or a second promotion, if an answer of the store or of a promotion order counts
/// twice.
Test(repeated_answers, store_and_platform_answer_twice_while_leaders_crash_and_all_rules_hold)
{
    for (auto const delay : {0ms, 3ms, 250ms}) {
        soak_faults faults;
        faults.has_crashes = true;
        faults.call_repetition_delay = delay;
        repeated_answer_soak soak(faults, 1);
        soak.run(25s);
        auto const& ledger = soak.fleet().ledger();
        auto const first = ledger.findings().empty() ? std::string() : ledger.findings().front();
        cr_assert(ledger.findings().empty(), "%zu rules were broken; %s", ledger.findings().size(),
                  first.c_str());
        cr_assert(soak.fleet().group().holds_all_acknowledged());
        cr_assert(soak.fleet().stale_promotion_orders() == 0);
        // The leader crashes three times.
        cr_assert(soak.fleet().promotions() <= 3, "%zu promotions", soak.fleet().promotions());
    }
}
