#include <criterion/criterion.h>

#include <absl/strings/str_split.h>

#include "session_fleet.h"
#include "session_vm/vm_metrics.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Fleet that runs long enough for its VMs to find their peers and the leader.
struct fleet_with_callers {
    explicit fleet_with_callers(session_fleet_shape shape = {}, std::uint64_t seed = 1)
        : fleet(std::move(shape), seed)
    {
        fleet.clock().run_for(4s);
    }

    session_caller caller(std::size_t vm, read_consistency consistency, std::size_t account = 0)
    {
        return {fleet, vm, session_fleet::database_of(0, consistency), session_fleet::key_of(account)};
    }

    session_fleet fleet;
};

/// Returns one field of a row that the stand-in wrote. The fields are position, member, account and values.
std::string row_field(session_answer const& answer, std::size_t index)
{
    std::vector<std::string> const words = absl::StrSplit(answer.rows.at(0), ' ');
    return words.at(index);
}

session_statement begin()
{
    return session_caller::make_statement(statement_kind::begin, "BEGIN");
}
session_statement begin_read()
{
    return session_caller::make_statement(statement_kind::begin_read, "BEGIN READ");
}
session_statement commit()
{
    return session_caller::make_statement(statement_kind::commit, "COMMIT");
}
session_statement rollback()
{
    return session_caller::make_statement(statement_kind::rollback, "ROLLBACK");
}

} // namespace

Test(client_session, write_returns_the_members_proof)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    auto const statement = session_caller::write("x");
    auto const answer = caller.send_and_wait(statement);
    cr_assert(answer.is_ok());
    cr_assert(answer.proof == "proof-" + statement.id);
    cr_assert(fixture.fleet.group().count_in_log(statement.id) == 1);
}

Test(client_session, own_write_is_read_while_replicas_lag)
{
    fleet_with_callers fixture;
    for (auto const& id : fixture.fleet.group().ids()) {
        fixture.fleet.group().faults(id).mean_apply_lag = 800ms;
    }
    auto caller = fixture.caller(2, read_consistency::own_writes);
    auto const written = caller.send_and_wait(session_caller::write("x"));
    auto const read = caller.send_and_wait(session_caller::read("x"));
    cr_assert(read.is_ok());
    cr_assert(read.position >= written.position);
}

Test(client_session, read_of_every_commit_is_served_by_the_leader)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(3, read_consistency::every_commit);
    auto const read = caller.send_and_wait(session_caller::read("x"));
    cr_assert(read.is_ok());
    cr_assert(row_field(read, 1) == fixture.fleet.group().leader());
}

Test(client_session, bounded_read_is_served_by_a_replica)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(3, read_consistency::bounded_age);
    caller.send_and_wait(session_caller::read("x"));
    auto const read = caller.send_and_wait(session_caller::read("x"));
    cr_assert(read.is_ok());
    cr_assert(row_field(read, 1) != fixture.fleet.group().leader());
}

Test(client_session, values_of_two_sessions_on_shared_connections_stay_apart)
{
    fleet_with_callers fixture;
    auto first = fixture.caller(0, read_consistency::every_commit);
    auto second = fixture.caller(1, read_consistency::every_commit);
    first.send_and_wait(session_caller::set("lang", "rw"));
    second.send_and_wait(session_caller::set("zone", "gasabo"));
    for (int i = 0; i < 5; ++i) {
        cr_assert(row_field(first.send_and_wait(session_caller::read("x")), 3) == "lang=rw;");
        cr_assert(row_field(second.send_and_wait(session_caller::read("x")), 3) == "zone=gasabo;");
    }
}

Test(client_session, one_name_prepared_with_two_shapes_runs_each_callers_own)
{
    fleet_with_callers fixture;
    auto first = fixture.caller(0, read_consistency::every_commit);
    auto second = fixture.caller(0, read_consistency::every_commit);
    first.send_and_wait(session_caller::prepare("s1", true, "q1"));
    second.send_and_wait(session_caller::prepare("s1", false, "q2"));
    auto const write = session_caller::execute("s1", "a data");
    cr_assert(first.send_and_wait(write).is_ok());
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 1);
    auto const read = session_caller::execute("s1", "a");
    cr_assert(second.send_and_wait(read).is_ok());
    cr_assert(fixture.fleet.group().count_in_log(read.id) == 0);
}

Test(client_session, execution_of_an_unknown_name_is_refused)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    cr_assert(caller.send_and_wait(session_caller::execute("s1", "a")).error ==
              session_error::unknown_prepared);
}

