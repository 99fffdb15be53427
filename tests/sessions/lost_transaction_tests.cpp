#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

/// Guards against statements that run after their transaction was rolled back. The VM that sent the statement
/// is lost while the statement waits at the broker for a slot; the broker then rolls the transaction back.
Test(lost_transaction, statement_that_waits_at_the_broker_is_never_run)
{
    for (std::size_t vm = 0; vm < 5; ++vm) {
        session_fleet_shape shape;
        shape.group.mean_statement_time = 60ms;
        session_fleet fleet(shape, 1);
        fleet.clock().run_for(4s);
        auto const database = session_fleet::database_of(0, read_consistency::every_commit);
        session_caller lost(fleet, vm, database, session_fleet::key_of(0));
        cr_assert(lost.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
        cr_assert(lost.send_and_wait(session_caller::read("x")).is_ok());
        std::vector<session_caller> others;
        for (std::size_t i = 0; i < 12; ++i) {
            others.emplace_back(fleet, (vm + 1 + i % 4) % 5, database, session_fleet::key_of(1));
            others.back().send(session_caller::read("y"));
        }
        fleet.clock().run_for(30ms);
        auto const write = session_caller::write("x");
        lost.send(write);
        fleet.clock().run_for(5ms);
        fleet.kill_vm(vm);
        fleet.clock().run_for(3s);
        cr_assert(fleet.group().count_in_log(write.id) == 0, "lost VM %zu", vm);
    }
}

/// Guards against a statement that runs in another client's transaction: a broker that restarts numbers the
/// transactions of its peers from 1 again, and a COMMIT for a former number committed the transaction that
/// has it now. The ROLLBACK of a former one ended the newer one.
Test(lost_transaction, transaction_of_a_restarted_broker_is_not_reached_by_an_older_one)
{
    for (auto const ending : {"COMMIT", "ROLLBACK", "disconnect"}) {
        session_fleet fleet({}, 1);
        fleet.clock().run_for(4s);
        auto const broker_name = fleet.vm(0).brokers().order_of(fleet.group().leader()).front();
        auto const broker = static_cast<std::size_t>(broker_name.back() - '0');
        auto const entry = (broker + 1) % fleet.vms();
        auto const database = session_fleet::database_of(0, read_consistency::every_commit);
        session_caller first(fleet, entry, database, session_fleet::key_of(0));
        cr_assert(
            first.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
        auto const lost_write = session_caller::write("x");
        cr_assert(first.send_and_wait(lost_write).is_ok());
        fleet.kill_vm(broker);
        fleet.clock().run_for(200ms);
        fleet.start_vm(broker);
        fleet.clock().run_for(2s);
        session_caller second(fleet, entry, database, session_fleet::key_of(1));
        cr_assert(
            second.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
        auto const write = session_caller::write("y");
        cr_assert(second.send_and_wait(write).is_ok());

        if (ending == std::string("COMMIT")) {
            auto const answer =
                first.send_and_wait(session_caller::make_statement(statement_kind::commit, ending));
            // The COMMIT was not sent, so the caller may repeat the transaction.
            cr_assert(answer.error == session_error::busy || answer.error == session_error::aborted);
        }
        else if (ending == std::string("ROLLBACK")) {
            first.send_and_wait(session_caller::make_statement(statement_kind::rollback, ending));
        }
        else {
            first.disconnect();
        }
        fleet.clock().run_for(1s);
        cr_assert(fleet.group().count_in_log(write.id) == 0, "%s", ending);
        cr_assert(
            second.send_and_wait(session_caller::make_statement(statement_kind::commit, "COMMIT")).is_ok(),
            "%s", ending);
        cr_assert(fleet.group().count_in_log(write.id) == 1, "%s", ending);
        cr_assert(fleet.group().count_in_log(lost_write.id) == 0, "%s", ending);
    }
}

/// Guards against a broker that serves no transaction any more: transactions that began while the channel of
/// their peer was lost were kept under it for good, and took up the connections of the member one after the
/// other.
Test(lost_transaction, transaction_that_begins_while_its_channel_is_lost_is_not_kept)
{
    session_fleet fleet({}, 1);
    fleet.clock().run_for(4s);
    auto const leader = fleet.group().leader();
    auto const broker_name = fleet.vm(0).brokers().order_of(leader).front();
    auto const broker = static_cast<std::size_t>(broker_name.back() - '0');
    auto const database = session_fleet::database_of(0, read_consistency::every_commit);
    for (int round = 0; round < 12; ++round) {
        auto const entry = (broker + 1 + static_cast<std::size_t>(round) % 4) % fleet.vms();
        std::vector<session_caller> callers;
        for (int i = 0; i < 6; ++i) {
            callers.emplace_back(fleet, entry, database, session_fleet::key_of(0));
            cr_assert(callers.back()
                          .send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN"))
                          .is_ok());
        }
        for (auto& each : callers) {
            each.send(session_caller::write("x"));
        }
        // The broker has received the requests, and the member has not answered them.
        fleet.clock().run_for(2ms);
        fleet.kill_vm(entry);
        fleet.clock().run_for(500ms);
        fleet.start_vm(entry);
        fleet.clock().run_for(2s);
    }
    auto const state = fleet.vm(broker).brokers().dump();
    cr_assert(state["leases"].asUInt() == 0, "%u transactions of nobody are kept", state["leases"].asUInt());
    session_caller caller(fleet, broker, database, session_fleet::key_of(1));
    cr_assert(caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
    cr_assert(caller.send_and_wait(session_caller::write("x")).is_ok());
}
