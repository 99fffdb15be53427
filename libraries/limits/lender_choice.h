#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagehitch {

/// Chooses a VM for each key by rendezvous hashing, with the same result as choose_first(). Keeps the
/// choices, so that a VM that joins or leaves costs one comparison for each key instead of one for each key
/// and VM.
class lender_choice {
public:
    /// Sets the VMs that can be chosen.
    void set_vms(std::vector<std::string> vms);

    /// Returns the chosen VM for the key. There must be VMs.
    std::string const& choose(std::string const& key);

    /// Returns the first `count` VMs in the order in which they are chosen for the key.
    std::vector<std::string> rank(std::string const& key, std::size_t count) const;

private:
    struct choice {
        std::string vm;
        std::uint64_t score = 0;
    };

    choice choose_among(std::string const& key, std::vector<std::string> const& vms) const;
    static bool is_better(choice const& left, choice const& right);

    std::vector<std::string> m_vms;          ///< Sorted, without duplicates.
    std::map<std::string, choice> m_choices; ///< Keyed by the chosen VM's key.
};

} // namespace greengagehitch
