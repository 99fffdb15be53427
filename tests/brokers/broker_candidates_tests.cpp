#include <criterion/criterion.h>

#include "brokers/broker_candidates.h"

using namespace greengagehitch;

namespace {

using names = std::vector<std::string>;

} // namespace

Test(broker_candidates, vms_of_equal_size_are_all_eligible)
{
    broker_candidates candidates;
    candidates.add("a", 0.25);
    candidates.add("b", 0.25);
    cr_assert(candidates.eligible() == names({"a", "b"}));
}

Test(broker_candidates, vms_below_half_of_the_largest_share_are_excluded)
{
    broker_candidates candidates;
    candidates.add("small", 0.12);
    candidates.add("large", 0.5);
    candidates.add("middle", 0.25);
    cr_assert(candidates.eligible() == names({"large", "middle"}));
}

Test(broker_candidates, small_vm_is_eligible_when_no_larger_one_remains)
{
    broker_candidates candidates;
    candidates.add("small", 0.12);
    cr_assert(candidates.eligible() == names({"small"}));
}

/// Failure: a small VM joins, and its peers do not know its size yet.
Test(broker_candidates, vm_of_unknown_size_takes_no_members_from_a_known_one)
{
    broker_candidates candidates;
    candidates.add("new", 0);
    candidates.add("large", 0.5);
    cr_assert(candidates.eligible() == names({"large"}));
}

Test(broker_candidates, vms_of_unknown_size_are_eligible_while_no_size_is_known)
{
    broker_candidates candidates;
    candidates.add("a", 0);
    candidates.add("b", 0);
    cr_assert(candidates.eligible() == names({"a", "b"}));
}

Test(broker_candidates, young_vm_takes_no_members_from_a_settled_one)
{
    broker_candidates candidates;
    candidates.add("returned", 0.5, broker_age::young);
    candidates.add("settled", 0.5, broker_age::settled);
    candidates.add("listed", 0.5, broker_age::unknown);
    cr_assert(candidates.eligible() == names({"settled", "listed"}));
    cr_assert(candidates.reserved() == names({"returned"}));
}

/// All VMs of a zone start at the same time.
Test(broker_candidates, young_vms_are_eligible_when_no_settled_one_of_their_size_remains)
{
    broker_candidates candidates;
    candidates.add("a", 0.5, broker_age::young);
    candidates.add("b", 0.5, broker_age::young);
    candidates.add("small", 0.1, broker_age::settled);
    cr_assert(candidates.eligible() == names({"a", "b"}));
}
