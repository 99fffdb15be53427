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

/// Size and latencies of a deployment.
struct deployment_shape {
    std::string name;
    std::vector<std::string> zones; ///< Availability zones; VMs and members are spread over them in turn.
    std::size_t vms = 8;
    std::size_t databases = 3;        ///< Number of database groups.
    std::size_t members = 3;          ///< Members in each database group.
    std::size_t slots = 5;            ///< Batches that one member executes at a time.
    std::size_t max_connections = 35; ///< Connections that one member accepts.
    duration connection_delay{};      ///< Time to open a connection, without the round trip.
    duration zone_latency{};          ///< One-way delay between two zones.
    duration client_latency{};        ///< One-way delay between a caller and a VM.
};

/// Deployments of the two users of the proxy, with the figures from their requirements.
deployment_shape umuganda_shape();
deployment_shape bagmati_shape();

/// Simulates entry VMs, databases and the platform in one process and in virtual time.
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
    /// Returns a VM; null while it is down.
    entry_vm* vm(std::size_t index) { return m_vms[index].instance.get(); }
    std::string const& zone_of(std::size_t index) const { return m_vms[index].zone; }

    /// Stores a configuration and keys at the platform; to be called before the VMs start.
    void store_configuration(std::string const& document, std::vector<key_record> const& keys);

    void start_all();
    void start_vm(std::size_t index);
    /// Stops a VM at once and closes its database connections.
    void kill_vm(std::size_t index);
    /// Pauses a VM for `length`: callbacks that are due meanwhile run afterwards, as after a stop of the
    /// process.
    void pause_vm(std::size_t index, duration length);

    /// Returns a number that increases whenever the VM is killed, started or paused.
    std::uint64_t generation_of(std::size_t index) const { return m_vms[index].generation; }

    /// Cuts one zone off from all others, and from the platform as well if `with_platform`. With `is_cut`
    /// false, reconnects it to all of them.
    void cut_zone(std::string const& zone, bool is_cut, bool with_platform);
    /// Removes all cuts of the network.
    void restore_network();

    /// Sends a caller's request to a VM. There is no reply if the VM is killed before it has answered.
    void call(std::size_t index, caller_request request, caller_reply reply);

    /// Sets the fraction of replies that never reach their callers. Tests use it to break the guarantee of an
    /// answer on purpose.
    void set_dropped_reply_share(double share) { m_dropped_reply_share = share; }

    /// Returns the bytes of all datagrams that the VMs have sent, including IP and UDP headers.
    std::uint64_t datagram_bytes() const { return m_datagram_bytes; }
    /// Returns the number of datagrams that the VMs have sent.
    std::uint64_t datagrams() const { return m_datagrams; }

    /// Sets a function that is called with the client account of each request when a VM admits it.
    void set_admission_observer(std::function<void(std::string const&)> observer)
    {
        m_on_admitted = std::move(observer);
    }

    /// Sets a function that is called with a line for each log record of any VM, in order of virtual time;
    /// each line starts with the virtual time.
    void set_trace(std::function<void(std::string const&)> trace) { m_trace = std::move(trace); }

private:
    struct virtual_vm {
        std::string name;
        std::string zone;
        std::unique_ptr<entry_vm> instance; ///< Null while the VM is down.
        std::uint64_t incarnation = 0;      ///< Increases when the VM is started or killed.
        std::uint64_t generation = 0;       ///< Increases when the VM is started, killed or paused.
        std::uint64_t database_owner = 0;   ///< Owner number of its database connections.
        monotonic_time paused_until;
    };

    /// Runs a callback now, or after the VM's pause; drops it if this incarnation no longer runs.
    void run_in_vm(std::size_t index, std::uint64_t incarnation, std::function<void()> callback);
    entry_vm_hooks make_hooks(std::size_t index);
    void send_datagram(std::size_t from, endpoint const& target, std::string const& datagram);
    /// Adds all VMs to the platform's VM list.
    void register_vms();

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
