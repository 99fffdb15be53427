#pragma once

#include <string>
#include <vector>

namespace greengagehitch {

/// How long a VM has been running, as far as this matters for the choice of brokers.
enum class broker_age {
    unknown, ///< No message of the VM was received.
    young,   ///< The VM has just started: members that it takes over would move again if it stops soon.
    settled,
};

/// VMs that could be the broker of a member, that is, hold the connections to it. All statements for the
/// member pass through the chosen VM, so a VM with a small processor share is excluded if larger ones are
/// available. A young VM ranks behind the others of its size.
class broker_candidates {
public:
    /// Adds a VM; a `processor_share` of 0 means that its share is not known yet.
    void add(std::string const& vm, double processor_share, broker_age age = broker_age::settled)
    {
        m_vms.push_back({vm, processor_share, age});
    }

    /// Returns the names of the VMs whose processor share is at least half of the largest one, without the
    /// young ones unless no settled one remains. VMs of unknown share are eligible only if no share is known:
    /// a VM that knows itself to be small would not act as the broker that others take it for.
    std::vector<std::string> eligible() const;
    /// Returns the names of the young VMs that eligible() leaves out.
    std::vector<std::string> reserved() const;

private:
    struct candidate {
        std::string vm;
        double processor_share = 1; ///< Fraction of one processor core.
        broker_age age = broker_age::settled;
    };

    /// Returns the candidates that are large enough.
    std::vector<candidate const*> large() const;

    std::vector<candidate> m_vms;
};

} // namespace greengagehitch
