#include "routing/group_description.h"

#include <fmt/format.h>

#include "base/json.h"
#include "base/try.h"

namespace greengagehitch {

std::optional<std::size_t> group_description::find_member(std::string const& name) const
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].name == name) {
            return i;
        }
    }
    return std::nullopt;
}

absl::StatusOr<group_description> try_parse_group(std::string const& name, std::string const& json)
{
    auto const root = TRY(try_parse_json(json));
    group_description group;
    group.name = name;
    try {
        group.max_connections = root["max_connections"].asUInt();
        group.slots = root["slots"].asUInt();
        for (auto const& entry : root["members"]) {
            member_description member;
            member.name = entry["name"].asString();
            member.availability_zone = entry["availability_zone"].asString();
            member.address.host = entry["host"].asString();
            member.address.port = static_cast<std::uint16_t>(entry["port"].asUInt());
            member.address.database = entry["database"].asString();
            group.members.push_back(std::move(member));
        }
    }
    catch (Json::Exception const& exception) {
        return absl::DataLossError(
            fmt::format("description of group '{}' is malformed: {}", name, exception.what()));
    }
    if (group.members.empty() || group.max_connections == 0) {
        return absl::DataLossError(
            fmt::format("group '{}' has no members, or max_connections is zero", name));
    }
    return group;
}

} // namespace greengagehitch
