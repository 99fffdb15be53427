#pragma once

#include <map>
#include <string>
#include <vector>

namespace greengagehitch {

/// VMs that may be the broker of a member, the broker first and then its successors in order.
using broker_order = std::vector<std::string>;

/// Assigns brokers to members by rendezvous hashing with bounded load: no VM is the broker of more than
/// `members / vms` members, rounded up. All VMs with the same lists compute the same result, and a change of
/// the lists moves few members. The order of `members` and `vms` has no influence. The result is keyed by
/// member and is empty if `vms` is.
std::map<std::string, broker_order> rank_brokers(std::vector<std::string> const& members,
                                                 std::vector<std::string> const& vms);

} // namespace greengagehitch
