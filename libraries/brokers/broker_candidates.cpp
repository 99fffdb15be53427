#include "brokers/broker_candidates.h"

#include <algorithm>

namespace greengagehitch {

std::vector<broker_candidates::candidate const*> broker_candidates::large() const
{
    double largest = 0;
    for (auto const& each : m_vms) {
        largest = std::max(largest, each.processor_share);
    }
    std::vector<candidate const*> found;
    for (auto const& each : m_vms) {
        if (2 * each.processor_share >= largest) {
            found.push_back(&each);
        }
    }
    return found;
}

std::vector<std::string> broker_candidates::eligible() const
{
    auto const found = large();
    auto const has_settled = std::any_of(found.begin(), found.end(),
                                         [](auto const* each) { return each->age == broker_age::settled; });
    std::vector<std::string> names;
    for (auto const* const each : found) {
        if (!has_settled || each->age != broker_age::young) {
            names.push_back(each->vm);
        }
    }
    return names;
}

std::vector<std::string> broker_candidates::reserved() const
{
    auto const preferred = eligible();
    std::vector<std::string> names;
    for (auto const* const each : large()) {
        if (std::find(preferred.begin(), preferred.end(), each->vm) == preferred.end()) {
            names.push_back(each->vm);
        }
    }
    return names;
}

} // namespace greengagehitch
