#pragma once

#include <map>
#include <optional>
#include <string>

#include "database/group_contract.h"
#include "fleet/member_entry.h"

namespace greengagehitch {

/// Member whose log may hold acknowledged commits of its group.
struct roster_entry {
    endpoint address;
    std::string availability_zone;
    /// Position that the member's log does not exceed: the leader reported it while no process of the group
    /// ran at the address. No value while the member may receive.
    std::optional<log_position> log_bound;

    bool operator==(roster_entry const&) const = default;
};

/// Members of a group whose logs matter in a takeover, as the platform's store keeps them. The directory
/// forgets a member that is cut off from the store, although it goes on receiving and confirming commits;
/// the roster keeps it until nothing runs at its address for good.
class member_roster {
public:
    using entries_map = std::map<std::string, roster_entry>; ///< Keyed by member id.

    /// Returns std::nullopt for a text that no VM can have written.
    static std::optional<member_roster> try_decode(std::string const& text);
    std::string encode() const;

    entries_map const& entries() const { return m_entries; }
    /// Returns the bound of a member's log, or std::nullopt if there is none or the member is unknown.
    std::optional<log_position> log_bound(std::string const& id) const;

    /// Adds a member that the directory lists, or updates its entry. It runs, so its log has no bound.
    void add_listed(member_entry const& member);
    /// Adds a member that the directory listed some time ago, unless a known member has its address.
    void add_former(member_entry const& member);
    /// Adds the members of another roster, and removes bounds that only one of the two has: what either lacks
    /// may have been found since the other was made.
    void merge(member_roster const& other);
    /// Sets the bound of a known member's log, or removes it.
    void set_log_bound(std::string const& id, std::optional<log_position> bound);
    void remove(std::string const& id) { m_entries.erase(id); }

    bool operator==(member_roster const&) const = default;

private:
    entries_map m_entries;
};

} // namespace greengagehitch
