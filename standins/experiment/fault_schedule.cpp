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
            cause_one();
            schedule_next();
        }
    });
}

void fault_schedule::cause_one()
{
    static constexpr std::array faults{
        &fault_schedule::kill_vm,         &fault_schedule::pause_vm,         &fault_schedule::cut_zone,
        &fault_schedule::kill_member,     &fault_schedule::pause_member,     &fault_schedule::isolate_member,
        &fault_schedule::separate_member, &fault_schedule::disturb_platform, &fault_schedule::disturb_network,
        &fault_schedule::lose_answers,    &fault_schedule::change_lag,
    };
    auto const fault = faults[m_fleet.clock().random_below(faults.size())];
    (this->*fault)();
}

void fault_schedule::note(std::string const& what)
{
    m_history.push_back(
        fmt::format("{:.3f} s: {}", to_milliseconds(m_fleet.now().time_since_epoch()) / 1000, what));
}

void fault_schedule::mend_later(duration longest, std::function<void()> mend)
{
    auto const share = m_fleet.clock().random_share();
    auto const delay = duration(static_cast<duration::rep>(static_cast<double>(longest.count()) * share));
    m_fleet.clock().start_timer(delay, [this, mend = std::move(mend)] {
        if (m_is_running) {
            mend();
        }
    });
}

void fault_schedule::kill_vm()
{
    auto const index = m_fleet.clock().random_below(m_fleet.size());
    if (m_fleet.vm(index) == nullptr) {
        return;
    }
    note(fmt::format("vm {} is killed", index + 1));
    m_fleet.kill_vm(index);
    mend_later(3s, [this, index] {
        if (m_fleet.vm(index) == nullptr) {
            m_fleet.start_vm(index);
        }
    });
}

void fault_schedule::pause_vm()
{
    auto const index = m_fleet.clock().random_below(m_fleet.size());
    auto const length = m_fleet.clock().random_interval(1s);
    note(fmt::format("vm {} is paused for {} ms", index + 1, to_milliseconds(length)));
    m_fleet.pause_vm(index, length);
}

void fault_schedule::cut_zone()
{
    auto const& zones = m_fleet.shape().zones;
    auto const zone = zones[m_fleet.clock().random_below(zones.size())];
    auto const with_platform = m_fleet.clock().random_share() < 0.5;
    note(fmt::format("zone {} is cut off{}", zone, with_platform ? ", from the platform too" : ""));
    m_fleet.cut_zone(zone, true, with_platform);
    mend_later(8s, [this, zone] { m_fleet.cut_zone(zone, false, true); });
}

void fault_schedule::kill_member()
{
    auto const name = draw_database();
    auto const member = draw_member();
    note(fmt::format("{} member {} is killed", name, member + 1));
    m_fleet.databases().group(name).member(member).kill();
    mend_later(5s, [this, name, member] { m_fleet.databases().group(name).member(member).restart(); });
}

void fault_schedule::pause_member()
{
    auto const name = draw_database();
    auto const member = draw_member();
    note(fmt::format("{} member {} is paused", name, member + 1));
    m_fleet.databases().group(name).member(member).pause();
    mend_later(3s, [this, name, member] { m_fleet.databases().group(name).member(member).resume(); });
}

void fault_schedule::isolate_member()
{
    auto const name = draw_database();
    auto const member = draw_member();
    note(fmt::format("{} member {} is unreachable for all VMs", name, member + 1));
    m_fleet.databases().set_unreachable(name, member, true);
    mend_later(5s, [this, name, member] { m_fleet.databases().set_unreachable(name, member, false); });
}

void fault_schedule::separate_member()
{
    auto const name = draw_database();
    auto const member = draw_member();
    note(fmt::format("{} member {} is separated from its group", name, member + 1));
    m_fleet.databases().group(name).set_cut_off(member, true);
    mend_later(5s, [this, name, member] { m_fleet.databases().group(name).set_cut_off(member, false); });
}

void fault_schedule::disturb_platform()
{
    auto const draw = m_fleet.clock().random_below(3);
    auto& platform = m_fleet.platform();
    note(fmt::format("platform is {}", draw == 0 ? "down" : draw == 1 ? "slow" : "losing answers"));
    switch (draw) {
    case 0:
        platform.set_down(true);
        mend_later(15s, [&platform] { platform.set_down(false); });
        return;
    case 1:
        platform.set_extra_delay(400ms);
        mend_later(10s, [&platform] { platform.set_extra_delay({}); });
        return;
    default:
        platform.set_lost_answer_share(0.3);
        mend_later(10s, [&platform] { platform.set_lost_answer_share(0); });
        return;
    }
}

void fault_schedule::disturb_network()
{
    note("network loses and doubles datagrams");
    m_fleet.network().set_loss(0.05);
    m_fleet.network().set_duplication(0.05);
    mend_later(10s, [this] {
        m_fleet.network().set_loss(0);
        m_fleet.network().set_duplication(0);
    });
}

void fault_schedule::lose_answers()
{
    note("databases lose answers");
    m_fleet.databases().set_lost_answer_share(0.02);
    mend_later(10s, [this] { m_fleet.databases().set_lost_answer_share(0); });
}

void fault_schedule::change_lag()
{
    auto const name = draw_database();
    auto const member = draw_member();
    auto const lag = m_fleet.clock().random_interval(300ms);
    note(fmt::format("{} member {} lags by {} ms", name, member + 1, to_milliseconds(lag)));
    m_fleet.databases().group(name).member(member).switches().lag = lag;
}

std::string fault_schedule::draw_database()
{
    auto const names = m_fleet.databases().names();
    return names[m_fleet.clock().random_below(names.size())];
}

} // namespace greengagehitch::standin
