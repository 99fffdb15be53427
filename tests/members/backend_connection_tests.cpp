// Answers that a member gives twice, late, or not whole, on one connection.

#include <criterion/criterion.h>

#include "members/backend_connection.h"
#include "virtual_clock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

member_command make_command(command_kind kind, std::string id = {})
{
    member_command command;
    command.kind = kind;
    command.id = std::move(id);
    return command;
}

member_answer make_success(transaction_state state, std::string proof = {})
{
    member_answer answer;
    answer.state = state;
    answer.proof = std::move(proof);
    answer.position = log_position{3, 7};
    return answer;
}

member_answer make_error(member_error error)
{
    auto answer = make_success(transaction_state::idle);
    answer.error = error;
    return answer;
}

member_answer make_status(member_role role, std::uint64_t position, std::uint64_t stopped_at_term = 0)
{
    auto answer = make_success(transaction_state::idle);
    answer.replication = replication_status{role, 3, {3, position}, stopped_at_term};
    return answer;
}

auto const begin = make_command(command_kind::begin);
auto const rollback = make_command(command_kind::rollback);
auto const run_statement = make_command(command_kind::caller_statement, "s");
auto const set_value = make_command(command_kind::set_value);
auto const status = make_command(command_kind::status);

struct backend_connection_fixture {
    backend_connection_fixture()
    {
        connection =
            std::make_shared<backend_connection>(core, hooks, backend_connection_target{},
                                                 [this](answer_match match) { unmatched.push_back(match); });
        connection->open(1s, [](member_answer const&) {});
        events.opened({});
    }

    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks made;
        made.now = [this] { return clock.now(); };
        made.random = [] { return std::uint64_t{0}; };
        made.start_timer = [this](duration delay, std::function<void()> callback) {
            return clock.start_timer(delay, std::move(callback));
        };
        made.cancel_timer = [this](timer_id timer) { clock.cancel_timer(timer); };
        made.log = [](log_record const&) {};
        return made;
    }

    backend_connection_hooks make_hooks()
    {
        backend_connection_hooks made;
        made.open = [this](backend_connection_target const&, backend_connection_events connection_events) {
            events = std::move(connection_events);
            return backend_connection_id{1};
        };
        made.send = [](backend_connection_id, std::vector<member_command> const&) {};
        made.close = [](backend_connection_id) {};
        return made;
    }

    void send(std::vector<member_command> const& commands)
    {
        received.reset();
        connection->send(commands, 1s,
                         [this](std::vector<member_answer> const& answers) { received = answers; });
    }

    /// Runs a transaction with one read, which leaves its answers in the connection's history.
    void run_transaction(std::string const& proof)
    {
        send({begin, run_statement, rollback});
        events.answered(make_success(transaction_state::open));
        events.answered(make_success(transaction_state::open, proof));
        events.answered(make_success(transaction_state::idle));
        cr_assert(received && received->at(1).is_ok());
    }

    standin::virtual_clock clock{1};
    kernel core{make_kernel_hooks()};
    backend_connection_hooks hooks{make_hooks()};
    backend_connection_events events;
    std::vector<answer_match> unmatched;
    std::optional<std::vector<member_answer>> received;
    std::shared_ptr<backend_connection> connection;
};

} // namespace

/// Guards against MIXED: the second answer to a statement was taken for the answer to the next one.
Test(backend_connection, answer_given_twice_is_not_taken_for_the_next_statement)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    fixture.send({run_statement});
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    cr_assert(!fixture.received, "the statement ended with the answer to another one");
    fixture.events.answered(make_success(transaction_state::idle, "p2"));
    cr_assert(fixture.received && fixture.received->front().proof == "p2");
    cr_assert(!fixture.connection->may_be_reused(), "more repetitions may be under way");
    cr_assert(fixture.unmatched == std::vector{answer_match::repeated});
}

/// Guards against MIXED: a success without a proof, as BEGIN and SET have, ended a read or a write.
Test(backend_connection, success_without_proof_does_not_end_a_statement)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    fixture.events.answered(make_success(transaction_state::idle));
    cr_assert(fixture.received && fixture.received->front().error == member_error::connection_lost);
    cr_assert(fixture.connection->is_closed());
}

