#include "brokers/broker_candidates.h"

#include <algorithm>

namespace greengagehitch {

std::vector<std::string> broker_candidates::eligible() const
{
    double largest = 0;
    for (auto const& each : m_vms) {
        largest = std::max(largest, each.processor_share);
    }
    std::vector<std::string> names;
    for (auto const& each : m_vms) {
        if (each.processor_share == 0 || 2 * each.processor_share >= largest) {
            names.push_back(each.vm);
        }
    }
    return names;
}

} // namespace greengagehitch
