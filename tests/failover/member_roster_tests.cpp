#include <criterion/criterion.h>

#include "failover/absence_evidence.h"
#include "failover/member_roster.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct member_roster_fixture {
    member_roster_fixture()
    {
        member_entry entry;
        entry.id = "a";
        entry.address = {"10.0.0.1", 8000};
        entry.availability_zone = "zone-1";
        roster.add_listed(entry);
        entry.id = "b";
        entry.address = {"10.0.0.2", 8000};
        roster.add_listed(entry);
    }

    /// Lists "b" as a member that drains, in the process that started at `started_at`.
    void list_draining(std::uint64_t started_at, std::int64_t store_time_ms)
    {
        member_entry entry;
        entry.id = "b";
        entry.address = {"10.0.0.2", 8000};
        entry.is_draining = true;
        entry.started_at = started_at;
        roster.add_listed(entry, store_time_ms);
    }

    member_roster roster;
};

} // namespace

/// Guards against members that VMs which start do not know: the row loses an entry or a bound.
Test(member_roster, roster_with_a_bound_is_the_same_after_encoding_and_decoding)
{
    member_roster_fixture fixture;
    fixture.roster.set_log_bound("b", log_position{3, 17});
    auto const decoded = member_roster::try_decode(fixture.roster.encode());
    cr_assert(decoded.has_value());
    cr_assert(*decoded == fixture.roster);
    cr_assert(decoded->log_bound("b") == (log_position{3, 17}));
    cr_assert(!decoded->log_bound("a"));
}

/// Guards against a bound that outlives the end of the member: it was listed again and receives.
Test(member_roster, member_that_is_listed_again_has_no_bound)
{
    member_roster_fixture fixture;
    fixture.roster.set_log_bound("b", log_position{3, 17});
    member_entry entry;
    entry.id = "b";
    entry.address = {"10.0.0.2", 8000};
    fixture.roster.add_listed(entry);
    cr_assert(!fixture.roster.log_bound("b"));
}

/// Guards against a row of another writer that is taken for a roster with fewer members.
Test(member_roster, odd_rows_are_no_rosters)
{
    for (
        auto const* const text :
        {"", "[]", "{}", "3", R"({"members":[]})", R"({"members":{"a":3}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000"}}})",
         R"({"members":{"a":{"address":"host","availability_zone":"z"}}})",
         R"({"members":{"":{"address":"10.0.0.1:8000","availability_zone":"z"}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","bound_term":1}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","bound_term":1,"bound_position":-1}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","leaving_since_ms":5}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","leaving_since_ms":-5,"leaving_start":1}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","leaving_since_ms":5,"leaving_start":1,"has_left":true}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","bound_term":1,"bound_position":1,"has_left":true}}})",
         R"({"members":{"a":{"address":"10.0.0.1:8000","availability_zone":"z","bound_term":1,"bound_position":1,"leaving_since_ms":5,"leaving_start":1,"has_left":1}}})"}) {
        cr_assert(!member_roster::try_decode(text), "%s", text);
    }
}

/// Guards against a partition that refuses connections and is taken for a member that has ended.
Test(absence_evidence, member_is_absent_after_two_refusals_with_its_zone_in_contact)
{
    absence_evidence evidence;
    evidence.record_refusal(monotonic_time{1s});
    cr_assert(!evidence.is_absent(true));
    evidence.record_refusal(monotonic_time{2s});
    cr_assert(!evidence.is_absent(false));
    cr_assert(evidence.is_absent(true));
    cr_assert(evidence.refused_since() == monotonic_time{1s});
}

/// Guards against a member that restarts unnoticed between two refusals that were seen.
Test(absence_evidence, any_other_result_starts_the_refusals_anew)
{
    absence_evidence evidence;
    evidence.record_refusal(monotonic_time{1s});
    evidence.record_refusal(monotonic_time{2s});
    evidence.record_other_result();
    cr_assert(evidence.is_contradicted());
    cr_assert(!evidence.refused_since());
    evidence.record_refusal(monotonic_time{3s});
    cr_assert(!evidence.is_absent(true));
    cr_assert(!evidence.is_contradicted());
}

