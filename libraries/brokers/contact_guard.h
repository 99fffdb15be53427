#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace greengagehitch {

/// Proof that this VM exchanges messages with VMs of other availability zones.
///
/// A leader behind a cut acknowledges commits through a replica behind the cut, which VMs on the other side
/// do not know. They replace the leader by a member that lacks these commits. The success of a commit at a
/// leader in this VM's own zone is therefore passed on to its caller only once a VM of another zone has
/// answered a message that was sent after the leader's answer arrived, and if contact did not break since the
/// commit was sent. A takeover of a leader that it cannot reach waits until contact with the leader's zone
/// counts as broken there, see is_undecided(). Does no I/O itself.
class contact_guard {
public:
    /// Longest time between the messages of two round trips for which contact counts as unbroken.
    static constexpr duration max_gap = std::chrono::milliseconds(300);
    /// Time for which messages to a zone are unanswered until its VMs find that contact broke. The difference
    /// to `max_gap` covers the time of a round trip and differences between the rates of the VMs' clocks.
    static constexpr duration lapse_time = std::chrono::milliseconds(350);
    /// Time after a break for which successes are withheld, since a promotion that was ordered during the
    /// break takes effect some hundred milliseconds later.
    static constexpr duration settling_time = std::chrono::seconds(1);

    struct hooks {
        std::function<std::string()> own_zone;
        /// Returns the other zones that have VMs to which messages can be sent.
        std::function<std::vector<std::string>()> other_zones;
        /// Sends a message that is answered at once to a VM of the zone; its answer is passed to
        /// record_round_trip().
        std::function<void(std::string const& zone)> ask;
    };
    using result_callback = std::function<void(bool is_proven)>;

    contact_guard(kernel& kernel, hooks hooks) : m_kernel(kernel), m_hooks(std::move(hooks)) {}

    /// Records that a VM of the zone answered a message which was sent at `sent_at`.
    void record_round_trip(std::string const& zone, monotonic_time sent_at);

    /// Asks other zones from time to time as long as a returned pointer exists, so that contact is known to
    /// be unbroken while a commit runs at a leader in `leader_zone`. Returns null if no proof is needed.
    std::shared_ptr<void> watch(std::string const& leader_zone);

    /// Calls `done` with whether the success of a commit, which was sent at `sent_at` to a leader in
    /// `leader_zone` and answered now, may be passed on; at once if no proof is needed.
    void confirm(std::string const& leader_zone, monotonic_time sent_at, result_callback done);

    /// Returns false while contact is broken and for `settling_time` afterwards, so that no commit may be
    /// sent to a leader in `leader_zone`: a promotion that was ordered during the break may not have taken
    /// effect, and the leader acknowledges through a replica that its successor does not know. Asks while
    /// contact is broken.
    bool is_settled(std::string const& leader_zone);

    /// Returns whether VMs of the zone may still pass on successes though this VM has no contact with them.
    /// To be called repeatedly; asks the zone, so that the result is false within `lapse_time`.
    bool is_undecided(std::string const& zone);

    Json::Value dump() const;

private:
    struct zone_contact_state {
        std::optional<monotonic_time> proven_at; ///< Latest send time of a message that was answered.
        /// Time since when is_undecided() has asked the zone without an answer.
        std::optional<monotonic_time> asked_since;
        monotonic_time asked_at;
    };

    struct waiting_commit {
        monotonic_time sent_at;
        monotonic_time answered_at;
        result_callback done;
    };

    bool is_needed(std::string const& leader_zone) const;
    void renew(std::weak_ptr<bool> const& watch);
    /// Asks the zone that answered last, or all if that one leaves a message unanswered.
    void ask();
    void ask_for_waiting();
    void check_waiting();
    /// Returns whether contact is known to be unbroken since a commit was sent.
    bool is_unbroken_since(monotonic_time sent_at) const;
    void note_result(bool is_proven);

    kernel& m_kernel;
    hooks m_hooks;
    std::map<std::string, zone_contact_state> m_zones; ///< Keyed by the zone's name.
    std::string m_answering_zone;                      ///< Zone that answered last.
    std::deque<monotonic_time> m_asked;                ///< Send times of unanswered messages of ask().
    std::optional<monotonic_time> m_last_asked_at;
    std::optional<monotonic_time> m_proven_at; ///< Latest send time of an answered message to any zone.
    monotonic_time m_unbroken_since;           ///< Start of the present contact.
    std::weak_ptr<bool> m_watch;               ///< Exists while commits run.
    std::vector<waiting_commit> m_waiting;
    bool m_has_check_timer = false;
    bool m_is_withholding = false; ///< Whether the last success was withheld.
    std::uint64_t m_withheld = 0;  ///< Number of successes that were not passed on.
};

} // namespace greengagehitch
