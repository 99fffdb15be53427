#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehitch {

/// VM that may be chosen to monitor a database group.
struct watcher_candidate {
    std::string vm;
    std::string availability_zone;
};

/// Chooses the VMs that monitor `database` by rendezvous hashing, one from each availability zone before a
/// second one from any zone. All VMs with the same list choose the same watchers, and a change of the list
/// moves few groups. The order of the result is the rank in which the watchers act.
std::vector<std::string> choose_watchers(std::string const& database,
                                         std::vector<watcher_candidate> candidates, std::size_t count);

/// Score of a VM for a key in rendezvous hashing; the VM with the highest score ranks first, and of those
/// with equal scores the first by name.
std::uint64_t rendezvous_score(std::string const& key, std::string const& vm);

/// Returns the VM that ranks first for `key` by rendezvous hashing; `vms` must not be empty.
std::string choose_first(std::string const& key, std::vector<std::string> const& vms);

} // namespace greengagehitch
