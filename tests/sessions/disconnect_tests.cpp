#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Caller at one VM of a fleet that has found its peers and the leader. The VM may or may not be the broker
/// of the leader.
struct departing_caller {
    explicit departing_caller(std::size_t vm, session_fleet_shape shape = {})
        : fleet(std::move(shape), 1), caller(open(fleet, vm))
    {
    }

    static session_caller open(session_fleet& fleet, std::size_t vm, duration delay = 4s)
    {
        fleet.clock().run_for(delay);
        return {fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                session_fleet::key_of(0)};
    }

    void begin_and_write(session_statement const& write)
    {
        cr_assert(
            caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
        cr_assert(caller.send_and_wait(write).is_ok());
    }

    /// Sends a statement that the leader answers with `busy`, disconnects before it is sent again, and ends
    /// the fault.
    void send_to_busy_leader_and_disconnect(session_statement const& statement)
    {
        auto const leader = fleet.group().leader();
        fleet.set_member_busy(leader, true);
        caller.send(statement);
        fleet.clock().run_for(10ms);
        cr_assert(caller.answers().empty() || caller.answers().back().is_ok());
        caller.disconnect();
        fleet.set_member_busy(leader, false);
        fleet.clock().run_for(2s);
    }

    session_fleet fleet;
    session_caller caller;
};

constexpr std::size_t vms = 5;

} // namespace

/// Guards against a transaction that is committed after its caller disconnected. The leader answered the
/// COMMIT with busy, and the VM sent it again although its caller had gone.
Test(disconnect, busy_commit_is_not_sent_again)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        departing_caller departing(vm);
        auto const write = session_caller::write("x");
        departing.begin_and_write(write);
        departing.send_to_busy_leader_and_disconnect(
            session_caller::make_statement(statement_kind::commit, "COMMIT"));
        cr_assert(departing.fleet.group().count_in_log(write.id) == 0, "VM %zu", vm);
    }
}

/// Guards against a statement of a transaction that is run after its caller disconnected.
Test(disconnect, busy_statement_of_a_transaction_is_not_sent_again)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        departing_caller departing(vm);
        departing.begin_and_write(session_caller::write("x"));
        auto const before = departing.fleet.group().statements_run();
        departing.send_to_busy_leader_and_disconnect(session_caller::write("y"));
        cr_assert(departing.fleet.group().statements_run() == before, "VM %zu", vm);
    }
}

/// Guards against a single write that is run after its caller disconnected, since the leader answered the
/// first attempt with busy.
Test(disconnect, busy_write_is_not_sent_again)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        departing_caller departing(vm);
        // Opens the connection, so that the leader receives the first attempt at once.
        cr_assert(departing.caller.send_and_wait(session_caller::write("w")).is_ok());
        auto const write = session_caller::write("x");
        departing.send_to_busy_leader_and_disconnect(write);
        cr_assert(departing.fleet.group().count_in_log(write.id) == 0, "VM %zu", vm);
    }
}

/// Guards against a write that waits for a token of its account's rate and is run after its caller
/// disconnected.
Test(disconnect, write_that_waits_for_its_rate_is_not_sent)
{
    session_fleet_shape shape;
    shape.rate = 20;
    departing_caller departing(0, shape);
    auto& fleet = departing.fleet;
    std::vector<session_caller> callers;
    std::vector<session_statement> writes;
    for (int i = 0; i < 60; ++i) {
        callers.push_back(departing_caller::open(fleet, 0, 0s));
        writes.push_back(session_caller::write("x"));
        callers.back().send(writes.back());
    }
    fleet.clock().run_for(5ms);
    auto const use = fleet.vm(0).sessions().rates().dump()[session_fleet::account_name(0)];
    cr_assert(use["waiting"].asUInt() > 0);
    for (auto& each : callers) {
        each.disconnect();
    }
    fleet.clock().run_for(3s);
    std::size_t run = 0;
    for (auto const& write : writes) {
        run += fleet.group().count_in_log(write.id);
    }
    cr_assert(run <= use["admitted"].asUInt(), "%zu of %u admitted", run, use["admitted"].asUInt());
}

