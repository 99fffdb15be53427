#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "platform/platform_adapter.h"
#include "virtual_clock.h"
#include "virtual_store.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr auto vms_table = "greengagehitch-vms";
constexpr duration register_period = 25s;

/// One VM that lists the VMs of its fleet in the platform's store.
struct vm_list_fixture {
    vm_list_fixture() { adapter.start(); }

    /// Writes the entry of another VM as that VM does.
    void put(std::string const& name)
    {
        store.put(vms_table, name,
                  R"({"availability_zone":"a","host":"10.0.0.2","port":7000,"processor_share":1.0})");
    }

    /// Names of the listed VMs, or no value if the list could not be read.
    std::optional<std::set<std::string>> list()
    {
        std::optional<std::set<std::string>> names;
        adapter.hooks().list_vms([&names](absl::StatusOr<std::vector<vm_record>> const& records) {
            if (records.ok()) {
                names.emplace();
                for (auto const& record : *records) {
                    names->insert(record.name);
                }
            }
        });
        clock.run_for(1s);
        return names;
    }

    /// Another VM, which renews its own entry.
    struct peer_vm {
        explicit peer_vm(vm_list_fixture& fixture)
            : core(fixture.make_hooks()), client(fixture.store.hook("vm-1"), fixture.store.hook("vm-1"), 1s),
              adapter(core, client,
                      {"vm-1", "a", {"10.0.0.2", 7000}, 1, register_period, fixture.unix_time_ms()})
        {
            adapter.start();
        }

        kernel core;
        store_client client;
        platform_adapter adapter;
    };

    void start_peer()
    {
        peer = std::make_unique<peer_vm>(*this);
        clock.run_for(1s);
    }

    std::uint64_t unix_time_ms() const
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch()).count());
    }

    kernel_hooks make_hooks()
    {
        return {[this] { return clock.now(); }, [this] { return clock.random()(); },
                [this](duration delay, std::function<void()> callback) {
                    return clock.start_timer(delay, std::move(callback));
                },
                [this](timer_id timer) { clock.cancel_timer(timer); }, [](log_record const&) {}};
    }

    virtual_clock clock{1};
    virtual_store store{clock, 4ms};
    kernel core{make_hooks()};
    store_client client{store.hook("vm-0"), store.hook("vm-0"), 1s};
    platform_adapter adapter{core, client, {"vm-0", "a", {"10.0.0.1", 7000}, 1, register_period}};
    std::unique_ptr<peer_vm> peer;
};

} // namespace

/// Guards against a fleet that does not know its last VMs: the list was read up to the largest number of rows
/// that the store returns at once.
Test(vm_list, list_of_a_large_fleet_names_all_vms)
{
    constexpr std::size_t vms = 1'700;
    vm_list_fixture fixture;
    for (std::size_t i = 1; i < vms; ++i) {
        fixture.put(fmt::format("vm-{}", i));
    }
    auto const listed = fixture.list();
    cr_assert(listed, "the list was not read");
    cr_assert(listed->size() == vms, "%zu of %zu VMs are listed", listed->size(), vms);
}

/// Guards against a VM that counts as live after it has stopped: an entry that a restore of the store brought
/// back had another version than the last one and counted as renewed.
Test(vm_list, restored_entry_of_a_stopped_vm_is_not_renewed)
{
    vm_list_fixture fixture;
    fixture.start_peer();
    cr_assert(fixture.list() == (std::set<std::string>{"vm-0", "vm-1"}));
    auto const copy = fixture.store.contents();
    fixture.clock.run_for(2 * register_period);
    fixture.list();
    fixture.peer.reset();
    fixture.clock.run_for(2 * register_period);
    fixture.store.restore(copy);
    fixture.adapter.handle_restore();
    cr_assert(fixture.list()->contains("vm-1"), "the last renewal was two periods ago");
    // Three periods after the last renewal.
    fixture.clock.run_for(register_period + 5s);
    cr_assert(fixture.list() == (std::set<std::string>{"vm-0"}));
}

/// A VM that runs renews its entry after a restore, and its new version may be below the last one.
Test(vm_list, vm_that_renews_its_entry_after_a_restore_stays_listed)
{
    vm_list_fixture fixture;
    fixture.start_peer();
    fixture.list();
    auto const copy = fixture.store.contents();
    fixture.store.raise_version(100);
    fixture.clock.run_for(2 * register_period);
    fixture.list();
    fixture.store.restore(copy);
    for (auto i = 0; i < 8; ++i) {
        cr_assert(fixture.list()->contains("vm-1"), "after %d periods", i);
        fixture.clock.run_for(register_period);
    }
}

/// A VM that was started again counts its renewals anew.
Test(vm_list, vm_that_starts_again_before_the_restore_is_known_stays_listed)
{
    vm_list_fixture fixture;
    fixture.start_peer();
    auto const copy = fixture.store.contents();
    fixture.clock.run_for(4 * register_period);
    fixture.list();
    fixture.peer.reset();
    fixture.clock.run_for(2 * register_period);
    fixture.store.restore(copy);
    fixture.start_peer();
    fixture.clock.run_for(1s);
    fixture.list();
    fixture.clock.run_for(2 * register_period);
    cr_assert(fixture.list()->contains("vm-1"));
}

/// Guards against VMs that each give a client account its whole rate: VMs that start at the same time read
/// the list before any of them was in it, took it for complete, and read it again after half a minute only.
Test(vm_list, of_two_vms_that_start_together_one_lists_the_other)
{
    for (auto const latency : {4ms, 200ms, 900ms}) {
        vm_list_fixture fixture;
        fixture.store.set_latency(latency);
        std::vector<std::unique_ptr<platform_adapter>> adapters;
        std::vector<std::set<std::string>> lists;
        for (auto const* const name : {"vm-2", "vm-3"}) {
            adapters.push_back(std::make_unique<platform_adapter>(
                fixture.core, fixture.client,
                platform_adapter_options{name, "a", {"10.0.0.2", 7000}, 1, register_period, 17}));
            // A daemon asks for the list before it adds itself.
            adapters.back()->hooks().list_vms(
                [&lists](absl::StatusOr<std::vector<vm_record>> const& records) {
                    if (records.ok()) {
                        lists.emplace_back();
                        for (auto const& each : *records) {
                            lists.back().insert(each.name);
                        }
                    }
                });
        }
        for (auto const& each : adapters) {
            each->start();
        }
        fixture.clock.run_for(8s);
        cr_assert(lists.size() == 2, "%zu", lists.size());
        cr_assert(std::any_of(lists.begin(), lists.end(), [](auto const& names) {
            return names.contains("vm-2") && names.contains("vm-3");
        }));
    }
}
