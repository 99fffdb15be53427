#include <criterion/criterion.h>

#include "limits/lease_vote.h"
#include "limits/lender_lease.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct lender_lease_fixture {
    lender_lease_fixture() { lease.set_votes_needed(2); }

    monotonic_time now{1h};
    lender_lease lease;
};

} // namespace

/// Failure: a lender that is cut off or was frozen uses its share while another VM has taken its place.
Test(lender_lease, lease_without_renewal_ends_before_the_votes_are_given_to_another)
{
    lender_lease_fixture fixture;
    fixture.lease.begin_request(10, {"second", "third"}, fixture.now);
    fixture.lease.add_vote("first", fixture.now);
    cr_assert(!fixture.lease.is_valid(fixture.now));
    // The elector gives its vote when the request arrives, and the answer arrives later still.
    fixture.now += 50ms;
    auto const sent_at = fixture.lease.take_request(10, "second");
    cr_assert(sent_at == fixture.now - 50ms);
    fixture.lease.add_vote("second", *sent_at);
    cr_assert(fixture.lease.is_valid(fixture.now));
    cr_assert(fixture.lease.valid_until() < *sent_at + vote_length);
    cr_assert(!fixture.lease.is_valid(*sent_at + vote_length));
}

/// Failure: an answer that arrives twice, late or from another VM prolongs the lease.
Test(lender_lease, unknown_and_repeated_answers_are_ignored)
{
    lender_lease_fixture fixture;
    fixture.lease.begin_request(10, {"second", "third"}, fixture.now);
    cr_assert(!fixture.lease.take_request(10, "third"));
    cr_assert(!fixture.lease.take_request(12, "second"));
    cr_assert(fixture.lease.take_request(11, "third").has_value());
    cr_assert(!fixture.lease.take_request(11, "third"));
    fixture.lease.clear();
    cr_assert(!fixture.lease.take_request(10, "second"));
}

/// Failure: a busy lender loses its lease between two uses, or requests votes for each operation.
Test(lender_lease, lease_is_renewed_well_before_it_ends_and_not_for_each_use)
{
    lender_lease_fixture fixture;
    cr_assert(fixture.lease.is_request_due(fixture.now));
    fixture.lease.begin_request(10, {"second", "third"}, fixture.now);
    cr_assert(!fixture.lease.is_request_due(fixture.now));
    cr_assert(fixture.lease.is_pending(fixture.now));
    fixture.lease.add_vote("first", fixture.now);
    cr_assert(fixture.lease.is_pending(fixture.now));
    fixture.lease.add_vote("third", fixture.now);
    cr_assert(!fixture.lease.is_pending(fixture.now));
    cr_assert(!fixture.lease.is_request_due(fixture.now + 50ms));
    cr_assert(fixture.lease.is_request_due(fixture.now + 100ms));
    cr_assert(fixture.lease.is_valid(fixture.now + 200ms));
}

/// Failure: operations wait for a lease that cannot be had, instead of being refused at once.
Test(lender_lease, lease_that_nobody_votes_for_is_pending_for_a_short_time_only)
{
    lender_lease_fixture fixture;
    auto const begin = fixture.now;
    for (; fixture.now < begin + 1s; fixture.now += 20ms) {
        fixture.lease.begin_request(10, {"second", "third"}, fixture.now);
    }
    cr_assert(!fixture.lease.is_pending(fixture.now));
    fixture.now += 1s;
    fixture.lease.begin_request(20, {"second", "third"}, fixture.now);
    cr_assert(fixture.lease.is_pending(fixture.now));
}

/// Failure: a VM without enough peers for a vote cannot use its share.
Test(lender_lease, lease_that_needs_no_votes_is_always_valid)
{
    lender_lease_fixture fixture;
    cr_assert(!fixture.lease.is_valid(fixture.now));
    fixture.lease.set_votes_needed(0);
    cr_assert(fixture.lease.is_valid(fixture.now + 1h));
    cr_assert(!fixture.lease.is_request_due(fixture.now));
}
