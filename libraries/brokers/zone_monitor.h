#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "brokers/member_request.h"
#include "brokers/zone_contact.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Judges the other availability zones as a whole from the messages between this VM and theirs, so that a
/// partition is found once for a zone and not by a timeout for each of its VMs and members. Sends pings to
/// further VMs of a zone that left a message unanswered.
class zone_monitor {
public:
    struct dependencies {
        kernel& core;
        membership_service& membership;
        std::function<void(std::string const& vm)> ping; ///< Sends a message that the VM answers at once.
        /// Sends a request to some member of the zone; its reply is passed to record_member_reply().
        std::function<void(std::string const& zone)> probe_member;
        /// Called when the VMs of a zone become silent or respond again.
        std::function<void(std::string const& zone, bool is_silent)> changed;
    };

    explicit zone_monitor(dependencies dependencies) : m_dependencies(std::move(dependencies)) {}

    /// Records a message to a VM, which may be of this VM's own zone.
    void record_sent(std::string const& vm);
    void record_heard(std::string const& vm);
    /// Records the reply of a member of `zone` that was reached through `vm`, which may be this VM.
    void record_member_reply(std::string const& zone, std::string const& vm, member_reply const& reply);

    /// Judges all zones anew. Called periodically, and more often while answers are outstanding.
    void check();

    /// True when the VMs of the zone leave messages unanswered; false for this VM's own zone.
    bool is_silent(std::string const& zone) const;
    /// True when the zone is silent and its members fail as well.
    bool is_partitioned(std::string const& zone) const;
    bool has_silent_zone() const;
    /// Time since when all other zones, two or more, are silent; std::nullopt while one is heard.
    std::optional<monotonic_time> all_silent_since() const;
    /// Time at which all other zones were last found silent; std::nullopt if never.
    std::optional<monotonic_time> all_silent_until() const { return m_all_silent_until; }
    /// True when all other zones are silent and members there fail. A partition of this VM's
    /// zone is then more likely than one of all others.
    bool is_cut_off() const;

    Json::Value dump() const;

private:
    /// VMs of another zone that this VM can send messages to.
    struct zone_state {
        std::size_t vms = 0;
        bool is_silent = false; ///< Last judgement of the zone.
        std::optional<monotonic_time>
            heard_at; ///< Time of the last datagram that shows one of its VMs alive.
        monotonic_time pinged_at;
    };

    void count_vms();
    void judge(std::string const& zone, zone_state& state);
    void ping_one_of(std::string const& zone, zone_state& state);
    /// Asks the other zones if none of them was heard for a while, as they send reports all the time.
    void ask_all_if_unheard();
    /// Zone of a VM, or an empty name for this VM and unknown ones.
    std::string const& zone_of(std::string const& vm) const;
    bool is_other_zone(std::string const& zone) const;

    dependencies m_dependencies;
    zone_contact m_contact;
    std::map<std::string, zone_state> m_zones; ///< Keyed by the zone's name; without this VM's own zone.
    std::map<std::string, monotonic_time> m_pinged_at; ///< Keyed by VM name.
    monotonic_time m_checked_at;
    monotonic_time m_counted_at;
    std::optional<monotonic_time> m_all_silent_until;
    monotonic_time m_heard_at; ///< Time at which a VM of any other zone was last heard.
};

} // namespace greengagehitch