/// Guards against REFUSED: an error that guarantees no effect was taken for the error of the next write,
/// which had run.
Test(backend_connection, error_given_twice_guarantees_nothing)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    fixture.events.answered(make_error(member_error::busy));
    cr_assert(!fixture.received->front().is_doubtful);
    fixture.send({run_statement});
    fixture.events.answered(make_error(member_error::busy));
    cr_assert(fixture.received && fixture.received->front().is_doubtful);
    cr_assert(fixture.connection->is_closed(), "the answer to the statement may still arrive");
}

/// Guards against PINNED: a connection with an open transaction returned to the pool, since the answer to
/// BEGIN was one of before, with another state.
Test(backend_connection, answer_with_another_state_does_not_begin_a_transaction)
{
    backend_connection_fixture fixture;
    fixture.run_transaction("p1");
    fixture.send({begin});
    fixture.events.answered(make_success(transaction_state::idle));
    cr_assert(!fixture.received);
    fixture.events.answered(make_success(transaction_state::open));
    cr_assert(fixture.received);
    // An equal answer to an earlier BEGIN may have been repeated, and this one may have failed.
    cr_assert(fixture.received->front().is_doubtful && fixture.connection->is_closed());
}

/// Guards against reads that are not served: equal answers to BEGIN and SET are usual, and the proof of the
/// statement after them shows that none was a repetition.
Test(backend_connection, equal_answers_before_a_proof_are_accepted)
{
    backend_connection_fixture fixture;
    fixture.run_transaction("p1");
    fixture.run_transaction("p2");
    fixture.send({set_value, set_value, run_statement});
    fixture.events.answered(make_success(transaction_state::idle));
    fixture.events.answered(make_success(transaction_state::idle));
    fixture.events.answered(make_success(transaction_state::idle, "p3"));
    cr_assert(fixture.received && !fixture.received->back().is_doubtful);
    cr_assert(fixture.connection->may_be_reused());
}

/// Guards against MIXED: an error that was given twice ends a command of the set-up, and the true answer is
/// then taken for that to the statement.
Test(backend_connection, error_after_an_answer_that_may_be_repeated_guarantees_nothing)
{
    backend_connection_fixture fixture;
    fixture.run_transaction("p1");
    fixture.send({begin, run_statement, rollback});
    fixture.events.answered(make_success(transaction_state::open));
    fixture.events.answered(make_error(member_error::read_only));
    fixture.events.answered(make_success(transaction_state::idle));
    cr_assert(fixture.received && fixture.received->at(1).is_doubtful);
    cr_assert(fixture.connection->is_closed());
}

/// Guards against a transaction that is lost: an answer that is repeated while the caller pauses closed the
/// connection, which rolls the transaction back.
Test(backend_connection, answer_repeated_during_a_pause_does_not_end_the_transaction)
{
    backend_connection_fixture fixture;
    fixture.send({begin});
    fixture.events.answered(make_success(transaction_state::open));
    fixture.events.answered(make_success(transaction_state::open));
    cr_assert(fixture.connection->is_open());
    fixture.send({run_statement});
    fixture.events.answered(make_success(transaction_state::open, "p1"));
    cr_assert(fixture.received && fixture.received->front().is_ok());
}

/// Guards against answers that belong to no statement: one that arrived on a connection at rest was not seen.
Test(backend_connection, answer_at_rest_closes_the_connection)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    cr_assert(fixture.connection->is_closed());
}

/// Guards against MIXED: rows of an answer that ends after them preceded the rows of the next one.
Test(backend_connection, part_of_an_answer_at_rest_closes_the_connection)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    fixture.events.began_answer();
    cr_assert(fixture.connection->is_open());
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    fixture.events.began_answer();
    cr_assert(fixture.connection->is_closed());
}

/// Guards against MIXED: the rows of a repetition that was cut short precede those of the statement.
Test(backend_connection, rows_of_an_earlier_answer_before_those_of_the_statement_are_not_accepted)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    auto answer = make_success(transaction_state::idle, "p1");
    answer.rows = {"a"};
    fixture.events.answered(answer);
    fixture.send({run_statement});
    answer.proof = "p2";
    answer.rows = {"a", "b"};
    fixture.events.answered(answer);
    cr_assert(fixture.received && fixture.received->front().error == member_error::connection_lost);
}