Test(client_session, deallocated_name_is_unknown)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    caller.send_and_wait(session_caller::prepare("s1", false, "q1"));
    auto deallocation = session_caller::make_statement(statement_kind::deallocate, "DEALLOC s1");
    deallocation.name = "s1";
    cr_assert(caller.send_and_wait(deallocation).is_ok());
    cr_assert(caller.send_and_wait(session_caller::execute("s1", "a")).error ==
              session_error::unknown_prepared);
}

Test(client_session, transaction_commits_once_and_is_read_afterwards)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(4, read_consistency::own_writes);
    cr_assert(caller.send_and_wait(begin()).state == transaction_state::open);
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    auto const committed = caller.send_and_wait(commit());
    cr_assert(committed.is_ok());
    cr_assert(committed.state == transaction_state::idle);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 1);
    cr_assert(caller.send_and_wait(session_caller::read("x")).position >= committed.position);
}

Test(client_session, rolled_back_transaction_has_no_effect)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(4, read_consistency::every_commit);
    caller.send_and_wait(begin());
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    cr_assert(caller.send_and_wait(rollback()).state == transaction_state::idle);
    fixture.fleet.clock().run_for(1s);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 0);
}

Test(client_session, disconnect_inside_a_transaction_rolls_it_back)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(1, read_consistency::every_commit);
    caller.send_and_wait(begin());
    auto const write = session_caller::write("x");
    caller.send_and_wait(write);
    caller.disconnect();
    fixture.fleet.clock().run_for(2s);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 0);
    auto next = fixture.caller(1, read_consistency::every_commit);
    cr_assert(next.send_and_wait(session_caller::write("y")).is_ok());
}

Test(client_session, read_transaction_may_use_a_replica)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(2, read_consistency::bounded_age);
    caller.send_and_wait(session_caller::read("x"));
    caller.send_and_wait(begin_read());
    auto const read = caller.send_and_wait(session_caller::read("x"));
    cr_assert(read.is_ok());
    cr_assert(row_field(read, 1) != fixture.fleet.group().leader());
    cr_assert(caller.send_and_wait(commit()).is_ok());
}

Test(client_session, statement_after_a_failure_in_a_transaction_is_malformed_until_it_ends)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    caller.send_and_wait(begin());
    cr_assert(caller.send_and_wait(session_caller::execute("none", "a")).state == transaction_state::failed);
    cr_assert(caller.send_and_wait(session_caller::read("x")).error == session_error::malformed);
    cr_assert(caller.send_and_wait(rollback()).state == transaction_state::idle);
    cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
}

Test(client_session, idle_transaction_is_rolled_back_and_its_next_statement_refused)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    caller.send_and_wait(begin());
    auto const write = session_caller::write("x");
    caller.send_and_wait(write);
    fixture.fleet.clock().run_for(4s);
    cr_assert(not(caller.send_and_wait(commit()).is_ok()));
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 0);
}

Test(client_session, pipelined_statements_are_answered_in_order)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    auto const first = session_caller::write("a");
    auto const second = session_caller::write("b");
    caller.send(first);
    caller.send(second);
    fixture.fleet.clock().run_for(2s);
    cr_assert(caller.answers().size() == 2);
    cr_assert(caller.answers()[0].proof == "proof-" + first.id);
    cr_assert(caller.answers()[1].proof == "proof-" + second.id);
}

Test(client_session, write_with_a_lost_answer_is_in_doubt_and_not_run_again)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    caller.send_and_wait(session_caller::read("x"));
    fixture.fleet.group().faults(fixture.fleet.group().leader()).lost_answer_share = 1;
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).error == session_error::in_doubt);
    fixture.fleet.clock().run_for(5s);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 1);
}

Test(client_session, read_with_a_lost_answer_is_answered_by_another_member)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::bounded_age);
    auto const first = caller.send_and_wait(session_caller::read("x"));
    fixture.fleet.clock().run_for(100ms);
    auto const served_by = row_field(caller.send_and_wait(session_caller::read("x")), 1);
    fixture.fleet.group().faults(served_by).lost_answer_share = 1;
    auto const read = caller.send_and_wait(session_caller::read("x"));
    cr_assert(read.is_ok());
    cr_assert(row_field(read, 1) != served_by);
    cr_assert(first.is_ok());
}

