#include "members/member_choice.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Cost of a member in another zone, for the round trip and the traffic between zones.
constexpr duration other_zone_cost = std::chrono::milliseconds(8);
/// Cost of the leader, so that its slots stay free for statements that only the leader can run.
constexpr duration leader_cost = std::chrono::milliseconds(15);
/// Cost of a member that warms up, so that reads use the others first.
constexpr duration warming_up_cost = std::chrono::milliseconds(300);

} // namespace

exclusion_reason find_exclusion(read_candidate const& candidate)
{
    if (candidate.is_draining) {
        return exclusion_reason::draining;
    }
    if (candidate.is_excluded) {
        return exclusion_reason::excluded;
    }
    if (candidate.is_evacuated) {
        return exclusion_reason::evacuated;
    }
    if (candidate.is_partitioned) {
        return exclusion_reason::partitioned;
    }
    if (candidate.is_avoided) {
        return exclusion_reason::avoided;
    }
    if (candidate.must_answer_probe) {
        return exclusion_reason::failing;
    }
    if (candidate.is_grey) {
        return exclusion_reason::grey;
    }
    return candidate.holds_position ? exclusion_reason::none : exclusion_reason::lagging;
}

duration expected_finish(read_candidate const& candidate)
{
    auto const slots = static_cast<duration::rep>(std::max<std::size_t>(1, candidate.slots));
    auto total =
        candidate.latency + candidate.latency * static_cast<duration::rep>(candidate.in_flight) / slots;
    if (!candidate.is_in_own_zone) {
        total += other_zone_cost;
    }
    if (candidate.is_leader) {
        total += leader_cost;
    }
    if (candidate.is_warming_up) {
        total += warming_up_cost;
    }
    return total;
}

member_choice choose_member(std::vector<read_candidate> const& candidates)
{
    member_choice choice;
    for (auto const& candidate : candidates) {
        choice.candidates.push_back({candidate.id, find_exclusion(candidate), expected_finish(candidate)});
        auto const& judged = choice.candidates.back();
        if (judged.reason != exclusion_reason::none) {
            continue;
        }
        if (!choice.chosen || judged.expected_finish < choice.candidates[*choice.chosen].expected_finish) {
            choice.chosen = choice.candidates.size() - 1;
        }
    }
    return choice;
}

} // namespace greengagehitch
