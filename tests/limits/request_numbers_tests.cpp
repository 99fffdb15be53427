#include <cstdint>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "rate_load.h"
#include "wire/peer_codec.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t peer = 0;
constexpr std::size_t restarted = 1;
/// More requests than a VM sends in these tests.
constexpr std::uint64_t most_requests = 500;

/// VM that has just been started in place of another process, and a peer.
struct restarted_vm_fixture {
    restarted_vm_fixture()
    {
        fleet.clock().run_for(5s);
        fleet.kill_vm(restarted);
        fleet.clock().run_for(100ms);
        fleet.start_vm(restarted);
        fleet.clock().run_for(4s);
    }

    /// Passes a message to the restarted VM that its peer sent.
    void receive(peer_message message)
    {
        auto const incarnation = std::stoull(fleet.vm(peer).dump()["membership"]["incarnation"].asString());
        peer_codec const codec(hmac_sha256("secret of the virtual fleet", "peers"));
        fleet.vm(restarted).handle_datagram(codec.encode({"vm-0", incarnation, std::move(message)}));
    }

    std::uint64_t borrowed()
    {
        return fleet.vm(restarted)
            .dump()["rate_shares"][session_fleet::account_name(0)]["borrowed"]
            .asUInt64();
    }

    session_fleet fleet{shape_with_rate(50), 1};
};

} // namespace

/// Guards against tokens that two processes of a VM use: a grant to the process that has ended answered a
/// request of the next one, since both counted their requests from 1.
Test(request_numbers, late_grant_to_an_ended_process_grants_the_next_one_no_tokens)
{
    restarted_vm_fixture fixture;
    fixture.fleet.set_peer_cut(peer, true);
    auto& rates = fixture.fleet.vm(restarted).sessions().rates();
    for (auto i = 0; i < 100; ++i) {
        rates.take(session_fleet::account_name(0), [](std::optional<duration> const&) {});
    }
    fixture.fleet.clock().run_for(10ms);
    auto const borrowed = fixture.borrowed();
    for (std::uint64_t number = 1; number <= most_requests; ++number) {
        fixture.receive(token_grant{session_fleet::account_name(0), number, 1, 0});
    }
    cr_assert(fixture.borrowed() == borrowed, "%d tokens were granted",
              static_cast<int>(fixture.borrowed() - borrowed));
}

/// Guards against a configuration that counts as newer than it is: the answer to a question of the process
/// that has ended confirmed it as of a question of the next one.
Test(request_numbers, late_store_status_for_an_ended_process_confirms_no_configuration)
{
    restarted_vm_fixture fixture;
    fixture.fleet.set_store_cut(restarted, true);
    fixture.fleet.set_peer_cut(peer, true);
    fixture.fleet.clock().run_for(1s);
    auto const age = fixture.fleet.vm(restarted).fleet().configuration_age();
    auto const version = fixture.fleet.vm(restarted).fleet().configuration()->version;
    cr_assert(age.has_value());
    for (std::uint32_t number = 1; number <= most_requests; ++number) {
        fixture.receive(store_status_reply{number, version, 0, 0, 0, {}});
    }
    cr_assert(fixture.fleet.vm(restarted).fleet().configuration_age() == age);
}
