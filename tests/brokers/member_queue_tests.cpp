// Load patterns at one member: a hot account, a burst of an urgent class, and more accounts than connections.

#include <criterion/criterion.h>

#include "brokers/member_queue.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr duration time_to_start = 100ms;

struct member_queue_fixture {
    std::uint64_t push(std::string const& account, int priority = 0)
    {
        queue.push({next_id, account, priority, now, now + time_to_start});
        return next_id++;
    }

    std::optional<std::uint64_t> take()
    {
        return queue.take(now, [this](member_queue::entry const& entry) {
            return entry.client_account == account_without_connection ? start_condition::no_connection
                                                                      : start_condition::ready;
        });
    }

    member_queue queue;
    monotonic_time now{1h};
    std::uint64_t next_id = 1;
    std::string account_without_connection;
};

} // namespace

Test(member_queue, hot_account_delays_others_by_one_start)
{
    member_queue_fixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.push("hot");
    }
    auto const other = fixture.push("other");
    cr_assert(fixture.queue.ahead_of("other", 0).at(0) == 3);
    cr_assert(fixture.queue.ahead_of("third", 0).at(0) == 2);
    cr_assert(fixture.queue.ahead_of("hot", 0).at(0) == 101);
    fixture.take();
    cr_assert(fixture.take() == other);
}

Test(member_queue, burst_of_an_urgent_class_leaves_aged_requests_one_start_in_nine)
{
    member_queue_fixture fixture;
    auto const patient = fixture.push("patient", 2);
    for (int i = 0; i < 100; ++i) {
        fixture.push("urgent", 0);
    }
    for (std::size_t i = 0; i < 2 * member_queue::starts_per_aged_start; ++i) {
        cr_assert(fixture.take() != patient);
    }
    fixture.now += time_to_start / 2;
    cr_assert(fixture.take() == patient);
}

Test(member_queue, request_of_an_open_transaction_starts_first)
{
    member_queue_fixture fixture;
    fixture.push("one", 0);
    auto const statement = fixture.push("two", member_queue::transaction_priority);
    cr_assert(fixture.take() == statement);
}

Test(member_queue, account_without_connection_keeps_its_turn)
{
    member_queue_fixture fixture;
    auto const first = fixture.push("connectionless");
    auto const second = fixture.push("connected");
    fixture.account_without_connection = "connectionless";
    cr_assert(fixture.take() == second);
    fixture.push("connected");
    fixture.account_without_connection.clear();
    cr_assert(fixture.take() == first);
}

Test(member_queue, account_without_connection_is_passed_a_bounded_number_of_times)
{
    member_queue_fixture fixture;
    fixture.push("connectionless");
    for (std::size_t i = 0; i < 2 * member_queue::max_passes; ++i) {
        fixture.push("connected");
    }
    fixture.account_without_connection = "connectionless";
    std::size_t passes = 0;
    while (fixture.take()) {
        ++passes;
    }
    cr_assert(passes == member_queue::max_passes);
}

Test(member_queue, removed_request_is_not_taken)
{
    member_queue_fixture fixture;
    auto const id = fixture.push("one");
    cr_assert(fixture.queue.remove(id));
    cr_assert(!fixture.queue.remove(id));
    cr_assert(fixture.queue.is_empty());
    cr_assert(!fixture.take());
}
