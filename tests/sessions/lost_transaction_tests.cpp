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
