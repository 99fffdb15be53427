#include "fault_schedule.h"

#include <array>

#include <fmt/format.h>

namespace greengagehitch::standin {

namespace {

using namespace std::chrono_literals;

} // namespace

void fault_schedule::stop()
{
    m_is_running = false;
    m_fleet.restore_network();
    m_fleet.network().set_loss(0);
    m_fleet.network().set_duplication(0);
    m_fleet.platform().set_down(false);
    m_fleet.platform().set_extra_delay({});
    m_fleet.platform().set_lost_answer_share(0);
    m_fleet.databases().set_lost_answer_share(0);
    for (auto const& name : m_fleet.databases().names()) {
        auto& group = m_fleet.databases().group(name);
        for (std::size_t i = 0; i < group.size(); ++i) {
            group.member(i).restart();
            group.member(i).resume();
            group.set_cut_off(i, false);
            m_fleet.databases().set_unreachable(name, i, false);
        }
    }
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        if (m_fleet.vm(i) == nullptr) {
            m_fleet.start_vm(i);
        }
    }
}

void fault_schedule::schedule_next()
{
    m_fleet.clock().start_timer(m_fleet.clock().random_interval(m_mean_interval), [this] {
        if (m_is_running) {
            inject_fault();
            schedule_next();
        }
    });
}

void fault_schedule::inject_fault()
{
    static constexpr std::array faults{
        &fault_schedule::kill_vm,
        &fault_schedule::pause_vm,
        &fault_schedule::cut_zone,
        &fault_schedule::kill_member,
        &fault_schedule::pause_member,
        &fault_schedule::disconnect_member_from_vms,
        &fault_schedule::disconnect_member_from_group,
        &fault_schedule::inject_platform_fault,
        &fault_schedule::inject_network_fault,
        &fault_schedule::drop_database_answers,
        &fault_schedule::change_lag,
    };
    auto const fault = faults[m_fleet.clock().random_below(faults.size())];
    (this->*fault)();
}

void fault_schedule::record_fault(std::string const& description)
{
    m_history.push_back(
        fmt::format("{:.3f} s: {}", to_milliseconds(m_fleet.now().time_since_epoch()) / 1000, description));
}

void fault_schedule::repair_later(duration max_delay, std::function<void()> repair)
{
    auto const share = m_fleet.clock().random_share();
    auto const delay = duration(static_cast<duration::rep>(static_cast<double>(max_delay.count()) * share));
    m_fleet.clock().start_timer(delay, [this, repair = std::move(repair)] {
        if (m_is_running) {
            repair();
        }
    });
}

void fault_schedule::kill_vm()
{
    auto const index = m_fleet.clock().random_below(m_fleet.size());
    if (m_fleet.vm(index) == nullptr) {
        return;
    }
    record_fault(fmt::format("VM {} is killed", index + 1));
    m_fleet.kill_vm(index);
    repair_later(3s, [this, index] {
        if (m_fleet.vm(index) == nullptr) {
            m_fleet.start_vm(index);
        }
    });
}

void fault_schedule::pause_vm()
{
    auto const index = m_fleet.clock().random_below(m_fleet.size());
    auto const length = m_fleet.clock().random_interval(1s);
    record_fault(fmt::format("VM {} is paused for {} ms", index + 1, to_milliseconds(length)));
    m_fleet.pause_vm(index, length);
}

void fault_schedule::cut_zone()
{
    auto const& zones = m_fleet.shape().zones;
    auto const zone = zones[m_fleet.clock().random_below(zones.size())];
    auto const with_platform = m_fleet.clock().random_share() < 0.5;
    record_fault(fmt::format("zone {} is cut off from the other zones{}", zone,
                             with_platform ? " and the platform" : ""));
    m_fleet.cut_zone(zone, true, with_platform);
    repair_later(8s, [this, zone] { m_fleet.cut_zone(zone, false, true); });
}

void fault_schedule::kill_member()
{
    auto const name = random_database();
    auto const member = random_member();
    record_fault(fmt::format("database group {}: member {} is killed", name, member + 1));
    m_fleet.databases().group(name).member(member).kill();
    repair_later(5s, [this, name, member] { m_fleet.databases().group(name).member(member).restart(); });
}

void fault_schedule::pause_member()
{
    auto const name = random_database();
    auto const member = random_member();
    record_fault(fmt::format("database group {}: member {} is paused", name, member + 1));
    m_fleet.databases().group(name).member(member).pause();
    repair_later(3s, [this, name, member] { m_fleet.databases().group(name).member(member).resume(); });
}

void fault_schedule::disconnect_member_from_vms()
{
    auto const name = random_database();
    auto const member = random_member();
    record_fault(fmt::format("database group {}: member {} is unreachable from all VMs", name, member + 1));
    m_fleet.databases().set_unreachable(name, member, true);
    repair_later(5s, [this, name, member] { m_fleet.databases().set_unreachable(name, member, false); });
}

void fault_schedule::disconnect_member_from_group()
{
    auto const name = random_database();
    auto const member = random_member();
    record_fault(
        fmt::format("database group {}: member {} is cut off from the other members", name, member + 1));
    m_fleet.databases().group(name).set_cut_off(member, true);
    repair_later(5s, [this, name, member] { m_fleet.databases().group(name).set_cut_off(member, false); });
}

void fault_schedule::inject_platform_fault()
{
    auto const random_value = m_fleet.clock().random_below(3);
    auto& platform = m_fleet.platform();
    record_fault(fmt::format("platform is {}", random_value == 0   ? "down"
                                               : random_value == 1 ? "slow"
                                                                   : "dropping responses"));
    switch (random_value) {
    case 0:
        platform.set_down(true);
        repair_later(15s, [&platform] { platform.set_down(false); });
        return;
    case 1:
        platform.set_extra_delay(400ms);
        repair_later(10s, [&platform] { platform.set_extra_delay({}); });
        return;
    default:
        platform.set_lost_answer_share(0.3);
        repair_later(10s, [&platform] { platform.set_lost_answer_share(0); });
        return;
    }
}

void fault_schedule::inject_network_fault()
{
    record_fault("network drops and duplicates datagrams");
    m_fleet.network().set_loss(0.05);
    m_fleet.network().set_duplication(0.05);
    repair_later(10s, [this] {
        m_fleet.network().set_loss(0);
        m_fleet.network().set_duplication(0);
    });
}

void fault_schedule::drop_database_answers()
{
    record_fault("databases drop responses");
    m_fleet.databases().set_lost_answer_share(0.02);
    repair_later(10s, [this] { m_fleet.databases().set_lost_answer_share(0); });
}

void fault_schedule::change_lag()
{
    auto const name = random_database();
    auto const member = random_member();
    auto const lag = m_fleet.clock().random_interval(300ms);
    record_fault(fmt::format("database group {}: member {} applies log entries {} ms late", name, member + 1,
                             to_milliseconds(lag)));
    m_fleet.databases().group(name).member(member).switches().lag = lag;
}

std::string fault_schedule::random_database()
{
    auto const names = m_fleet.databases().names();
    return names[m_fleet.clock().random_below(names.size())];
}

} // namespace greengagehitch::standin
