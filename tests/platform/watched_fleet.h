#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "platform/platform_adapter.h"
#include "platform/store_watcher.h"
#include "session_fleet.h"
#include "virtual_store.h"

namespace greengagehitch::standin {

/// VMs that read the configuration and the member directory from a store in virtual time.
class watched_fleet {
public:
    /// `page_size` is the number of rows that VMs read from the store at once.
    explicit watched_fleet(std::vector<std::string> zones, std::size_t page_size = 500)
        : m_fleet(shape_of(std::move(zones)), 1), m_page_size(page_size)
    {
        store.put("op", "config", configuration(1));
        for (auto const* const id : {"m-0-a", "m-0-b", "m-0-c"}) {
            store.put("servers", id, member("ready", "replica", 1));
        }
        for (std::size_t i = 0; i < m_fleet.vms(); ++i) {
            m_watched.push_back(std::make_unique<watched_vm>(*this, i));
        }
        clock().run_for(std::chrono::seconds(4));
    }

    virtual_clock& clock() { return m_fleet.clock(); }
    std::size_t vms() const { return m_watched.size(); }
    fleet_state& state(std::size_t vm) { return m_fleet.vm(vm).fleet(); }
    static std::string name(std::size_t vm) { return "vm-" + std::to_string(vm); }

    /// Starts a VM again, which has forgotten everything.
    void restart(std::size_t vm)
    {
        m_watched[vm].reset();
        m_fleet.kill_vm(vm);
        m_fleet.start_vm(vm);
        m_watched[vm] = std::make_unique<watched_vm>(*this, vm);
    }

    /// Number of log lines with this message that the adapters of all VMs have written.
    std::size_t log_count(std::string const& message) const
    {
        auto const found = m_log_counts.find(message);
        return found == m_log_counts.end() ? 0 : found->second;
    }

    /// Configuration with this version, whose only class of work names the version.
    static std::string configuration(std::uint64_t version)
    {
        return fmt::format(
            R"({{"version":{0},"routes":[{{"name":"r","database":"d-{0}","type":"primary","service":"group-0",)"
            R"("timeout-ms":1000}}],"services":[],"tenants":[]}})",
            version);
    }

    static std::string member(std::string const& state, std::string const& role, int sequence)
    {
        return fmt::format(
            R"({{"service":"group-0","address":"10.1.0.1:80","zone":"a","version":"v1","capacity":5,)"
            R"("state":"{}","db-role":"{}","cold-remaining-ms":0,"sequence":{},"born":17}})",
            state, role, sequence);
    }

    std::uint64_t version_at(std::size_t vm)
    {
        auto const active = state(vm).configuration();
        return active ? active->version : 0;
    }

    std::uint64_t era_at(std::size_t vm) const { return m_watched[vm]->client.era(); }

    /// Names of the VMs on which another configuration version is active.
    std::string vms_without(std::uint64_t version)
    {
        std::string names;
        for (std::size_t i = 0; i < vms(); ++i) {
            names += version_at(i) == version ? "" : fmt::format("{} has {}, ", name(i), version_at(i));
        }
        return names;
    }

    /// Names of the VMs on which this configuration version is active and known to have been the newest at a
    /// time after `time`.
    std::string vms_that_confirm(std::uint64_t version, monotonic_time time)
    {
        std::string names;
        for (std::size_t i = 0; i < vms(); ++i) {
            auto const age = state(i).configuration_age();
            auto const is_confirmed = version_at(i) == version && age && clock().now() - *age > time;
            names += is_confirmed ? name(i) + ", " : "";
        }
        return names;
    }

    /// Names of the VMs whose directory contains a member.
    std::string vms_that_list(std::string const& member)
    {
        std::string names;
        for (std::size_t i = 0; i < vms(); ++i) {
            names += state(i).members().contains(member) ? name(i) + ", " : "";
        }
        return names;
    }

    /// Names of the VMs that do not know a member to be draining.
    std::string vms_without_drain(std::string const& member)
    {
        std::string names;
        for (std::size_t i = 0; i < vms(); ++i) {
            auto const found = state(i).members().find(member);
            auto const is_draining = found != state(i).members().end() && found->second.is_draining;
            names += is_draining ? "" : name(i) + ", ";
        }
        return names;
    }

private:
    /// Adapters of one VM.
    struct watched_vm {
        watched_vm(watched_fleet& fleet, std::size_t index)
            : core(kernel_hooks{
                  [&fleet] { return fleet.clock().now(); }, [&fleet] { return fleet.clock().random()(); },
                  [&fleet](duration delay, std::function<void()> callback) {
                      return fleet.clock().start_timer(delay, std::move(callback));
                  },
                  [&fleet](timer_id timer) { fleet.clock().cancel_timer(timer); },
                  [&fleet](log_record const& record) { ++fleet.m_log_counts[std::string(record.message)]; }}),
              client(guarded_hook(fleet, index), guarded_hook(fleet, index), std::chrono::seconds(1)),
              watcher(core, client, fleet.state(index), fleet.m_fleet.vm(index).reports(),
                      fleet.m_fleet.vm(index).documents(),
                      {std::chrono::milliseconds(1'500), std::chrono::milliseconds(600),
                       std::chrono::milliseconds(2'300), fleet.m_page_size}),
              adapter(core, client, {name(index), "a", {"10.0.0.1", 7000}, 1, std::chrono::seconds(25)})
        {
            client.set_era_hook([this](std::uint64_t previous, std::uint64_t) {
                if (previous != 0) {
                    adapter.handle_restore();
                }
            });
            adapter.start();
            watcher.start();
        }

        /// Returns a hook whose calls are not answered after the VM was stopped.
        http_call_hook guarded_hook(watched_fleet& fleet, std::size_t index)
        {
            return [call = fleet.store.hook(name(index)), weak = std::weak_ptr(lifetime)](
                       http_client_request const& request, http_response_callback done) {
                call(request, [weak, done = std::move(done)](http_response const& response) {
                    if (!weak.expired()) {
                        done(response);
                    }
                });
            };
        }

        std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
        kernel core;
        store_client client;
        store_watcher watcher;
        platform_adapter adapter;
    };

    static session_fleet_shape shape_of(std::vector<std::string> zones)
    {
        session_fleet_shape shape;
        shape.zones = std::move(zones);
        shape.publishes_documents = false;
        return shape;
    }

    session_fleet m_fleet;
    std::size_t m_page_size;
    std::map<std::string, std::size_t> m_log_counts;

public:
    virtual_store store{m_fleet.clock(), std::chrono::milliseconds(4)};

private:
    std::vector<std::unique_ptr<watched_vm>> m_watched;
};

} // namespace greengagehitch::standin
