#include <criterion/criterion.h>

#include "brokers/broker_candidates.h"

using namespace greengagehitch;

namespace {

using names = std::vector<std::string>;

} // namespace

Test(broker_candidates, vms_of_equal_size_all_take_part)
{
    broker_candidates candidates;
    candidates.add("a", 0.25);
    candidates.add("b", 0.25);
    cr_assert(candidates.strong() == names({"a", "b"}));
}

Test(broker_candidates, small_vms_are_left_out_beside_large_ones)
{
    broker_candidates candidates;
    candidates.add("small", 0.12);
    candidates.add("large", 0.5);
    candidates.add("middle", 0.25);
    cr_assert(candidates.strong() == names({"large", "middle"}));
}

Test(broker_candidates, small_vms_take_part_when_nothing_larger_is_left)
{
    broker_candidates candidates;
    candidates.add("small", 0.12);
    cr_assert(candidates.strong() == names({"small"}));
}

Test(broker_candidates, vm_of_unknown_size_takes_part_and_pushes_nobody_out)
{
    broker_candidates candidates;
    candidates.add("listed", 0.25);
    candidates.add("heard", 0);
    cr_assert(candidates.strong() == names({"listed", "heard"}));
}
