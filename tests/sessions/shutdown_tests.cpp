#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t stopped_vm = 0;
/// Longer than a drain lasts.
constexpr duration drain_time = 7s;

/// Caller that sends its next statement as soon as the one before is answered, until its session is closed.
struct busy_caller {
    busy_caller(session_fleet& fleet, read_consistency consistency)
        : caller(fleet, stopped_vm, session_fleet::database_of(0, consistency), session_fleet::key_of(0))
    {
    }

    void send_next(session_statement const& next)
    {
        if (!caller.was_closed() && caller.answers().size() == sent) {
            ++sent;
            last = next.id;
            caller.send(next);
        }
    }

    session_caller caller;
    std::size_t sent = 0;
    std::string last;
};

/// Stops a VM, and calls `send` every millisecond until the drain is surely over.
template <typename Send>
void stop_vm_while(session_fleet& fleet, Send const& send)
{
    fleet.stop_vm(stopped_vm);
    for (auto const end = fleet.clock().now() + drain_time;
         fleet.clock().now() < end && fleet.is_running(stopped_vm);) {
        send();
        fleet.clock().run_for(1ms);
    }
    fleet.clock().run_for(1s);
}

/// Begins a transaction with one write.
void begin_and_write(session_caller& caller)
{
    cr_assert(caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
    cr_assert(caller.send_and_wait(session_caller::write("x")).is_ok());
}

/// Lets all commits wait, since no replica receives them.
void stop_replication(session_fleet& fleet)
{
    for (auto const& id : fleet.group().ids()) {
        fleet.group().faults(id).is_replication_cut = true;
    }
}

} // namespace

/// Guards against statements that are cut at a planned stop: a session whose caller always has a statement
/// running is idle at no look, and its statements were accepted until the process ended.
Test(shutdown, statements_of_busy_callers_are_all_answered)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        session_fleet_shape shape;
        shape.group.mean_statement_time = 40ms;
        session_fleet fleet(shape, seed);
        fleet.clock().run_for(4s);
        std::vector<busy_caller> readers;
        std::vector<busy_caller> writers;
        for (int i = 0; i < 3; ++i) {
            readers.emplace_back(fleet, read_consistency::bounded_age);
            writers.emplace_back(fleet, read_consistency::own_writes);
        }
        stop_vm_while(fleet, [&] {
            for (auto& each : readers) {
                each.send_next(session_caller::read("x"));
            }
            for (auto& each : writers) {
                each.send_next(session_caller::write("x"));
            }
        });
        cr_assert(!fleet.is_running(stopped_vm));
        for (auto* const callers : {&readers, &writers}) {
            for (auto const& each : *callers) {
                auto const& answers = each.caller.answers();
                cr_assert(answers.size() == each.sent, "%zu of %zu", answers.size(), each.sent);
                for (auto const& answer : answers) {
                    // A refusal is a promise that nothing was run.
                    cr_assert(answer.is_ok() || answer.error == session_error::busy);
                }
            }
        }
    }
}

