#include <criterion/criterion.h>

#include "brokers/contact_guard.h"
#include "virtual_clock.h"

// Pattern: callers behind a cut learn of commits that only a member behind the cut has received, while
// another member is promoted outside.

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct contact_guard_fixture {
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

    contact_guard::hooks make_contact_hooks()
    {
        return {[] { return std::string("a"); }, [this] { return zones; },
                [this](std::string const& zone) {
                    ++asked[zone];
                    if (!is_cut) {
                        clock.start_timer(2ms, [this, zone, sent_at = clock.now()] {
                            guard.record_round_trip(zone, sent_at);
                        });
                    }
                }};
    }

    /// Notes the answer to a commit that was sent at `sent_at`; the decision is stored in `result`.
    void confirm(monotonic_time sent_at, std::string const& leader_zone = "a")
    {
        result.reset();
        guard.confirm(leader_zone, sent_at, [this](bool is_proven) {
            result = is_proven;
            decided_at = clock.now();
        });
    }

    standin::virtual_clock clock{1};
    kernel core{make_hooks()};
    std::vector<std::string> zones{"b", "c"};
    std::map<std::string, int> asked;
    bool is_cut = false;
    std::optional<bool> result;
    monotonic_time decided_at;
    contact_guard guard{core, make_contact_hooks()};
};

} // namespace

/// Guards against a delay of ordinary commits beyond one round trip.
Test(contact_guard, success_in_contact_is_passed_on_after_one_round_trip)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    auto const answered_at = fixture.clock.now();
    fixture.confirm(answered_at - 10ms);
    fixture.clock.run_for(10ms);
    cr_assert(fixture.result == true);
    cr_assert(fixture.decided_at - answered_at == 2ms);
}

/// Guards against a delay where the leader's answer came from another zone itself, or where no other zones
/// exist.
Test(contact_guard, success_that_needs_no_proof_is_passed_on_at_once)
{
    contact_guard_fixture fixture;
    fixture.is_cut = true;
    fixture.confirm(fixture.clock.now(), "b");
    cr_assert(fixture.result == true);
    fixture.zones = {"b"};
    fixture.confirm(fixture.clock.now());
    cr_assert(fixture.result == true);
    cr_assert(fixture.asked.empty());
}

/// Guards against a commit that a replica behind the cut received just after the last round trip.
Test(contact_guard, round_trip_before_the_answer_of_the_leader_proves_nothing)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    auto const sent_at = fixture.clock.now();
    fixture.guard.record_round_trip("b", sent_at);
    fixture.clock.run_for(1ms);
    fixture.is_cut = true;
    fixture.confirm(sent_at);
    fixture.clock.run_for(contact_guard::lapse_time + 50ms);
    cr_assert(fixture.result == false);
}

/// Guards against a success that is withheld though one VM or zone merely does not answer.
Test(contact_guard, zone_without_an_answer_is_not_needed_while_another_one_answers)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    fixture.guard.record_round_trip("b", fixture.clock.now());
    fixture.clock.run_for(1s);
    auto const answered_at = fixture.clock.now();
    fixture.is_cut = true;
    fixture.confirm(answered_at - 10ms);
    fixture.is_cut = false;
    fixture.clock.run_for(100ms);
    cr_assert(fixture.asked["c"] > 0);
    cr_assert(fixture.result == true);
    cr_assert(fixture.decided_at - answered_at <= 40ms);
}

/// Guards against a success that is passed on after the cut, when the leader has been replaced meanwhile.
Test(contact_guard, commit_that_was_sent_before_a_break_is_withheld_after_it)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    auto const sent_at = fixture.clock.now();
    auto const watch = fixture.guard.watch("a");
    fixture.clock.run_for(250ms);
    fixture.is_cut = true;
    fixture.clock.run_for(600ms);
    fixture.is_cut = false;
    fixture.clock.run_for(250ms);
    fixture.confirm(sent_at);
    fixture.clock.run_for(100ms);
    cr_assert(fixture.result == false);
}

