#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "virtual_clock.h"

namespace greengagehitch::standin {

/// Simulates delays, losses and cuts between availability zones, and between a zone and the platform.
class virtual_network {
public:
    struct options {
        duration zone_latency{};  ///< One-way delay between two zones.
        duration local_latency{}; ///< One-way delay within a zone.
        double loss = 0;          ///< Fraction of datagrams that are lost.
        double duplication = 0;   ///< Fraction of datagrams that arrive twice.
    };

    virtual_network(virtual_clock& clock, options options) : m_clock(clock), m_options(options) {}

    /// Stands for the platform where the functions take the name of a zone.
    static constexpr auto platform = "platform";

    void set_loss(double loss) { m_options.loss = loss; }
    void set_duplication(double duplication) { m_options.duplication = duplication; }

    /// Cuts or restores the connection between two zones, or between a zone and the platform.
    void set_cut(std::string const& left, std::string const& right, bool is_cut);
    /// Removes all cuts.
    void clear_cuts() { m_cuts.clear(); }
    bool is_cut(std::string const& left, std::string const& right) const;

    /// Sets a one-way delay that is added to each message between two zones, in both directions.
    void set_extra_latency(std::string const& left, std::string const& right, duration extra);

    /// Draws the one-way delay of a message, with up to 20 % jitter.
    duration draw_latency(std::string const& from, std::string const& to);

    /// Sends a datagram, which may be lost, duplicated or reordered.
    void send_datagram(std::string const& from, std::string const& to, std::function<void()> const& deliver);

    /// Draws the delay that retransmissions of lost segments add to a message on a stream connection.
    duration draw_retransmission();

private:
    using zone_pair = std::pair<std::string, std::string>;

    /// Returns the same pair for both orders of the two names.
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
