#include <algorithm>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "brokers/broker_ranking.h"

using namespace greengagehitch;

namespace {

std::vector<std::string> names(std::string const& prefix, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(fmt::format("{}-{}", prefix, i));
    }
    return result;
}

std::map<std::string, std::size_t> loads(std::map<std::string, broker_order> const& orders)
{
    std::map<std::string, std::size_t> result;
    for (auto const& [member, order] : orders) {
        ++result[order.front()];
    }
    return result;
}

} // namespace

/// Load pattern: few large VMs hold the connections to many members; all statements pass through them.
Test(broker_ranking, members_are_spread_evenly_over_few_vms)
{
    for (std::size_t site = 0; site < 200; ++site) {
        for (auto const& [vm, load] :
             loads(rank_brokers(names(fmt::format("member-{}", site), 8), names("vm", 2)))) {
            cr_assert(load == 4, "%s is the broker of %zu members", vm.c_str(), load);
        }
    }
}

Test(broker_ranking, order_of_the_lists_has_no_influence)
{
    auto members = names("member", 8);
    auto vms = names("vm", 3);
    auto const orders = rank_brokers(members, vms);
    std::reverse(members.begin(), members.end());
    std::reverse(vms.begin(), vms.end());
    cr_assert(rank_brokers(members, vms) == orders);
}

Test(broker_ranking, lost_broker_moves_few_members_of_the_others)
{
    std::size_t moved = 0;
    std::size_t kept = 0;
    for (std::size_t site = 0; site < 100; ++site) {
        auto const members = names(fmt::format("member-{}", site), 8);
        auto vms = names("vm", 4);
        auto const before = rank_brokers(members, vms);
        vms.pop_back();
        for (auto const& [member, order] : rank_brokers(members, vms)) {
            auto const& previous = before.at(member).front();
            if (previous != "vm-3") {
                (order.front() == previous ? kept : moved) += 1;
            }
        }
    }
    cr_assert(moved * 5 < kept, "%zu members moved, %zu stayed", moved, kept);
}

Test(broker_ranking, no_vms_give_no_orders)
{
    cr_assert(rank_brokers({"member"}, {}).empty());
}
