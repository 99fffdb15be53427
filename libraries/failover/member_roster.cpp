#include "failover/member_roster.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

/// Age of a report of draining from which on it is renewed while the member is listed. A member that drains
/// for longer than usual may go on for long after its entry has lapsed, too.
constexpr std::chrono::milliseconds leave_renewal_age = std::chrono::seconds(15);

std::optional<roster_entry> try_decode_entry(Json::Value const& value)
{
    auto const address = find_string(value, "address");
    auto const zone = find_string(value, "availability_zone");
    auto const parsed = address ? parse_endpoint(*address) : std::nullopt;
    if (!parsed || !zone) {
        return std::nullopt;
    }
    roster_entry entry{*parsed, *zone, std::nullopt, std::nullopt, false};
    auto const has_bound = value.isMember("bound_term") || value.isMember("bound_position");
    auto const term = find_unsigned(value, "bound_term");
    auto const position = find_unsigned(value, "bound_position");
    if (has_bound && (!term || !position)) {
        return std::nullopt;
    }
    if (has_bound) {
        entry.log_bound = log_position{*term, *position};
    }
    auto const has_leave = value.isMember("leaving_since_ms") || value.isMember("leaving_start");
    auto const since_ms = find_unsigned(value, "leaving_since_ms");
    auto const start = find_unsigned(value, "leaving_start");
    if (has_leave && (!since_ms || !start)) {
        return std::nullopt;
    }
    if (has_leave) {
        entry.leave = planned_leave{*start, static_cast<std::int64_t>(*since_ms)};
    }
    if (!value.isMember("has_left")) {
        return entry;
    }
    if (!has_bound || !has_leave || value["has_left"] != Json::Value(true)) {
        return std::nullopt;
    }
    entry.has_left = true;
    return entry;
}

} // namespace

std::optional<member_roster> member_roster::try_decode(std::string const& text)
{
    auto const root = try_parse_json(text);
    if (!root.ok() || !root->isObject() || !(*root)["members"].isObject()) {
        return std::nullopt;
    }
    auto const& members = (*root)["members"];
    member_roster roster;
    for (auto const& id : members.getMemberNames()) {
        auto entry = try_decode_entry(members[id]);
        if (id.empty() || !entry) {
            return std::nullopt;
        }
        roster.m_entries[id] = *std::move(entry);
    }
    return roster;
}

std::string member_roster::encode() const
{
    Json::Value root(Json::objectValue);
    root["members"] = Json::Value(Json::objectValue);
    for (auto const& [id, entry] : m_entries) {
        auto& value = root["members"][id];
        value["address"] = entry.address.to_string();
        value["availability_zone"] = entry.availability_zone;
        if (entry.log_bound) {
            value["bound_term"] = Json::UInt64(entry.log_bound->term);
            value["bound_position"] = Json::UInt64(entry.log_bound->position);
        }
        if (entry.leave) {
            value["leaving_since_ms"] = Json::Int64(entry.leave->reported_at_ms);
            value["leaving_start"] = Json::UInt64(entry.leave->started_at);
        }
        if (entry.has_left) {
            value["has_left"] = true;
        }
    }
    return to_json_line(root);
}

std::optional<log_position> member_roster::log_bound(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : found->second.log_bound;
}

bool member_roster::has_left(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.has_left;
}

void member_roster::add_listed(member_entry const& member, std::optional<std::int64_t> store_time_ms)
{
    auto& entry = m_entries[member.id];
    auto const known =
        std::exchange(entry, {member.address, member.availability_zone, std::nullopt, std::nullopt, false})
            .leave;
    if (!member.is_draining) {
        return;
    }
    if (known && known->started_at == member.started_at &&
        (!store_time_ms || *store_time_ms - known->reported_at_ms < leave_renewal_age.count())) {
        entry.leave = known;
    }
    else if (store_time_ms) {
        entry.leave = planned_leave{member.started_at, *store_time_ms};
    }
}

void member_roster::add_former(member_entry const& member)
{
    auto const is_known = std::any_of(m_entries.begin(), m_entries.end(), [&member](auto const& each) {
        return each.first == member.id || each.second.address == member.address;
    });
    if (!is_known) {
        m_entries[member.id] = {member.address, member.availability_zone, std::nullopt, std::nullopt, false};
    }
}

void member_roster::merge(member_roster const& other)
{
    for (auto const& [id, entry] : other.m_entries) {
        auto const [own, is_new] = m_entries.try_emplace(id, entry);
        if (is_new) {
            continue;
        }
        auto& bound = own->second.log_bound;
        bound = bound && entry.log_bound ? std::optional(std::max(*bound, *entry.log_bound)) : std::nullopt;
        auto& leave = own->second.leave;
        if (!leave || !entry.leave || leave->started_at != entry.leave->started_at) {
            leave.reset();
        }
        else {
            leave->reported_at_ms = std::max(leave->reported_at_ms, entry.leave->reported_at_ms);
        }
        own->second.has_left = own->second.has_left && entry.has_left && bound && leave;
    }
}

void member_roster::set_log_bound(std::string const& id, std::optional<log_position> bound)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.log_bound = bound;
        found->second.has_left = false;
    }
}

void member_roster::set_left(std::string const& id, log_position bound)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.log_bound = bound;
        found->second.has_left = true;
    }
}

void member_roster::withdraw_leave(std::string const& id)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.log_bound.reset();
        found->second.leave.reset();
        found->second.has_left = false;
    }
}

} // namespace greengagehitch
