#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "membership/membership_service.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr auto secret = "secret";

/// Membership of one VM, to which a test passes the datagrams of a peer.
struct membership_fixture {
    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return now; };
        hooks.random = [] { return std::uint64_t{0}; };
        hooks.start_timer = [this](duration, std::function<void()> callback) {
            timers.push_back(std::move(callback));
            return timer_id::none;
        };
        hooks.cancel_timer = [](timer_id) {};
        hooks.log = [](log_record const&) {};
        return hooks;
    }

    explicit membership_fixture(std::uint64_t incarnation = 7) : own_incarnation(incarnation) {}

    /// Runs the timers that are due next, which send heartbeats once the membership was started.
    void run_timers()
    {
        for (auto const& callback : std::exchange(timers, {})) {
            callback();
        }
    }

    void receive(std::uint64_t incarnation, bool is_leaving, std::uint64_t echoed_sequence = 0)
    {
        heartbeat message;
        message.echoed_sequence = echoed_sequence;
        message.sender = {"vm-2", "a", incarnation, "10.0.0.2", 1, is_leaving};
        message.is_reply = true;
        membership.handle_datagram(peer_codec(secret).encode({"vm-2", incarnation, std::move(message)}));
    }

    std::uint64_t own_incarnation;
    std::vector<std::function<void()>> timers;
    std::vector<std::uint64_t> sent_sequences; ///< Sequence numbers of the heartbeats that were sent.
    monotonic_time now{1h};
    kernel core{make_kernel_hooks()};
    platform_hooks platform;
    membership_service membership{core,
                                  platform,
                                  {"vm-1", "a", {"10.0.0.1", 1}, own_incarnation, 1},
                                  peer_codec(secret),
                                  [this](endpoint const&, std::string const& datagram) {
                                      auto const envelope = peer_codec(secret).try_decode(datagram);
                                      if (auto const* sent = std::get_if<heartbeat>(&envelope->message)) {
                                          sent_sequences.push_back(sent->sequence);
                                      }
                                  }};
};

} // namespace

/// Guards against state of a process that has ended: its last datagram, "leaving", arrives after those of the
/// process that was started in its place.
Test(membership, delayed_datagram_of_an_ended_process_is_dropped)
{
    membership_fixture fixture;
    fixture.receive(1, false);
    fixture.receive(2, false);
    fixture.receive(1, true);
    auto const& peer = fixture.membership.peers().at("vm-2");
    cr_assert(peer.incarnation == 2);
    cr_assert(!peer.is_leaving);
}

Test(membership, restarted_process_that_serves_again_is_no_longer_leaving)
{
    membership_fixture fixture;
    fixture.receive(1, true);
    cr_assert(fixture.membership.peers().at("vm-2").is_leaving);
    fixture.receive(2, false);
    cr_assert(!fixture.membership.peers().at("vm-2").is_leaving);
}

/// Guards against work for a VM that shuts down. The zone report that listed it as serving was written before
/// its own report and arrived after it.
Test(membership, older_zone_report_does_not_cancel_a_reported_shutdown)
{
    membership_fixture fixture;
    fixture.receive(1, false);
    fixture.receive(1, true);
    fixture.now += 400ms;
    fixture.membership.record_indirect_contact("vm-2");
    auto const& peer = fixture.membership.peers().at("vm-2");
    cr_assert(peer.is_leaving);
    cr_assert(!fixture.membership.accepts_work(peer));
}

/// Guards against a VM of another zone that has restarted and gets no work, since its own messages seldom
/// arrive.
Test(membership, zone_report_long_after_the_shutdown_shows_that_the_vm_serves_again)
{
    membership_fixture fixture;
    fixture.receive(1, true);
    fixture.now += 10s;
    fixture.membership.record_indirect_contact("vm-2");
    auto const& peer = fixture.membership.peers().at("vm-2");
    cr_assert(!peer.is_leaving);
    cr_assert(fixture.membership.accepts_work(peer));
}

/// Guards against contact that does not exist: a peer that does not hear this VM goes on echoing the last
/// heartbeat of the process that has ended. The new process counted from 1 as well, so the echo had the
/// number of one of its own heartbeats.
Test(membership, echo_of_a_heartbeat_of_an_ended_process_is_no_contact)
{
    constexpr std::uint64_t ended_process = 0x1234'5678'9abc'def0;
    constexpr std::uint64_t next_process = 0xfedc'ba98'7654'3210;
    constexpr std::uint64_t peer_process = 1;
    membership_fixture ended(ended_process);
    membership_fixture next(next_process);
    for (auto* const each : {&ended, &next}) {
        each->platform.list_vms = [](auto const&) {};
        each->membership.start();
        each->receive(peer_process, false);
        each->run_timers();
        cr_assert(!each->sent_sequences.empty(), "no heartbeat was sent");
    }
    next.receive(peer_process, false, ended.sent_sequences.back());
    cr_assert(!next.membership.peers().at("vm-2").echoed_heartbeat_sent_at, "the echo counted as contact");
    next.receive(peer_process, false, next.sent_sequences.back());
    cr_assert(next.membership.peers().at("vm-2").echoed_heartbeat_sent_at,
              "the echo did not count as contact");
}
