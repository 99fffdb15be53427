#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "failover/watcher_choice.h"

using greengagehitch::choose_watchers;
using greengagehitch::watcher_candidate;

namespace {

std::vector<watcher_candidate> eight_vms()
{
    std::vector<watcher_candidate> candidates;
    candidates.reserve(8);
    for (int i = 0; i < 8; ++i) {
        candidates.push_back({"vm-" + std::to_string(i), "zone-" + std::to_string(i % 3)});
    }
    return candidates;
}

} // namespace

Test(watcher_choice, watchers_are_in_different_zones)
{
    auto const candidates = eight_vms();
    for (int i = 0; i < 100; ++i) {
        auto const watchers = choose_watchers("db-" + std::to_string(i), candidates, 3);
        std::set<char> zones;
        for (auto const& name : watchers) {
            zones.insert(static_cast<char>((name.back() - '0') % 3));
        }
        cr_assert(zones.size() == 3);
    }
}

Test(watcher_choice, candidate_order_does_not_change_the_choice)
{
    auto candidates = eight_vms();
    auto const first = choose_watchers("db-1", candidates, 3);
    std::reverse(candidates.begin(), candidates.end());
    cr_assert(first == choose_watchers("db-1", candidates, 3));
}

Test(watcher_choice, zones_are_reused_when_fewer_than_watchers)
{
    cr_assert(choose_watchers("db-1", {{"a", "z"}, {"b", "z"}}, 3).size() == 2);
}