Test(client_session, withdrawn_key_is_refused_on_an_open_session)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    cr_assert(caller.send_and_wait(session_caller::read("x")).is_ok());
    fixture.fleet.change_configuration(
        [](auto& configuration) { configuration.account_of_key.erase("key-0"); });
    fixture.fleet.clock().run_for(1s);
    cr_assert(caller.send_and_wait(session_caller::read("x")).error == session_error::unknown_key);
    cr_assert(fixture.caller(0, read_consistency::every_commit).open_error() == session_error::unknown_key);
}

Test(client_session, vm_without_key_withdrawals_refuses_statements_before_the_limit)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    fixture.fleet.set_store_cut(0, true);
    fixture.fleet.set_peer_cut(0, true);
    fixture.fleet.change_configuration(
        [](auto& configuration) { configuration.account_of_key.erase("key-0"); });
    fixture.fleet.clock().run_for(4900ms);
    auto const answer = caller.send_and_wait(session_caller::read("x"));
    cr_assert(answer.error == session_error::busy);
    cr_assert(answer.retry_after > 0ms);
}

Test(client_session, unknown_database_and_unknown_key_give_different_errors)
{
    fleet_with_callers fixture;
    session_caller const unknown_database_caller(fixture.fleet, 0, "nothing", session_fleet::key_of(0));
    cr_assert(unknown_database_caller.open_error() == session_error::unknown_database);
    session_caller const unknown_key_caller(
        fixture.fleet, 0, session_fleet::database_of(0, read_consistency::every_commit), "none");
    cr_assert(unknown_key_caller.open_error() == session_error::unknown_key);
}

Test(client_session, members_receive_the_account_and_never_the_key)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit, 1);
    cr_assert(row_field(caller.send_and_wait(session_caller::read("x")), 2) ==
              session_fleet::account_name(1));
}

Test(client_session, drain_closes_idle_sessions_and_lets_transactions_end)
{
    fleet_with_callers fixture;
    auto idle = fixture.caller(0, read_consistency::every_commit);
    auto busy = fixture.caller(0, read_consistency::every_commit);
    busy.send_and_wait(begin());
    auto const write = session_caller::write("x");
    busy.send_and_wait(write);
    auto is_drained = std::make_shared<bool>(false);
    fixture.fleet.vm(0).drain([is_drained] { *is_drained = true; });
    fixture.fleet.clock().run_for(1500ms);
    cr_assert(idle.was_closed());
    cr_assert(not(busy.was_closed()));
    cr_assert(busy.send_and_wait(commit()).is_ok());
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 1);
    fixture.fleet.clock().run_for(1500ms);
    cr_assert(busy.was_closed());
}

/// Guards against a session that stays in a failed transaction after the COMMIT that ended it. The
/// transaction had sent no statement, so the COMMIT had to begin it at a member first, which failed.
Test(client_session, commit_of_an_empty_transaction_that_cannot_begin_ends_it)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    cr_assert(caller.send_and_wait(begin()).is_ok());
    auto const ids = fixture.fleet.group().ids();
    for (auto const& id : ids) {
        fixture.fleet.group().crash(id);
    }
    auto const committed = caller.send_and_wait(commit());
    cr_assert(!committed.is_ok());
    cr_assert(committed.state == transaction_state::idle);
    for (auto const& id : ids) {
        fixture.fleet.group().restart(id);
    }
    fixture.fleet.clock().run_for(5s);
    cr_assert(caller.send_and_wait(begin()).is_ok());
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    cr_assert(caller.send_and_wait(commit()).is_ok());
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 1);
}

/// Guards against a session that stays in a failed transaction after a COMMIT that was refused because its
/// key had been withdrawn.
Test(client_session, commit_that_is_refused_for_its_key_ends_the_transaction)
{
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    cr_assert(caller.send_and_wait(begin()).is_ok());
    auto const write = session_caller::write("x");
    cr_assert(caller.send_and_wait(write).is_ok());
    fixture.fleet.change_configuration(
        [](auto& configuration) { configuration.account_of_key.erase("key-0"); });
    fixture.fleet.clock().run_for(1s);
    auto const committed = caller.send_and_wait(commit());
    cr_assert(committed.error == session_error::unknown_key);
    cr_assert(committed.state == transaction_state::idle);
    fixture.fleet.clock().run_for(1s);
    cr_assert(fixture.fleet.group().count_in_log(write.id) == 0);
}

