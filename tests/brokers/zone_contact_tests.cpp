#include <criterion/criterion.h>

#include "brokers/zone_contact.h"

// Pattern: a zone is partitioned. Each of its VMs and members used to be found by a timeout of its own, so
// that requests failed at one after the other until their deadlines.

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

struct zone_contact_fixture {
    monotonic_time at(duration time) const { return start + time; }
    bool is_silent(duration time, std::size_t known_vms = 3) const
    {
        return contact.silent_since("z", known_vms, at(time)).has_value();
    }
    bool is_partitioned(duration time) const { return contact.is_partitioned("z", 3, at(time)); }

    /// Messages to two VMs of the zone at the start.
    void ask_two_vms()
    {
        contact.record_sent("z", "vm-1", at(0ms));
        contact.record_sent("z", "vm-2", at(50ms));
    }

    monotonic_time start{1h};
    zone_contact contact;
};

} // namespace

Test(zone_contact, zone_of_which_two_vms_leave_messages_unanswered_is_silent)
{
    zone_contact_fixture fixture;
    fixture.ask_two_vms();
    cr_assert(!fixture.is_silent(390ms));
    cr_assert(fixture.is_silent(400ms));
    cr_assert(fixture.contact.silent_since("z", 3, fixture.at(400ms)) == fixture.at(0ms));
}

Test(zone_contact, one_frozen_vm_does_not_make_its_zone_silent)
{
    zone_contact_fixture fixture;
    fixture.contact.record_sent("z", "vm-1", fixture.at(0ms));
    fixture.contact.record_sent("z", "vm-1", fixture.at(100ms));
    cr_assert(!fixture.is_silent(2s));
    cr_assert(fixture.is_silent(2s, 1), "the only VM of a zone stands for it");
}

Test(zone_contact, message_of_any_vm_ends_the_silence_at_once)
{
    zone_contact_fixture fixture;
    fixture.ask_two_vms();
    fixture.contact.record_heard("z", fixture.at(450ms));
    cr_assert(!fixture.is_silent(451ms));
}

Test(zone_contact, message_heard_before_the_requests_answers_none_of_them)
{
    zone_contact_fixture fixture;
    fixture.ask_two_vms();
    fixture.contact.record_heard("z", fixture.at(-10ms));
    cr_assert(fixture.is_silent(400ms));
}

/// All VMs of a zone may be stopped while its members serve.
Test(zone_contact, silent_zone_whose_members_answer_is_not_partitioned)
{
    zone_contact_fixture fixture;
    fixture.ask_two_vms();
    cr_assert(!fixture.is_partitioned(500ms));
    fixture.contact.record_member_failure("z", fixture.at(450ms));
    cr_assert(fixture.is_partitioned(500ms));
    fixture.contact.record_member_response("z", fixture.at(510ms));
    cr_assert(!fixture.is_partitioned(520ms));
}

Test(zone_contact, pause_of_this_vm_forgets_unanswered_messages)
{
    zone_contact_fixture fixture;
    fixture.ask_two_vms();
    fixture.contact.forget_sent();
    cr_assert(!fixture.is_silent(2s));
}