/// Guards against a write that waits for a leader and is run after its caller disconnected.
Test(disconnect, write_that_waits_for_a_leader_is_not_sent)
{
    departing_caller departing(0);
    auto const leader = departing.fleet.group().leader();
    departing.fleet.group().crash(leader);
    auto const write = session_caller::write("x");
    departing.caller.send(write);
    departing.fleet.clock().run_for(100ms);
    cr_assert(departing.caller.answers().empty());
    departing.caller.disconnect();
    departing.fleet.group().restart(leader);
    departing.fleet.clock().run_for(3s);
    cr_assert(departing.fleet.group().count_in_log(write.id) == 0);
}

/// Guards against a write that is sent after its caller disconnected, since it had to wait until its broker
/// had opened a connection for its client account.
Test(disconnect, write_that_waits_for_a_connection_is_not_sent)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        departing_caller departing(vm);
        auto const write = session_caller::write("x");
        departing.caller.send(write);
        departing.fleet.clock().run_for(10ms);
        cr_assert(departing.caller.answers().empty());
        departing.caller.disconnect();
        departing.fleet.clock().run_for(2s);
        cr_assert(departing.fleet.group().count_in_log(write.id) == 0, "VM %zu", vm);
        auto next = departing_caller::open(departing.fleet, vm);
        cr_assert(next.send_and_wait(session_caller::write("y")).is_ok());
    }
}

/// Guards against a transaction that is committed after its caller disconnected, since the COMMIT had to wait
/// for a slot at the broker.
Test(disconnect, commit_that_waits_for_a_slot_is_not_sent)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        session_fleet_shape shape;
        shape.group.mean_statement_time = 100ms;
        departing_caller departing(vm, shape);
        auto& fleet = departing.fleet;
        auto const write = session_caller::write("x");
        departing.begin_and_write(write);
        std::vector<session_caller> others;
        for (std::size_t i = 0; i < 12; ++i) {
            others.push_back(departing_caller::open(fleet, (vm + 1 + i % 4) % vms, 0s));
            others.back().send(session_caller::read("y"));
        }
        fleet.clock().run_for(30ms);
        departing.caller.send(session_caller::make_statement(statement_kind::commit, "COMMIT"));
        fleet.clock().run_for(4ms);
        departing.caller.disconnect();
        fleet.clock().run_for(3s);
        cr_assert(fleet.group().count_in_log(write.id) == 0, "VM %zu", vm);
    }
}

/// Guards against an answer that is lost with its caller: what was sent before the caller disconnected may
/// end, and the connection then serves others.
Test(disconnect, write_that_was_sent_ends_and_its_connection_serves_others)
{
    departing_caller departing(0);
    auto const write = session_caller::write("x");
    departing.caller.send(write);
    departing.fleet.clock().run_for(6ms);
    departing.caller.disconnect();
    departing.fleet.clock().run_for(2s);
    cr_assert(departing.fleet.group().count_in_log(write.id) <= 1);
    auto next = departing_caller::open(departing.fleet, 0);
    cr_assert(next.send_and_wait(session_caller::write("y")).is_ok());
}

/// Guards against a leader that does not respond to commits and is not suspected: the answers to statements
/// whose callers had disconnected before the timeout were dropped.
Test(disconnect, commit_without_an_answer_makes_the_leader_suspect)
{
    departing_caller departing(0);
    auto const write = session_caller::write("x");
    departing.begin_and_write(write);
    auto const leader = departing.fleet.group().leader();
    departing.fleet.group().faults(leader).lost_answer_share = 1;
    departing.caller.send(session_caller::make_statement(statement_kind::commit, "COMMIT"));
    departing.fleet.clock().run_for(500ms);
    departing.caller.disconnect();
    departing.fleet.clock().run_for(600ms);
    auto& groups = departing.fleet.vm(0).sessions().groups();
    auto const& members = groups.group(departing.fleet.group().name()).members();
    cr_assert(members.at(leader).commits_stuck_since.has_value());
}
