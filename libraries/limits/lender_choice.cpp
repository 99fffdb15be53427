#include "limits/lender_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/verify.h"
#include "failover/watcher_choice.h"

namespace greengagehitch {

bool lender_choice::is_better(choice const& left, choice const& right)
{
    return left.score != right.score ? left.score > right.score : left.vm < right.vm;
}

lender_choice::choice lender_choice::choose_among(std::string const& key,
                                                  std::vector<std::string> const& vms) const
{
    VERIFY(!vms.empty());
    choice best{vms.front(), rendezvous_score(key, vms.front())};
    for (auto const& vm : vms) {
        choice const candidate{vm, rendezvous_score(key, vm)};
        if (is_better(candidate, best)) {
            best = candidate;
        }
    }
    return best;
}

void lender_choice::set_vms(std::vector<std::string> vms)
{
    std::sort(vms.begin(), vms.end());
    vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
    std::vector<std::string> added;
    std::set_difference(vms.begin(), vms.end(), m_vms.begin(), m_vms.end(), std::back_inserter(added));
    m_vms = std::move(vms);
    for (auto& [key, chosen] : m_choices) {
        if (!std::binary_search(m_vms.begin(), m_vms.end(), chosen.vm)) {
            chosen = choose_among(key, m_vms);
            continue;
        }
        if (added.empty()) {
            continue;
        }
        auto const best_added = choose_among(key, added);
        if (is_better(best_added, chosen)) {
            chosen = best_added;
        }
    }
}

std::string const& lender_choice::choose(std::string const& key)
{
    auto const [found, is_new] = m_choices.try_emplace(key);
    if (is_new) {
        found->second = choose_among(key, m_vms);
    }
    return found->second.vm;
}

std::vector<std::string> lender_choice::rank(std::string const& key, std::size_t count) const
{
    std::vector<choice> ranked;
    for (auto const& vm : m_vms) {
        ranked.push_back({vm, rendezvous_score(key, vm)});
    }
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), is_better);
    std::vector<std::string> names;
    std::transform(ranked.begin(), end, std::back_inserter(names),
                   [](choice const& each) { return each.vm; });
    return names;
}

} // namespace greengagehitch
