#include <criterion/criterion.h>

#include "routing/group_view.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

monotonic_time at(std::chrono::milliseconds milliseconds)
{
    return monotonic_time(milliseconds);
}

/// View of a group of three members. Statuses have term 2 unless another term is given.
struct group_view_fixture {
    group_view_fixture() : view(describe()) {}

    static group_description describe()
    {
        group_description group;
        group.name = "ledger-1";
        for (auto const* const name : {"a", "b", "c"}) {
            group.members.push_back({name, "zone", {"127.0.0.1", 1, "ledger"}});
        }
        return group;
    }

    void record_status(std::size_t member, member_role role, log_position received, log_position applied,
                       std::chrono::milliseconds time, std::uint64_t term = 2)
    {
        view.observe(member, {term, role, received, applied, ""}, at(time), at(time + 1ms));
    }

    group_view view;
};

} // namespace

Test(group_view, commit_is_held_once_two_of_three_members_have_it_at_its_term)
{
    group_view_fixture fixture;
    fixture.record_status(0, member_role::primary, {2, 10}, {2, 10}, 0ms);
    cr_assert(not(fixture.view.is_held_by_majority({2, 10})));
    fixture.record_status(1, member_role::replica, {2, 9}, {2, 9}, 0ms);
    cr_assert(not(fixture.view.is_held_by_majority({2, 10})));
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 9}, 1ms);
    cr_assert(fixture.view.is_held_by_majority({2, 10}));
}

Test(group_view, fenced_member_does_not_count_for_the_older_term)
{
    group_view_fixture fixture;
    fixture.record_status(0, member_role::primary, {2, 10}, {2, 10}, 0ms);
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 10}, 0ms, 3);
    cr_assert(not(fixture.view.is_held_by_majority({2, 10})));
    cr_assert(fixture.view.is_term_replaced(2));
    cr_assert(not(fixture.view.primary().has_value()));
}

Test(group_view, longer_log_of_an_older_term_does_not_count)
{
    group_view_fixture fixture;
    fixture.record_status(0, member_role::primary, {3, 10}, {3, 10}, 0ms, 3);
    fixture.record_status(1, member_role::replica, {2, 12}, {2, 12}, 0ms, 3);
    cr_assert(not(fixture.view.is_held_by_majority({3, 10})));
}

Test(group_view, freshness_requires_a_majority_at_the_primary_term)
{
    group_view_fixture fixture;
    fixture.record_status(0, member_role::primary, {2, 10}, {2, 10}, 100ms);
    cr_assert(not(fixture.view.fresh_as_of({2, 10}).has_value()));
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 10}, 60ms);
    cr_assert(*fixture.view.fresh_as_of({2, 10}) == at(60ms));
    fixture.record_status(2, member_role::replica, {2, 10}, {2, 10}, 90ms);
    cr_assert(*fixture.view.fresh_as_of({2, 10}) == at(90ms));
}

Test(group_view, replica_freshness_follows_its_applied_position)
{
    group_view_fixture fixture;
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 5}, 0ms);
    fixture.record_status(0, member_role::primary, {2, 10}, {2, 10}, 1ms);
    fixture.record_status(1, member_role::replica, {2, 20}, {2, 10}, 1'000ms);
    fixture.record_status(0, member_role::primary, {2, 20}, {2, 20}, 1'001ms);
    cr_assert(*fixture.view.fresh_as_of({2, 20}) == at(1'000ms));
    cr_assert(*fixture.view.fresh_as_of({2, 12}) == at(1ms));
    cr_assert(not(fixture.view.fresh_as_of({2, 9}).has_value()));
}

Test(group_view, delayed_status_does_not_replace_a_newer_one)
{
    group_view_fixture fixture;
    fixture.record_status(1, member_role::replica, {2, 20}, {2, 20}, 50ms);
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 10}, 20ms);
    cr_assert(fixture.view.member(1).latest->status.applied.position == 20);
}

Test(group_view, expected_apply_time_includes_the_observed_lag)
{
    group_view_fixture fixture;
    fixture.record_status(0, member_role::primary, {2, 10}, {2, 10}, 0ms);
    fixture.record_status(1, member_role::replica, {2, 10}, {2, 9}, 300ms);
    fixture.view.record_commit({2, 11}, at(1'000ms));
    auto const expected = fixture.view.expected_apply_time(1, {2, 11}, at(1'001ms));
    cr_assert(expected >= at(1'290ms));
    cr_assert(expected <= at(1'310ms));
}
