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

Test(broker_candidates, vm_of_unknown_size_is_eligible_and_excludes_no_other)
{
    broker_candidates candidates;
    candidates.add("listed", 0.25);
    candidates.add("heard", 0);
    cr_assert(candidates.eligible() == names({"listed", "heard"}));
}
