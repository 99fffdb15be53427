#include <criterion/criterion.h>

#include "support/fleet_fixture.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

bool is_answer(std::optional<caller_response> const& response)
{
    return response && std::holds_alternative<caller_answer>(*response);
}

/// Sends writes through `vm` until one is acknowledged, and returns the time that this took.
duration measure_write_gap(fleet_fixture& fixture, std::size_t vm)
{
    auto const start = fixture.fleet.clock().now();
    for (int i = 0; i < 100; ++i) {
        if (is_answer(fixture.call(vm, fixture.write("gap-" + std::to_string(i), i)))) {
            break;
        }
    }
    return fixture.fleet.clock().now() - start;
}

} // namespace

Test(failover, killed_primary_is_replaced_and_acknowledged_writes_stay)
{
    fleet_fixture fixture;
    cr_assert(is_answer(fixture.call(0, fixture.write("before", 1))));
    fixture.fleet.databases().group("db-1").member(0).kill();
    cr_assert(measure_write_gap(fixture, 4) < 2s);
    cr_assert(fixture.count_entries("db-1", "before") == 1);
}

Test(failover, primary_cut_off_but_accepting_acknowledges_nothing)
{
    fleet_fixture fixture;
    auto const zone = fixture.fleet.databases().zone_of("db-1", 0);
    fixture.fleet.cut_zone(zone, true, false);
    std::size_t vm_in_zone = 0;
    while (fixture.fleet.zone_of(vm_in_zone) != zone) {
        ++vm_in_zone;
    }
    auto const response = fixture.call(vm_in_zone, fixture.write("lost", 1));
    cr_assert(response.has_value());
    cr_assert(not(is_answer(response)));
    cr_assert(std::get<refusal>(*response).effect == outcome::unknown);
    cr_assert(measure_write_gap(fixture, vm_in_zone + 1) < 2s);
    fixture.fleet.restore_network();
    fixture.fleet.clock().run_for(3s);
    cr_assert(fixture.count_entries("db-1", "lost") == 0);
    cr_assert(is_answer(fixture.call(vm_in_zone, fixture.write("after", 1))));
}

Test(failover, primary_separated_from_its_replicas_only_is_replaced)
{
    fleet_fixture fixture;
    fixture.fleet.databases().group("db-1").set_cut_off(0, true);
    cr_assert(measure_write_gap(fixture, 3) < 3s);
    cr_assert(not(fixture.fleet.databases().group("db-1").member(0).is_primary()));
}

Test(failover, store_outage_does_not_delay_failover)
{
    fleet_fixture fixture;
    fixture.fleet.platform().set_down(true);
    fixture.fleet.databases().group("db-2").member(0).kill();
    auto request = fixture.write("a", 1);
    request.database = "db-2";
    cr_assert(is_answer(fixture.call(1, request)));
}

Test(failover, takeover_completes_after_the_first_claimant_died_past_the_fence)
{
    fleet_fixture fixture;
    auto& group = fixture.fleet.databases().group("db-1");
    for (std::size_t i = 0; i < 2; ++i) {
        cr_assert(group.member(i).fence(group.member(i).term() + 1, "claimant that died"));
    }
    cr_assert(measure_write_gap(fixture, 0) < 2s);
}

Test(failover, old_primary_returns_as_a_replica)
{
    fleet_fixture fixture;
    auto& group = fixture.fleet.databases().group("db-1");
    group.member(0).kill();
    cr_assert(measure_write_gap(fixture, 4) < 2s);
    group.member(0).restart();
    fixture.fleet.clock().run_for(2s);
    cr_assert(not(group.member(0).is_primary()));
    cr_assert(group.member(0).log().size() == group.member(1).log().size());
    cr_assert(is_answer(fixture.call(5, fixture.write("after", 1))));
}

Test(failover, reads_continue_while_the_primary_is_down)
{
    fleet_fixture fixture;
    auto const written = fixture.get_answer(0, fixture.write("a", 1));
    fixture.fleet.clock().run_for(300ms);
    fixture.fleet.databases().group("db-1").member(0).kill();
    for (int i = 0; i < 20; ++i) {
        cr_assert(
            is_answer(fixture.call(static_cast<std::size_t>(i) % 8, fixture.read("a", written.session))));
    }
}

Test(failover, quiet_fleet_with_losses_promotes_nobody)
{
    fleet_fixture fixture;
    auto const term = fixture.fleet.databases().group("db-1").member(0).term();
    fixture.fleet.network().set_loss(0.05);
    fixture.fleet.network().set_cut("gasabo", virtual_network::platform, true);
    fixture.fleet.clock().run_for(120s);
    for (auto const& name : fixture.fleet.databases().names()) {
        cr_assert(fixture.fleet.databases().group(name).member(0).term() == term);
    }
}

Test(outcome, lost_answer_of_a_deposit_is_resolved_to_the_same_answer)
{
    fleet_fixture fixture;
    fixture.fleet.databases().set_lost_answer_share(0.3);
    int acknowledged = 0;
    for (int i = 0; i < 60; ++i) {
        auto const id = "deposit-" + std::to_string(i);
        auto const response = fixture.call(static_cast<std::size_t>(i) % 8, fixture.deposit(id, i));
        cr_assert(response.has_value());
        auto const count = fixture.count_entries("db-1", id);
        cr_assert(count <= 1);
        if (is_answer(response)) {
            ++acknowledged;
            cr_assert(count == 1);
        }
        else if (std::get<refusal>(*response).effect == outcome::not_run) {
            cr_assert(count == 0);
        }
    }
    cr_assert(acknowledged > 40);
}

Test(outcome, repeated_deposit_runs_once)
{
    fleet_fixture fixture;
    for (std::size_t i = 0; i < 10; ++i) {
        auto const answer = fixture.get_answer(i % 8, fixture.deposit("one", 5));
        cr_assert(answer.is_repeated == (i > 0));
        cr_assert(answer.results.size() == 1);
        cr_assert(answer.results.front().affected_rows == 1);
    }
    cr_assert(fixture.count_entries("db-1", "one") == 1);
}

Test(outcome, deposit_without_an_id_is_refused)
{
    fleet_fixture fixture;
    auto request = fixture.deposit("one", 5);
    request.request_id.clear();
    cr_assert(fixture.get_refusal(0, request).reason == refusal_reason::missing_request_id);
}

Test(outcome, request_with_a_closed_id_never_runs)
{
    fleet_fixture fixture;
    auto resolve = fixture.deposit("closed", 5);
    resolve.kind = request_kind::resolve;
    resolve.statements.clear();
    cr_assert(fixture.get_refusal(0, resolve).reason == refusal_reason::closed_unrun);
    cr_assert(fixture.get_refusal(1, fixture.deposit("closed", 5)).reason == refusal_reason::closed_unrun);
    cr_assert(fixture.count_entries("db-1", "closed") == 0);
}
