#include <criterion/criterion.h>

#include "limits/lender_requests.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct lender_requests_fixture {
    static lender_requests::lenders lenders_of(std::string own)
    {
        return {std::move(own), "zone-lender", "fleet-lender", [] {
                    return std::vector<std::string>{"far-1", "far-2"};
                }};
    }

    monotonic_time now{1h};
    lender_requests requests;
};

} // namespace

/// Failure: the zone lender is lost, then the fleet lender too.
Test(lender_requests, lender_that_does_not_answer_is_replaced_by_the_next)
{
    lender_requests_fixture fixture;
    auto const lenders = lender_requests_fixture::lenders_of("vm");
    for (auto const* const expected : {"zone-lender", "fleet-lender", "far-1", "far-2"}) {
        auto const lender = fixture.requests.choose_lender(lenders);
        cr_assert(lender == std::string(expected));
        fixture.requests.add(1, {*lender, 1, fixture.now});
        fixture.now += 60ms;
        fixture.requests.expire(fixture.now);
    }
    cr_assert(!fixture.requests.choose_lender(lenders));
    fixture.now += 300ms;
    fixture.requests.expire(fixture.now);
    cr_assert(fixture.requests.choose_lender(lenders) == std::string("zone-lender"));
}

/// Load pattern: an account asks for several times its rate everywhere.
Test(lender_requests, lender_without_tokens_is_not_asked_for_a_while)
{
    lender_requests_fixture fixture;
    fixture.requests.pause("zone-lender", 80ms, fixture.now);
    cr_assert(!fixture.requests.choose_lender(lender_requests_fixture::lenders_of("vm")));
    cr_assert(fixture.requests.choose_lender(lender_requests_fixture::lenders_of("zone-lender")) ==
              std::string("fleet-lender"));
}

Test(lender_requests, answer_of_another_vm_or_a_second_answer_is_not_accepted)
{
    lender_requests_fixture fixture;
    fixture.requests.add(5, {"zone-lender", 3, fixture.now});
    cr_assert(!fixture.requests.take(5, "fleet-lender"));
    cr_assert(!fixture.requests.take(4, "zone-lender"));
    cr_assert(fixture.requests.take(5, "zone-lender"));
    cr_assert(!fixture.requests.take(5, "zone-lender"));
}
