#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "database/group_contract.h"
#include "fleet/member_entry.h"

namespace greengagehitch {

/// Report of a member that it drains and then ends.
struct planned_leave {
    std::uint64_t started_at = 0;    ///< Start time of the process that drains; see member_entry.
    std::int64_t reported_at_ms = 0; ///< Time of the report or later, on the store's steady clock.

    bool operator==(planned_leave const&) const = default;
};

/// Member whose log may hold acknowledged commits of its group.
struct roster_entry {
    endpoint address;
    std::string availability_zone;
    /// Position that the member's log does not exceed: the leader reported it while no process of the group
    /// ran at the address. No value while the member may receive.
    std::optional<log_position> log_bound;
    /// No value unless the member drained when the directory last listed it.
    std::optional<planned_leave> leave;
    /// Whether the member has ended as planned, so that the bound holds also while its address is silent.
    bool has_left = false;

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

    /// Returns whether a member is known to have ended as planned.
    bool has_left(std::string const& id) const;

    /// Adds a member that the directory lists, or updates its entry. It runs, so its log has no bound.
    /// `store_time_ms` is the latest time that the store's steady clock may show now; without it, a member
    /// that drains is not marked as leaving.
    void add_listed(member_entry const& member, std::optional<std::int64_t> store_time_ms = std::nullopt);
    /// Adds a member that the directory listed some time ago, unless a known member has its address.
    void add_former(member_entry const& member);
    /// Adds the members of another roster, and removes bounds and planned leaves that only one of the two
    /// has: what either lacks may have been found since the other was made.
    void merge(member_roster const& other);
    /// Sets the bound of a known member's log, or removes it.
    void set_log_bound(std::string const& id, std::optional<log_position> bound);
    /// Sets the bound of the log of a known member that has ended as planned.
    void set_left(std::string const& id, log_position bound);
    /// Forgets the planned leave and the bound of a known member, since another process runs at its address.
    void withdraw_leave(std::string const& id);
    void remove(std::string const& id) { m_entries.erase(id); }

    bool operator==(member_roster const&) const = default;

private:
    entries_map m_entries;
};

} // namespace greengagehitch
