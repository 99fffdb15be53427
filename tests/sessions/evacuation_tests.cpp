#include <criterion/criterion.h>

#include <absl/strings/str_split.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Stated limit for an evacuation to be complete.
constexpr duration evacuation_limit = 5s;

/// Failure pattern: operators evacuate zones of a group with a member in each of the zones a, b and c. The
/// member in zone a leads.
struct evacuation_fixture {
    evacuation_fixture() { fleet.clock().run_for(4s); }

    session_caller caller(std::size_t vm, read_consistency consistency = read_consistency::every_commit)
    {
        return {fleet, vm, session_fleet::database_of(0, consistency), session_fleet::key_of(0)};
    }

    /// Requests the evacuation at all VMs but `missed`.
    void evacuate(std::string const& zone, std::optional<std::size_t> missed = std::nullopt)
    {
        ++position.version;
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            if (vm != missed) {
                fleet.vm(vm).fleet().apply_evacuation(zone, position, false);
            }
        }
    }

    void withdraw(std::string const& zone)
    {
        ++position.version;
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
            fleet.vm(vm).fleet().apply_evacuation(zone, position, true);
        }
    }

    /// Lets one caller at each VM read; returns the ids of the members that answered.
    std::set<std::string> readers()
    {
        std::set<std::string> members;
        for (auto round = 0; round < 10; ++round) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                auto each = caller(vm, read_consistency::bounded_age);
                auto const answer = each.send_and_wait(session_caller::read("x"));
                cr_assert(answer.is_ok(), "%s", answer.error_text.c_str());
                std::vector<std::string> const words = absl::StrSplit(answer.rows.at(0), ' ');
                members.insert(words.at(1));
            }
        }
        return members;
    }

    session_fleet fleet{{}, 1};
    store_position position{1, 1};
};

} // namespace

Test(evacuation, reads_leave_the_zone_at_once_and_return_when_it_is_withdrawn)
{
    evacuation_fixture fixture;
    cr_assert(fixture.readers().contains("m-0-c"));
    fixture.evacuate("c");
    cr_assert(!fixture.readers().contains("m-0-c"));
    fixture.withdraw("c");
    cr_assert(fixture.readers().contains("m-0-c"));
}

Test(evacuation, leader_is_replaced_by_a_member_of_another_zone)
{
    evacuation_fixture fixture;
    auto caller = fixture.caller(0);
    cr_assert(caller.send_and_wait(session_caller::write("x")).is_ok());
    fixture.evacuate("a");
    cr_assert(caller.send_and_wait(session_caller::write("x")).is_ok(),
              "the leader serves until it is replaced");
    fixture.fleet.clock().run_for(3s);
    cr_assert(fixture.fleet.group().leader() != "m-0-a");
    cr_assert(fixture.fleet.promotions() == 1);
    cr_assert(caller.send_and_wait(session_caller::write("x")).is_ok());
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

/// Guards against lost acknowledged commits: a replica is down when the leader's zone is evacuated, and
/// returns without the order to stop receiving once the successor was ordered.
Test(evacuation, leader_is_replaced_while_a_replica_is_down_and_loses_no_commit_when_it_returns)
{
    evacuation_fixture fixture;
    auto& group = fixture.fleet.group();
    std::vector<session_caller> callers;
    auto const write_until = [&](std::function<bool()> const& is_reached) {
        auto const end = fixture.fleet.clock().now() + evacuation_limit;
        while (!is_reached() && fixture.fleet.clock().now() < end) {
            callers.push_back(fixture.caller(callers.size() % fixture.fleet.vms()));
            callers.back().send(session_caller::write("x"));
            fixture.fleet.clock().run_for(10ms);
        }
        return is_reached();
    };
    group.faults("m-0-c").is_down = true;
    fixture.evacuate("a");
    cr_assert(write_until([&] { return fixture.fleet.promotions() == 1; }));
    group.restart("m-0-c");
    cr_assert(write_until([&] { return group.leader() == "m-0-b"; }));
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.fleet.promotions() == 1);
    cr_assert(group.acknowledged() > 0);
    cr_assert(group.holds_all_acknowledged());
}

Test(evacuation, zones_in_turn_move_the_leader_each_time)
{
    evacuation_fixture fixture;
    for (auto const* const zone : {"a", "b", "c"}) {
        fixture.evacuate(zone);
        fixture.fleet.clock().run_for(4s);
        cr_assert(!fixture.fleet.group().leader().ends_with(zone), "zone %s", zone);
        cr_assert(fixture.caller(1).send_and_wait(session_caller::write("x")).is_ok());
        fixture.withdraw(zone);
    }
    cr_assert(fixture.fleet.group().holds_all_acknowledged());
}

Test(evacuation, statement_that_no_other_member_can_run_is_refused_at_once)
{
    evacuation_fixture fixture;
    for (auto const* const zone : {"a", "b", "c"}) {
        fixture.evacuate(zone);
    }
    fixture.fleet.clock().run_for(evacuation_limit);
    auto const sent_at = fixture.fleet.clock().now();
    auto const statement = session_caller::write("x");
    auto const answer = fixture.caller(0).send_and_wait(statement);
    cr_assert(answer.error == session_error::busy);
    cr_assert(answer.retry_after > 0ms);
    cr_assert(fixture.fleet.clock().now() - sent_at <= 10ms);
    cr_assert(fixture.fleet.group().count_in_log(statement.id) == 0);
}

Test(evacuation, open_transaction_ends_before_the_limit)
{
    evacuation_fixture fixture;
    auto caller = fixture.caller(0);
    caller.send_and_wait(session_caller::make_statement(statement_kind::begin, "BEGIN"));
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    for (auto const* const zone : {"a", "b", "c"}) {
        fixture.evacuate(zone);
    }
    fixture.fleet.clock().run_for(evacuation_limit);
    auto const commit = session_caller::make_statement(statement_kind::commit, "COMMIT");
    auto const answer = caller.send_and_wait(commit);
    cr_assert(answer.error == session_error::aborted);
    cr_assert(answer.state == transaction_state::idle);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 0);
}

/// Guards against work that is sent by a VM which has not learned of the evacuation.
Test(evacuation, broker_refuses_a_request_of_a_vm_that_missed_the_evacuation)
{
    evacuation_fixture fixture;
    auto const leader = fixture.fleet.group().leader();
    std::size_t missed = 0;
    while (fixture.fleet.vm(missed).brokers().is_broker_of(leader)) {
        ++missed;
    }
    for (auto const* const zone : {"a", "b", "c"}) {
        fixture.evacuate(zone, missed);
    }
    fixture.fleet.clock().run_for(evacuation_limit);
    auto const statement = session_caller::write("x");
    auto const answer = fixture.caller(missed).send_and_wait(statement);
    cr_assert(answer.error == session_error::busy, "%s", answer.error_text.c_str());
    cr_assert(fixture.fleet.group().count_in_log(statement.id) == 0);
}
