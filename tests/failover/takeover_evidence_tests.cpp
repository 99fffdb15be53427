#include <criterion/criterion.h>

#include "failover/takeover_evidence.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr std::uint64_t old_term = 4;
constexpr std::uint64_t new_term = 5;
/// Time after which an answer no longer proves the state of a member that may have restarted.
constexpr duration long_ago = 2s;

constexpr log_position position_of(std::uint64_t number)
{
    return {old_term, number};
}

/// Failure pattern: a fact about a member that was true when it answered no longer holds when it is used.
struct evidence_fixture {
    evidence_fixture() { evidence.set_replicas({"r1", "r2"}); }

    void answer(std::string const& member, std::uint64_t position, std::uint64_t stopped_at_term = 0)
    {
        evidence.record_status(member,
                               {member_role::replica, old_term, {old_term, position}, stopped_at_term}, now);
    }

    void answer_as_leader(std::string const& member, std::uint64_t position, std::uint64_t term = old_term)
    {
        evidence.record_status(member, {member_role::primary, term, {term, position}, 0}, now);
    }

    takeover_evidence evidence{"leader", new_term};
    monotonic_time now{100s};
};

} // namespace

/// Guards against lost commits: a replica that restarts forgets that it was ordered to stop receiving.
Test(takeover_evidence, replica_that_lost_its_connection_no_longer_counts_as_stopped)
{
    evidence_fixture fixture;
    fixture.answer("r1", 10, new_term);
    fixture.answer("r2", 10, new_term);
    cr_assert(fixture.evidence.have_all_stopped(fixture.now));
    cr_assert(fixture.evidence.discard_answer("r2"));
    cr_assert(!fixture.evidence.have_all_stopped(fixture.now));
    cr_assert(!fixture.evidence.holds("r2", position_of(10), fixture.now));
}

/// Guards against lost commits: the machine of a replica is silent, and the replica may have restarted
/// meanwhile.
Test(takeover_evidence, answer_that_is_not_confirmed_expires)
{
    evidence_fixture fixture;
    fixture.answer("r1", 10, new_term);
    fixture.answer("r2", 10, new_term);
    fixture.now += long_ago;
    fixture.answer("r1", 10, new_term);
    cr_assert(!fixture.evidence.have_all_stopped(fixture.now));
    cr_assert(fixture.evidence.unanswered(fixture.now) == std::vector<std::string>{"r2"});
}

/// Guards against lost commits: a member that refused a connection may run again, and receive, soon
/// afterwards.
Test(takeover_evidence, member_that_refused_a_connection_is_not_taken_as_stopped_for_good)
{
    evidence_fixture fixture;
    cr_assert(fixture.evidence.record_refusal("r2", true, fixture.now));
    cr_assert(fixture.evidence.refuses_connections("r2", fixture.now));
    fixture.now += long_ago;
    cr_assert(!fixture.evidence.refuses_connections("r2", fixture.now));
    fixture.evidence.record_refusal("r2", true, fixture.now);
    fixture.answer("r2", 10);
    cr_assert(!fixture.evidence.refuses_connections("r2", fixture.now));
}

/// Guards against lost commits: an order to stop of an earlier takeover does not hold for the next term.
Test(takeover_evidence, replica_that_was_stopped_at_an_older_term_has_not_stopped)
{
    evidence_fixture fixture;
    fixture.answer("r1", 10, new_term);
    fixture.answer("r2", 10, old_term);
    cr_assert(!fixture.evidence.have_all_stopped(fixture.now));
}

Test(takeover_evidence, leader_that_stepped_down_bounds_what_was_acknowledged)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    cr_assert(!fixture.evidence.final_position(fixture.now));
    fixture.answer("leader", 12);
    cr_assert(fixture.evidence.final_position(fixture.now) == position_of(12));
    fixture.answer("r1", 11);
    cr_assert(!fixture.evidence.holds("r1", position_of(12), fixture.now));
    fixture.answer("r1", 12);
    cr_assert(fixture.evidence.holds("r1", position_of(12), fixture.now));
}

/// Guards against lost commits: a leader that steps down and crashes comes back as the leader.
Test(takeover_evidence, leader_that_may_have_restarted_has_no_final_position)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    fixture.answer("leader", 12);
    fixture.evidence.discard_answer("leader");
    cr_assert(!fixture.evidence.final_position(fixture.now));
    fixture.answer("leader", 12);
    fixture.now += long_ago;
    cr_assert(!fixture.evidence.final_position(fixture.now));
    fixture.answer("leader", 12);
    fixture.answer_as_leader("leader", 14);
    cr_assert(!fixture.evidence.final_position(fixture.now));
}

