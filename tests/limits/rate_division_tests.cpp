#include <numeric>

#include <criterion/criterion.h>

#include <fmt/format.h>

#include "rate_load.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr double tolerance = 1e-9;
constexpr double large_capacity = 1'000;

} // namespace

Test(rate_division, shares_of_vms_in_contact_sum_to_one)
{
    std::vector<std::map<name_hash, double>> const demands{
        {{hash_name("t"), 10}}, {{hash_name("t"), 0}}, {{hash_name("t"), 30}}};
    double sum = 0;
    for (std::size_t own = 0; own < demands.size(); ++own) {
        rate_division division;
        division.reset(demands.size());
        division.add_own_demands(demands[own]);
        for (std::size_t other = 0; other < demands.size(); ++other) {
            if (other != own) {
                division.add_zone_peer(demands[other]);
            }
        }
        sum += division.share_of("t", large_capacity, {own == 1, own == 2});
    }
    cr_assert(std::abs(sum - 1) < tolerance);
}

Test(rate_division, shares_of_two_zones_sum_to_one)
{
    std::map<name_hash, double> const here{{hash_name("t"), 10}};
    std::map<name_hash, double> const there{{hash_name("t"), 30}};
    for (auto const capacity : {large_capacity, 6.0, 1.0}) {
        double sum = 0;
        for (auto const& [is_first_zone, vm] :
             {std::pair(true, 0), std::pair(true, 1), std::pair(false, 0), std::pair(false, 1)}) {
            auto const& own_zone = is_first_zone ? here : there;
            rate_division division;
            division.reset(4);
            division.add_own_demands(vm == 0 ? own_zone : std::map<name_hash, double>{});
            division.add_zone_peer(vm == 0 ? std::map<name_hash, double>{} : own_zone);
            division.set_reported_zone(2, own_zone);
            division.add_other_zone(2, is_first_zone ? there : here);
            sum += division.share_of("t", capacity, {is_first_zone && vm == 0, vm == 1});
        }
        cr_assert(std::abs(sum - 1) < tolerance);
    }
}

/// Failure: a VM of each zone shuts down. Its own zone still hears from it, and the others no longer count
/// it.
Test(rate_division, shares_of_zones_with_vms_that_shut_down_sum_to_one)
{
    for (auto const capacity : {large_capacity, 10.0}) {
        std::vector<std::size_t> const reported{2, 2, 1};
        double sum = 0;
        for (std::size_t zone = 0; zone < reported.size(); ++zone) {
            rate_division division;
            division.reset(5);
            for (std::size_t peer = 0; peer < reported[zone]; ++peer) {
                division.add_zone_peer({});
            }
            division.set_reported_zone(reported[zone], {});
            for (std::size_t other = 0; other < reported.size(); ++other) {
                if (other != zone) {
                    division.add_other_zone(reported[other], {});
                }
            }
            sum += division.share_of("t", capacity, {zone == 0, true});
        }
        cr_assert(std::abs(sum - 1) < tolerance, "%f", sum);
    }
}

Test(rate_division, vm_without_contact_takes_an_equal_share)
{
    rate_division division;
    division.reset(8);
    division.add_own_demands({{hash_name("t"), 100}});
    cr_assert(std::abs(division.share_of("t", large_capacity, {true, true}) - 1.0 / 8) < tolerance);
}

Test(rate_shares, demand_at_one_vm_gets_most_of_the_rate)
{
    session_fleet fleet(shape_with_rate(40), 1);
    fleet.clock().run_for(5s);
    admission_count admitted(fleet.clock());
    std::size_t refused = 0;
    request_operations(fleet, {0}, 32, 30s, admitted, refused);
    cr_assert(refused <= admitted.total() / 100, "%zu operations were refused, %zu admitted", refused,
              admitted.total());
}

Test(rate_shares, flood_at_all_vms_stays_within_each_window)
{
    for (auto const rate : {5.0, 40.0, 150.0}) {
        session_fleet fleet(shape_with_rate(rate), 2);
        fleet.clock().run_for(5s);
        admission_count admitted(fleet.clock());
        std::size_t refused = 0;
        request_operations(fleet, {0, 1, 2, 3, 4}, 6 * rate, 20s, admitted, refused);
        auto const most = static_cast<double>(admitted.max_in(5s));
        cr_assert(most <= max_operations_in_window(rate),
                  "%f operations were admitted in a window at rate %f", most, rate);
        cr_assert(most >= 5 * rate * 0.9);
    }
}

Test(rate_shares, partition_and_restarts_of_all_vms_stay_within_each_window)
{
    session_fleet fleet(shape_with_rate(40), 3);
    fleet.clock().run_for(5s);
    admission_count admitted(fleet.clock());
    std::size_t refused = 0;
    request_operations(fleet, {0, 1, 2, 3, 4}, 200, 6s, admitted, refused);
    fleet.set_peer_cut(0, true);
    fleet.set_peer_cut(1, true);
    request_operations(fleet, {0, 1, 2, 3, 4}, 200, 8s, admitted, refused);
    fleet.set_peer_cut(0, false);
    fleet.set_peer_cut(1, false);
    request_operations(fleet, {0, 1, 2, 3, 4}, 200, 4s, admitted, refused);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        fleet.kill_vm(i);
    }
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        fleet.start_vm(i);
    }
    request_operations(fleet, {0, 1, 2, 3, 4}, 200, 8s, admitted, refused);
    auto const most = static_cast<double>(admitted.max_in(5s));
    cr_assert(most <= max_operations_in_window(40), "%f operations were admitted in a window", most);
}

Test(rate_shares, vms_that_all_restarted_share_uneven_demand_within_half_a_second)
{
    session_fleet fleet(shape_with_rate(80), 4);
    fleet.clock().run_for(5s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        fleet.kill_vm(i);
    }
    fleet.clock().run_for(1s);
    for (std::size_t i = 0; i < fleet.vms(); ++i) {
        fleet.start_vm(i);
    }
    fleet.clock().run_for(500ms);
    admission_count admitted(fleet.clock());
    std::size_t refused = 0;
    request_operations(fleet, {0, 1}, 40, 1s, admitted, refused);
    cr_assert(refused <= admitted.total() / 20, "%zu operations were refused, %zu admitted", refused,
              admitted.total());
}

/// Guards against refusals below the rate when the operations of an account are spread so thinly over many
/// VMs that no VM can estimate its own demand.
Test(rate_shares, sparse_demand_at_many_vms_is_served_within_the_rate)
{
    auto shape = shape_with_rate(16);
    shape.zones.clear();
    for (int vm = 0; vm < 40; ++vm) {
        shape.zones.push_back(std::string(1, static_cast<char>('a' + vm % 4)));
    }
    session_fleet fleet(shape, 5);
    fleet.clock().run_for(6s);
    std::vector<std::size_t> vms(fleet.vms());
    std::iota(vms.begin(), vms.end(), 0);
    admission_count admitted(fleet.clock());
    std::size_t refused = 0;
    request_operations(fleet, vms, 10, 30s, admitted, refused);
    cr_assert(refused <= admitted.total() / 50, "%zu operations were refused, %zu admitted", refused,
              admitted.total());
}
