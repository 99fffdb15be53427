#include <criterion/criterion.h>

#include <string>

#include <fmt/format.h>

#include "base/digest.h"
#include "support/fleet_fixture.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Runs 8 VMs under load and with faults. Returns all log records, all responses, the final state of each VM
/// and the number of events.
std::string record_trace(std::uint64_t seed)
{
    std::string trace;
    auto const shape = umuganda_shape();
    auto const setup = make_setup(shape, 8, 1e6, 1e6);
    virtual_fleet fleet(shape, seed);
    fleet.set_trace([&trace](std::string const& line) { trace += line + "\n"; });
    fleet.store_configuration(setup.document, setup.keys);
    fleet.network().set_loss(0.02);
    fleet.start_all();
    fleet.clock().run_for(2s);
    for (int i = 0; i < 400; ++i) {
        caller_request request;
        request.class_name = i % 2 == 0 ? "bookings" : "own_reads";
        request.key = setup.key_of_account.at(account_name(fleet.clock().random_below(8)));
        request.statements.push_back(
            i % 2 == 0 ? statement{"insert into entries (name) values ($1)", {std::to_string(i)}}
                       : statement{"select count(*) from entries", {}});
        fleet.call(fleet.clock().random_below(8), request,
                   [&trace, &fleet, i](caller_response const& response) {
                       auto const* const refused = std::get_if<refusal>(&response);
                       trace += fmt::format(
                           "{} answer {} {}\n", fleet.clock().now().time_since_epoch().count(), i,
                           refused != nullptr ? refused->message : std::get<caller_answer>(response).session);
                   });
        fleet.clock().run_for(5ms);
        if (i == 200) {
            fleet.kill_vm(3);
            fleet.cut_zone("gasabo", true, true);
        }
    }
    fleet.clock().run_for(5s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        trace += fleet.vm(i) != nullptr ? fleet.vm(i)->dump().toStyledString() : "down\n";
    }
    return trace + std::to_string(fleet.clock().events());
}

} // namespace

Test(replay, run_of_eight_vms_repeats_byte_for_byte_from_its_seed)
{
    auto const first = record_trace(7);
    auto const second = record_trace(7);
    cr_assert(first.size() > 10'000);
    cr_assert(first == second, "traces differ: %s and %s", to_hex(sha256(first)).c_str(),
              to_hex(sha256(second)).c_str());
}

Test(replay, runs_of_different_seeds_differ)
{
    cr_assert(record_trace(7) != record_trace(8));
}
