#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "group_member.h"

namespace greengagehitch::standin {

/// Models a database group of the platform: members with a log that the primary ships to the other members.
/// It performs no I/O. Its owner supplies the clock and the timers, and transports the data of the sessions.
class database_group {
public:
    /// Creates the members and promotes member 0 to primary of term 2. `unique_prefix` distinguishes the
    /// in-memory databases of several groups in one process.
    database_group(std::string const& unique_prefix, std::vector<std::string> const& member_names,
                   group_hooks hooks);

    std::size_t size() const { return m_members.size(); }
    group_member& member(std::size_t index) { return *m_members[index]; }

    /// Executes schema statements on every member, without log entries.
    void seed(std::vector<std::string> const& statements);

    /// Stops or resumes log shipping between one member and all others.
    void set_cut_off(std::size_t index, bool is_cut_off) { m_is_cut_off[index] = is_cut_off; }

    /// Stops or resumes log shipping between two members.
    void set_link_cut(std::size_t left, std::size_t right, bool is_cut);

    /// Sets the time that shipped log entries take to reach another member.
    void set_ship_delay(duration delay) { m_ship_delay = delay; }

    /// Sends each primary's log entries to the replicas that lack them. It is called after each commit, and
    /// periodically by the owner, so that members that were cut off catch up.
    void ship_log();

private:
    void ship_log_from(std::size_t from);
    void ship_log_between(std::size_t from, std::size_t to);
    bool is_connected(std::size_t from, std::size_t to) const;

    group_hooks m_hooks;
    duration m_ship_delay{};
    std::vector<std::unique_ptr<group_member>> m_members;
    std::vector<bool> m_is_cut_off;
    std::set<std::pair<std::size_t, std::size_t>> m_cut_links;
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace greengagehitch::standin
