#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

enum class vm_fault { killed, all_killed, cut_off };

/// What happens after the VM that ordered a promotion is lost. Times count from its order.
struct order_scenario {
    duration lost_after{};                 ///< Time of the loss of the VM.
    vm_fault fault = vm_fault::killed;     ///< Way in which the VM is lost.
    duration leader_after{1s};             ///< Time at which the old leader is back.
    std::optional<duration> replica_after; ///< Time at which the replica that was not ordered restarts.
    duration order_delay{8s};              ///< Time at which the platform carries out the order.
    duration reads_for{};                  ///< Time for which callers only read once the leader is back.
    /// Time from the loss of the VM on for which no VM reaches the store.
    std::optional<duration> store_outage = std::nullopt;
};

/// Failure pattern: the leader crashes, and a VM orders a replica to lead. The platform does not answer and
/// carries out the order seconds later. Meanwhile the VM is lost and the old leader returns. The ordered
/// replica receives nothing from it.
struct order_fixture {
    explicit order_fixture(std::uint64_t seed, session_fleet_shape const& shape = make_shape())
        : fleet(shape, seed)
    {
        fleet.clock().run_for(4s);
        write_for(1s);
    }

    static session_fleet_shape make_shape()
    {
        session_fleet_shape shape;
        shape.group.entry_lifetime = 3600ms;
        return shape;
    }

    /// Lets a caller at each VM write every 10 ms, unless it waits for an answer, until `time`.
    void write_until(monotonic_time time)
    {
        callers.resize(fleet.vms());
        while (fleet.clock().now() < time) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                write_at(vm);
            }
            fleet.clock().run_for(10ms);
        }
    }

    void write_for(duration length) { write_until(fleet.clock().now() + length); }

    void write_at(std::size_t vm)
    {
        auto& own = callers[vm];
        if (!fleet.is_running(vm)) {
            own.caller.reset();
            return;
        }
        if (!own.caller || !own.caller->is_open() || own.caller->was_closed()) {
            own = {std::make_unique<session_caller>(
                       fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                       session_fleet::key_of(0)),
                   0};
        }
        if (own.caller->is_open() && own.caller->answers().size() == own.sent) {
            own.caller->send(reads_only ? session_caller::read("x") : session_caller::write("x"));
            ++own.sent;
        }
    }

    void kill(std::size_t vm)
    {
        if (fleet.is_running(vm)) {
            callers[vm].caller.reset();
            fleet.kill_vm(vm);
        }
    }

    void lose(std::size_t vm, vm_fault fault)
    {
        switch (fault) {
        case vm_fault::killed:
            kill(vm);
            return;
        case vm_fault::all_killed:
            for (std::size_t i = 0; i < fleet.vms(); ++i) {
                kill(i);
            }
            return;
        case vm_fault::cut_off:
            fleet.set_store_cut(vm, true);
            fleet.set_peer_cut(vm, true);
            fleet.set_member_cut(vm, true);
            return;
        }
    }

    void set_store_down(bool is_down)
    {
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.set_store_cut(vm, is_down);
        }
    }

    /// Plays the scenario until eight seconds after the order was carried out.
    void play(order_scenario const& scenario)
    {
        auto& group = fleet.group();
        std::string const old = group.leader();
        fleet.set_order_delay(scenario.order_delay);
        group.crash(old);
        auto const limit = fleet.clock().now() + 6s;
        auto const sent = fleet.sent_orders();
        while (fleet.sent_orders() == sent && fleet.clock().now() < limit) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                write_at(vm);
            }
            for (int i = 0; i < 10 && fleet.sent_orders() == sent; ++i) {
                fleet.clock().run_for(1ms);
            }
        }
        cr_assert(fleet.sent_orders() > sent, "no VM ordered a promotion");
        auto const ordered_at = fleet.clock().now();
        auto const ordered = fleet.delayed_order();
        auto const vm = fleet.delayed_order_vm();
        auto const& ids = group.ids();
        std::string const other = *std::find_if(
            ids.begin(), ids.end(), [&](std::string const& id) { return id != old && id != ordered; });

        std::vector<std::pair<duration, std::function<void()>>> events;
        events.emplace_back(scenario.lost_after, [&] {
            fleet.set_order_delay(std::nullopt);
            lose(vm, scenario.fault);
            if (on_loss) {
                on_loss();
            }
            if (scenario.store_outage) {
                set_store_down(true);
            }
        });
        if (scenario.store_outage) {
            events.emplace_back(scenario.lost_after + *scenario.store_outage, [&] { set_store_down(false); });
        }
        if (scenario.fault == vm_fault::all_killed) {
            events.emplace_back(scenario.lost_after + 500ms, [&] {
                for (std::size_t i = 0; i < fleet.vms(); ++i) {
                    fleet.start_vm(i);
                }
            });
        }
        events.emplace_back(scenario.leader_after, [&] {
            group.faults(ordered).is_replication_cut = true;
            group.restart(old);
            reads_only = scenario.reads_for > duration::zero();
        });
        events.emplace_back(scenario.leader_after + scenario.reads_for, [&] { reads_only = false; });
        if (scenario.replica_after) {
            events.emplace_back(*scenario.replica_after, [&] {
                group.crash(other);
                group.restart(other);
            });
        }
        std::sort(events.begin(), events.end(),
                  [](auto const& left, auto const& right) { return left.first < right.first; });
        for (auto const& [after, event] : events) {
            write_until(ordered_at + after);
            event();
        }
        write_until(ordered_at + scenario.order_delay);
        group.faults(ordered).is_replication_cut = false;
        write_for(8s);
    }

    /// Plays the scenario and checks that no acknowledged commit is lost and that callers can write in the
    /// end.
    void check(order_scenario const& scenario, std::uint64_t seed)
    {
        auto const milliseconds = [](duration time) {
            return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
        };
        play(scenario);
        auto const before = fleet.group().acknowledged();
        write_for(1s);
        auto const has_written = fleet.group().acknowledged() > before;
        cr_expect(fleet.group().holds_all_acknowledged() && has_written,
                  "%zu lost, %s; seed %lu, VM lost after %ld ms, replica back after %ld ms, order after %ld "
                  "ms, leader back after %ld ms",
                  fleet.group().lost_commits(), has_written ? "writes" : "writes nothing",
                  static_cast<unsigned long>(seed), milliseconds(scenario.lost_after),
                  milliseconds(scenario.replica_after.value_or(-1ms)), milliseconds(scenario.order_delay),
                  milliseconds(scenario.leader_after));
    }

    struct caller_state {
        std::unique_ptr<session_caller> caller;
        std::size_t sent = 0;
    };

    session_fleet fleet;
    std::vector<caller_state> callers; ///< One at each VM.
    bool reads_only = false;           ///< Whether callers read only.
    std::function<void()> on_loss;     ///< Called when the VM that ordered is lost.
};

