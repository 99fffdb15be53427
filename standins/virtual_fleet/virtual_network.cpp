#include "virtual_network.h"

namespace greengagehitch::standin {

namespace {

constexpr double max_jitter = 0.2; // fraction of the base latency
constexpr duration retransmission_delay = std::chrono::milliseconds(200);

} // namespace

void virtual_network::set_cut(std::string const& left, std::string const& right, bool is_cut)
{
    if (is_cut) {
        m_cuts.insert(make_zone_pair(left, right));
    }
    else {
        m_cuts.erase(make_zone_pair(left, right));
    }
}

bool virtual_network::is_cut(std::string const& left, std::string const& right) const
{
    return m_cuts.contains(make_zone_pair(left, right));
}

void virtual_network::set_extra_latency(std::string const& left, std::string const& right, duration extra)
{
    m_extra_latencies[make_zone_pair(left, right)] = extra;
}

duration virtual_network::draw_latency(std::string const& from, std::string const& to)
{
    auto const base = from == to ? m_options.local_latency : m_options.zone_latency;
    auto const extra = m_extra_latencies.find(make_zone_pair(from, to));
    auto const factor = 1 + max_jitter * m_clock.random_share();
    auto const latency = static_cast<double>(base.count()) * factor;
    return duration(static_cast<duration::rep>(latency)) +
           (extra == m_extra_latencies.end() ? duration::zero() : extra->second);
}

void virtual_network::send_datagram(std::string const& from, std::string const& to,
                                    std::function<void()> const& deliver)
{
    auto const copies = m_clock.random_share() < m_options.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_clock.random_share() < m_options.loss || is_cut(from, to)) {
            continue;
        }
        m_clock.start_timer(draw_latency(from, to), [this, from, to, deliver] {
            if (!is_cut(from, to)) {
                deliver();
            }
        });
    }
}

duration virtual_network::draw_retransmission()
{
    auto delay = duration::zero();
    while (m_clock.random_share() < m_options.loss) {
        delay += retransmission_delay;
    }
    return delay;
}

} // namespace greengagehitch::standin
