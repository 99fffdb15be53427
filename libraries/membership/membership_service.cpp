#include "membership/membership_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/request_numbers.h"
#include "wire/name_hash.h"

namespace greengagehitch {

namespace {

/// Time after the last message at which an unlisted peer is removed.
constexpr duration silent_peer_retention = std::chrono::minutes(5);
/// Shortest time between the last read of the platform's list and an early read.
constexpr duration first_list_retry_period = std::chrono::seconds(1);
constexpr duration min_early_read_interval = std::chrono::seconds(1);
/// Time for which an echo of a heartbeat is accepted.
constexpr duration sent_heartbeat_retention = std::chrono::seconds(10);
/// Maximum rate of reads of the platform's VM list by the whole fleet, per second.
constexpr double list_reads_per_second = 4;
/// Up to this number of peers, each heartbeat is sent to all of them. With more peers it is sent to randomly
/// chosen ones.
constexpr std::size_t gossip_fanout = 7;
/// Number of randomly chosen peers in one period of a larger fleet. A change reaches all VMs after a number
/// of periods that grows with the logarithm of the fleet size.
constexpr std::size_t large_fleet_fanout = 2;
/// Number of earlier incarnations of a peer whose delayed datagrams are recognized.
constexpr std::size_t max_former_incarnations = 4;
/// Largest number of other VMs that a heartbeat reports.
constexpr std::size_t max_identity_reports = 2;
/// Largest number of VMs of its zone that a VM asks for their state when it starts.
constexpr std::size_t first_contacts = 8;
/// Longest reported time since the start of a VM.
constexpr duration max_uptime = std::chrono::hours(1);
/// Largest accepted processor time of a peer, in thousandths of one core.
constexpr std::uint32_t max_processor_permille = 1'024'000;
constexpr double permille = 1'000;
/// Time after a peer's own report of its shutdown from which the report of another VM that lists it as
/// serving shows that it has restarted. Reports that arrive earlier may have been written before the
/// shutdown.
constexpr duration shutdown_spread_time = std::chrono::seconds(1);

std::uint32_t to_permille(double share)
{
    return static_cast<std::uint32_t>(share * permille);
}

void apply_processor_share(peer_state& peer, vm_identity_report const& reported)
{
    if (reported.processor_permille != 0 && reported.processor_permille <= max_processor_permille) {
        peer.processor_share = reported.processor_permille / permille;
    }
}

} // namespace

membership_service::membership_service(kernel& kernel, platform_hooks const& platform, vm_identity identity,
                                       peer_codec codec,
                                       std::function<void(endpoint const&, std::string)> send_datagram,
                                       membership_timing timing)
    : m_kernel(kernel), m_platform(platform), m_identity(std::move(identity)), m_codec(std::move(codec)),
      m_timing(timing), m_send_datagram(std::move(send_datagram))
{
}

void membership_service::start()
{
    m_started_at = m_kernel.now();
    m_next_sequence = first_request_number(m_identity);
    on_message<heartbeat>([](peer_state const&, heartbeat const&) {
        // handle_datagram() has already called handle_heartbeat(), which may change the peer's state.
    });
    poll_list();
    m_kernel.start_periodic(m_timing.gossip_period, [this] {
        remove_silent_peers();
        m_is_odd_period = !m_is_odd_period;
        // In a large fleet, VMs forward changes at once when they receive them, so every second regular
        // heartbeat is omitted.
        if (m_peers.size() <= gossip_fanout || m_is_odd_period) {
            gossip();
        }
    });
}

Json::Value membership_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["vm"] = m_identity.name;
    state["availability_zone"] = m_identity.availability_zone;
    state["incarnation"] = std::to_string(m_identity.incarnation);
    state["is_leaving"] = m_is_leaving;
    state["has_majority"] = has_majority();
    state["rejected_datagrams"] = Json::UInt64(m_rejected_datagrams);
    state["peers"] = Json::Value(Json::arrayValue);
    for (auto const& [name, peer] : m_peers) {
        Json::Value entry(Json::objectValue);
        entry["vm"] = name;
        entry["availability_zone"] = peer.availability_zone;
        entry["address"] = peer.address.to_string();
        entry["is_listed"] = peer.is_listed;
        entry["is_leaving"] = peer.is_leaving;
        entry["is_reachable"] = is_reachable(peer);
        if (peer.last_received_at) {
            entry["last_heard_ms"] = to_milliseconds(m_kernel.now() - *peer.last_received_at);
        }
        state["peers"].append(std::move(entry));
    }
    return state;
}

