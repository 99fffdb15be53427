#include <criterion/criterion.h>

#include "limits/lease_vote.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct lease_vote_fixture {
    monotonic_time now{1h};
    lease_vote vote;
};

} // namespace

/// Failure: two VMs would use the share of one lender while the first of them is only silent.
Test(lease_vote, vote_that_has_not_ended_is_given_to_no_other_vm)
{
    lease_vote_fixture fixture;
    cr_assert(fixture.vote.request("first", 1, true, fixture.now));
    fixture.now += vote_length - 1ms;
    cr_assert(!fixture.vote.request("second", 1, false, fixture.now));
    cr_assert(fixture.vote.request("first", 2, true, fixture.now));
    fixture.now += vote_length - 1ms;
    cr_assert(!fixture.vote.request("second", 2, false, fixture.now));
    cr_assert(counted_vote_length < vote_length);
}

/// Failure: a VM that receives the vote after another one uses tokens that the other has used.
Test(lease_vote, vote_that_another_vm_had_is_refused_once)
{
    lease_vote_fixture fixture;
    cr_assert(fixture.vote.request("first", 1, true, fixture.now));
    fixture.now += vote_length;
    cr_assert(!fixture.vote.request("second", 7, false, fixture.now));
    cr_assert(!fixture.vote.request("first", 2, true, fixture.now));
    cr_assert(fixture.vote.request("second", 8, false, fixture.now));
    fixture.now += vote_length;
    cr_assert(!fixture.vote.request("first", 3, true, fixture.now));
    cr_assert(fixture.vote.request("first", 4, true, fixture.now));
}

/// Failure: the first choice runs an older version, which uses its share without a lease.
Test(lease_vote, vote_that_the_first_choice_never_requested_is_given_to_no_other_vm)
{
    lease_vote_fixture fixture;
    cr_assert(!fixture.vote.request("second", 1, false, fixture.now));
    fixture.now += 10s;
    cr_assert(!fixture.vote.request("second", 2, false, fixture.now));
    cr_assert(fixture.vote.request("first", 1, true, fixture.now));
}

/// Failure: a delayed release arrives after the VM has received the vote again and uses the share.
Test(lease_vote, release_that_is_older_than_the_latest_request_is_ignored)
{
    lease_vote_fixture fixture;
    cr_assert(fixture.vote.request("first", 1, true, fixture.now));
    cr_assert(fixture.vote.request("first", 5, true, fixture.now));
    fixture.vote.release("first", 3, fixture.now);
    fixture.vote.release("second", 9, fixture.now);
    fixture.now += 10ms;
    cr_assert(!fixture.vote.request("second", 10, false, fixture.now));
    fixture.vote.release("first", 6, fixture.now);
    cr_assert(!fixture.vote.request("second", 11, false, fixture.now));
    cr_assert(fixture.vote.request("second", 12, false, fixture.now));
}
