#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

/// Guards against a session that is used after it was destroyed (shown by valgrind or the address sanitizer):
/// while the engine looks at all sessions, it ends an idle transaction whose connection was lost, which lets
/// a waiting statement start whose caller has left, and with it goes the last reference to its session.
Test(session_look, session_that_is_destroyed_while_the_engine_looks_at_all_is_not_used)
{
    session_fleet_shape shape;
    shape.group.max_connections = 2;
    session_fleet fleet(shape, 1);
    fleet.change_configuration([](served_configuration& configuration) {
        configuration.transaction_idle_limit = 50ms;
        for (auto& [database, work] : configuration.classes) {
            work.statement_timeout = 3s;
            work.latency_target = 3s;
        }
    });
    fleet.clock().run_for(4s);
    auto const leader = fleet.group().leader();
    std::size_t destroyed = 0;
    for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
        if (!fleet.vm(vm).brokers().is_broker_of(leader)) {
            continue;
        }
        auto const database = session_fleet::database_of(0, read_consistency::every_commit);
        session_caller holder(fleet, vm, database, session_fleet::key_of(0));
        cr_assert(
            holder.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN")).is_ok());
        cr_assert(holder.send_and_wait(session_caller::write("x")).is_ok());
        for (int i = 0; i < 20; ++i) {
            session_caller leaving(fleet, vm, database, session_fleet::key_of(0));
            leaving.send(session_caller::write("y"));
            leaving.disconnect();
        }
        auto const before = fleet.vm(vm).sessions().size();
        fleet.group().crash(leader);
        fleet.clock().run_for(200ms);
        destroyed += before - fleet.vm(vm).sessions().size();
    }
    cr_assert(destroyed > 0, "no session was destroyed");
}
