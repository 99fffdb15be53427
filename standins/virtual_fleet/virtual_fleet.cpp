#include "virtual_fleet.h"

#include <utility>

#include <fmt/format.h>

#include "base/digest.h"
#include "base/json.h"
#include "base/verify.h"

namespace greengagehitch::standin {

namespace {

using namespace std::chrono_literals;

constexpr duration local_latency = 150us;
constexpr duration ship_period = 20ms;
constexpr auto schema_of_entries =
    "create table entries (id integer primary key, session text, name text, value integer)";
constexpr auto schema_of_index = "create index entries_by_name on entries (name)";

std::vector<std::string> schema()
{
    return {schema_of_entries, schema_of_index};
}

} // namespace

deployment_shape umuganda_shape()
{
    deployment_shape shape;
    shape.name = "umuganda";
    shape.zones = {"nyarugenge", "kicukiro", "gasabo"};
    shape.slots = 5;
    shape.max_connections = 35;
    shape.connection_delay = 10ms;
    shape.zone_latency = 1500us;
    shape.client_latency = 3ms;
    return shape;
}

deployment_shape bagmati_shape()
{
    deployment_shape shape;
    shape.name = "bagmati";
    shape.zones = {"lalitpur", "bhaktapur", "dhulikhel", "nuwakot"};
    shape.slots = 3;
    shape.max_connections = 40;
    shape.connection_delay = 30ms;
    shape.zone_latency = 1ms;
    shape.client_latency = 3ms;
    return shape;
}

virtual_fleet::virtual_fleet(deployment_shape shape, std::uint64_t seed)
    : m_shape(std::move(shape)), m_clock(seed),
      m_network(m_clock, {m_shape.zone_latency, local_latency, 0, 0}), m_platform(m_clock, m_network),
      m_databases(m_clock, m_network,
                  {m_shape.slots, m_shape.max_connections, m_shape.connection_delay, ship_period})
{
    auto const& zones = m_shape.zones;
    for (std::size_t i = 0; i < m_shape.vms; ++i) {
        virtual_vm added;
        added.name = fmt::format("vm-{}", i + 1);
        added.zone = zones[i % zones.size()];
        m_vms.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < m_shape.databases; ++i) {
        std::vector<std::string> member_zones;
        for (std::size_t j = 0; j < m_shape.members; ++j) {
            member_zones.push_back(zones[(i + j) % zones.size()]);
        }
        auto const name = fmt::format("db-{}", i + 1);
        m_databases.add_group(name, member_zones, schema());
        m_platform.model().put_row("groups/" + name, 0, m_databases.encode_group_row(name)).IgnoreError();
    }
    register_vms();
}

virtual_fleet::~virtual_fleet()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        kill_vm(i);
    }
}

void virtual_fleet::store_configuration(std::string const& document, std::vector<key_record> const& keys)
{
    configuration_snapshot snapshot;
    snapshot.version = 1;
    snapshot.author = "setup";
    snapshot.summary = "first version";
    snapshot.document_text = document;
    for (auto const& key : keys) {
        snapshot.keys.emplace(key.id, key);
    }
    auto const body = encode_snapshot(snapshot);
    VERIFY(try_decode_snapshot(body).ok());
    auto const digest = to_hex(sha256(body));
    Json::Value pointer(Json::objectValue);
    pointer["version"] = Json::UInt64(1);
    pointer["digest"] = digest;
    pointer["author"] = snapshot.author;
    m_platform.model().put_object("configuration/" + digest, body);
    m_platform.model().put_row("configuration/current", 0, to_json_line(pointer)).IgnoreError();
}

void virtual_fleet::start_all()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        start_vm(i);
    }
}

void virtual_fleet::start_vm(std::size_t index)
{
    auto& vm = m_vms[index];
    VERIFY(!vm.instance);
    ++vm.incarnation;
    ++vm.generation;
    vm.database_owner = m_databases.next_owner();
    entry_vm_settings const settings{vm.name, vm.zone, {vm.name, 1}, fleet_secret};
    vm.instance = std::make_unique<entry_vm>(settings, make_hooks(index));
    vm.instance->start();
}

void virtual_fleet::kill_vm(std::size_t index)
{
    auto& vm = m_vms[index];
    if (!vm.instance) {
        return;
    }
    ++vm.incarnation;
    ++vm.generation;
    vm.instance.reset();
    vm.paused_until = {};
    m_databases.close_all(vm.database_owner);
}

