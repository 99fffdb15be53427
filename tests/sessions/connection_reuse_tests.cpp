#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

/// Load pattern: more accounts than a member accepts connections, each with a statement every few seconds. A
/// connection serves one account for life, so one that is closed while idle costs the account's next
/// statement a handshake and the member a slot.
Test(connection_reuse, accounts_in_turn_reopen_few_connections)
{
    session_fleet_shape shape;
    shape.accounts = 40;
    shape.group.max_connections = 60;
    session_fleet fleet(shape, 1);
    fleet.clock().run_for(4s);
    auto const send_round = [&fleet, &shape] {
        for (std::size_t account = 0; account < shape.accounts; ++account) {
            session_caller caller(fleet, account % fleet.vms(),
                                  session_fleet::database_of(0, read_consistency::every_commit),
                                  session_fleet::key_of(account));
            cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
            fleet.clock().run_for(50ms);
        }
    };
    send_round();
    auto const opened_before = fleet.group().opened_connections();
    constexpr std::size_t rounds = 4;
    for (std::size_t i = 0; i < rounds; ++i) {
        send_round();
    }
    auto const reopened = fleet.group().opened_connections() - opened_before;
    cr_assert(reopened * 4 < rounds * shape.accounts, "%zu connections for %zu statements", reopened,
              rounds * shape.accounts);
}
