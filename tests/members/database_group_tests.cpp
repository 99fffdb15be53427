#include <criterion/criterion.h>

#include "members/database_group.h"
#include "virtual_clock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Group whose members answer status requests as the test sets them.
struct database_group_fixture {
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

    void run(member_entry const& member, reply_callback const& done)
    {
        member_answer answer;
        answer.replication = statuses[member.id];
        clock.start_timer(1ms, [done, answer] { done({{answer}, nullptr}); });
    }

    void add_members(std::vector<std::string> const& ids)
    {
        std::vector<member_entry> entries;
        for (auto const& id : ids) {
            member_entry entry;
            entry.id = id;
            entries.push_back(entry);
        }
        group.set_members(entries);
    }

    /// Returns whether the replicas prove that member "a" leads.
    bool is_leader_proven()
    {
        std::optional<bool> result;
        group.query_replicas("a", [&result](bool is_proven) { result = is_proven; });
        clock.run_for(1s);
        cr_assert(result.has_value(), "the query did not end");
        return *result;
    }

    standin::virtual_clock clock{1};
    kernel core{make_hooks()};
    std::map<std::string, replication_status> statuses;
    database_group group{"group",
                         {core, "zone",
                          [this](member_entry const& member, member_request const&,
                                 reply_callback const& done) { run(member, done); },
                          [](member_entry const&) {}, [](member_entry const&) {}}};
};

} // namespace

Test(database_group, replica_that_receives_in_the_leaders_term_proves_the_leader)
{
    database_group_fixture fixture;
    fixture.add_members({"a", "b", "c"});
    fixture.statuses["a"] = {member_role::primary, 3, {}, 0};
    fixture.statuses["b"] = {member_role::replica, 3, {}, 4};
    fixture.statuses["c"] = {member_role::replica, 3, {}, 0};
    cr_assert(fixture.is_leader_proven());
}

Test(database_group, stopped_replicas_and_replicas_of_a_newer_term_prove_nothing)
{
    database_group_fixture fixture;
    fixture.add_members({"a", "b", "c"});
    fixture.statuses["a"] = {member_role::primary, 3, {}, 0};
    fixture.statuses["b"] = {member_role::replica, 3, {}, 4};
    fixture.statuses["c"] = {member_role::replica, 4, {}, 0};
    cr_assert(!fixture.is_leader_proven());
}

/// Requests that wait for a proof must not wait forever when the directory becomes empty.
Test(database_group, query_of_a_group_without_members_ends)
{
    database_group_fixture fixture;
    cr_assert(!fixture.is_leader_proven());
}

/// Guards against work at a replaced leader: of two members that claimed to be primary, the one with the
/// higher version of the store counted as the later one, also when the store had been restored between the
/// claims.
Test(database_group, claim_after_a_restore_of_the_store_is_the_later_one)
{
    database_group_fixture fixture;
    member_entry before;
    before.id = "a";
    before.claims_primary = true;
    before.change = {1, 30};
    member_entry after;
    after.id = "b";
    after.claims_primary = true;
    after.change = {2, 12};
    fixture.group.set_members({before, after});
    cr_assert(fixture.group.leader()->entry.id == "b");
}

/// A member that runs on may have to warm up again, for instance after its availability zone was evacuated.
/// Its entry then shows a remaining warm-up without a new start time, and requests were sent to it at full
/// rate.
Test(database_group, member_whose_remaining_warm_up_rises_without_a_restart_warms_up_again)
{
    database_group_fixture fixture;
    database_group::dependencies dependencies{
        fixture.core, "zone",
        [&fixture](member_entry const& member, member_request const&, reply_callback const& done) {
            fixture.run(member, done);
        },
        [](member_entry const&) {}, [](member_entry const&) {}};
    dependencies.warm_up_time = [] { return duration(4s); };
    database_group group("group", std::move(dependencies));
    member_entry entry;
    entry.id = "a";
    entry.change = {1, 1};
    entry.warm_up_left = 4s;
    group.set_members({entry});
    fixture.clock.run_for(10s);
    cr_assert(!group.is_warming_up(*group.find_member("a")));
    entry.change = {1, 2};
    group.set_members({entry});
    cr_assert(group.is_warming_up(*group.find_member("a")));
    fixture.clock.run_for(5s);
    cr_assert(!group.is_warming_up(*group.find_member("a")),
              "an entry that was applied already counts again");
}
