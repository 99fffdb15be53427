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
            done({is_clear, claim, clock.now() - claimed_at, is_claimed_for_other});
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
    std::vector<promotion_guard::lookup_callback> pending; ///< Lookups without an answer.
    promotion_guard::claim_id claim{1, 1};                 ///< Last claim that lookups find.
    monotonic_time claimed_at;
    bool is_claimed_for_other = true;
    std::size_t lookups = 0;
    std::shared_ptr<promotion_guard> guard =
        std::make_shared<promotion_guard>(core, [this](promotion_guard::lookup_callback done) {
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

namespace {

/// Pattern: a commit is under way at a member that stands still, and another member is ordered to lead before
/// the commit is answered.
struct success_fixture : guard_fixture {
    success_fixture()
    {
        cr_assert(check(opened_at, true) == true);
        answer_for(100ms, opened_at);
    }

    /// Answers a commit on the fixture's connection.
    void answer_commit(promotion_guard::sent_commit const& commit)
    {
        guard->record_answer(opened_at, commit.sent_at);
        guard->check_success(commit, [this](bool is_passed) { results.push_back(is_passed); });
    }

    monotonic_time opened_at = clock.now();
    std::vector<bool> results; ///< Whether successes were passed on, in the order of the decisions.
};

} // namespace

/// Guards against a read of the store for each commit.
Test(promotion_guard, success_of_a_prompt_commit_is_passed_on_at_once)
{
    success_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        auto const first = fixture.guard->record_sent_commit();
        auto const second = fixture.guard->record_sent_commit();
        fixture.clock.run_for(20ms);
        fixture.answer_commit(first);
        fixture.clock.run_for(20ms);
        fixture.answer_commit(second);
    }
    cr_assert(fixture.results == std::vector<bool>(40, true));
    cr_assert(fixture.lookups == 1);
}

/// Guards against lost acknowledged commits: an order was given while the member stood still.
Test(promotion_guard, success_after_a_standstill_beside_an_order_is_withheld)
{
    success_fixture fixture;
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(1300ms);
    fixture.answer_commit(commit);
    cr_assert(fixture.results.empty());
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>{false});
}

/// Guards against answers that are left open without need: the member stood still, and nobody was ordered.
Test(promotion_guard, success_after_a_standstill_without_an_order_is_passed_on)
{
    success_fixture fixture;
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(1300ms);
    fixture.answer_commit(commit);
    fixture.answer(true);
    cr_assert(fixture.results == std::vector<bool>{true});
}

/// Guards against lost acknowledged commits: the order was carried out and its claim settled before the
/// answer of the former leader arrived.
Test(promotion_guard, success_behind_a_claim_that_was_settled_meanwhile_is_withheld)
{
    success_fixture fixture;
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(1300ms);
    fixture.claim = {2, 2};
    fixture.answer_commit(commit);
    fixture.answer(true);
    cr_assert(fixture.results == std::vector<bool>{false});
}

/// Guards against lost acknowledged commits: a lookup that began before the answer does not know of an order
/// that was given since.
Test(promotion_guard, success_needs_a_lookup_that_begins_after_it)
{
    success_fixture fixture;
    auto const first = fixture.guard->record_sent_commit();
    auto const second = fixture.guard->record_sent_commit();
    fixture.clock.run_for(1300ms);
    fixture.answer_commit(first);
    fixture.clock.run_for(1ms);
    fixture.answer_commit(second);
    fixture.answer(true);
    cr_assert(fixture.results == std::vector<bool>{true});
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>({true, false}));
}

/// Guards against lost acknowledged commits: the member answers reads all the while, but a takeover had
/// stopped all its replicas, until one restarted. The commit that is answered first was sent last.
Test(promotion_guard, commits_that_waited_for_replicas_need_a_lookup)
{
    success_fixture fixture;
    auto const early = fixture.guard->record_sent_commit();
    fixture.answer_for(400ms, fixture.opened_at);
    auto const late = fixture.guard->record_sent_commit();
    fixture.clock.run_for(5ms);
    fixture.answer_commit(late);
    fixture.answer_commit(early);
    cr_assert(fixture.results.empty());
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>({false, false}));
}