/// Guards against a transaction that is cut at a planned stop: its caller never rests, so it was never idle
/// when the drain looked for it. It is rolled back with an answer that says so.
Test(shutdown, transaction_of_a_busy_caller_ends_with_an_answer)
{
    session_fleet fleet({}, 1);
    fleet.clock().run_for(4s);
    busy_caller each(fleet, read_consistency::every_commit);
    cr_assert(
        each.caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
    each.sent = 1;
    std::vector<std::string> writes;
    stop_vm_while(fleet, [&] {
        auto const is_open = each.caller.answers().back().state == transaction_state::open;
        auto const next = is_open ? session_caller::write("x")
                                  : session_caller::make_statement(statement_kind::rollback, "ROLLBACK");
        writes.push_back(next.id);
        each.send_next(next);
    });
    auto const& answers = each.caller.answers();
    cr_assert(answers.size() == each.sent);
    cr_assert(each.caller.was_closed());
    cr_assert(std::any_of(answers.begin(), answers.end(),
                          [](auto const& answer) { return answer.error == session_error::aborted; }));
    for (auto const& id : writes) {
        cr_assert(fleet.group().count_in_log(id) == 0);
    }
}

/// Guards against a connection that ends without an answer: the member works on the statement until the
/// process ends. The caller learns that the outcome is unknown.
Test(shutdown, statement_that_its_member_does_not_answer_gets_an_unknown_outcome)
{
    session_fleet fleet({}, 1);
    fleet.change_configuration([](served_configuration& configuration) {
        for (auto& [database, work] : configuration.classes) {
            work.statement_timeout = 20s;
        }
    });
    fleet.clock().run_for(4s);
    busy_caller writer(fleet, read_consistency::own_writes);
    cr_assert(writer.caller.send_and_wait(session_caller::write("x")).is_ok());
    writer.sent = 1;
    stop_replication(fleet);
    writer.send_next(session_caller::write("x"));
    stop_vm_while(fleet, [] {});
    cr_assert(writer.caller.answers().size() == 2);
    cr_assert(writer.caller.answers().back().error == session_error::in_doubt);
}

/// Guards against a VM that ends by itself as its drain ends: a transaction whose statement was still at the
/// member was rolled back, the statement ended with that, and its answer found no transaction.
Test(shutdown, statement_of_a_transaction_that_its_member_does_not_answer_gets_an_answer)
{
    for (std::size_t vm = 0; vm < session_fleet_shape().zones.size(); ++vm) {
        session_fleet fleet({}, 1);
        fleet.change_configuration([](served_configuration& configuration) {
            for (auto& [database, work] : configuration.classes) {
                work.statement_timeout = 20s;
            }
        });
        fleet.clock().run_for(4s);
        session_caller caller(fleet, vm, session_fleet::database_of(0, read_consistency::every_commit),
                              session_fleet::key_of(0));
        begin_and_write(caller);
        fleet.group().faults(fleet.group().leader()).lost_answer_share = 1;
        caller.send(session_caller::write("y"));
        fleet.stop_vm(vm);
        fleet.clock().run_for(drain_time);
        cr_assert(!fleet.is_running(vm), "VM %zu", vm);
        cr_assert(caller.answers().size() == 3, "VM %zu: %zu answers", vm, caller.answers().size());
        cr_assert(!caller.answers().back().is_ok());
        cr_assert(caller.was_closed());
    }
}

/// Guards against sessions that open at a VM which is about to end. Their callers come back to another VM at
/// once.
Test(shutdown, session_that_opens_late_in_a_drain_is_refused)
{
    session_fleet fleet({}, 1);
    fleet.clock().run_for(4s);
    // The requests of a session that is still open keep the VM running.
    busy_caller writer(fleet, read_consistency::every_commit);
    begin_and_write(writer.caller);
    stop_replication(fleet);
    fleet.stop_vm(stopped_vm);
    fleet.clock().run_for(1s);
    cr_assert(busy_caller(fleet, read_consistency::own_writes).caller.is_open());
    fleet.clock().run_for(1700ms);
    writer.caller.send(session_caller::make_statement(statement_kind::commit, "COMMIT"));
    fleet.clock().run_for(300ms);
    cr_assert(fleet.is_running(stopped_vm));
    cr_assert(busy_caller(fleet, read_consistency::own_writes).caller.open_error() == session_error::busy);
}

/// Guards against a session that opens at a VM whose drain is over, while the process waits for callers to
/// receive their last answers: its statement was passed on to a member, and the process ended.
Test(shutdown, session_that_opens_after_the_drain_is_refused)
{
    session_fleet fleet({}, 1);
    fleet.clock().run_for(4s);
    auto is_drained = false;
    fleet.vm(stopped_vm).sessions().drain([&is_drained] { is_drained = true; });
    for (auto const end = fleet.clock().now() + drain_time; !is_drained && fleet.clock().now() < end;) {
        fleet.clock().run_for(1ms);
    }
    cr_assert(is_drained);
    cr_assert(busy_caller(fleet, read_consistency::own_writes).caller.open_error() == session_error::busy);
}
