#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "brokers/promotion_guard.h"
#include "virtual_clock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct guard_fixture {
    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return clock.now(); };
        hooks.start_timer = [this](duration delay, std::function<void()> callback) {
            return clock.start_timer(delay, std::move(callback));
        };
        hooks.cancel_timer = [this](timer_id timer) { clock.cancel_timer(timer); };
        hooks.log = [](log_record const&) {};
        return hooks;
    }

    /// Checks a commit on a connection and answers the lookups that it causes, if there are any.
    std::optional<bool> check(monotonic_time opened_at, std::optional<bool> is_clear)
    {
        std::optional<bool> result;
        guard->check(opened_at, [&result](bool may_commit) { result = may_commit; });
        if (is_clear) {
            answer(*is_clear);
        }
        return result;
    }

    void answer(bool is_clear)
    {
        for (auto const& done : std::exchange(pending, {})) {
            done(is_clear);
        }
    }

    /// Passes time in which the member answers on a connection.
    void answer_for(duration length, monotonic_time opened_at)
    {
        auto const end = clock.now() + length;
        while (clock.now() < end) {
            auto const sent_at = clock.now();
            clock.run_for(100ms);
            guard->record_answer(opened_at, sent_at);
        }
    }

    standin::virtual_clock clock{1};
    kernel core{make_kernel_hooks()};
    std::vector<promotion_guard::result_callback> pending; ///< Lookups without an answer.
    std::size_t lookups = 0;
    std::shared_ptr<promotion_guard> guard =
        std::make_shared<promotion_guard>(core, [this](promotion_guard::result_callback done) {
            ++lookups;
            pending.push_back(std::move(done));
        });
};

} // namespace

/// Guards against commits that a late order rolls back: this VM has not seen the member before, so it knows
/// nothing of orders that were given while the member was away.
Test(promotion_guard, first_commit_waits_for_a_lookup)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    cr_assert(!fixture.check(opened_at, std::nullopt).has_value());
    cr_assert(fixture.lookups == 1);
    fixture.answer(true);
    cr_assert(fixture.check(opened_at, std::nullopt) == true);
    cr_assert(fixture.lookups == 1);
}

/// Guards against reads of the store for each connection: a connection that was open while the process
/// answered on another one belongs to the same process.
Test(promotion_guard, new_connection_to_a_process_that_answers_needs_no_lookup)
{
    guard_fixture fixture;
    auto const first = fixture.clock.now();
    cr_assert(fixture.check(first, true) == true);
    fixture.clock.run_for(100ms);
    auto const second = fixture.clock.now();
    fixture.answer_for(200ms, first);
    cr_assert(fixture.check(second, std::nullopt) == true);
    cr_assert(fixture.lookups == 1);
}

/// Guards against commits that a late order rolls back: the member restarted between two probes, so no
/// attempt to connect was refused.
Test(promotion_guard, connection_to_a_process_that_may_have_restarted_needs_a_lookup)
{
    guard_fixture fixture;
    auto const first = fixture.clock.now();
    cr_assert(fixture.check(first, true) == true);
    fixture.answer_for(200ms, first);
    fixture.clock.run_for(100ms);
    auto const second = fixture.clock.now();
    // The new process answers; nothing shows that it is the former one.
    fixture.answer_for(200ms, second);
    cr_assert(fixture.check(second, false) == false);
    cr_assert(fixture.lookups == 2);
}

/// Guards against commits that a late order rolls back: the member was dark while its connections stayed
/// open.
Test(promotion_guard, silence_needs_a_lookup)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    cr_assert(fixture.check(opened_at, true) == true);
    fixture.clock.run_for(900ms);
    cr_assert(fixture.check(opened_at, false) == false);
    fixture.answer_for(500ms, opened_at);
    cr_assert(fixture.check(opened_at, false) == false);
    cr_assert(fixture.lookups == 3);
}

/// Guards against callers that are refused while a VM opens its first connections: one of them was opened
/// while the lookup for another one was under way.
Test(promotion_guard, connection_that_is_opened_during_a_lookup_causes_another_one)
{
    guard_fixture fixture;
    cr_assert(!fixture.check(fixture.clock.now(), std::nullopt).has_value());
    fixture.clock.run_for(1ms);
    std::optional<bool> result;
    fixture.guard->check(fixture.clock.now(), [&result](bool may_commit) { result = may_commit; });
    fixture.answer(true);
    cr_assert(!result.has_value());
    cr_assert(fixture.lookups == 2);
    fixture.answer(true);
    cr_assert(result == true);
}

/// Guards against the use of an old answer: the member went away while the lookup was under way.
Test(promotion_guard, lookup_that_an_absence_overtakes_clears_nothing)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    cr_assert(!fixture.check(opened_at, std::nullopt).has_value());
    fixture.clock.run_for(1ms);
    fixture.guard->record_absence();
    fixture.answer(true);
    cr_assert(fixture.lookups == 2);
    cr_assert(fixture.check(opened_at, false) == false);
}

/// Guards against commits that a late order rolls back: only another VM found the member out of reach.
Test(promotion_guard, report_of_another_vm_needs_a_lookup)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    cr_assert(fixture.check(opened_at, true) == true);
    fixture.clock.run_for(10ms);
    fixture.guard->record_reported_absence();
    cr_assert(fixture.check(opened_at, true) == true);
    fixture.guard->record_reported_absence();
    cr_assert(fixture.check(opened_at, std::nullopt) == true);
    cr_assert(fixture.lookups == 2);
}

/// Guards against callers that wait for a store that does not answer.
Test(promotion_guard, lookup_without_an_answer_fails_the_check_soon)
{
    guard_fixture fixture;
    std::optional<bool> result;
    fixture.guard->check(fixture.clock.now(), [&result](bool may_commit) { result = may_commit; });
    fixture.clock.run_for(promotion_guard::max_wait + 1ms);
    cr_assert(result == false);
}

/// Guards against a burst of reads: each commit that is withheld would look for the order again.
Test(promotion_guard, commits_behind_an_order_share_lookups)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    for (int i = 0; i < 20; ++i) {
        cr_assert(fixture.check(opened_at, false) == false);
        fixture.clock.run_for(50ms);
    }
    cr_assert(fixture.lookups <= 5, "%zu lookups", fixture.lookups);
}

/// Guards against a group without commits while the store is away: an order that was given before the member
/// returned has lapsed by then.
Test(promotion_guard, member_that_answers_for_longer_than_orders_last_is_clear)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    fixture.answer_for(order_lapse_time - 1s, opened_at);
    cr_assert(fixture.check(opened_at, false) == false);
    fixture.answer_for(1200ms, opened_at);
    cr_assert(fixture.check(opened_at, std::nullopt) == true);
}