/// Guards against log lines that name no client account, or that of an earlier key: the account of a
/// statement was recorded for classes that need a key only.
Test(client_session, error_in_a_class_that_is_open_to_all_is_logged_with_its_account)
{
    fleet_with_callers fixture;
    auto const database = session_fleet::database_of(0, read_consistency::every_commit);
    std::vector<std::string> accounts;
    fixture.fleet.set_on_log([&accounts](log_record const& record) {
        if (record.message == "statement was answered with an error") {
            accounts.push_back(record.fields["client_account"].asString());
        }
    });
    auto with_key = fixture.caller(0, read_consistency::every_commit);
    cr_assert(with_key.send_and_wait(session_caller::read("x")).is_ok());
    fixture.fleet.change_configuration([&database](auto& configuration) {
        configuration.classes[database].is_open_to_all = true;
        configuration.account_of_key["key-0"] = session_fleet::account_name(1);
    });
    fixture.fleet.clock().run_for(1s);
    session_caller without_key(fixture.fleet, 0, database, "");
    cr_assert(!with_key.send_and_wait(session_caller::execute("none", "a")).is_ok());
    cr_assert(!without_key.send_and_wait(session_caller::execute("none", "a")).is_ok());
    cr_assert(accounts.size() == 2);
    cr_assert(accounts[0] == session_fleet::account_name(1), "%s", accounts[0].c_str());
    cr_assert(accounts[1] == "-", "%s", accounts[1].c_str());
}

/// Guards against tenants that get errors while no log line says why: each refused account and class is
/// logged once for each version, with the number of all of them.
Test(client_session, accounts_and_classes_that_are_refused_are_logged_once_for_each_version)
{
    fleet_with_callers fixture;
    std::vector<std::string> lines;
    fixture.fleet.set_on_log([&lines](log_record const& record) {
        if (record.message == "statements of a client account are refused" ||
            record.message == "statements of a class of work are refused") {
            lines.push_back(record.fields["client_account"].asString() +
                            record.fields["database"].asString() + "/" + record.fields["reason"].asString() +
                            "/" + record.fields["refused"].asString());
        }
    });
    auto const database = session_fleet::database_of(0, read_consistency::own_writes);
    fixture.fleet.change_configuration([&database](auto& configuration) {
        configuration.refused_accounts = {{session_fleet::account_name(0), "first"}, {"b", "second"}};
        configuration.classes[database].refusal = "third";
    });
    fixture.fleet.clock().run_for(1s);
    auto const vms = fixture.fleet.vms();
    cr_assert(lines.size() == 3 * vms, "%zu", lines.size());
    for (auto const& line :
         {session_fleet::account_name(0) + "/first/2", std::string("b/second/2"), database + "/third/1"}) {
        cr_assert(std::count(lines.begin(), lines.end(), line) == static_cast<std::ptrdiff_t>(vms), "%s",
                  line.c_str());
    }
    for (std::size_t vm = 0; vm < 2; ++vm) {
        auto const refused = fixture.caller(vm, read_consistency::every_commit);
        cr_assert(refused.open_error() == session_error::failed);
    }
    cr_assert(lines.size() == 3 * vms);
}

/// Guards against a process that ends when one session sends thousands of statements behind one that waits:
/// statements that are answered at once were run by nested calls, until the stack overflowed.
Test(client_session, thousands_of_queued_statements_are_answered_in_order)
{
    constexpr std::size_t queued = 20'000;
    fleet_with_callers fixture;
    auto caller = fixture.caller(0, read_consistency::every_commit);
    auto other = fixture.caller(0, read_consistency::every_commit, 1);
    caller.send(session_caller::read("x"));
    for (std::size_t i = 0; i < queued; ++i) {
        caller.send(session_caller::set("name", std::to_string(i)));
    }
    caller.send(session_caller::read("x"));
    cr_assert(other.send_and_wait(session_caller::read("x")).is_ok());
    fixture.fleet.clock().run_for(3s);
    cr_assert(caller.answers().size() == queued + 2);
    cr_assert(caller.answers().back().is_ok());
    cr_assert(row_field(caller.answers().back(), 3) == "name=19999;");
}

/// Guards against metrics that cannot be read: a quote, backslash or line feed in the value of a label ends
/// it or its line, and the text must be UTF-8.
Test(metrics, label_with_any_bytes_is_escaped)
{
    session_fleet fleet({}, 1);
    fleet.vm(0).fleet().apply_evacuation("a\"b\\c\nd\xff", {1, 1}, false);
    auto const text = render_metrics(fleet.vm(0));
    std::string const expected =
        "greengagehitch_zone_evacuated{availability_zone=\"a\\\"b\\\\c\\nd\xef\xbf\xbd\"} 1\n";
    cr_assert(text.find(expected) != std::string::npos, "%s", text.c_str());
}
