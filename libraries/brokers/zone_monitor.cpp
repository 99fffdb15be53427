#include "brokers/zone_monitor.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace greengagehitch {

namespace {

/// Time without an answer after which a second VM of the zone is asked.
constexpr duration ping_after = std::chrono::milliseconds(120);
/// Shortest time between pings to a silent zone, and to the same VM.
constexpr duration ping_interval = std::chrono::milliseconds(250);
/// Time without a message from any other zone after which all of them are asked.
constexpr duration unheard_limit = std::chrono::milliseconds(400);
/// Interval at which the VMs of the zones are counted while all zones answer.
constexpr duration count_interval = std::chrono::milliseconds(200);
/// Time between two checks above which this VM was probably paused while answers arrived.
constexpr duration pause_limit = std::chrono::milliseconds(500);
/// Fewest other zones that must be silent until this VM considers its own zone cut off.
constexpr std::size_t min_other_zones = 2;

} // namespace

std::string const& zone_monitor::zone_of(std::string const& vm) const
{
    static std::string const unknown;
    auto const& peers = m_dependencies.membership.peers();
    auto const found = peers.find(vm);
    return found == peers.end() ? unknown : found->second.availability_zone;
}

bool zone_monitor::is_other_zone(std::string const& zone) const
{
    return !zone.empty() && zone != m_dependencies.membership.identity().availability_zone;
}

void zone_monitor::record_sent(std::string const& vm)
{
    auto const& zone = zone_of(vm);
    if (is_other_zone(zone)) {
        m_contact.record_sent(zone, vm, m_dependencies.core.now());
    }
}

void zone_monitor::record_heard(std::string const& vm)
{
    auto const& zone = zone_of(vm);
    if (is_other_zone(zone)) {
        m_heard_at = m_dependencies.core.now();
        m_contact.record_heard(zone, m_heard_at);
    }
}

void zone_monitor::record_member_reply(std::string const& zone, std::string const& vm,
                                       member_reply const& reply)
{
    if (!is_other_zone(zone) || zone_of(vm) == zone) {
        return;
    }
    auto const& error = reply.answers.back().error;
    if (!error || is_answer(*error)) {
        m_contact.record_member_response(zone, m_dependencies.core.now());
    }
    else if (*error != member_error::not_started && *error != member_error::unproven_leader) {
        m_contact.record_member_failure(zone, m_dependencies.core.now());
    }
}

void zone_monitor::check()
{
    auto const now = m_dependencies.core.now();
    if (now - std::exchange(m_checked_at, now) > pause_limit) {
        // Answers may wait to be read.
        m_contact.forget_sent();
    }
    auto const is_in_doubt = std::any_of(m_zones.begin(), m_zones.end(), [this, now](auto const& each) {
        auto const since = m_contact.unanswered_since(each.first);
        return each.second.is_silent || (since && now - *since >= ping_after);
    });
    if (is_in_doubt || now - m_counted_at >= count_interval) {
        m_counted_at = now;
        count_vms();
    }
    for (auto& [zone, state] : m_zones) {
        judge(zone, state);
    }
    if (all_silent_since()) {
        m_all_silent_until = now;
    }
    ask_all_if_unheard();
}

void zone_monitor::ask_all_if_unheard()
{
    auto const now = m_dependencies.core.now();
    if (now - m_heard_at < unheard_limit) {
        return;
    }
    for (auto& [zone, state] : m_zones) {
        if (!state.is_silent && now - state.pinged_at >= ping_interval) {
            ping_one_of(zone, state);
        }
    }
}

void zone_monitor::count_vms()
{
    for (auto& [zone, state] : m_zones) {
        state.vms = 0;
    }
    auto const& membership = m_dependencies.membership;
    for (auto const& [name, peer] : membership.peers()) {
        if (!is_other_zone(peer.availability_zone) || peer.address.port == 0 ||
            !membership.accepts_work(peer)) {
            continue;
        }
        auto& state = m_zones[peer.availability_zone];
        ++state.vms;
        state.heard_at = std::max({state.heard_at, peer.last_received_at, peer.indirect_contact_at});
    }
    std::erase_if(m_zones, [](auto const& each) { return each.second.vms == 0; });
    for (auto const& [zone, state] : m_zones) {
        if (state.heard_at) {
            m_contact.record_heard(zone, *state.heard_at);
            m_heard_at = std::max(m_heard_at, *state.heard_at);
        }
    }
}

