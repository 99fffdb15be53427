#include <criterion/criterion.h>

#include <fmt/format.h>

#include "failover/watcher_choice.h"
#include "limits/lender_choice.h"

using namespace greengagehitch;

/// All VMs must agree on the lender of an account, whatever order they learned of each other in: a choice
/// that was updated step by step equals the one from the whole list.
Test(lender_choice, vms_that_join_and_leave_give_the_choice_from_the_whole_list)
{
    lender_choice choice;
    std::vector<std::string> vms;
    for (int round = 0; round < 40; ++round) {
        vms.push_back(fmt::format("vm-{}", round));
        if (round % 5 == 4) {
            vms.erase(vms.begin() + round % 3);
        }
        choice.set_vms(vms);
        for (int account = 0; account < 30; ++account) {
            auto const name = fmt::format("account-{}", account);
            cr_assert(choice.choose(name) == choose_first(name, vms));
        }
    }
}

/// Failure: VMs do not agree on who takes the place of a lender that is lost.
Test(lender_choice, vm_that_ranks_second_is_chosen_without_the_first)
{
    lender_choice choice;
    std::vector<std::string> vms{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"};
    choice.set_vms(vms);
    auto const ranked = choice.rank("account", 3);
    cr_assert(ranked.size() == 3);
    for (auto const& expected : ranked) {
        cr_assert(choice.choose("account") == expected);
        std::erase(vms, expected);
        choice.set_vms(vms);
    }
    cr_assert(choice.rank("account", 10).size() == 4);
}
