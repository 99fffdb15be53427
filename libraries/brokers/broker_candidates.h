#pragma once

#include <string>
#include <vector>

namespace greengagehitch {

/// VMs that could be the broker of a member, that is, hold the connections to it. All statements for the
/// member pass through the chosen VM, so a VM with a small processor share is excluded if larger ones are
/// available.
class broker_candidates {
public:
    /// Adds a VM; a `processor_share` of 0 means that its share is not known yet.
    void add(std::string const& vm, double processor_share) { m_vms.push_back({vm, processor_share}); }

    /// Returns the names of the VMs whose processor share is at least half of the largest one, or is not
    /// known yet.
    std::vector<std::string> eligible() const;

private:
    struct candidate {
        std::string vm;
        double processor_share = 1; ///< Fraction of one processor core.
    };

    std::vector<candidate> m_vms;
};

} // namespace greengagehitch
