#include <criterion/criterion.h>

#include "support/fleet_fixture.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

void set_lag(virtual_fleet& fleet, duration lag)
{
    for (auto const& name : fleet.databases().names()) {
        for (std::size_t i = 0; i < fleet.shape().members; ++i) {
            fleet.databases().group(name).member(i).switches().lag = lag;
        }
    }
}

bool has_one_row(caller_answer const& answer)
{
    return !answer.results.empty() && answer.results.front().rows.size() == 1;
}

} // namespace

Test(session, read_through_another_vm_sees_the_write_while_replicas_lag)
{
    fleet_fixture fixture;
    set_lag(fixture.fleet, 2s);
    auto const written = fixture.get_answer(0, fixture.write("a", 1));
    cr_assert(not(written.session.empty()));
    for (std::size_t vm = 1; vm < 8; ++vm) {
        cr_assert(has_one_row(fixture.get_answer(vm, fixture.read("a", written.session))));
    }
}

Test(session, read_goes_to_a_replica_once_it_has_the_write)
{
    fleet_fixture fixture;
    set_lag(fixture.fleet, 5ms);
    auto const written = fixture.get_answer(0, fixture.write("a", 1));
    fixture.fleet.clock().run_for(200ms);
    auto const read = fixture.get_answer(5, fixture.read("a", written.session));
    cr_assert(has_one_row(read));
    cr_assert(read.source == served_by::replica);
}

Test(session, vm_that_wrote_may_die_before_the_read)
{
    fleet_fixture fixture;
    set_lag(fixture.fleet, 500ms);
    auto const written = fixture.get_answer(0, fixture.write("a", 1));
    fixture.fleet.kill_vm(0);
    cr_assert(has_one_row(fixture.get_answer(4, fixture.read("a", written.session))));
}

Test(session, token_of_another_account_is_refused_and_nothing_is_run)
{
    fleet_fixture fixture;
    auto const written = fixture.get_answer(0, fixture.write("a", 1));
    auto other = fixture.read("a", written.session);
    other.key = fixture.key(1);
    auto const refused = fixture.get_refusal(1, other);
    cr_assert(refused.reason == refusal_reason::invalid_session);
    cr_assert(refused.effect == outcome::not_run);
}

Test(session, forged_token_gets_a_clear_error_at_once)
{
    fleet_fixture fixture;
    auto const before = fixture.fleet.clock().now();
    auto const refused = fixture.get_refusal(1, fixture.read("a", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"));
    cr_assert(refused.reason == refusal_reason::invalid_session);
    cr_assert(fixture.fleet.clock().now() - before < 10ms);
}

Test(session, class_that_reads_cannot_write)
{
    fleet_fixture fixture;
    auto const refused =
        fixture.get_refusal(0, fixture.request("own_reads", "insert into entries (name) values ('x')"));
    cr_assert(refused.reason == refusal_reason::forbidden_statement);
    cr_assert(refused.effect == outcome::not_run);
}

Test(transaction, statements_of_an_interactive_transaction_commit_together)
{
    fleet_fixture fixture;
    auto begin = fixture.request("bookings", "select 1");
    begin.kind = request_kind::begin;
    begin.statements.clear();
    auto const begun = fixture.get_answer(2, begin);
    cr_assert(not(begun.transaction.empty()));
    auto step = fixture.write("a", 1);
    step.kind = request_kind::continue_transaction;
    step.transaction = begun.transaction;
    fixture.get_answer(2, step);
    cr_assert(fixture.count_entries("db-1", "a") == 0);
    auto commit = begin;
    commit.kind = request_kind::commit;
    commit.transaction = begun.transaction;
    auto const committed = fixture.get_answer(2, commit);
    cr_assert(has_one_row(fixture.get_answer(6, fixture.read("a", committed.session))));
}

Test(transaction, idle_transaction_is_rolled_back_and_its_connection_is_reused)
{
    fleet_fixture fixture;
    auto begin = fixture.request("bookings", "select 1");
    begin.kind = request_kind::begin;
    begin.statements.clear();
    auto const begun = fixture.get_answer(2, begin);
    auto step = fixture.write("a", 1);
    step.kind = request_kind::continue_transaction;
    step.transaction = begun.transaction;
    fixture.get_answer(2, step);
    fixture.fleet.clock().run_for(11s);
    auto commit = begin;
    commit.kind = request_kind::commit;
    commit.transaction = begun.transaction;
    cr_assert(fixture.get_refusal(2, commit).reason == refusal_reason::unknown_transaction);
    cr_assert(fixture.count_entries("db-1", "a") == 0);
    cr_assert(not(fixture.get_answer(2, fixture.write("b", 1)).session.empty()));
}

Test(transaction, transaction_of_another_account_is_refused)
{
    fleet_fixture fixture;
    auto begin = fixture.request("bookings", "select 1");
    begin.kind = request_kind::begin;
    begin.statements.clear();
    auto step = fixture.write("a", 1);
    step.kind = request_kind::continue_transaction;
    step.transaction = fixture.get_answer(2, begin).transaction;
    step.key = fixture.key(1);
    cr_assert(fixture.get_refusal(2, step).reason == refusal_reason::unknown_transaction);
}