void virtual_fleet::pause_vm(std::size_t index, duration length)
{
    ++m_vms[index].generation;
    m_vms[index].paused_until = m_clock.now() + length;
}

void virtual_fleet::cut_zone(std::string const& zone, bool is_cut, bool with_platform)
{
    for (auto const& other : m_shape.zones) {
        if (other != zone) {
            m_network.set_cut(zone, other, is_cut);
        }
    }
    if (with_platform || !is_cut) {
        m_network.set_cut(zone, virtual_network::platform, is_cut);
    }
    m_databases.apply_network_cuts();
}

void virtual_fleet::restore_network()
{
    m_network.clear_cuts();
    m_databases.apply_network_cuts();
}

void virtual_fleet::call(std::size_t index, caller_request request, caller_reply reply)
{
    auto const incarnation = m_vms[index].incarnation;
    auto const client_latency = m_shape.client_latency;
    m_clock.start_timer(client_latency, [this, index, incarnation, request = std::move(request),
                                         reply = std::move(reply), client_latency] {
        run_in_vm(index, incarnation, [this, index, request, reply, client_latency] {
            m_vms[index].instance->handle_request(
                request, [this, reply, client_latency](caller_response const& response) {
                    if (m_dropped_reply_share == 0 || m_clock.random_share() >= m_dropped_reply_share) {
                        m_clock.start_timer(client_latency, [reply, response] { reply(response); });
                    }
                });
        });
    });
}

void virtual_fleet::run_in_vm(std::size_t index, std::uint64_t incarnation, std::function<void()> callback)
{
    auto const& vm = m_vms[index];
    if (!vm.instance || vm.incarnation != incarnation) {
        return;
    }
    if (vm.paused_until > m_clock.now()) {
        m_clock.start_timer(vm.paused_until - m_clock.now(),
                            [this, index, incarnation, callback = std::move(callback)] {
                                run_in_vm(index, incarnation, callback);
                            });
        return;
    }
    callback();
}

entry_vm_hooks virtual_fleet::make_hooks(std::size_t index)
{
    auto const incarnation = m_vms[index].incarnation;
    auto const deliver = [this, index, incarnation](std::function<void()> callback) {
        run_in_vm(index, incarnation, std::move(callback));
    };
    entry_vm_hooks hooks;
    hooks.kernel.now = [this] { return m_clock.now(); };
    hooks.kernel.random = [this] { return m_clock.random()(); };
    hooks.kernel.start_timer = [this, deliver](duration delay, std::function<void()> callback) {
        return m_clock.start_timer(delay, [deliver, callback = std::move(callback)] { deliver(callback); });
    };
    hooks.kernel.cancel_timer = [this](timer_id timer) { m_clock.cancel_timer(timer); };
    hooks.kernel.log = [this, index](log_record const& record) {
        if (m_trace) {
            m_trace(fmt::format("{} {} {} {} {}", m_clock.now().time_since_epoch().count(), m_vms[index].name,
                                record.service, record.message, to_json_line(record.fields)));
        }
    };
    hooks.send_datagram = [this, index](endpoint const& target, std::string const& datagram) {
        send_datagram(index, target, datagram);
    };
    hooks.on_admitted = [this](std::string const& account) {
        if (m_on_admitted) {
            m_on_admitted(account);
        }
    };
    hooks.database = m_databases.hooks(m_vms[index].zone, deliver);
    hooks.platform = m_platform.hooks(m_vms[index].zone, deliver);
    return hooks;
}

void virtual_fleet::send_datagram(std::size_t from, endpoint const& target, std::string const& datagram)
{
    constexpr std::uint64_t header_size = 28;
    m_datagram_bytes += datagram.size() + header_size;
    ++m_datagrams;
    for (std::size_t to = 0; to < m_vms.size(); ++to) {
        if (m_vms[to].name != target.host) {
            continue;
        }
        m_network.send_datagram(m_vms[from].zone, m_vms[to].zone, [this, to, datagram] {
            run_in_vm(to, m_vms[to].incarnation,
                      [this, to, datagram] { m_vms[to].instance->handle_datagram(datagram); });
        });
    }
}

void virtual_fleet::register_vms()
{
    std::vector<vm_record> records;
    for (auto const& vm : m_vms) {
        records.push_back({vm.name, vm.zone, vm.name, 1, vm_state::live});
    }
    m_platform.model().set_vms(std::move(records));
}

} // namespace greengagehitch::standin
