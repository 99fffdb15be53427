#include <criterion/criterion.h>

#include "members/leadership_guard.h"
#include "virtual_clock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct leadership_guard_fixture {
    leadership_guard_fixture()
        : guard(core, [this](leadership_guard::result_callback done) {
              ++queries;
              pending = std::move(done);
          })
    {
    }

    kernel_hooks make_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return clock.now(); };
        hooks.random = [] { return std::uint64_t{0}; };
        hooks.start_timer = [this](duration delay, std::function<void()> callback) {
            return clock.start_timer(delay, std::move(callback));
        };
        hooks.cancel_timer = [this](timer_id timer) { clock.cancel_timer(timer); };
        hooks.log = [](log_record const&) {};
        return hooks;
    }

    /// Starts a check; its result is stored in `result` once it is known.
    void check()
    {
        guard.check([this](bool is_proven) { result = is_proven; });
    }

    standin::virtual_clock clock{1};
    kernel core{make_hooks()};
    std::size_t queries = 0;
    leadership_guard::result_callback pending;
    std::optional<bool> result;
    leadership_guard guard;
};

} // namespace

Test(leadership_guard, recent_commit_proves_the_leader_without_a_query)
{
    leadership_guard_fixture fixture;
    fixture.guard.record_replicated_commit(fixture.clock.now());
    fixture.clock.run_for(leadership_proof_lifetime - 1ms);
    fixture.check();
    cr_assert(fixture.result == true);
    cr_assert(fixture.queries == 0);
}

Test(leadership_guard, commit_older_than_the_proof_lifetime_starts_one_query_for_all_checks)
{
    leadership_guard_fixture fixture;
    fixture.guard.record_replicated_commit(fixture.clock.now());
    fixture.clock.run_for(leadership_proof_lifetime);
    fixture.check();
    fixture.check();
    cr_assert(!fixture.result);
    cr_assert(fixture.queries == 1);
    fixture.pending(true);
    cr_assert(fixture.result == true);
}

/// A VM that was suspended between the question and the answer must not use the answer: a takeover may have
/// ended in between.
Test(leadership_guard, answer_that_arrives_after_the_proof_lifetime_proves_nothing)
{
    leadership_guard_fixture fixture;
    fixture.check();
    fixture.clock.run_for(leadership_proof_lifetime + 1ms);
    fixture.pending(true);
    cr_assert(fixture.result == false);
}

Test(leadership_guard, failed_query_fails_checks_without_a_storm_of_queries)
{
    leadership_guard_fixture fixture;
    fixture.check();
    fixture.pending(false);
    cr_assert(fixture.result == false);
    for (int i = 0; i < 20; ++i) {
        fixture.result.reset();
        fixture.check();
        cr_assert(fixture.result == false);
        fixture.clock.run_for(2ms);
    }
    cr_assert(fixture.queries == 1);
    fixture.clock.run_for(50ms);
    fixture.check();
    cr_assert(fixture.queries == 2);
}
