#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "entry_vm/entry_vm.h"
#include "virtual_databases.h"
#include "virtual_network.h"
#include "virtual_platform.h"

namespace greengagehitch::standin {

/// Size and speed of a deployment.
struct deployment_shape {
    std::string name;
    std::vector<std::string> zones;
    std::size_t vms = 8;
    std::size_t databases = 3;
    std::size_t members = 3;
    std::size_t slots = 5;
    std::size_t max_connections = 35;
    duration connection_delay{};
    duration zone_latency{};
    duration client_latency{};
};

/// Sizes of the two users, from their brief.
deployment_shape umuganda_shape();
deployment_shape bagmati_shape();

/// Entry VMs, databases and the platform in one process and in virtual time.
class virtual_fleet {
public:
    static constexpr auto fleet_secret = "secret of the virtual fleet";

    virtual_fleet(deployment_shape shape, std::uint64_t seed);
    ~virtual_fleet();
    virtual_fleet(virtual_fleet const&) = delete;
    virtual_fleet& operator=(virtual_fleet const&) = delete;
    virtual_fleet(virtual_fleet&&) = delete;
    virtual_fleet& operator=(virtual_fleet&&) = delete;

    virtual_clock& clock() { return m_clock; }
    monotonic_time now() const { return m_clock.now(); }
    virtual_network& network() { return m_network; }
    virtual_platform& platform() { return m_platform; }
    virtual_databases& databases() { return m_databases; }
    deployment_shape const& shape() const { return m_shape; }

    std::size_t size() const { return m_vms.size(); }
    /// The VM's core; null while it is down.
    entry_vm* vm(std::size_t index) { return m_vms[index].instance.get(); }
    std::string const& zone_of(std::size_t index) const { return m_vms[index].zone; }

    /// Puts a configuration and keys in force before the VMs start.
    void store_configuration(std::string const& document, std::vector<key_record> const& keys);

    void start_all();
    void start_vm(std::size_t index);
    /// Ends a VM at once, with all its connections.
    void kill_vm(std::size_t index);
    /// Freezes a VM; it goes on later without knowing.
    void pause_vm(std::size_t index, duration length);

    /// Number that changes whenever the VM dies, starts or freezes.
    std::uint64_t generation_of(std::size_t index) const { return m_vms[index].generation; }

    /// Cuts one zone from all others, and from the platform as well if wanted.
    void cut_zone(std::string const& zone, bool is_cut, bool with_platform);
    void restore_network();

    /// Sends a call of a caller; the reply is dropped when the VM dies before.
    void call(std::size_t index, caller_request request, caller_reply reply);

    /// Share of replies that never reach their callers; breaks the promise of an answer on purpose.
    void set_dropped_reply_share(double share) { m_dropped_reply_share = share; }

    /// Bytes and number of the datagrams that all VMs have sent, IP and UDP headers included.
    std::uint64_t datagram_bytes() const { return m_datagram_bytes; }
    std::uint64_t datagrams() const { return m_datagrams; }

    /// Told of each admitted request of any VM, at the moment of its admission.
    void set_admission_observer(std::function<void(std::string const&)> observer)
    {
        m_on_admitted = std::move(observer);
    }

    /// Log records of all VMs, in order; each line carries the virtual time.
    void set_trace(std::function<void(std::string const&)> trace) { m_trace = std::move(trace); }

private:
    struct virtual_vm {
        std::string name;
        std::string zone;
        std::unique_ptr<entry_vm> instance;
        std::uint64_t incarnation = 0;
        std::uint64_t generation = 0;
        std::uint64_t database_owner = 0;
        monotonic_time paused_until;
    };

    void run_in_vm(std::size_t index, std::uint64_t incarnation, std::function<void()> callback);
    entry_vm_hooks make_hooks(std::size_t index);
    void send_datagram(std::size_t from, endpoint const& target, std::string const& datagram);
    void list_vms();

    deployment_shape m_shape;
    virtual_clock m_clock;
    virtual_network m_network;
    virtual_platform m_platform;
    virtual_databases m_databases;
    std::vector<virtual_vm> m_vms;
    std::function<void(std::string const&)> m_trace;
    std::function<void(std::string const&)> m_on_admitted;
    double m_dropped_reply_share = 0;
    std::uint64_t m_datagram_bytes = 0;
    std::uint64_t m_datagrams = 0;
};

} // namespace greengagehitch::standin
