#include "failover/watcher_choice.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

#include "base/verify.h"

namespace greengagehitch {

namespace {

std::uint64_t score(std::string const& database, std::string const& vm)
{
    auto const text = database + '\0' + vm;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::string choose_first(std::string const& key, std::vector<std::string> const& vms)
{
    VERIFY(!vms.empty());
    return *std::max_element(vms.begin(), vms.end(), [&key](auto const& left, auto const& right) {
        auto const left_score = score(key, left);
        auto const right_score = score(key, right);
        return left_score != right_score ? left_score < right_score : left > right;
    });
}

std::vector<std::string> choose_watchers(std::string const& database,
                                         std::vector<watcher_candidate> candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(), [&database](auto const& left, auto const& right) {
        auto const left_score = score(database, left.vm);
        auto const right_score = score(database, right.vm);
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
