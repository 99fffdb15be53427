#include <criterion/criterion.h>
#include <fmt/format.h>

#include "members/connection_share.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr monotonic_time start{std::chrono::hours(1)};

} // namespace

/// Load pattern: fewer connections than VMs.
Test(connection_share, broker_and_standby_vms_stay_within_what_the_member_accepts)
{
    connection_share const share;
    for (std::size_t accepted = 6; accepted < 200; ++accepted) {
        auto const total = share.limit(connection_role::broker, accepted, start) +
                           connection_share::reserve_parts *
                               (accepted >= 18 ? share.limit(connection_role::standby, accepted, start) : 0);
        cr_assert(total <= accepted, "%zu connections of %zu", total, accepted);
    }
}

/// Failure: a broker is lost, and the member still counts its connections.
Test(connection_share, successor_counts_the_connections_that_remain_of_a_lost_broker)
{
    connection_share share;
    share.record_report("lost", 88, 110, start);
    cr_assert(share.limit(connection_role::broker, 131, start + 100ms) == 14);
    cr_assert(share.limit(connection_role::broker, 131, start + 3900ms) == 36);
    cr_assert(share.limit(connection_role::broker, 131, start + 4s) == 110);
}

Test(connection_share, successor_opens_what_a_broker_that_hands_over_closes)
{
    connection_share share;
    share.record_report("leaving", 88, 110, start);
    share.record_report("leaving", 30, 7, start + 200ms);
    cr_assert(share.limit(connection_role::broker, 131, start + 200ms) == 94);
    share.record_report("leaving", 0, 7, start + 400ms);
    cr_assert(share.limit(connection_role::broker, 131, start + 400ms) == 110);
    share.record_report("killed", 88, 110, start + 400ms);
    share.forget("killed");
    cr_assert(share.limit(connection_role::broker, 131, start + 400ms) == 110);
}

/// Load pattern: a member is full with connections that this VM knows nothing of.
Test(connection_share, refused_connection_stops_further_attempts_and_the_limit_recovers)
{
    connection_share share;
    share.record_refusal(20, start);
    cr_assert(share.limit(connection_role::broker, 131, start + 199ms) == 20);
    cr_assert(share.limit(connection_role::broker, 131, start + 300ms) == 25);
    cr_assert(share.limit(connection_role::broker, 131, start + 3s) == 110);
}

Test(connection_share, vm_that_holds_none_may_try_one_connection)
{
    connection_share share;
    share.record_refusal(0, start);
    share.record_report("other", 500, 500, start);
    cr_assert(share.limit(connection_role::broker, 131, start) == 1);
}
