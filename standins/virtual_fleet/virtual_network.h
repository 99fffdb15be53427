#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "virtual_clock.h"

namespace greengagehitch::standin {

/// Delays, losses and cuts between availability zones and the platform.
class virtual_network {
public:
    struct options {
        duration zone_latency{};  ///< One way between two zones.
        duration local_latency{}; ///< One way within a zone.
        double loss = 0;          ///< Share of datagrams that are lost.
        double duplication = 0;   ///< Share of datagrams that come twice.
    };

    virtual_network(virtual_clock& clock, options options) : m_clock(clock), m_options(options) {}

    /// Name under which cuts from the platform are set.
    static constexpr auto platform = "platform";

    void set_loss(double loss) { m_options.loss = loss; }
    void set_duplication(double duplication) { m_options.duplication = duplication; }

    /// Cuts or mends the link between two zones, or a zone and the platform.
    void set_cut(std::string const& left, std::string const& right, bool is_cut);
    void clear_cuts() { m_cuts.clear(); }
    bool is_cut(std::string const& left, std::string const& right) const;

    /// Adds a delay to the link between two zones, one way.
    void set_extra_latency(std::string const& left, std::string const& right, duration extra);

    /// Draws the time of one message, with a little jitter.
    duration draw_latency(std::string const& from, std::string const& to);

    /// Sends a datagram: it may be lost, doubled and overtaken.
    void send_datagram(std::string const& from, std::string const& to, std::function<void()> const& deliver);

    /// Delay that lost segments add to a message on a stream.
    duration draw_retransmission();

private:
    using zone_pair = std::pair<std::string, std::string>;

    static zone_pair make_zone_pair(std::string const& left, std::string const& right)
    {
        return left < right ? zone_pair(left, right) : zone_pair(right, left);
    }

    virtual_clock& m_clock;
    options m_options;
    std::set<zone_pair> m_cuts;
    std::map<zone_pair, duration> m_extra_latencies;
};

} // namespace greengagehitch::standin
