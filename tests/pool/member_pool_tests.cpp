#include <criterion/criterion.h>

#include <map>
#include <vector>

#include "kernel/event_loop.h"
#include "pool/member_pool.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Database hooks that record open requests and batches, and leave it to the test to answer them.
struct manual_database {
    struct sent_batch {
        connection_id target_connection;
        batch statements;
        batch_callback on_answer;
    };

    database_hooks hooks()
    {
        return {[this](member_address const& /*address*/, open_callback opened) {
                    open_callbacks.push_back(std::move(opened));
                    return connection_id{++connections};
                },
                [this](connection_id id, batch statements, batch_callback on_answer) {
                    sent_batches.push_back({id, std::move(statements), std::move(on_answer)});
                },
                [this](connection_id id) { closed.push_back(id); }};
    }

    void answer(std::size_t index, std::string const& text)
    {
        batch_answer answer;
        answer.results.push_back({{{"text", type_oid::text}}, {{text}}, 0});
        sent_batches[index].on_answer(answer);
    }

    std::uint64_t connections = 0;
    std::vector<open_callback> open_callbacks;
    std::vector<sent_batch> sent_batches;
    std::vector<connection_id> closed;
};

/// Pool of connections to one member, with a clock that only the test advances.
struct pool_fixture {
    explicit pool_fixture(std::size_t limit = 1)
        : core(kernel_hooks{[this] { return now; }, [] { return 0; },
                            [this](duration delay, std::function<void()> callback) {
                                return loop.start_timer(now + delay, std::move(callback));
                            },
                            [this](timer_id timer) { loop.cancel_timer(timer); }, [](log_record const&) {}}),
          hooks(database.hooks()),
          pool(std::make_shared<member_pool>(
              core, hooks, member_address{},
              member_pool::options{1s, [limit] { return limit; }, [this](auto const&) { ++failures; }}))
    {
    }

    void advance_clock(duration time)
    {
        now += time;
        loop.run_due(now);
    }

    leased_connection_pointer acquire_connection()
    {
        leased_connection_pointer acquired;
        pool->acquire("account", now + 1s,
                      [&acquired](auto result) { acquired = std::get<leased_connection_pointer>(result); });
        database.open_callbacks.back()(std::nullopt);
        return acquired;
    }

    monotonic_time now{1h};
    event_loop loop;
    int failures = 0;
    manual_database database;
    kernel core;
    database_hooks hooks;
    std::shared_ptr<member_pool> pool;
};

batch single_statement_batch(std::string const& sql)
{
    return {{{sql, {}}}};
}

} // namespace

Test(member_pool, connection_returns_only_after_its_reset)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    bool is_answered = false;
    connection->execute_last(single_statement_batch("select 1"), 1s,
                             [&is_answered](auto const&) { is_answered = true; });
    cr_assert(fixture.database.sent_batches.size() == 2);
    cr_assert(fixture.database.sent_batches[1].statements.statements.front().sql ==
              std::string("discard all"));
    fixture.database.answer(0, "1");
    cr_assert(is_answered);
    leased_connection_pointer next;
    fixture.pool->acquire("account", fixture.now + 1s,
                          [&next](auto result) { next = std::get<leased_connection_pointer>(result); });
    cr_assert(next == nullptr);
    fixture.database.answer(1, "");
    cr_assert(next != nullptr);
}

Test(member_pool, answer_after_the_timeout_is_dropped)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    std::vector<std::string> received;
    auto const record_answer = [&received](batch_answer const& answer) {
        received.push_back(answer.failure ? "failure" : answer.results.front().rows.front().front().value());
    };
    connection->execute_last(single_statement_batch("select 'first'"), 10ms, record_answer);
    fixture.advance_clock(20ms);
    cr_assert(received.size() == 1);
    cr_assert(received.front() == std::string("failure"));
    cr_assert(fixture.database.closed.size() == 1);
    auto second = fixture.acquire_connection();
    second->execute_last(single_statement_batch("select 'second'"), 1s, record_answer);
    fixture.database.answer(0, "first");
    cr_assert(received.size() == 1);
    fixture.database.answer(2, "second");
    cr_assert(received.back() == std::string("second"));
}

Test(member_pool, duplicate_answer_is_ignored)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    int answers = 0;
    connection->execute(single_statement_batch("select 1"), 1s, [&answers](auto const&) { ++answers; });
    auto const on_answer_copy = fixture.database.sent_batches[0].on_answer;
    on_answer_copy({});
    on_answer_copy({});
    cr_assert(answers == 1);
}

Test(member_pool, connection_released_with_an_open_transaction_is_closed)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    connection->execute(single_statement_batch("begin"), 1s, [](auto const&) {});
    fixture.database.answer(0, "");
    connection.reset();
    cr_assert(fixture.database.closed.size() == 1);
    cr_assert(fixture.pool->connections() == 0);
}

Test(member_pool, connection_limit_holds_while_requests_wait)
{
    pool_fixture fixture(2);
    for (int i = 0; i < 10; ++i) {
        fixture.pool->acquire("account", fixture.now + 1s, [](auto const&) {});
    }
    cr_assert(fixture.database.open_callbacks.size() == 2);
    cr_assert(fixture.pool->waiting() == 10);
}

Test(member_pool, waiting_request_fails_at_its_deadline)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    std::optional<database_error> error;
    fixture.pool->acquire("account", fixture.now + 20ms,
                          [&error](auto const& result) { error = std::get<database_failure>(result).error; });
    fixture.advance_clock(10ms);
    cr_assert(not(error.has_value()));
    fixture.advance_clock(20ms);
    cr_assert(error == database_error::timed_out);
}

Test(member_pool, refused_connection_fails_the_waiting_requests)
{
    pool_fixture fixture;
    std::optional<database_error> error;
    fixture.pool->acquire("account", fixture.now + 1s,
                          [&error](auto const& result) { error = std::get<database_failure>(result).error; });
    fixture.database.open_callbacks.front()(database_failure{database_error::refused, "", "refused"});
    cr_assert(error == database_error::refused);
    cr_assert(fixture.failures == 1);
}

Test(member_pool, out_of_order_answers_fail_every_batch_on_the_connection)
{
    pool_fixture fixture;
    auto connection = fixture.acquire_connection();
    std::vector<bool> is_ok;
    connection->execute_last(single_statement_batch("insert into t values (1)"), 1s,
                             [&is_ok](batch_answer const& answer) { is_ok.push_back(answer.is_ok()); });
    // The answer to the reset arrives before the answer to the request.
    fixture.database.answer(1, "");
    cr_assert(is_ok == std::vector<bool>{false});
    fixture.database.answer(0, "late");
    cr_assert(is_ok.size() == 1);
    cr_assert(fixture.database.closed.size() == 1);
    cr_assert(fixture.pool->connections() == 0);
}
