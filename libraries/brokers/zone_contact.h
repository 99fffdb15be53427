#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace greengagehitch {

/// Judges from the messages of this VM whether an availability zone is partitioned from it.
///
/// A VM of a zone that leaves a message unanswered may be frozen or overloaded. Only a zone of which several
/// VMs left a message unanswered, and no VM was heard since, is silent. Its members may still be reachable
/// without its VMs, so the zone counts as partitioned once a member there failed too. Any message from a VM
/// of the zone ends both, and any answer of a member there ends the partition. Does no I/O and reads no
/// clock.
class zone_contact {
public:
    /// Time after which a message without any word from the zone counts as unanswered.
    static constexpr duration answer_limit = std::chrono::milliseconds(350);

    /// Records that a message that the VM answers at once was sent to it.
    void record_sent(std::string const& zone, std::string const& vm, monotonic_time now);
    /// Records that a message of any VM of the zone arrived at `heard_at`, which may be in the past.
    void record_heard(std::string const& zone, monotonic_time heard_at);
    /// Forgets all unanswered messages, since this VM could not read answers for a while.
    void forget_sent();
    /// Records that a member of the zone could not be reached or did not answer.
    void record_member_failure(std::string const& zone, monotonic_time now);
    /// Records that a member of the zone answered.
    void record_member_response(std::string const& zone, monotonic_time now);

    /// Time since when the zone's VMs are silent; std::nullopt while they are not. `known_vms` is the number
    /// of VMs of the zone that this VM can send messages to.
    std::optional<monotonic_time> silent_since(std::string const& zone, std::size_t known_vms,
                                               monotonic_time now) const;
    /// True when the zone's VMs are silent and its members fail as well.
    bool is_partitioned(std::string const& zone, std::size_t known_vms, monotonic_time now) const;

    /// Time of the first message to the zone since its VMs were last heard; std::nullopt if there is none.
    std::optional<monotonic_time> unanswered_since(std::string const& zone) const;

private:
    struct contact {
        /// Times of the first message to each VM since the zone was last heard, keyed by VM name.
        std::map<std::string, monotonic_time> unanswered;
        std::optional<monotonic_time> member_failed_at;
        std::optional<monotonic_time> member_answered_at;
    };

    std::map<std::string, contact> m_zones; ///< Keyed by the zone's name.
};

} // namespace greengagehitch
