#include "brokers/zone_contact.h"

#include <algorithm>

namespace greengagehitch {

namespace {

/// Number of VMs that must leave a message unanswered until their zone counts as silent.
constexpr std::size_t silent_vms_of_zone = 2;

} // namespace

void zone_contact::record_sent(std::string const& zone, std::string const& vm, monotonic_time now)
{
    m_zones[zone].unanswered.try_emplace(vm, now);
}

void zone_contact::record_heard(std::string const& zone, monotonic_time heard_at)
{
    auto const found = m_zones.find(zone);
    if (found != m_zones.end()) {
        std::erase_if(found->second.unanswered,
                      [heard_at](auto const& each) { return each.second <= heard_at; });
    }
}

void zone_contact::forget_sent()
{
    for (auto& [zone, contact] : m_zones) {
        contact.unanswered.clear();
    }
}

void zone_contact::record_member_failure(std::string const& zone, monotonic_time now)
{
    m_zones[zone].member_failed_at = now;
}

void zone_contact::record_member_response(std::string const& zone, monotonic_time now)
{
    m_zones[zone].member_answered_at = now;
}

std::optional<monotonic_time> zone_contact::silent_since(std::string const& zone, std::size_t known_vms,
                                                         monotonic_time now) const
{
    auto const found = m_zones.find(zone);
    if (found == m_zones.end() || known_vms == 0) {
        return std::nullopt;
    }
    auto const& sent = found->second.unanswered;
    auto const overdue = static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [now](auto const& each) { return now - each.second >= answer_limit; }));
    return overdue >= std::min(silent_vms_of_zone, known_vms) ? unanswered_since(zone) : std::nullopt;
}

bool zone_contact::is_partitioned(std::string const& zone, std::size_t known_vms, monotonic_time now) const
{
    auto const since = silent_since(zone, known_vms, now);
    if (!since) {
        return false;
    }
    auto const& contact = m_zones.at(zone);
    auto const has_failure = contact.member_failed_at && *contact.member_failed_at >= *since;
    auto const has_answer = contact.member_answered_at && *contact.member_answered_at >= *since;
    return has_failure && !has_answer;
}

std::optional<monotonic_time> zone_contact::unanswered_since(std::string const& zone) const
{
    auto const found = m_zones.find(zone);
    if (found == m_zones.end() || found->second.unanswered.empty()) {
        return std::nullopt;
    }
    auto since = found->second.unanswered.begin()->second;
    for (auto const& [vm, sent_at] : found->second.unanswered) {
        since = std::min(since, sent_at);
    }
    return since;
}

} // namespace greengagehitch
