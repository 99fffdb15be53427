#include "brokers/broker_ranking.h"

#include <algorithm>
#include <tuple>

#include "failover/watcher_choice.h"

namespace greengagehitch {

namespace {

struct scored_pair {
    std::uint64_t score = 0;
    std::string const* member = nullptr;
    std::string const* vm = nullptr;

    bool ranks_before(scored_pair const& other) const
    {
        return std::tie(other.score, *member, *vm) < std::tie(score, *other.member, *other.vm);
    }
};

} // namespace

std::map<std::string, broker_order> rank_brokers(std::vector<std::string> const& members,
                                                 std::vector<std::string> const& vms)
{
    std::map<std::string, broker_order> orders;
    if (vms.empty()) {
        return orders;
    }
    std::vector<scored_pair> pairs;
    pairs.reserve(members.size() * vms.size());
    for (auto const& member : members) {
        for (auto const& vm : vms) {
            pairs.push_back({rendezvous_score(member, vm), &member, &vm});
        }
    }
    std::sort(pairs.begin(), pairs.end(),
              [](auto const& left, auto const& right) { return left.ranks_before(right); });
    auto const bound = (members.size() + vms.size() - 1) / vms.size();
    std::map<std::string, std::string const*> brokers;
    std::map<std::string, std::size_t> loads;
    for (auto const& pair : pairs) {
        auto& load = loads[*pair.vm];
        if (load < bound && brokers.try_emplace(*pair.member, pair.vm).second) {
            ++load;
        }
    }
    for (auto const& [member, broker] : brokers) {
        orders[member].push_back(*broker);
    }
    for (auto const& pair : pairs) {
        if (*pair.vm != *brokers.at(*pair.member)) {
            orders[*pair.member].push_back(*pair.vm);
        }
    }
    return orders;
}

} // namespace greengagehitch