void membership_service::send(std::string const& peer, peer_message message)
{
    auto const found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.address.port == 0) {
        return;
    }
    m_send_datagram(found->second.address,
                    m_codec.encode({m_identity.name, m_identity.incarnation, std::move(message)}));
}

void membership_service::send_to_zone_peers(peer_message message)
{
    auto const datagram = m_codec.encode({m_identity.name, m_identity.incarnation, std::move(message)});
    for (auto const& [name, peer] : m_peers) {
        if (peer.availability_zone == m_identity.availability_zone && peer.address.port != 0) {
            m_send_datagram(peer.address, datagram);
        }
    }
}

peer_state& membership_service::peer_named(std::string const& name)
{
    auto const [found, is_new] = m_peers.try_emplace(name);
    if (is_new) {
        found->second.name = name;
        m_name_of_hash[hash_name(name)] = name;
    }
    return found->second;
}

std::string const& membership_service::name_of(name_hash vm) const
{
    static std::string const unknown;
    auto const found = m_name_of_hash.find(vm);
    return found == m_name_of_hash.end() ? unknown : found->second;
}

void membership_service::handle_datagram(std::string const& datagram)
{
    auto const envelope = m_codec.try_decode(datagram);
    if (!envelope.ok() || envelope->sender == m_identity.name) {
        ++m_rejected_datagrams;
        return;
    }
    auto& peer = peer_named(envelope->sender);
    if (std::find(peer.former_incarnations.begin(), peer.former_incarnations.end(),
                  envelope->sender_incarnation) != peer.former_incarnations.end()) {
        // The datagram was delayed; its sender has ended and restarted since.
        ++m_rejected_datagrams;
        return;
    }
    peer.last_received_at = m_kernel.now();
    if (peer.incarnation != envelope->sender_incarnation) {
        if (peer.incarnation != 0) {
            peer.former_incarnations.push_back(peer.incarnation);
        }
        if (peer.former_incarnations.size() > max_former_incarnations) {
            peer.former_incarnations.pop_front();
        }
        peer.incarnation = envelope->sender_incarnation;
        peer.last_sequence = 0;
        peer.is_leaving = false;
        peer.reported_leaving_at.reset();
        peer.started_at.reset();
    }
    if (auto const* const message = std::get_if<heartbeat>(&envelope->message)) {
        handle_heartbeat(peer, *message);
    }
    auto const handler = m_handlers.find(envelope->message.index());
    if (handler != m_handlers.end()) {
        handler->second(peer, envelope->message);
    }
}

void membership_service::set_heartbeat_hooks(std::function<void(heartbeat&)> fill,
                                             std::function<void(peer_state const&, heartbeat const&)> read)
{
    m_fill_heartbeat = std::move(fill);
    m_read_heartbeat = std::move(read);
}

void membership_service::send_heartbeats_now()
{
    gossip();
}

bool membership_service::is_reachable(peer_state const& peer) const
{
    auto const last_contact_at = std::max(peer.last_received_at, peer.indirect_contact_at);
    return last_contact_at && m_kernel.now() - *last_contact_at <= m_timing.reachability_timeout;
}

void membership_service::record_indirect_contact(std::string const& name)
{
    auto const found = m_peers.find(name);
    if (found == m_peers.end()) {
        return;
    }
    auto const now = m_kernel.now();
    auto& peer = found->second;
    peer.indirect_contact_at = now;
    if (!peer.reported_leaving_at || now - *peer.reported_leaving_at >= shutdown_spread_time) {
        peer.is_leaving = false;
    }
}

void membership_service::record_leaving(std::string const& name)
{
    auto const found = m_peers.find(name);
    if (found != m_peers.end()) {
        found->second.is_leaving = true;
    }
}

bool membership_service::has_majority() const
{
    std::size_t known = 1;
    std::size_t reachable_vms = 1;
    for (auto const& [name, peer] : m_peers) {
        if (!peer.is_listed && !is_reachable(peer)) {
            continue;
        }
        ++known;
        reachable_vms += is_reachable(peer) ? 1 : 0;
    }
    return 2 * reachable_vms > known;
}

bool membership_service::accepts_work(peer_state const& peer) const
{
    return !peer.is_leaving && (peer.is_listed || is_reachable(peer));
}

