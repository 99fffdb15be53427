// Load patterns at a member that has just started or recovered, with requests that wait all the time.

#include <criterion/criterion.h>

#include <list>

#include "brokers/flight_control.h"
#include "brokers/return_pace.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr std::size_t slots = 4;
constexpr duration usual_time = 20ms;

/// Member under constant demand. `time_of` gives the time to an answer, and `error_of` its error.
struct member_under_demand {
    explicit member_under_demand(bool paces_recovery = true) : flight(slots, paces_recovery, {}) {}

    void run_for(duration length)
    {
        for (auto const end = now + length; now < end; now += 1ms) {
            for (auto each = running.begin(); each != running.end();) {
                if (each->answer_at > now) {
                    ++each;
                    continue;
                }
                flight.finish(each->id, each->error != member_error::timed_out);
                flight.record_outcome(true, each->error, each->sent_at, now, usual_time);
                answered += each->error ? 0 : 1;
                each = running.erase(each);
            }
            while (flight.permission(now) != start_permission::none && running.size() < 100) {
                send();
            }
            if (flight.pace().state() == pace_state::full && !full_at) {
                full_at = now;
            }
        }
    }

    void send()
    {
        if (flight.permission(now) == start_permission::repeatable) {
            ++repeatable_only;
        }
        flight.start(next_id, now);
        flight.record_sent(next_id, now, usual_time);
        running.push_back({next_id++, now, now + time_of(running.size() + 1), error_of()});
        most_running = std::max(most_running, running.size());
        ++sent;
    }

    struct request {
        std::uint64_t id;
        monotonic_time sent_at;
        monotonic_time answer_at;
        std::optional<member_error> error;
    };

    flight_control flight;
    monotonic_time now{1h};
    std::function<duration(std::size_t running)> time_of = [](std::size_t) { return usual_time; };
    std::function<std::optional<member_error>()> error_of = [] { return std::optional<member_error>{}; };
    std::list<request> running;
    std::uint64_t next_id = 1;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t repeatable_only = 0;
    std::size_t most_running = 0;
    std::optional<monotonic_time> full_at;
};

} // namespace

Test(recovery_pace, restart_that_makes_nothing_slow_reaches_full_use_within_a_quarter_second)
{
    member_under_demand member;
    auto const start = member.now;
    member.flight.record_member_start(start);
    member.run_for(1s);
    cr_assert(member.full_at && *member.full_at - start <= 250ms);
    cr_assert(member.repeatable_only >= 1, "the first request could not have been run again");
}

Test(recovery_pace, cold_member_is_not_flooded_while_it_warms)
{
    member_under_demand member;
    auto const start = member.now;
    // For two seconds, each request beyond the first costs the member four times the usual time.
    member.time_of = [&member, start](std::size_t running) {
        return member.now - start < 2s && running > 1 ? 4 * usual_time : usual_time;
    };
    member.flight.record_member_start(start);
    member.run_for(1900ms);
    cr_assert(member.most_running <= 2, "%zu in flight", member.most_running);
    member.run_for(600ms);
    cr_assert(member.full_at && *member.full_at - start <= 2500ms);
}

Test(recovery_pace, member_that_stays_slow_is_used_fully_after_the_longest_ramp)
{
    member_under_demand member;
    auto const start = member.now;
    member.time_of = [](std::size_t) { return 5 * usual_time; };
    member.flight.record_member_start(start);
    member.run_for(6s);
    cr_assert(member.full_at && *member.full_at - start <= recovery_pace::max_ramp + 300ms);
}

Test(recovery_pace, member_that_fails_again_in_the_ramp_gets_few_requests)
{
    member_under_demand member;
    auto const start = member.now;
    member.flight.record_member_start(start);
    member.run_for(50ms);
    member.error_of = [] { return member_error::timed_out; };
    auto const sent_before = member.sent;
    member.run_for(2s);
    // At most the ramp's requests in flight, then one trial in each interval.
    cr_assert(member.sent - sent_before <= 30, "%zu sent", member.sent - sent_before);
    member.error_of = [] { return std::nullopt; };
    member.full_at.reset();
    auto const recovered = member.now;
    member.run_for(1s);
    cr_assert(member.full_at && *member.full_at - recovered <= 400ms);
}

Test(recovery_pace, grey_member_with_good_health_check_is_not_at_full_load_during_its_ramp)
{
    member_under_demand member;
    std::size_t count = 0;
    member.error_of = [&count]() -> std::optional<member_error> {
        return ++count % 2 == 0 ? std::optional(member_error::failed) : std::nullopt;
    };
    member.flight.record_member_start(member.now);
    member.run_for(3s);
    cr_assert(!member.full_at);
    cr_assert(member.most_running <= slots);
    cr_assert(member.answered >= 50, "%zu answered", member.answered);
}

Test(recovery_pace, failures_in_a_row_at_full_use_lead_to_trials)
{
    member_under_demand member;
    member.run_for(100ms);
    member.error_of = [] { return member_error::connection_lost; };
    member.run_for(100ms);
    cr_assert(member.flight.pace().state() == pace_state::trial);
    auto const sent_before = member.sent;
    member.run_for(1s);
    cr_assert(member.sent - sent_before <= 10, "%zu trials", member.sent - sent_before);
}

Test(recovery_pace, disabled_pace_never_limits)
{
    member_under_demand member(false);
    member.flight.record_member_start(member.now);
    member.error_of = [] { return member_error::connection_lost; };
    member.run_for(200ms);
    cr_assert(member.flight.limit(member.now) == slots + 1);
}

Test(return_pace, refused_callers_return_in_turn_and_within_a_bound)
{
    return_pace returns;
    monotonic_time const now{1h};
    cr_assert(returns.assign(0, now, 100ms, 5ms) == 105ms);
    cr_assert(returns.assign(0, now, 100ms, 5ms) == 110ms);
    cr_assert(returns.assign(1, now, 100ms, 5ms) == 105ms);
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(returns.assign(0, now, 100ms, 5ms) <= return_pace::max_delay);
    }
}
