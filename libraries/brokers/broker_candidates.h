#pragma once

#include <string>
#include <vector>

namespace greengagehitch {

/// VMs that could hold a member's connections. All statements for the member pass through the one that is
/// chosen, so a VM with a small part of a core is left out where larger ones are at hand.
class broker_candidates {
public:
    /// A `processor_share` of 0 is not known yet.
    void add(std::string const& vm, double processor_share) { m_vms.push_back({vm, processor_share}); }

    bool is_empty() const { return m_vms.empty(); }

    /// Names of those whose share of a core is at least half of the largest one, or is not known yet.
    std::vector<std::string> eligible() const;

private:
    struct candidate {
        std::string vm;
        double processor_share = 1; ///< Of a core.
    };

    std::vector<candidate> m_vms;
};

} // namespace greengagehitch
