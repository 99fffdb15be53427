#include <criterion/criterion.h>

#include <fmt/format.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

enum class member_standstills { none, random };

/// Runs callers at random VMs under random faults and checks the guarantees to callers after each answer.
class session_soak {
public:
    explicit session_soak(std::uint64_t seed, member_standstills standstills = member_standstills::none)
        : m_fleet(shape(), seed), m_clock(m_fleet.clock()),
          m_has_standstills(standstills == member_standstills::random)
    {
        m_clock.run_for(4s);
    }

    void run(duration length)
    {
        auto const end = m_clock.now() + length;
        while (m_clock.now() < end) {
            inject_random_fault();
            start_operation();
            m_clock.run_for(m_clock.random_interval(15ms));
            check_answers();
        }
        reconnect_all_vms();
        m_clock.run_for(5s);
        check_answers();
        // VMs do not pass on all that a leader acknowledges after a standstill.
        cr_assert(m_has_standstills || m_fleet.group().holds_all_acknowledged(),
                  "an acknowledged commit was lost");
        for (auto const& [id, is_acknowledged] : m_writes) {
            auto const count = m_fleet.group().count_in_log(id);
            cr_assert(count <= 1, "write %s took effect twice", id.c_str());
            cr_assert(count == 1 || !is_acknowledged, "acknowledged write %s is missing", id.c_str());
        }
        for (auto const& id : m_refused_without_effect) {
            cr_assert(m_fleet.group().count_in_log(id) == 0,
                      "write %s ran although its error guaranteed no effect", id.c_str());
        }
        cr_assert(m_fleet.stale_promotion_orders() == 0);
        cr_assert(m_served > 100, "only %zu operations were served", m_served);
    }

private:
    struct operation {
        std::unique_ptr<session_caller> caller;
        session_statement statement;
        read_consistency consistency = read_consistency::every_commit;
        monotonic_time sent_at;
        bool is_write = false;
    };

    static session_fleet_shape shape()
    {
        session_fleet_shape shape;
        shape.group.mean_statement_time = 5ms;
        return shape;
    }

    void start_operation()
    {
        auto const vm = m_clock.random_below(m_fleet.vms());
        if (!m_fleet.is_running(vm)) {
            return;
        }
        operation added;
        added.consistency = static_cast<read_consistency>(m_clock.random_below(3));
        added.caller =
            std::make_unique<session_caller>(m_fleet, vm, session_fleet::database_of(0, added.consistency),
                                             session_fleet::key_of(m_clock.random_below(2)));
        if (!added.caller->is_open()) {
            return;
        }
        added.is_write = m_clock.random_below(3) == 0;
        added.statement = added.is_write ? session_caller::write("x") : session_caller::read("x");
        added.sent_at = m_clock.now();
        added.caller->send(added.statement);
        m_running.push_back(std::move(added));
    }

    void check_answers()
    {
        std::erase_if(m_running, [this](operation const& each) {
            if (each.caller->answers().empty()) {
                return m_clock.now() - each.sent_at > 10s;
            }
            check(each, each.caller->answers().front());
            return true;
        });
    }

    void check(operation const& each, session_answer const& answer)
    {
        if (each.is_write) {
            m_writes[each.statement.id] = answer.is_ok();
            if (answer.error && guarantees_no_effect(*answer.error)) {
                m_refused_without_effect.push_back(each.statement.id);
            }
            m_served += answer.is_ok() ? 1 : 0;
            if (answer.is_ok() && answer.position) {
                m_delivered.emplace_back(m_clock.now(), *answer.position);
            }
            return;
        }
        if (!answer.is_ok()) {
            return;
        }
        ++m_served;
        auto const limit =
            each.consistency == read_consistency::every_commit ? each.sent_at : each.sent_at - 1500ms;
        auto const required = required_position(limit);
        cr_assert(answer.position.value_or(log_position{}).position >= required.position,
                  "read %s misses an acknowledged commit", each.statement.id.c_str());
    }

    /// Returns the highest position of the commits that were acknowledged before `time`, to callers if a
    /// member may acknowledge what VMs do not pass on.
    log_position required_position(monotonic_time time) const
    {
        if (!m_has_standstills) {
            return m_fleet.group().acknowledged_before(time);
        }
        log_position highest;
        for (auto const& [at, position] : m_delivered) {
            highest = at < time ? std::max(highest, position) : highest;
        }
        return highest;
    }

