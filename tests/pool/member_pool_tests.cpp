#include <criterion/criterion.h>

#include <map>
#include <vector>

#include "kernel/event_loop.h"
#include "pool/member_pool.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Database hooks whose answers the test gives by hand.
struct manual_database {
    struct question {
        connection_id connection;
        batch statements;
        batch_callback answered;
    };

    database_hooks hooks()
    {
        return {[this](member_address const& /*address*/, open_callback opened) {
                    openings.push_back(std::move(opened));
                    return connection_id{++connections};
                },
                [this](connection_id id, batch statements, batch_callback answered) {
                    questions.push_back({id, std::move(statements), std::move(answered)});
                },
                [this](connection_id id) { closed.push_back(id); }};
    }

    void answer(std::size_t index, std::string const& text)
    {
        batch_answer answer;
        answer.results.push_back({{{"text", type_oid::text}}, {{text}}, 0});
        questions[index].answered(answer);
    }

    std::uint64_t connections = 0;
    std::vector<open_callback> openings;
    std::vector<question> questions;
    std::vector<connection_id> closed;
};

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

    void pass(duration time)
    {
        now += time;
        loop.run_due(now);
    }

    lease_pointer first_lease()
    {
        lease_pointer taken;
        pool->acquire("account", now + 1s,
                      [&taken](auto result) { taken = std::get<lease_pointer>(result); });
        database.openings.back()(std::nullopt);
        return taken;
    }

    monotonic_time now{1h};
    event_loop loop;
    int failures = 0;
    manual_database database;
    kernel core;
    database_hooks hooks;
    std::shared_ptr<member_pool> pool;
};

batch one(std::string const& sql)
{
    return {{{sql, {}}}};
}

} // namespace

Test(member_pool, connection_returns_only_after_its_reset)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    bool is_answered = false;
    lease->execute_last(one("select 1"), 1s, [&is_answered](auto const&) { is_answered = true; });
    cr_assert(fixture.database.questions.size() == 2);
    cr_assert(fixture.database.questions[1].statements.statements.front().sql == std::string("discard all"));
    fixture.database.answer(0, "1");
    cr_assert(is_answered);
    lease_pointer next;
    fixture.pool->acquire("account", fixture.now + 1s,
                          [&next](auto result) { next = std::get<lease_pointer>(result); });
    cr_assert(next == nullptr);
    fixture.database.answer(1, "");
    cr_assert(next != nullptr);
}

Test(member_pool, answer_after_the_timeout_reaches_nobody)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    std::vector<std::string> heard;
    auto const hear = [&heard](batch_answer const& answer) {
        heard.push_back(answer.failure ? "failure" : answer.results.front().rows.front().front().value());
    };
    lease->execute_last(one("select 'first'"), 10ms, hear);
    fixture.pass(20ms);
    cr_assert(heard.size() == 1);
    cr_assert(heard.front() == std::string("failure"));
    cr_assert(fixture.database.closed.size() == 1);
    auto second = fixture.first_lease();
    second->execute_last(one("select 'second'"), 1s, hear);
    fixture.database.answer(0, "first");
    cr_assert(heard.size() == 1);
    fixture.database.answer(2, "second");
    cr_assert(heard.back() == std::string("second"));
}

Test(member_pool, doubled_answer_counts_once)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    int answers = 0;
    lease->execute(one("select 1"), 1s, [&answers](auto const&) { ++answers; });
    auto const doubled = fixture.database.questions[0].answered;
    doubled({});
    doubled({});
    cr_assert(answers == 1);
}

Test(member_pool, lease_that_goes_with_an_open_transaction_is_closed)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    lease->execute(one("begin"), 1s, [](auto const&) {});
    fixture.database.answer(0, "");
    lease.reset();
    cr_assert(fixture.database.closed.size() == 1);
    cr_assert(fixture.pool->connections() == 0);
}

Test(member_pool, limit_of_connections_holds_while_requests_wait)
{
    pool_fixture fixture(2);
    for (int i = 0; i < 10; ++i) {
        fixture.pool->acquire("account", fixture.now + 1s, [](auto const&) {});
    }
    cr_assert(fixture.database.openings.size() == 2);
    cr_assert(fixture.pool->waiting() == 10);
}

Test(member_pool, waiting_request_is_dropped_at_its_deadline)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    std::optional<database_error> error;
    fixture.pool->acquire("account", fixture.now + 20ms,
                          [&error](auto const& result) { error = std::get<database_failure>(result).error; });
    fixture.pass(10ms);
    cr_assert(not(error.has_value()));
    fixture.pass(20ms);
    cr_assert(error == database_error::timed_out);
}

Test(member_pool, refused_connection_fails_the_requests_that_wait)
{
    pool_fixture fixture;
    std::optional<database_error> error;
    fixture.pool->acquire("account", fixture.now + 1s,
                          [&error](auto const& result) { error = std::get<database_failure>(result).error; });
    fixture.database.openings.front()(database_failure{database_error::refused, "", "refused"});
    cr_assert(error == database_error::refused);
    cr_assert(fixture.failures == 1);
}

Test(member_pool, crossed_answers_fail_every_batch_on_the_connection)
{
    pool_fixture fixture;
    auto lease = fixture.first_lease();
    std::vector<bool> is_ok;
    lease->execute_last(one("insert into t values (1)"), 1s,
                        [&is_ok](batch_answer const& answer) { is_ok.push_back(answer.is_ok()); });
    // The answer to the reset overtakes the answer to the request.
    fixture.database.answer(1, "");
    cr_assert(is_ok == std::vector<bool>{false});
    fixture.database.answer(0, "late");
    cr_assert(is_ok.size() == 1);
    cr_assert(fixture.database.closed.size() == 1);
    cr_assert(fixture.pool->connections() == 0);
}