/// Guards against lost acknowledged commits: only other VMs lose the member, and one of them may order
/// another member to lead.
Test(promotion_guard, success_of_a_member_that_another_vm_suspects_needs_a_lookup)
{
    success_fixture fixture;
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(10ms);
    fixture.guard->record_doubt();
    fixture.clock.run_for(10ms);
    fixture.answer_commit(commit);
    cr_assert(fixture.results.empty());
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>{false});
}

/// Guards against callers that wait for a store that does not answer.
Test(promotion_guard, success_without_an_answer_of_a_lookup_is_withheld_in_time)
{
    success_fixture fixture;
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(1300ms);
    fixture.answer_commit(commit);
    fixture.clock.run_for(promotion_guard::max_success_wait + 1ms);
    cr_assert(fixture.results == std::vector<bool>{false});
    fixture.answer(true);
    cr_assert(fixture.results.size() == 1);
}

/// Guards against a read of the store for each commit after one that was slow.
Test(promotion_guard, one_slow_commit_causes_one_lookup)
{
    success_fixture fixture;
    auto const slow = fixture.guard->record_sent_commit();
    for (int i = 0; i < 40; ++i) {
        auto const commit = fixture.guard->record_sent_commit();
        fixture.clock.run_for(10ms);
        fixture.answer_commit(commit);
    }
    fixture.answer_commit(slow);
    cr_assert(fixture.lookups == 2);
    auto const next = fixture.guard->record_sent_commit();
    fixture.answer(true);
    fixture.clock.run_for(10ms);
    fixture.answer_commit(next);
    cr_assert(fixture.lookups == 2);
    cr_assert(fixture.results == std::vector<bool>(42, true));
}

/// Guards against lost acknowledged commits: a lookup clears the member while another VM is about to claim
/// the lock. The commit is answered soon after it was sent.
Test(promotion_guard, prompt_success_soon_after_a_doubt_needs_a_lookup)
{
    success_fixture fixture;
    fixture.guard->record_absence();
    cr_assert(fixture.check(fixture.opened_at, true) == true);
    fixture.clock.run_for(5ms);
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(60ms);
    fixture.answer_commit(commit);
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>{false});
    // The next commit would be withheld, too.
    cr_assert(fixture.check(fixture.opened_at, std::nullopt) == false);
}

/// Guards against lost acknowledged commits: the leader is cut off from its replicas, commits time out one
/// after the other, and one of them is under way when a replica that was stopped restarts.
Test(promotion_guard, commit_after_one_that_timed_out_needs_a_lookup)
{
    success_fixture fixture;
    fixture.guard->record_sent_commit();
    fixture.answer_for(250ms, fixture.opened_at);
    fixture.guard->record_failed_commit();
    auto const commit = fixture.guard->record_sent_commit();
    fixture.answer_for(100ms, fixture.opened_at);
    fixture.answer_commit(commit);
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>{false});
}

/// Guards against lost acknowledged commits of transactions: the leader's entry has lapsed, so that this VM
/// hears of no suspicion any more.
Test(promotion_guard, success_of_a_member_that_left_the_directory_needs_a_lookup)
{
    success_fixture fixture;
    fixture.guard->retire();
    fixture.clock.run_for(10ms);
    auto const commit = fixture.guard->record_sent_commit();
    fixture.clock.run_for(10ms);
    fixture.answer_commit(commit);
    fixture.answer(false);
    cr_assert(fixture.results == std::vector<bool>{false});
}

/// Guards against answers that are left open without need: the member was a replica whose process has
/// answered for long, so that it is clear by time, and leads by the order of a claim for itself.
Test(promotion_guard, slow_commit_of_a_new_leader_is_passed_on)
{
    guard_fixture fixture;
    auto const opened_at = fixture.clock.now();
    fixture.answer_for(20s, opened_at);
    fixture.claimed_at = fixture.clock.now() - 1s;
    fixture.is_claimed_for_other = false;
    cr_assert(fixture.check(opened_at, std::nullopt) == true);
    cr_assert(fixture.lookups == 0);
    auto const commit = fixture.guard->record_sent_commit();
    fixture.answer_for(400ms, opened_at);
    std::optional<bool> result;
    fixture.guard->record_answer(opened_at, commit.sent_at);
    fixture.guard->check_success(commit, [&result](bool is_passed) { result = is_passed; });
    fixture.answer(true);
    cr_assert(result == true);
}