std::size_t membership_service::fleet_size() const
{
    auto const peers = std::count_if(m_peers.begin(), m_peers.end(),
                                     [this](auto const& each) { return accepts_work(each.second); });
    return static_cast<std::size_t>(peers) + (m_is_leaving ? 0 : 1);
}

std::vector<std::string> membership_service::live_vms() const
{
    std::vector<std::string> names;
    if (!m_is_leaving) {
        names.push_back(m_identity.name);
    }
    for (auto const& [name, peer] : m_peers) {
        if (accepts_work(peer)) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string membership_service::availability_zone_of(std::string const& vm) const
{
    if (vm == m_identity.name) {
        return m_identity.availability_zone;
    }
    auto const found = m_peers.find(vm);
    return found == m_peers.end() ? std::string() : found->second.availability_zone;
}

void membership_service::set_leaving()
{
    m_is_leaving = true;
    gossip();
}

duration membership_service::store_poll_period(duration shortest, double reads_per_second) const
{
    auto const fleet_period =
        std::chrono::duration<double>(static_cast<double>(fleet_size()) / reads_per_second);
    return std::max(shortest, std::chrono::duration_cast<duration>(fleet_period));
}

void membership_service::poll_list()
{
    read_list();
    auto const period =
        store_poll_period(m_has_list ? m_timing.list_period : first_list_retry_period, list_reads_per_second);
    m_kernel.start_timer(period, [this] { poll_list(); });
}

void membership_service::read_list_soon()
{
    if (!m_list_requested_at || m_kernel.now() - *m_list_requested_at >= min_early_read_interval) {
        read_list();
    }
}

void membership_service::update_peer_address(vm_identity_report const& reported)
{
    auto const found = m_peers.find(reported.vm);
    if (found != m_peers.end()) {
        apply_own_report(found->second, reported);
    }
}

void membership_service::apply_own_report(peer_state& peer, vm_identity_report const& reported) const
{
    peer.availability_zone = reported.availability_zone;
    peer.address = {reported.host, reported.port};
    apply_processor_share(peer, reported);
    if (reported.uptime_ms != 0) {
        peer.started_at =
            m_kernel.now() - std::min<duration>(max_uptime, std::chrono::milliseconds(reported.uptime_ms));
    }
}

void membership_service::read_list()
{
    m_list_requested_at = m_kernel.now();
    m_platform.list_vms(m_kernel.guard<absl::StatusOr<std::vector<vm_record>>>([this](auto const& records) {
        if (records.ok()) {
            handle_list(*records);
        }
    }));
}

void membership_service::handle_list(std::vector<vm_record> const& records)
{
    auto const is_first = !std::exchange(m_has_list, true);
    for (auto& [name, peer] : m_peers) {
        peer.is_listed = false;
    }
    for (auto const& record : records) {
        if (record.name == m_identity.name) {
            continue;
        }
        auto& peer = peer_named(record.name);
        peer.is_listed = true;
        peer.processor_share = record.processor_share;
        peer.is_leaving = peer.is_leaving || record.state == vm_state::leaving;
        // The platform's list may be out of date, so the peer's own report takes precedence.
        if (!peer.last_received_at || peer.address.port == 0) {
            peer.availability_zone = record.availability_zone;
            peer.address = {record.peer_host, record.peer_port};
        }
    }
    if (is_first) {
        // Until peers receive a message of this VM, they use its share of the rates and forward no
        // reports to it.
        gossip();
        contact_zone_peers();
    }
}

void membership_service::contact_zone_peers()
{
    std::vector<std::pair<double, std::string>> peers;
    for (auto const& [name, peer] : m_peers) {
        if (peer.availability_zone == m_identity.availability_zone && peer.address.port != 0) {
            peers.emplace_back(peer.processor_share, name);
        }
    }
    auto const count = std::min(first_contacts, peers.size());
    std::partial_sort(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(count), peers.end(),
                      std::greater<>());
    peers.resize(count);
    for (auto const& [share, name] : peers) {
        send_heartbeat(m_peers.at(name), false);
    }
}

void membership_service::gossip()
{
    for (auto const& name : choose_gossip_targets()) {
        send_heartbeat(m_peers.at(name), false);
    }
}

std::vector<std::string> membership_service::choose_gossip_targets()
{
    std::vector<std::string> names;
    for (auto const& [name, peer] : m_peers) {
        if (peer.address.port != 0) {
            names.push_back(name);
        }
    }
    if (names.size() <= gossip_fanout) {
        return names;
    }
    for (std::size_t i = 0; i < large_fleet_fanout; ++i) {
        std::swap(names[i], names[i + m_kernel.random_below(names.size() - i)]);
    }
    names.resize(large_fleet_fanout);
    return names;
}

void membership_service::send_heartbeat(peer_state& peer, bool is_reply)
{
    heartbeat message;
    message.sender = own_identity_report();
    message.sequence = m_next_sequence++;
    message.echoed_sequence = peer.last_sequence;
    message.is_reply = is_reply;
    message.identity_reports = choose_identity_reports();
    message.subscriptions.assign(m_subscriptions.begin(), m_subscriptions.end());
    if (m_fill_heartbeat) {
        m_fill_heartbeat(message);
    }
    auto const now = m_kernel.now();
    m_sent_heartbeats.emplace(message.sequence, now);
    while (now - m_sent_heartbeats.begin()->second > sent_heartbeat_retention) {
        m_sent_heartbeats.erase(m_sent_heartbeats.begin());
    }
    send(peer.name, std::move(message));
}

void membership_service::handle_heartbeat(peer_state& peer, heartbeat const& message)
{
    peer.last_sequence = std::max(peer.last_sequence, message.sequence);
    apply_own_report(peer, message.sender);
    if (message.sender.is_leaving) {
        peer.is_leaving = true;
        peer.reported_leaving_at = m_kernel.now();
    }
    peer.subscriptions = {message.subscriptions.begin(), message.subscriptions.end()};
    auto const echoed = m_sent_heartbeats.find(message.echoed_sequence);
    if (echoed != m_sent_heartbeats.end()) {
        peer.echoed_heartbeat_sent_at =
            std::max(peer.echoed_heartbeat_sent_at.value_or(echoed->second), echoed->second);
    }
    for (auto const& reported : message.identity_reports) {
        handle_identity_report(reported);
    }
    if (m_read_heartbeat) {
        m_read_heartbeat(peer, message);
    }
    // No reply is needed in a small fleet: the next regular heartbeat to this peer echoes its sequence
    // number.
    if (!message.is_reply && m_peers.size() > gossip_fanout) {
        send_heartbeat(peer, true);
    }
}

void membership_service::handle_identity_report(vm_identity_report const& reported)
{
    // The sender may have received messages from a VM whose address it does not know yet.
    if (reported.vm == m_identity.name || reported.port == 0) {
        return;
    }
    auto& peer = peer_named(reported.vm);
    if (peer.processor_share == 0) {
        apply_processor_share(peer, reported);
    }
    if (peer.last_received_at) {
        return;
    }
    peer.availability_zone = reported.availability_zone;
    peer.address = {reported.host, reported.port};
}

std::vector<vm_identity_report> membership_service::choose_identity_reports()
{
    std::vector<peer_state const*> reachable;
    for (auto const& [name, peer] : m_peers) {
        if (is_reachable(peer)) {
            reachable.push_back(&peer);
        }
    }
    std::vector<vm_identity_report> identity_reports;
    auto const count = std::min(max_identity_reports, reachable.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(reachable[i], reachable[i + m_kernel.random_below(reachable.size() - i)]);
        auto const& peer = *reachable[i];
        identity_reports.push_back({peer.name, peer.availability_zone, peer.incarnation, peer.address.host,
                                    peer.address.port, peer.is_leaving, to_permille(peer.processor_share),
                                    0});
    }
    return identity_reports;
}

vm_identity_report membership_service::own_identity_report() const
{
    auto const uptime =
        std::clamp<duration>(m_kernel.now() - m_started_at, std::chrono::milliseconds(1), max_uptime);
    return {m_identity.name,
            m_identity.availability_zone,
            m_identity.incarnation,
            m_identity.peer_endpoint.host,
            m_identity.peer_endpoint.port,
            m_is_leaving,
            std::max<std::uint32_t>(1, to_permille(m_identity.processor_share)),
            static_cast<std::uint32_t>(to_milliseconds(uptime))};
}

void membership_service::remove_silent_peers()
{
    auto const now = m_kernel.now();
    std::erase_if(m_peers, [this, now](auto const& entry) {
        auto const& peer = entry.second;
        auto const is_removed =
            !peer.is_listed && peer.last_received_at && now - *peer.last_received_at > silent_peer_retention;
        if (is_removed) {
            m_name_of_hash.erase(hash_name(peer.name));
        }
        return is_removed;
    });
}

} // namespace greengagehitch