Test(takeover_evidence, leader_that_stepped_down_and_ended_keeps_its_final_position_while_it_is_not_running)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    fixture.answer("leader", 12);
    fixture.evidence.discard_answer("leader");
    fixture.evidence.record_refusal("leader", true, fixture.now);
    cr_assert(fixture.evidence.final_position(fixture.now) == position_of(12));
    fixture.now += long_ago;
    cr_assert(!fixture.evidence.final_position(fixture.now));
}

/// Guards against a second leader: a leader that restarts gets another id, and acknowledges again.
Test(takeover_evidence, leader_that_restarted_under_another_id_is_the_old_leader)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    fixture.answer("leader", 12);
    fixture.answer_as_leader("r3", 12);
    cr_assert(fixture.evidence.old_leader() == "r3");
    cr_assert(!fixture.evidence.final_position(fixture.now));
}

Test(takeover_evidence, leader_of_an_older_term_is_not_the_old_leader_and_receives_nothing)
{
    evidence_fixture fixture;
    fixture.answer("r1", 12, new_term);
    fixture.answer_as_leader("r2", 9, old_term - 1);
    cr_assert(fixture.evidence.old_leader() == "leader");
    cr_assert(fixture.evidence.have_all_stopped(fixture.now));
}

Test(takeover_evidence, holder_with_the_fewest_drawbacks_is_found)
{
    evidence_fixture fixture;
    fixture.evidence.set_replicas({"r1", "r2", "r3", "r4"});
    fixture.answer("r1", 9);
    fixture.answer("r2", 10);
    fixture.answer("r3", 10);
    fixture.answer("r4", 10);
    auto const drawbacks = [](std::string const& id) -> std::optional<successor_drawbacks> {
        if (id == "r4") {
            return std::nullopt;
        }
        return successor_drawbacks{id == "r2", false, id == "r3"};
    };
    cr_assert(fixture.evidence.find_holder(position_of(10), drawbacks, fixture.now) == "r3");
    cr_assert(!fixture.evidence.find_holder(position_of(11), drawbacks, fixture.now));
}

/// Guards against a handover to a replica that falls behind, as another VM has stopped it.
Test(takeover_evidence, replica_that_was_stopped_for_the_new_term_does_not_receive)
{
    evidence_fixture fixture;
    fixture.answer("r1", 10, new_term);
    fixture.answer("r2", 10);
    cr_assert(!fixture.evidence.is_receiving("r1", fixture.now));
    cr_assert(fixture.evidence.is_receiving("r2", fixture.now));
}

/// Guards against a group without a leader: member_control also reports the end of the connection that
/// was refused, which took back that the old leader does not run, each time before the order.
Test(takeover_evidence, refused_connection_that_is_reported_as_lost_afterwards_keeps_the_final_position)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    fixture.answer("leader", 12);
    fixture.evidence.discard_answer("leader");
    fixture.evidence.record_refusal("leader", true, fixture.now);
    cr_assert(!fixture.evidence.discard_answer("leader"));
    cr_assert(fixture.evidence.final_position(fixture.now) == position_of(12));
}

/// Guards against lost acknowledged commits: the VM takes a replica as the old leader, since it missed a
/// change of leaders.
Test(takeover_evidence, position_below_that_of_a_replica_does_not_bound_what_was_acknowledged)
{
    evidence_fixture fixture;
    fixture.answer("leader", 8);
    fixture.answer("r1", 10);
    auto const final_position = fixture.evidence.final_position(fixture.now);
    cr_assert(!final_position || *final_position >= position_of(10));
}

/// Guards against lost acknowledged commits: a member that runs at the old leader's address, or a network
/// that refuses connections, does not show that the leader which stepped down has not led again.
Test(takeover_evidence, refusal_that_shows_no_stopped_process_does_not_renew_the_final_position)
{
    evidence_fixture fixture;
    fixture.answer_as_leader("leader", 12);
    fixture.answer("leader", 12);
    fixture.evidence.discard_answer("leader");
    fixture.evidence.record_refusal("leader", false, fixture.now);
    cr_assert(!fixture.evidence.final_position(fixture.now));
}
