#include <criterion/criterion.h>

#include "brokers/warm_up_gate.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr std::size_t limit = 20;

/// Failure pattern: two VMs believe that they are the broker of a member that warms up.
struct warm_up_fixture {
    warm_up_gate make_gate(int vm)
    {
        return warm_up_gate({[this] { return now; }, [this] { return accepted; },
                             [this, vm](std::function<void(std::optional<monotonic_time>)> const& done) {
                                 if (!has_store) {
                                     done(std::nullopt);
                                     return;
                                 }
                                 if (holder == 0 || now >= ends_at + 1s) {
                                     holder = vm;
                                     ends_at = now + 5s;
                                 }
                                 done(holder == vm ? std::optional(ends_at) : std::nullopt);
                             }});
    }

    monotonic_time now{100s};
    std::optional<std::size_t> accepted = limit;
    bool has_store = true;
    int holder = 0;
    monotonic_time ends_at{};
};

} // namespace

Test(warm_up_gate, member_that_is_warm_gets_all_requests)
{
    warm_up_fixture fixture;
    fixture.accepted.reset();
    auto gate = fixture.make_gate(1);
    for (std::size_t i = 0; i < 10 * limit; ++i) {
        cr_assert(gate.try_take());
    }
    cr_assert(gate.expected_wait(100) == 0s);
    cr_assert(fixture.holder == 0);
}

Test(warm_up_gate, two_vms_together_send_no_more_than_the_limit)
{
    warm_up_fixture fixture;
    auto first = fixture.make_gate(1);
    auto second = fixture.make_gate(2);
    std::size_t sent = 0;
    for (auto i = 0; i < 900; ++i) {
        fixture.now += 1ms;
        first.expected_wait(0);
        second.expected_wait(0);
        sent += first.try_take() ? 1 : 0;
        sent += second.try_take() ? 1 : 0;
    }
    cr_assert(sent == limit, "%zu requests", sent);
    cr_assert(!second.expected_wait(0).has_value(), "what another VM paces is refused, and does not wait");
}

Test(warm_up_gate, vm_without_the_store_sends_nothing)
{
    warm_up_fixture fixture;
    fixture.has_store = false;
    auto gate = fixture.make_gate(1);
    gate.expected_wait(0);
    cr_assert(!gate.try_take());
    fixture.now += 3s;
    fixture.has_store = true;
    gate.expected_wait(0);
    cr_assert(gate.try_take());
}

Test(warm_up_gate, lease_that_has_ended_is_claimed_again)
{
    warm_up_fixture fixture;
    auto gate = fixture.make_gate(1);
    gate.expected_wait(0);
    cr_assert(gate.try_take());
    fixture.holder = 2;
    fixture.now += 5s;
    cr_assert(!gate.try_take());
}