void check_all(std::vector<order_scenario> const& scenarios)
{
    std::uint64_t seed = 0;
    for (auto const& scenario : scenarios) {
        seed = seed % 3 + 1;
        order_fixture(seed).check(scenario, seed);
    }
}

/// Points between the order and its repetition: while the answer is awaited, after it is given up, and after
/// the order was repeated.
constexpr std::array loss_times{0ms, 100ms, 480ms, 600ms, 900ms};

} // namespace

/// Guards against lost acknowledged commits: the replica that was not ordered restarts, receives again and
/// confirms commits that the ordered one lacks, and no VM knows of the order.
Test(order_of_a_lost_vm, replica_that_restarts_confirms_no_commit_that_is_lost)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : loss_times) {
        for (duration const order_delay : {duration(8s), duration(12s)}) {
            for (duration const replica_after : {duration(1500ms), duration(4s), duration(5s)}) {
                scenarios.push_back({lost_after, vm_fault::killed, 1s, replica_after, order_delay});
            }
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: another VM begins a takeover, which ends as the leader is back,
/// and lets the replicas receive while the order may still be carried out.
Test(order_of_a_lost_vm, takeover_of_another_vm_lets_no_replica_receive)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : loss_times) {
        for (duration const order_delay : {duration(8s), duration(12s)}) {
            for (duration const leader_after : {duration(2s), duration(3500ms), duration(4s), duration(5s)}) {
                scenarios.push_back(
                    {lost_after, vm_fault::killed, leader_after, std::nullopt, order_delay, 2s});
            }
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: no VM that runs has ever heard of the order, nor of the
/// takeover.
Test(order_of_a_lost_vm, vms_that_start_find_the_order)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : loss_times) {
        for (auto const& replica_after : {std::optional<duration>(), std::optional<duration>(4s)}) {
            scenarios.push_back({lost_after, vm_fault::all_killed, 1s, replica_after, 8s});
            scenarios.push_back({lost_after, vm_fault::all_killed, 3s, replica_after, 10s});
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: the VM goes on running behind a cut.
Test(order_of_a_lost_vm, vm_that_is_cut_off_lets_no_late_order_lose_commits)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : loss_times) {
        for (auto const& replica_after : {std::optional<duration>(), std::optional<duration>(4s)}) {
            scenarios.push_back({lost_after, vm_fault::cut_off, 1s, replica_after, 8s});
            scenarios.push_back({lost_after, vm_fault::cut_off, 4s, replica_after, 10s});
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: the order is carried out while the lock of its VM is still
/// valid, so that no other order can overtake it.
Test(order_of_a_lost_vm, order_that_is_carried_out_soon_loses_no_commit)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : {0ms, 480ms}) {
        for (duration const order_delay : {duration(2s), duration(3s), duration(4s), duration(6s)}) {
            scenarios.push_back({lost_after, vm_fault::killed, 500ms, std::nullopt, order_delay});
        }
        scenarios.push_back({lost_after, vm_fault::killed, 500ms, 1s, 6s});
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: as before, and the replica that was not ordered restarts before
/// others notice that the VM is gone.
Test(order_of_a_lost_vm, replica_that_restarts_before_an_early_order_confirms_no_commit_that_is_lost)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : {0ms, 480ms}) {
        for (duration const order_delay : {duration(2s), duration(3s), duration(4s)}) {
            scenarios.push_back({lost_after, vm_fault::killed, 500ms, 1s, order_delay});
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: as before, at other moments, also with all VMs lost and with one
/// that is cut off.
Test(order_of_a_lost_vm, early_order_at_other_moments_loses_no_commit)
{
    std::vector<order_scenario> scenarios;
    for (auto const fault : {vm_fault::killed, vm_fault::all_killed, vm_fault::cut_off}) {
        for (duration const leader_after : {duration(200ms), duration(1s), duration(2s)}) {
            for (duration const replica_after : {duration(100ms), duration(800ms), duration(1900ms)}) {
                scenarios.push_back({100ms, fault, leader_after, replica_after, 3s});
                scenarios.push_back({900ms, fault, leader_after, replica_after, 5s});
            }
        }
    }
    check_all(scenarios);
}

/// Guards against lost acknowledged commits: the store is away from the loss of the VM on, so that no VM can
/// read of the order.
Test(order_of_a_lost_vm, order_before_an_outage_of_the_store_loses_no_commit)
{
    std::vector<order_scenario> scenarios;
    for (auto const lost_after : {0ms, 480ms, 1200ms}) {
        for (duration const order_delay : {duration(2500ms), duration(4s), duration(6s)}) {
            for (duration const replica_after : {duration(300ms), duration(1600ms)}) {
                scenarios.push_back(
                    {lost_after, vm_fault::killed, 500ms, replica_after, order_delay, {}, duration(6s)});
            }
        }
    }
    check_all(scenarios);
}

/// Guards against callers that are refused for long: a leader crashes and is back at once, and no order was
/// given. The store may be away or not.
Test(order_of_a_lost_vm, leader_that_restarts_without_an_order_is_served_soon)
{
    for (auto const is_store_down : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            order_fixture fixture(seed);
            fixture.set_store_down(is_store_down);
            fixture.write_for(500ms);
            auto& group = fixture.fleet.group();
            std::string const leader = group.leader();
            group.crash(leader);
            fixture.write_for(200ms);
            group.restart(leader);
            fixture.write_for(1600ms);
            auto const before = group.acknowledged();
            fixture.write_for(400ms);
            cr_expect(group.acknowledged() > before, "seed %lu, store %s", static_cast<unsigned long>(seed),
                      is_store_down ? "down" : "up");
        }
    }
}

/// Guards against callers that are refused for long: the store is silent, the leader crashes and is back, and
/// no order was given. Several VMs run takeovers, since each had an answer of the store a short time ago.
Test(order_of_a_lost_vm, leader_that_returns_while_the_store_is_silent_is_served_soon)
{
    constexpr duration max_wait = 2100ms;
    auto const milliseconds = [](duration time) { return static_cast<long>(time / 1ms); };
    for (duration const down : {duration(200ms), duration(600ms), duration(1200ms), duration(2500ms)}) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            auto shape = order_fixture::make_shape();
            shape.zones = {"a", "b", "c"};
            order_fixture fixture(seed, shape);
            auto& fleet = fixture.fleet;
            auto& group = fleet.group();
            fleet.set_store_timeout(1s);
            // VMs had the last answer of the store at different times, the last one 0.5 s before the crash.
            auto const step = 40ms * static_cast<int>(seed);
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                fixture.write_for(step);
                fleet.set_store_cut(vm, true);
            }
            fixture.write_for(500ms);
            std::string const leader = group.leader();
            auto const orders = fleet.sent_orders();
            group.crash(leader);
            fixture.write_for(down);
            group.restart(leader);
            auto const returned_at = fleet.clock().now();
            auto const before = group.acknowledged();
            while (group.acknowledged() < before + 4 && fleet.clock().now() < returned_at + 12s) {
                fixture.write_for(10ms);
            }
            auto const waited = fleet.clock().now() - returned_at;
            cr_assert(fleet.sent_orders() == orders, "a VM ordered a promotion");
            cr_expect(waited <= max_wait, "callers waited %ld ms; seed %lu, leader down for %ld ms",
                      milliseconds(waited), static_cast<unsigned long>(seed), milliseconds(down));
            cr_expect(group.holds_all_acknowledged());
        }
    }
}

/// Guards against needless takeovers: each VM is restarted by plan, one after the other, after a handover
/// that ended well.
Test(order_of_a_lost_vm, planned_restarts_after_a_handover_cause_no_takeover)
{
    order_fixture fixture(1);
    auto& fleet = fixture.fleet;
    std::string const old = fleet.group().leader();
    fleet.drain_member(old);
    fixture.write_for(4s);
    cr_assert(fleet.group().leader() != old);
    auto const orders = fleet.sent_orders();
    std::size_t takeovers = 0;
    fleet.set_on_log([&takeovers](log_record const& record) {
        takeovers += record.message == "starting a takeover to replace the leader of the group" ? 1 : 0;
    });
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        fleet.stop_vm(vm);
        fixture.write_for(1s);
        fixture.kill(vm);
        fleet.start_vm(vm);
        fixture.write_for(1s);
    }
    fixture.write_for(8s);
    cr_assert(fleet.sent_orders() == orders);
    cr_assert(takeovers == 0, "%zu takeovers", takeovers);
    cr_assert(fleet.group().holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: the VM that becomes responsible held the failover lock long ago.
/// It was cut off from the store and its peers while another VM ordered a promotion.
Test(order_of_a_lost_vm, vm_that_held_the_lock_before_finds_the_order_of_another)
{
    for (duration const back_after : {duration(1s), duration(1500ms), duration(2s), duration(2500ms)}) {
        constexpr std::uint64_t seed = 1;
        auto shape = order_fixture::make_shape();
        shape.zones = {"a", "a", "b", "b", "c", "c"};
        order_fixture fixture(seed, shape);
        auto& fleet = fixture.fleet;
        std::string const first = fleet.group().leader();
        fleet.set_order_delay(5ms);
        fleet.group().crash(first);
        fixture.write_for(5s);
        fleet.set_order_delay(std::nullopt);
        cr_assert(!fleet.delayed_order().empty());
        auto const former_holder = fleet.delayed_order_vm();
        fleet.group().restart(first);
        fixture.write_for(20s);
        cr_assert(fleet.group().leader() != first);

        auto const set_cut_off = [&](bool is_cut_off) {
            fleet.set_store_cut(former_holder, is_cut_off);
            fleet.set_peer_cut(former_holder, is_cut_off);
        };
        set_cut_off(true);
        fixture.write_for(8s);
        fixture.on_loss = [&] {
            cr_assert(fleet.delayed_order_vm() != former_holder);
            fleet.clock().start_timer(back_after, [&] { set_cut_off(false); });
        };
        fixture.check({100ms, vm_fault::killed, 1s, 1500ms, 12s}, seed);
    }
}

/// Guards against a burst of calls to the store: VMs that start together hear nobody at first, so that each
/// of them takes itself for the one that has to act for the group.
Test(order_of_a_lost_vm, vms_that_start_together_read_the_lock_once)
{
    order_fixture fixture(1);
    auto& fleet = fixture.fleet;
    std::string const old = fleet.group().leader();
    fleet.group().crash(old);
    fixture.write_for(5s);
    fleet.group().restart(old);
    fixture.write_for(20s);
    cr_assert(fleet.group().leader() != old);
    std::size_t reads = 0;
    fleet.set_on_log([&reads](log_record const& record) {
        reads += record.message == "read the last claim of the failover lock" ? 1 : 0;
    });
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        fixture.kill(vm);
    }
    fleet.clock().run_for(500ms);
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        fleet.start_vm(vm);
    }
    fleet.clock().run_for(3s);
    cr_assert(reads == 1, "%zu reads", reads);
}
