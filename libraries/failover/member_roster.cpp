#include "failover/member_roster.h"

#include <algorithm>

#include "base/json.h"

namespace greengagehitch {

namespace {

std::optional<roster_entry> try_decode_entry(Json::Value const& value)
{
    auto const address = find_string(value, "address");
    auto const zone = find_string(value, "availability_zone");
    auto const parsed = address ? parse_endpoint(*address) : std::nullopt;
    if (!parsed || !zone) {
        return std::nullopt;
    }
    roster_entry entry{*parsed, *zone, std::nullopt};
    auto const has_bound = value.isMember("bound_term") || value.isMember("bound_position");
    auto const term = find_unsigned(value, "bound_term");
    auto const position = find_unsigned(value, "bound_position");
    if (has_bound && (!term || !position)) {
        return std::nullopt;
    }
    if (has_bound) {
        entry.log_bound = log_position{*term, *position};
    }
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
    }
    return to_json_line(root);
}

std::optional<log_position> member_roster::log_bound(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : found->second.log_bound;
}

void member_roster::add_listed(member_entry const& member)
{
    m_entries[member.id] = {member.address, member.availability_zone, std::nullopt};
}

void member_roster::add_former(member_entry const& member)
{
    auto const is_known = std::any_of(m_entries.begin(), m_entries.end(), [&member](auto const& each) {
        return each.first == member.id || each.second.address == member.address;
    });
    if (!is_known) {
        m_entries[member.id] = {member.address, member.availability_zone, std::nullopt};
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
    }
}

void member_roster::set_log_bound(std::string const& id, std::optional<log_position> bound)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.log_bound = bound;
    }
}

} // namespace greengagehitch