/// Guards against a bound that one VM found before the member ran again, and another has removed.
Test(member_roster, merged_roster_has_all_members_and_only_bounds_that_both_have)
{
    member_roster_fixture fixture;
    auto other = fixture.roster;
    fixture.roster.set_log_bound("a", log_position{3, 17});
    other.set_log_bound("a", log_position{3, 20});
    other.set_log_bound("b", log_position{3, 20});
    member_entry entry;
    entry.id = "c";
    entry.address = {"10.0.0.3", 8000};
    other.add_listed(entry);
    fixture.roster.merge(other);
    cr_assert(fixture.roster.entries().size() == 3);
    cr_assert(fixture.roster.log_bound("a") == (log_position{3, 20}));
    cr_assert(!fixture.roster.log_bound("b"));
}

/// Guards against two entries for one log: a member that was listed before is added beside the one that runs
/// at its address.
Test(member_roster, former_member_is_added_unless_its_address_is_known)
{
    member_roster_fixture fixture;
    member_entry entry;
    entry.id = "former";
    entry.address = {"10.0.0.2", 8000};
    fixture.roster.add_former(entry);
    cr_assert(!fixture.roster.entries().contains("former"));
    entry.address = {"10.0.0.3", 8000};
    fixture.roster.add_former(entry);
    cr_assert(fixture.roster.entries().contains("former"));
}

/// Guards against takeovers that wait for a member without end: VMs that start do not know that it has left.
Test(member_roster, roster_with_a_member_that_left_is_the_same_after_encoding_and_decoding)
{
    member_roster_fixture fixture;
    fixture.list_draining(7, 5000);
    auto decoded = member_roster::try_decode(fixture.roster.encode());
    cr_assert(decoded.has_value());
    cr_assert(*decoded == fixture.roster);
    cr_assert(!decoded->has_left("b"));
    fixture.roster.set_left("b", {3, 17});
    decoded = member_roster::try_decode(fixture.roster.encode());
    cr_assert(decoded.has_value());
    cr_assert(*decoded == fixture.roster);
    cr_assert(decoded->has_left("b"));
    cr_assert(decoded->log_bound("b") == (log_position{3, 17}));
}

/// Guards against a member that is taken for ended while it drains: the report is that of another process, or
/// so old that the member has taken longer than any other. A report that is always renewed would never lapse.
Test(member_roster, planned_leave_counts_from_a_report_of_the_process_that_is_not_old)
{
    member_roster_fixture fixture;
    auto const leave = [&fixture] { return fixture.roster.entries().at("b").leave; };
    fixture.list_draining(7, 5000);
    fixture.list_draining(7, 6000);
    cr_assert(leave() == (planned_leave{7, 5000}));
    fixture.list_draining(7, 19'999);
    cr_assert(leave() == (planned_leave{7, 5000}));
    fixture.list_draining(7, 20'000);
    cr_assert(leave() == (planned_leave{7, 20'000}));
    fixture.list_draining(8, 9000);
    cr_assert(leave() == (planned_leave{8, 9000}));
    member_entry entry;
    entry.id = "b";
    entry.started_at = 8;
    fixture.roster.add_listed(entry, 9500);
    cr_assert(!leave());
}

/// Guards against a member that is taken for one that has left although it runs.
Test(member_roster, member_that_runs_again_has_not_left)
{
    for (bool const is_listed : {false, true}) {
        member_roster_fixture fixture;
        fixture.list_draining(7, 5000);
        fixture.roster.set_left("b", {3, 17});
        if (is_listed) {
            fixture.list_draining(7, 6000);
        }
        else {
            fixture.roster.withdraw_leave("b");
        }
        cr_assert(!fixture.roster.has_left("b"));
        cr_assert(!fixture.roster.log_bound("b"));
    }
}

/// Guards against a planned leave that another VM has withdrawn, since a process runs at the address.
Test(member_roster, merged_roster_has_only_planned_leaves_that_both_have)
{
    member_roster_fixture fixture;
    fixture.list_draining(7, 5000);
    auto other = fixture.roster;
    fixture.roster.set_left("b", {3, 17});
    auto merged = fixture.roster;
    merged.merge(other);
    cr_assert(!merged.has_left("b"));
    cr_assert(!merged.log_bound("b"));
    cr_assert(merged.entries().at("b").leave == (planned_leave{7, 5000}));
    other.withdraw_leave("b");
    merged.merge(other);
    cr_assert(!merged.entries().at("b").leave);
}
