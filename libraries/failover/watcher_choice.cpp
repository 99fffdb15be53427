#include "failover/watcher_choice.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

#include "base/verify.h"

namespace greengagehitch {

std::uint64_t rendezvous_score(std::string const& key, std::string const& vm)
{
    std::string text;
    text.reserve(key.size() + 1 + vm.size());
    text.append(key).append(1, '\0').append(vm);
    return XXH64(text.data(), text.size(), 0);
}

std::string choose_first(std::string const& key, std::vector<std::string> const& vms)
{
    VERIFY(!vms.empty());
    auto const* best = &vms.front();
    auto best_score = rendezvous_score(key, *best);
    for (auto const& vm : vms) {
        auto const score = rendezvous_score(key, vm);
        if (score > best_score || (score == best_score && vm < *best)) {
            best = &vm;
            best_score = score;
        }
    }
    return *best;
}

std::vector<std::string> choose_watchers(std::string const& database,
                                         std::vector<watcher_candidate> candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(), [&database](auto const& left, auto const& right) {
        auto const left_score = rendezvous_score(database, left.vm);
        auto const right_score = rendezvous_score(database, right.vm);
        return left_score != right_score ? left_score > right_score : left.vm < right.vm;
    });
    std::vector<std::string> chosen;
    std::set<std::string> zones;
    for (auto const& each : candidates) {
        if (chosen.size() < count && zones.insert(each.availability_zone).second) {
            chosen.push_back(each.vm);
        }
    }
    for (auto const& each : candidates) {
        if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), each.vm) == chosen.end()) {
            chosen.push_back(each.vm);
        }
    }
    return chosen;
}

} // namespace greengagehitch