void zone_monitor::judge(std::string const& zone, zone_state& state)
{
    auto const now = m_dependencies.core.now();
    auto const since = m_contact.silent_since(zone, state.vms, now);
    if (std::exchange(state.is_silent, since.has_value()) != since.has_value()) {
        Json::Value fields(Json::objectValue);
        fields["availability_zone"] = zone;
        if (since) {
            fields["silent_ms"] = to_milliseconds(now - *since);
        }
        m_dependencies.core.log(log_level::info, "brokers",
                                since ? "VMs of an availability zone stopped responding"
                                      : "VMs of an availability zone respond again",
                                std::move(fields));
        m_dependencies.changed(zone, since.has_value());
    }
    if (since) {
        if (now - state.pinged_at >= ping_interval) {
            ping_one_of(zone, state);
            m_dependencies.probe_member(zone);
        }
        return;
    }
    // One unanswered message may be due to its VM, so another one is asked. Asking the remaining zones while
    // one is silent shows whether this VM's own zone is cut off.
    auto const unanswered_since = m_contact.unanswered_since(zone);
    auto const is_in_doubt = unanswered_since ? now - *unanswered_since >= ping_after : has_silent_zone();
    if (is_in_doubt && now - state.pinged_at >= ping_after) {
        ping_one_of(zone, state);
    }
}

void zone_monitor::ping_one_of(std::string const& zone, zone_state& state)
{
    auto const now = m_dependencies.core.now();
    state.pinged_at = now;
    std::vector<std::string> candidates;
    for (auto const& [name, peer] : m_dependencies.membership.peers()) {
        if (peer.availability_zone == zone && peer.address.port != 0 &&
            m_dependencies.membership.accepts_work(peer) && now - m_pinged_at[name] >= ping_interval) {
            candidates.push_back(name);
        }
    }
    if (candidates.empty()) {
        return;
    }
    auto const& vm = candidates[m_dependencies.core.random_below(candidates.size())];
    m_pinged_at[vm] = now;
    record_sent(vm);
    m_dependencies.ping(vm);
}

bool zone_monitor::is_silent(std::string const& zone) const
{
    auto const found = m_zones.find(zone);
    return found != m_zones.end() && found->second.is_silent;
}

bool zone_monitor::is_partitioned(std::string const& zone) const
{
    auto const found = m_zones.find(zone);
    return found != m_zones.end() && found->second.is_silent &&
           m_contact.is_partitioned(zone, found->second.vms, m_dependencies.core.now());
}

bool zone_monitor::has_silent_zone() const
{
    return std::any_of(m_zones.begin(), m_zones.end(),
                       [](auto const& each) { return each.second.is_silent; });
}

std::optional<monotonic_time> zone_monitor::all_silent_since() const
{
    if (m_zones.size() < min_other_zones) {
        return std::nullopt;
    }
    std::optional<monotonic_time> latest;
    for (auto const& [zone, state] : m_zones) {
        if (!state.is_silent) {
            return std::nullopt;
        }
        latest = std::max(latest, m_contact.unanswered_since(zone));
    }
    return latest;
}

bool zone_monitor::is_cut_off() const
{
    return all_silent_since() && std::any_of(m_zones.begin(), m_zones.end(),
                                             [this](auto const& each) { return is_partitioned(each.first); });
}

Json::Value zone_monitor::dump() const
{
    Json::Value zones(Json::objectValue);
    for (auto const& [zone, state] : m_zones) {
        zones[zone]["vms"] = Json::UInt64(state.vms);
        zones[zone]["is_silent"] = state.is_silent;
        zones[zone]["is_partitioned"] = is_partitioned(zone);
    }
    return zones;
}

} // namespace greengagehitch