    void inject_random_fault()
    {
        if (m_clock.random_below(60) != 0) {
            return;
        }
        auto& group = m_fleet.group();
        auto const vm = m_clock.random_below(m_fleet.vms());
        auto const& id = group.ids()[m_clock.random_below(3)];
        auto const length = m_clock.random_interval(2s);
        switch (m_clock.random_below(m_has_standstills ? 11 : 7)) {
        case 0:
            if (m_fleet.is_running(vm)) {
                discard_callers();
                m_fleet.kill_vm(vm);
                m_clock.start_timer(length, [this, vm] {
                    if (!m_fleet.is_running(vm)) {
                        m_fleet.start_vm(vm);
                    }
                });
            }
            return;
        case 1:
            m_fleet.set_store_cut(vm, true);
            m_clock.start_timer(length, [this, vm] { m_fleet.set_store_cut(vm, false); });
            return;
        case 2:
            m_fleet.set_peer_cut(vm, true);
            m_clock.start_timer(length, [this, vm] { m_fleet.set_peer_cut(vm, false); });
            return;
        case 3:
            if (m_unreachable_count == 0) {
                ++m_unreachable_count;
                group.faults(id).is_down = true;
                m_clock.start_timer(3s + length, [this, id] {
                    --m_unreachable_count;
                    m_fleet.group().restart(id);
                });
            }
            return;
        case 4:
            if (m_unreachable_count == 0) {
                group.faults(id).is_replication_cut = true;
                m_clock.start_timer(length,
                                    [this, id] { m_fleet.group().faults(id).is_replication_cut = false; });
            }
            return;
        case 5:
            group.faults(id).lost_answer_share = 0.2;
            m_clock.start_timer(length, [this, id] { m_fleet.group().faults(id).lost_answer_share = 0; });
            return;
        case 7:
        case 8:
            group.stand_still(m_clock.random_below(2) == 0 ? group.leader() : id);
            m_clock.start_timer(length, [this] { end_standstills(); });
            return;
        case 9:
        case 10:
            // A replica that restarts forgets that it was stopped.
            if (m_unreachable_count == 0 && id != group.leader()) {
                group.crash(id);
                m_clock.start_timer(m_clock.random_interval(60ms),
                                    [this, id] { m_fleet.group().restart(id); });
            }
            return;
        default:
            group.faults(id).mean_apply_lag = 2s;
            m_clock.start_timer(length, [this, id] { m_fleet.group().faults(id).mean_apply_lag = 20ms; });
            return;
        }
    }

    /// Discards the running operations, since callers of a killed VM get no answer. Their writes may or may
    /// not have run.
    void discard_callers()
    {
        check_answers();
        m_running.clear();
    }

    void end_standstills()
    {
        for (auto const& id : m_fleet.group().ids()) {
            m_fleet.group().go_on(id);
        }
    }

    void reconnect_all_vms()
    {
        end_standstills();
        for (std::size_t i = 0; i < m_fleet.vms(); ++i) {
            m_fleet.set_peer_cut(i, false);
            m_fleet.set_store_cut(i, false);
        }
    }

    mutable session_fleet m_fleet;
    virtual_clock& m_clock;
    bool m_has_standstills;
    std::vector<operation> m_running;
    /// Positions of the writes that callers know of, each with the time of its answer.
    std::vector<std::pair<monotonic_time, log_position>> m_delivered;
    std::map<std::string, bool> m_writes; ///< Whether each write was acknowledged.
    std::vector<std::string> m_refused_without_effect;
    std::size_t m_served = 0;
    int m_unreachable_count = 0;
};

} // namespace

Test(session_soak, guarantees_hold_under_random_faults_for_fixed_seeds)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        session_soak(seed).run(30s);
    }
}

/// Guards against lost acknowledged commits and stale reads while members stand still with open connections
/// and replicas restart beside takeovers.
Test(session_soak, guarantees_hold_while_members_stand_still_for_fixed_seeds)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        session_soak(seed, member_standstills::random).run(30s);
    }
}
