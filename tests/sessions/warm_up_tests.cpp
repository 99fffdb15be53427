#include <algorithm>

#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

/// Requests in a second that the members accept while they warm up.
constexpr std::size_t allowed = 12;

/// Load pattern: a member returns under the load that the group has when all members run.
struct warm_up_fixture {
    explicit warm_up_fixture(double rate = allowed)
    {
        fleet.change_configuration([rate](served_configuration& configuration) {
            for (auto& [name, limits] : configuration.groups) {
                limits.warm_up_time = 4s;
                limits.warm_up_rate = rate;
            }
        });
        fleet.clock().run_for(4s);
    }

    /// Lets each VM send a read of bounded age and one of every commit each 10 ms.
    void load_for(duration length)
    {
        auto const end = fleet.clock().now() + length;
        while (fleet.clock().now() < end) {
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm) {
                for (auto const consistency :
                     {read_consistency::bounded_age, read_consistency::every_commit}) {
                    callers.emplace_back(fleet, vm, session_fleet::database_of(0, consistency),
                                         session_fleet::key_of(0));
                    if (callers.back().is_open()) {
                        callers.back().send(session_caller::read("x"));
                    }
                }
            }
            fleet.clock().run_for(10ms);
        }
    }

    std::size_t answered() const
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](auto const& each) {
            return !each.answers().empty() && each.answers().front().is_ok();
        }));
    }

    /// Greatest number of statements that arrived at a member in a second after `since`.
    std::size_t most_in_a_second(std::string const& member, monotonic_time since)
    {
        auto const& times = fleet.group().arrival_times(member);
        std::size_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), since);
        for (auto each = first; each != times.end(); ++each) {
            while (*each - *first > 1s) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(each - first) + 1);
        }
        return most;
    }

    static session_fleet_shape shape()
    {
        session_fleet_shape shape;
        shape.group.warm_up_time = 4s;
        return shape;
    }

    session_fleet fleet{shape(), 1};
    std::vector<session_caller> callers;
};

} // namespace

Test(warm_up, replica_that_returns_is_paced_and_reads_go_to_warm_members)
{
    warm_up_fixture fixture;
    auto const member = fixture.fleet.group().ids()[2];
    fixture.load_for(1s);
    fixture.fleet.group().faults(member).is_down = true;
    fixture.load_for(500ms);
    fixture.fleet.group().restart(member);
    auto const returned_at = fixture.fleet.clock().now();
    fixture.load_for(3s);
    auto const most = fixture.most_in_a_second(member, returned_at);
    cr_assert(most <= allowed, "%zu requests in a second", most);
}

Test(warm_up, leader_that_returns_is_paced)
{
    warm_up_fixture fixture;
    auto const member = fixture.fleet.group().leader();
    fixture.load_for(1s);
    fixture.fleet.group().faults(member).is_down = true;
    fixture.load_for(200ms);
    fixture.fleet.group().restart(member);
    auto const returned_at = fixture.fleet.clock().now();
    fixture.load_for(3s);
    auto const most = fixture.most_in_a_second(member, returned_at);
    cr_assert(most <= allowed, "%zu requests in a second", most);
}

/// Failure pattern: the broker is cut off from its peers, which choose another one, but both reach the
/// member.
Test(warm_up, two_brokers_together_keep_the_pace)
{
    warm_up_fixture fixture;
    auto const member = fixture.fleet.group().leader();
    fixture.load_for(1s);
    fixture.fleet.group().faults(member).is_down = true;
    fixture.load_for(200ms);
    for (std::size_t vm = 0; vm < fixture.fleet.vms(); ++vm) {
        fixture.fleet.set_peer_cut(vm, fixture.fleet.vm(vm).brokers().is_broker_of(member));
    }
    fixture.fleet.group().restart(member);
    auto const returned_at = fixture.fleet.clock().now();
    fixture.load_for(3s);
    auto const most = fixture.most_in_a_second(member, returned_at);
    cr_assert(most <= allowed, "%zu requests in a second", most);
}

Test(warm_up, group_without_a_warm_up_is_not_paced)
{
    warm_up_fixture fixture(0);
    fixture.fleet.change_configuration([](served_configuration& configuration) {
        for (auto& [name, limits] : configuration.groups) {
            limits = {limits.max_connections, limits.synchronous_replicas, 0s, 0};
        }
    });
    auto const member = fixture.fleet.group().leader();
    fixture.load_for(1s);
    fixture.fleet.group().faults(member).is_down = true;
    fixture.load_for(200ms);
    fixture.fleet.group().restart(member);
    auto const returned_at = fixture.fleet.clock().now();
    fixture.load_for(2s);
    cr_assert(fixture.most_in_a_second(member, returned_at) > 2 * allowed);
}
