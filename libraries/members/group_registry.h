#pragma once

#include <map>
#include <memory>
#include <string>

#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "members/database_group.h"

namespace greengagehitch {

/// All database groups that the directory names. Divides the connections to each member between VMs: equally
/// over availability zones, since callers reach the VMs of their own zone, and within a zone over its VMs.
class group_registry : public service {
public:
    static constexpr std::string_view service_name = "groups";

    group_registry(kernel& kernel, link_hooks const& links) : m_kernel(kernel), m_links(links) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Group of that name; made when it is new, since classes may come before members.
    database_group& group(std::string const& name);
    std::map<std::string, std::unique_ptr<database_group>> const& groups() const { return m_groups; }

    /// Connections that this VM may hold to a member of the group.
    std::size_t max_links(std::string const& group) const;

private:
    void take_members(member_directory const& members);

    kernel& m_kernel;
    link_hooks const& m_links;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, std::unique_ptr<database_group>> m_groups;
};

} // namespace greengagehitch