/// Guards against LOST: a status of before was taken for the answer to the order to stop receiving, and its
/// position is older than what the member held when it stopped.
Test(backend_connection, earlier_status_is_not_the_answer_to_an_order_to_stop)
{
    backend_connection_fixture fixture;
    fixture.send({status});
    fixture.events.answered(make_status(member_role::replica, 7));
    auto stop = make_command(command_kind::stop_receiving);
    stop.term = 4;
    fixture.send({stop});
    fixture.events.answered(make_status(member_role::replica, 7));
    cr_assert(!fixture.received, "the position is from before the order");
    fixture.events.answered(make_status(member_role::replica, 9, 4));
    cr_assert(fixture.received && fixture.received->front().replication->received.position == 9);
}

/// Guards against proofs of leadership that are older than they seem: a status that was given twice counted
/// from the time of the later command.
Test(backend_connection, equal_status_counts_from_the_command_that_was_first_answered_so)
{
    backend_connection_fixture fixture;
    fixture.send({status});
    fixture.events.answered(make_status(member_role::primary, 7));
    fixture.clock.run_for(300ms);
    fixture.send({status});
    fixture.events.answered(make_status(member_role::primary, 7));
    cr_assert(fixture.received && fixture.received->front().is_doubtful);
    cr_assert(fixture.received->front().evidence_age_ms == 300);
    cr_assert(fixture.connection->is_closed());
}

/// Guards against writes that are in doubt without need: the error of a statement counted as doubtful, since
/// its connection had just been set up with several equal answers.
Test(backend_connection, new_error_after_equal_answers_of_the_set_up_is_a_promise)
{
    backend_connection_fixture fixture;
    fixture.send({set_value, set_value, run_statement});
    fixture.events.answered(make_success(transaction_state::idle));
    fixture.events.answered(make_success(transaction_state::idle));
    fixture.events.answered(make_error(member_error::busy));
    cr_assert(fixture.received && !fixture.received->back().is_doubtful);
    cr_assert(fixture.connection->is_open());
}

/// Guards against LOST: a connection to a stopped replica was closed after equal answers, so that a restart
/// of the replica, which ends its stop, was not noticed before the order to promote another one.
Test(backend_connection, connection_that_shows_restarts_stays_open_after_equal_answers)
{
    backend_connection_fixture fixture;
    fixture.connection->keep_open_when_doubtful();
    for (int i = 0; i < 2; ++i) {
        fixture.send({status});
        fixture.events.answered(make_status(member_role::replica, 7, 4));
    }
    cr_assert(fixture.received && fixture.received->front().is_doubtful);
    cr_assert(fixture.connection->is_open());
}

/// Guards against UNASKED: the name of a shape with blanks ended at the first of them, so that members
/// prepared and ran another text than the caller's.
Test(backend_connection, shape_with_blanks_has_a_name_of_one_word)
{
    auto const name = backend_connection::name_of({true, "q2 of item"});
    cr_assert(name.find(' ') == std::string::npos, "%s", name.c_str());
    cr_assert(name != backend_connection::name_of({true, "q2  of item"}));
    cr_assert(name != backend_connection::name_of({false, "q2 of item"}));
}

/// Guards against PINNED: a shape that begins with a dot could have the name of another shape's digest, so
/// that an execution ran the other shape. The shape itself is too long a name for messages close to their
/// limit.
Test(backend_connection, shape_that_looks_like_a_digest_or_is_long_is_not_its_own_name)
{
    auto const name = backend_connection::name_of({true, "q2 of item"});
    auto const digest = name.substr(name.find('.'));
    cr_assert(backend_connection::name_of({true, digest}) != name);
    std::string const longest(1'000'000, 'x');
    cr_assert(backend_connection::name_of({true, longest}).size() < 200);
    cr_assert(backend_connection::name_of({true, longest}) !=
              backend_connection::name_of({true, longest + 'x'}));
}

/// Guards against a statement that ends with the second answer to the handshake.
Test(backend_connection, second_answer_to_the_handshake_ends_no_statement)
{
    backend_connection_fixture fixture;
    fixture.send({run_statement});
    member_answer handshake;
    handshake.is_handshake = true;
    fixture.events.answered(handshake);
    cr_assert(!fixture.received && fixture.connection->is_open());
    fixture.events.answered(make_success(transaction_state::idle, "p1"));
    cr_assert(fixture.received && fixture.received->front().is_ok());
}
