#include <set>

#include <criterion/criterion.h>

#include "odd_entries.h"
#include "platform/document_decoder.h"
#include "platform/platform_adapter.h"
#include "virtual_store.h"
#include "watched_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

std::vector<std::string> odd_members()
{
    auto documents = odd_documents();
    for (auto const& each : with_odd_fields({{"service", "\"group-0\""},
                                             {"address", "\"10.1.0.9:80\""},
                                             {"zone", "\"a\""},
                                             {"version", "\"v1\""},
                                             {"capacity", "5"},
                                             {"state", "\"ready\""},
                                             {"db-role", "\"replica\""},
                                             {"cold-remaining-ms", "0"},
                                             {"sequence", "4"},
                                             {"born", "17"}})) {
        documents.push_back(each);
    }
    for (auto const* const address :
         {"10.1.0.9:0", "10.1.0.9:70000", "10.1.0.9:-1", "10.1.0.9", ":80", "host:80"}) {
        documents.push_back(R"({"service":"group-0","address":")" + std::string(address) +
                            R"(","zone":"a","version":"v1","capacity":5,"state":"ready",)" +
                            R"("cold-remaining-ms":0,"db-role":"replica","sequence":4})");
    }
    return documents;
}

} // namespace

/// Guards against machines that end, or no longer follow the list, when another writer leaves an odd entry
/// among those of the members. What can be decoded stays within bounds; the other members are followed.
Test(odd_entries, entries_of_members_are_skipped_and_the_others_are_followed)
{
    for (auto const& document : odd_members()) {
        auto const entry = document_decoder::try_decode_member("odd", document, {1, 8});
        if (!entry.ok()) {
            continue;
        }
        cr_assert(entry->address.port != 0);
        cr_assert(entry->slots >= 1 && entry->slots <= 1'000'000);
        cr_assert(entry->started_at <= 1ULL << 53U);
        cr_assert(entry->group == "group-0" && entry->availability_zone == "a");
    }
    watched_fleet fleet{{"a", "b"}, 1};
    fleet.clock().run_for(3s);
    for (auto const& document : odd_members()) {
        fleet.store.put("servers", "odd", document);
        fleet.clock().run_for(700ms);
    }
    fleet.store.put("servers", "odd\r\nname", watched_fleet::member("ready", "replica", 1));
    fleet.store.put("servers", "m-0-new", watched_fleet::member("ready", "replica", 1));
    fleet.clock().run_for(4s);
    cr_assert(fleet.vms_that_list("m-0-new") == "vm-0, vm-1, ", "%s", fleet.vms_that_list("m-0-new").c_str());
    cr_assert(fleet.vms_that_list("odd\r\nname").empty());
    cr_assert(fleet.log_count("entry of a member was skipped, since it cannot be decoded") > 0);
}

Test(odd_entries, configuration_with_odd_fields_is_decoded_within_bounds_or_refused)
{
    std::vector<std::string> documents = odd_documents();
    std::string const route =
        R"([{"name":"r","database":"d","type":"primary","service":"g","timeout-ms":1000}])";
    for (auto const& each : with_odd_fields({{"version", "7"},
                                             {"routes", route},
                                             {"services", "[]"},
                                             {"tenants", "[]"},
                                             {"limits", "{}"}})) {
        documents.push_back(each);
    }
    auto const add = [&](std::string const& field,
                         std::vector<std::pair<std::string, std::string>> const& fields) {
        for (auto const& each : with_odd_fields(fields)) {
            documents.push_back(R"({"version":7,"routes":)" + (field == "routes" ? "[" + each + "]" : route) +
                                ",\"" + (field == "routes" ? std::string("x") : field) +
                                "\":" + (field == "limits" ? each : "[" + each + ",3,[],null]") + "}");
        }
    };
    add("routes", {{"name", "\"r\""},
                   {"database", "\"d\""},
                   {"type", "\"primary\""},
                   {"service", "\"g\""},
                   {"timeout-ms", "1000"},
                   {"target-latency-ms", "400"},
                   {"priority", "1"},
                   {"max-staleness-ms", "0"},
                   {"public", "false"}});
    add("services", {{"name", "\"g\""},
                     {"max-connections", "34"},
                     {"sync-replicas", "1"},
                     {"cold-per-s", "1"},
                     {"cold-start-s", "1"}});
    add("tenants", {{"name", "\"t\""}, {"api-keys", "[\"k\"]"}, {"rate-per-s", "1"}, {"burst", "1"}});
    add("limits", {{"tx-idle-ms", "3000"}});
    for (auto const& document : documents) {
        auto const decoded = document_decoder::try_decode_configuration(document);
        if (!decoded.ok()) {
            continue;
        }
        for (auto const& [database, work] : decoded->classes) {
            cr_assert(work.statement_timeout >= 0ms && work.statement_timeout <= 24h, "%s", document.c_str());
        }
        for (auto const& [account, limit] : decoded->limits) {
            cr_assert(limit.rate >= 0 && limit.rate <= 1e9, "%s", document.c_str());
        }
    }
}

/// Guards against VMs that end when they read the list of VMs, again after each restart, and against a port
/// that is taken for another one.
Test(odd_entries, entries_of_vms_are_skipped_and_the_others_are_listed)
{
    virtual_clock clock{1};
    virtual_store store{clock, 4ms};
    std::size_t skipped = 0;
    kernel_hooks hooks;
    hooks.now = [&] { return clock.now(); };
    hooks.random = [&] { return clock.random()(); };
    hooks.start_timer = [&](duration delay, std::function<void()> callback) {
        return clock.start_timer(delay, std::move(callback));
    };
    hooks.cancel_timer = [&](timer_id timer) { clock.cancel_timer(timer); };
    hooks.log = [&](log_record const& record) {
        skipped += record.message.starts_with("entry in the list") ? 1 : 0;
    };
    kernel core(hooks);
    store_client client(store.hook("vm-0"), store.hook("vm-0"), 1s);
    platform_adapter adapter(core, client, {"vm-0", "a", {"10.0.0.1", 7000}, 1, 25s, 1'000});
    adapter.start();
    auto documents = odd_documents();
    for (auto const& each : with_odd_fields({{"availability_zone", "\"a\""},
                                             {"host", "\"10.0.0.9\""},
                                             {"port", "7000"},
                                             {"processor_share", "1.0"},
                                             {"started_at_ms", "1"},
                                             {"renewals", "1"}})) {
        documents.push_back(each);
    }
    for (auto const* const port : {"0", "70000", "65535"}) {
        documents.push_back(R"({"availability_zone":"a","host":"10.0.0.9","port":)" + std::string(port) +
                            "}");
    }
    for (std::size_t i = 0; i < documents.size(); ++i) {
        store.put("greengagehitch-vms", "odd-" + std::to_string(i), documents[i]);
    }
    store.put("greengagehitch-vms", "vm-1", R"({"availability_zone":"a","host":"10.0.0.2","port":7000})");
    std::set<std::string> names;
    adapter.hooks().list_vms([&](absl::StatusOr<std::vector<vm_record>> const& records) {
        cr_assert(records.ok());
        for (auto const& record : *records) {
            names.insert(record.name);
            cr_assert(record.peer_port >= 1 && record.peer_port <= 65'534);
            cr_assert(record.peer_host == "10.0.0.9" || record.name == "vm-0" || record.name == "vm-1");
            cr_assert(record.processor_share > 0 && record.processor_share <= 1'024);
        }
    });
    clock.run_for(1s);
    cr_assert(names.contains("vm-1"));
    cr_assert(skipped > 0 && skipped == adapter.skipped_entries());
}