/// Guards against a success that is passed on before a promotion ordered during the cut takes effect.
Test(contact_guard, commits_are_withheld_until_a_break_has_settled)
{
    contact_guard_fixture fixture;
    auto const watch = fixture.guard.watch("a");
    fixture.clock.run_for(1s);
    fixture.is_cut = true;
    fixture.clock.run_for(600ms);
    fixture.is_cut = false;
    fixture.clock.run_for(200ms);
    fixture.confirm(fixture.clock.now());
    fixture.clock.run_for(100ms);
    cr_assert(fixture.result == false);
    fixture.clock.run_for(contact_guard::settling_time);
    fixture.confirm(fixture.clock.now());
    fixture.clock.run_for(100ms);
    cr_assert(fixture.result == true);
}

/// Guards against a slow commit that is withheld without any cut.
Test(contact_guard, slow_commit_in_contact_is_passed_on)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    auto const sent_at = fixture.clock.now();
    {
        auto const watch = fixture.guard.watch("a");
        fixture.clock.run_for(900ms);
        fixture.confirm(sent_at);
    }
    fixture.clock.run_for(100ms);
    cr_assert(fixture.result == true);
    auto const asked = fixture.asked;
    fixture.clock.run_for(2s);
    cr_assert(fixture.asked == asked, "asks while no commit runs");
}

/// Guards against messages in proportion to the commits under load.
Test(contact_guard, commits_that_are_answered_at_once_share_two_messages)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    fixture.guard.record_round_trip("b", fixture.clock.now());
    fixture.clock.run_for(1ms);
    int passed_on = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.guard.confirm("a", fixture.clock.now(),
                              [&passed_on](bool is_proven) { passed_on += is_proven; });
        if (i == 50) {
            fixture.clock.run_for(1ms);
        }
    }
    fixture.clock.run_for(20ms);
    cr_assert(passed_on == 100);
    cr_assert(fixture.asked["b"] + fixture.asked["c"] == 2);
}

/// Guards against commits that reach a leader after a cut, before the promotion ordered during it takes
/// effect.
Test(contact_guard, no_commit_is_sent_while_contact_is_broken_or_has_not_settled)
{
    contact_guard_fixture fixture;
    auto watch = fixture.guard.watch("a");
    fixture.clock.run_for(1s);
    cr_assert(fixture.guard.is_settled("a"));
    fixture.is_cut = true;
    fixture.clock.run_for(600ms);
    cr_assert(!fixture.guard.is_settled("a"));
    cr_assert(fixture.guard.is_settled("b"));
    fixture.is_cut = false;
    fixture.clock.run_for(200ms);
    cr_assert(!fixture.guard.is_settled("a"));
    fixture.clock.run_for(contact_guard::settling_time);
    cr_assert(fixture.guard.is_settled("a"));
}

/// Guards against a VM that sends no commit for good, since nothing asks the other zones while it sends none.
Test(contact_guard, contact_that_returns_while_no_commit_runs_is_noticed)
{
    contact_guard_fixture fixture;
    auto watch = fixture.guard.watch("a");
    fixture.clock.run_for(1s);
    fixture.is_cut = true;
    fixture.clock.run_for(600ms);
    watch.reset();
    fixture.clock.run_for(2s);
    fixture.is_cut = false;
    cr_assert(!fixture.guard.is_settled("a"));
    fixture.clock.run_for(contact_guard::settling_time + 10ms);
    cr_assert(fixture.guard.is_settled("a"));
}

/// Guards against a takeover that orders a successor while callers behind the cut still learn of commits.
Test(contact_guard, zone_out_of_contact_is_undecided_until_the_time_has_lapsed)
{
    contact_guard_fixture fixture;
    fixture.clock.run_for(1s);
    fixture.is_cut = true;
    auto const since = fixture.clock.now();
    while (fixture.guard.is_undecided("b")) {
        fixture.clock.run_for(10ms);
    }
    auto const lapsed = fixture.clock.now() - since;
    cr_assert(lapsed >= contact_guard::lapse_time && lapsed <= contact_guard::lapse_time + 10ms);
    fixture.is_cut = false;
    fixture.clock.run_for(100ms);
    fixture.guard.is_undecided("b");
    fixture.clock.run_for(10ms);
    cr_assert(!fixture.guard.is_undecided("b"));
}

/// Guards against a takeover that waits where nobody withholds successes.
Test(contact_guard, zone_without_vms_is_decided_at_once)
{
    contact_guard_fixture fixture;
    cr_assert(!fixture.guard.is_undecided("d"));
    cr_assert(!fixture.guard.is_undecided("a"));
    fixture.zones = {"b"};
    cr_assert(!fixture.guard.is_undecided("b"));
}
