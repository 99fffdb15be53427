#include <criterion/criterion.h>

#include "members/member_choice.h"

// Pattern: demand and members are uneven. Slow, grey, overloaded or unreachable members get reads although
// others would answer earlier, or the leader is loaded with reads that a replica can run.

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

read_candidate candidate(std::string id)
{
    read_candidate result;
    result.id = std::move(id);
    result.latency = 30ms;
    result.slots = 4;
    return result;
}

std::string chosen_id(std::vector<read_candidate> const& candidates)
{
    auto const choice = choose_member(candidates);
    return choice.chosen ? choice.candidates[*choice.chosen].id : std::string();
}

} // namespace

Test(member_choice, read_goes_to_the_member_that_is_expected_to_answer_first)
{
    auto loaded = candidate("loaded");
    loaded.in_flight = 6;
    auto slow = candidate("slow");
    slow.latency = 90ms;
    cr_assert(chosen_id({loaded, slow, candidate("free")}) == "free");
}

Test(member_choice, other_zone_is_chosen_only_if_it_answers_earlier)
{
    auto near = candidate("near");
    auto far = candidate("far");
    far.is_in_own_zone = false;
    cr_assert(chosen_id({far, near}) == "near");
    near.in_flight = 2;
    cr_assert(chosen_id({far, near}) == "far");
}

Test(member_choice, leader_keeps_a_reserve_for_writes)
{
    auto leader = candidate("leader");
    leader.is_leader = true;
    auto replica = candidate("replica");
    replica.in_flight = 1;
    cr_assert(chosen_id({leader, replica}) == "replica");
    replica.in_flight = 4;
    cr_assert(chosen_id({leader, replica}) == "leader");
}

Test(member_choice, members_that_may_not_be_used_are_named_with_their_reason)
{
    std::vector<read_candidate> candidates(8);
    candidates[0].is_draining = true;
    candidates[1].is_excluded = true;
    candidates[2].is_evacuated = true;
    candidates[3].is_partitioned = true;
    candidates[4].is_avoided = true;
    candidates[5].must_answer_probe = true;
    candidates[6].is_grey = true;
    candidates[7].holds_position = false;
    auto const choice = choose_member(candidates);
    cr_assert(!choice.chosen);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        cr_assert(choice.candidates[i].reason == exclusion_reason_names[i + 1].value);
    }
}
