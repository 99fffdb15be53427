#include "brokers/connection_reports.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

constexpr std::string_view broker_log_name = "brokers";
/// Largest number of connections to one member that a report of a peer may contain.
constexpr std::uint32_t max_reported_connections = 100'000;
/// Number of VMs that a VM tells how many connections it holds to a member: the first in the order of
/// brokers.
constexpr std::size_t max_report_receivers = 2;
constexpr duration warning_interval = std::chrono::seconds(10);

} // namespace

void connection_reports::send(std::vector<held_connections> const& held)
{
    std::map<std::string, connection_report> reports;
    auto const& self = m_membership.identity().name;
    auto const add = [&](std::string const& vm, held_connections const& numbers) {
        auto& report = reports[vm];
        report.vm = self;
        report.held.push_back(numbers);
    };
    for (auto const& each : held) {
        auto order = m_choice.order_of(each.member);
        std::erase(order, self);
        order.resize(std::min(order.size(), max_report_receivers));
        auto& previous = m_reported_to[each.member];
        for (auto const& vm : previous) {
            if (std::find(order.begin(), order.end(), vm) == order.end()) {
                add(vm, {each.member, 0, 0});
            }
        }
        for (auto const& vm : order) {
            auto const was_told = std::find(previous.begin(), previous.end(), vm) != previous.end();
            if (each.connections != 0 || was_told) {
                add(vm, each);
            }
        }
        previous = each.connections != 0 ? std::move(order) : broker_order();
    }
    for (auto& [vm, report] : reports) {
        m_hooks.send(vm, report);
    }
}

void connection_reports::handle(connection_report const& report)
{
    auto const is_valid = std::all_of(report.held.begin(), report.held.end(), [](auto const& each) {
        return each.connections <= max_reported_connections && each.limit <= max_reported_connections;
    });
    if (!is_valid || !m_membership.peers().contains(report.vm)) {
        if (m_kernel.now() >= m_next_warning_at) {
            m_next_warning_at = m_kernel.now() + warning_interval;
            Json::Value fields(Json::objectValue);
            fields["vm"] = report.vm;
            m_kernel.log(log_level::warning, broker_log_name,
                         "report of connections was ignored, since its sender or a number is not valid",
                         std::move(fields));
        }
        return;
    }
    for (auto const& each : report.held) {
        m_hooks.on_report(report.vm, each);
    }
}

} // namespace greengagehitch
