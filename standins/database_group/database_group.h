#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "group_member.h"

namespace greengagehitch::standin {

/// A database group of the platform: members with a log that the primary ships to the others. It has no I/O;
/// its owner gives it time and carries its sessions.
class database_group {
public:
    /// Member 0 starts as the primary of term 1. `unique_prefix` keeps the data of groups in one process
    /// apart.
    database_group(std::string const& unique_prefix, std::vector<std::string> const& member_names,
                   group_hooks hooks);

    std::size_t size() const { return m_members.size(); }
    group_member& member(std::size_t index) { return *m_members[index]; }

    /// Runs schema statements on every member.
    void seed(std::vector<std::string> const& statements);

    /// Cuts or mends the log shipping between one member and all others.
    void set_cut_off(std::size_t index, bool is_cut_off) { m_is_cut_off[index] = is_cut_off; }

    /// Cuts or mends the log shipping between two members.
    void set_link_cut(std::size_t left, std::size_t right, bool is_cut);
    void set_ship_delay(duration delay) { m_ship_delay = delay; }

    /// Ships what replicas lack. Called by a commit and by the owner's timer, so that cut-off members catch
    /// up.
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
