#include "brokers/broker_service.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

constexpr duration check_period = std::chrono::milliseconds(60);
/// Period at which the other zones are judged while no request is pending.
constexpr duration zone_check_period = std::chrono::milliseconds(200);
/// Period at which the contacts with VMs that left the fleet are removed.
constexpr duration contact_sweep_period = std::chrono::seconds(10);
/// Time limit of a status request that shows whether a member of a silent zone can be reached.
constexpr std::uint32_t member_probe_limit_ms = 200;
/// Placeholder account for requests that are not sent on behalf of a client account.
constexpr auto no_account = "-";
/// Time without a message after which a broker with an unanswered request is sent a ping.
constexpr duration ping_after = std::chrono::milliseconds(120);
/// Time without a message after which a broker with an unanswered request is considered down.
constexpr duration silence_limit = std::chrono::milliseconds(350);
/// Time for which the next broker of a member is told that the member could not be reached.
constexpr duration absence_memory = std::chrono::seconds(3);
/// Time for the round trip to the broker, in addition to the time limits of the request.
constexpr duration relay_margin = std::chrono::milliseconds(60);
/// Interval at which a request is tried again while no broker is known.
constexpr std::uint32_t retry_interval_ms = 20;
/// Time after a request of a peer for which the peer is assumed to take this VM for the broker.
constexpr duration use_time = std::chrono::milliseconds(300);

} // namespace

void broker_service::start()
{
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_zones.emplace(zone_monitor::dependencies{
        m_kernel, *m_membership, [this](std::string const& vm) { send_ping(vm); },
        [this](std::string const& zone) { probe_member_of(zone); },
        [this](std::string const& zone, bool is_silent) { handle_zone_change(zone, is_silent); }});
    start_contact_guard();
    m_choice.emplace(m_kernel, *m_membership,
                     [this](std::string const& zone) { return m_zones->is_silent(zone); });
    m_reports.emplace(
        m_kernel, *m_membership, *m_choice,
        connection_reports::hooks{
            [this](std::string const& vm, connection_report const& report) { send_message(vm, report); },
            [this](std::string const& vm, held_connections const& held) {
                if (m_on_connection_report) {
                    m_on_connection_report(vm, held);
                }
            }});
    m_kernel.start_periodic(zone_check_period, [this] { m_zones->check(); });
    m_kernel.start_periodic(contact_sweep_period, [this] { forget_former_vms(); });
}

void broker_service::start_contact_guard()
{
    m_contact.emplace(m_kernel, contact_guard::hooks{
                                    [this] { return m_membership->identity().availability_zone; },
                                    [this] { return other_zones(); },
                                    [this](std::string const& zone) { ping_zone(zone); },
                                });
}

bool broker_service::may_commit(member_request const& request, std::string const& leader,
                                std::string const& leader_zone)
{
    if (!request.commits_write && !request.begins_transaction()) {
        return true;
    }
    auto const now = m_kernel.now();
    auto const absent_at = m_absent_at.find(leader);
    if (absent_at != m_absent_at.end() && now - absent_at->second < contact_guard::settling_time) {
        return false;
    }
    if (!request.commits_write) {
        return true;
    }
    auto const all_silent_until = m_zones->all_silent_until();
    auto const was_cut_off = all_silent_until && now - *all_silent_until < contact_guard::settling_time;
    if (leader_zone == m_membership->identity().availability_zone) {
        return !was_cut_off && m_contact->is_settled(leader_zone);
    }
    // Leaders elsewhere were not replaced if this VM's own zone was cut off.
    auto const found = m_silent_until.find(leader_zone);
    auto const was_silent =
        found != m_silent_until.end() && now - found->second < contact_guard::settling_time;
    return was_cut_off || (!m_zones->is_silent(leader_zone) && !was_silent);
}

reply_callback broker_service::watch_contact(member_request const& request, std::string const& zone,
                                             reply_callback done)
{
    auto watch = request.commits_write ? m_contact->watch(zone) : nullptr;
    if (!watch) {
        return done;
    }
    return [watch = std::move(watch), done = std::move(done)](member_reply reply) { done(std::move(reply)); };
}

std::vector<std::string> broker_service::other_zones() const
{
    std::set<std::string> zones;
    auto const& own_zone = m_membership->identity().availability_zone;
    for (auto const& [name, peer] : m_membership->peers()) {
        // VMs that shut down count as well, or a zone would seem to be gone while its last VM is replaced.
        auto const is_known = peer.is_listed || m_membership->is_reachable(peer);
        if (is_known && peer.address.port != 0 && !peer.availability_zone.empty() &&
            peer.availability_zone != own_zone) {
            zones.insert(peer.availability_zone);
        }
    }
    return {zones.begin(), zones.end()};
}

void broker_service::ping_zone(std::string const& zone)
{
    std::vector<std::string> serving;
    std::vector<std::string> leaving;
    for (auto const& [name, peer] : m_membership->peers()) {
        if (peer.availability_zone == zone && peer.address.port != 0) {
            (m_membership->accepts_work(peer) ? serving : leaving).push_back(name);
        }
    }
    auto const& candidates = serving.empty() ? leaving : serving;
    if (candidates.empty()) {
        return;
    }
    auto const& vm = candidates[m_kernel.random_below(candidates.size())];
    if (!serving.empty()) {
        m_zones->record_sent(vm);
    }
    send_ping(vm);
}

std::string broker_service::zone_of_vm(std::string const& vm) const
{
    auto const found = m_membership->peers().find(vm);
    return found == m_membership->peers().end() ? std::string() : found->second.availability_zone;
}

void broker_service::record_round_trip(std::string const& vm, monotonic_time sent_at)
{
    m_contact->record_round_trip(zone_of_vm(vm), sent_at);
}

void broker_service::forget_former_vms()
{
    auto const now = m_kernel.now();
    std::erase_if(m_pings, [this, now](auto const& each) {
        auto const is_forgotten = now - each.second.sent_at >= contact_sweep_period;
        if (is_forgotten) {
            ++m_health[each.second.vm].forgotten_pings;
        }
        return is_forgotten;
    });
    auto const& peers = m_membership->peers();
    std::erase_if(m_health, [&peers](auto const& each) { return !peers.contains(each.first); });
}

Json::Value broker_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["relayed"] = Json::UInt64(m_relayed);
    state["served"] = Json::UInt64(m_served);
    state["pending"] = Json::UInt64(m_pending.size());
    state["leases"] = Json::UInt64(m_peer_connections.size());
    state["contacts"] = Json::UInt64(m_health.size());
    state["zones"] = m_zones->dump();
    state["contact"] = m_contact->dump();
    for (auto const& [member, broker] : m_choice->brokers()) {
        state["brokers"][member] = broker;
    }
    for (auto const& [member, registered] : m_dispatchers) {
        if (registered.dispatcher->connections() != 0) {
            state["members"][member] = registered.dispatcher->dump();
        }
    }
    return state;
}

void broker_service::add_dispatcher(member_entry const& member, std::shared_ptr<member_dispatcher> dispatcher)
{
    m_dispatchers[member.id] = {member, std::move(dispatcher)};
    m_choice->add_member(member.id, member.availability_zone);
}

void broker_service::remove_dispatcher(std::string const& member)
{
    m_dispatchers.erase(member);
    m_reports->remove_member(member);
    m_used_at.erase(member);
    m_choice->remove_member(member);
    m_absent_at.erase(member);
}

bool broker_service::is_broker_of(std::string const& member)
{
    auto const found = m_dispatchers.find(member);
    return found != m_dispatchers.end() &&
           m_choice->choose(member, found->second.entry.availability_zone) == m_membership->identity().name;
}

void broker_service::hand_over()
{
    std::size_t members = 0;
    for (auto const& [id, registered] : m_dispatchers) {
        members += registered.dispatcher->connections() != 0 ? 1 : 0;
    }
    m_choice->reset();
    for (auto const channel : m_channels_of_peers) {
        reply_message(channel, hand_over_notice{m_membership->identity().name});
    }
    Json::Value fields(Json::objectValue);
    fields["members"] = Json::UInt64(members);
    fields["peers"] = Json::UInt64(m_channels_of_peers.size());
    m_kernel.log(log_level::info, service_name, "handing over members, since this VM shuts down",
                 std::move(fields));
}

void broker_service::handle_hand_over(std::string const& vm)
{
    ++m_hand_overs;
    m_choice->record_hand_over(vm);
    Json::Value fields(Json::objectValue);
    fields["vm"] = vm;
    m_kernel.log(log_level::debug, service_name, "a broker hands over its members", std::move(fields));
}

void broker_service::run(member_entry const& member, member_request request, reply_callback done)
{
    auto const vm = m_choice->choose(member.id, member.availability_zone);
    if (vm.empty()) {
        run_later(member, std::move(request), std::move(done));
        return;
    }
    if (!may_commit(request, member.id, member.availability_zone)) {
        m_kernel.start_timer(duration::zero(), [commands = request.commands.size(), done = std::move(done)] {
            done(make_failed_reply(commands, member_error::unproven_leader,
                                   "contact with the leader or its zone was lost a short time ago"));
        });
        return;
    }
    request.was_member_absent = was_absent(member.id);
    if (vm != m_membership->identity().name) {
        relay(vm, member.group, member.id, 0, std::move(request), std::move(done));
        return;
    }
    auto const found = m_dispatchers.find(member.id);
    if (found == m_dispatchers.end()) {
        auto const commands = request.commands.size();
        m_kernel.start_timer(duration::zero(), [commands, done = std::move(done)] {
            done(make_failed_reply(commands, member_error::refused, "member is unknown to this VM"));
        });
        return;
    }
    done = watch_contact(request, member.availability_zone, std::move(done));
    // A member that this VM cannot reach may still be reachable for the next VM in rank.
    found->second.dispatcher->run(std::move(request),
                                  [this, id = member.id, vm, done = std::move(done)](member_reply reply) {
                                      m_zones->record_member_reply(zone_of_member(id), vm, reply);
                                      if (reply.answers.back().error == member_error::refused) {
                                          exclude_route(id, vm);
                                      }
                                      done(std::move(reply));
                                  });
}

void broker_service::run_later(member_entry const& member, member_request request, reply_callback done)
{
    auto const commands = request.commands.size();
    auto const is_expired = request.queue_limit_ms <= retry_interval_ms;
    if (!is_expired) {
        request.queue_limit_ms -= retry_interval_ms;
    }
    m_kernel.start_timer(
        is_expired ? duration::zero() : std::chrono::milliseconds(retry_interval_ms),
        [this, is_expired, commands, member, request = std::move(request), done = std::move(done)] {
            if (is_expired || request.is_cancelled()) {
                done(make_failed_reply(commands, member_error::not_started, "no broker is known yet"));
                return;
            }
            run(member, request, done);
        });
}

void broker_service::exclude_route(std::string const& member, std::string const& vm)
{
    m_choice->exclude_route(member, vm);
    m_absent_at[member] = m_kernel.now();
}

bool broker_service::was_absent(std::string const& member) const
{
    auto const found = m_absent_at.find(member);
    return found != m_absent_at.end() && m_kernel.now() - found->second < absence_memory;
}

endpoint broker_service::address_of(std::string const& vm) const
{
    auto const found = m_membership->peers().find(vm);
    if (found == m_membership->peers().end() || found->second.address.port == 0) {
        return {};
    }
    // VMs accept connections from peers on the port that follows the one for datagrams.
    auto address = found->second.address;
    ++address.port;
    return address;
}

void broker_service::relay(std::string const& vm, std::string const& group, std::string const& member,
                           std::uint64_t connection_id, member_request request, reply_callback done)
{
    auto const request_id = m_next_request_id++;
    auto& added = m_pending[request_id];
    added.vm = vm;
    added.member = member;
    added.commands = request.commands.size();
    added.done = std::move(done);
    added.sent_at = m_kernel.now();
    auto const limit =
        std::chrono::milliseconds(request.queue_limit_ms + request.time_limit_ms) + relay_margin;
    added.timer = m_kernel.start_timer(limit, [this, request_id] {
        auto const found = m_pending.find(request_id);
        if (found == m_pending.end()) {
            return;
        }
        auto const late = std::move(found->second);
        m_pending.erase(found);
        late.done(make_failed_reply(late.commands, member_error::timed_out));
    });
    ++m_relayed;
    m_zones->record_sent(vm);
    schedule_check();
    if (request.cancellation) {
        relay_cancellation(*request.cancellation, vm, request_id);
    }
    relay_request message{request_id, group, member, connection_id, std::move(request)};
    m_channels.send(vm, address_of(vm), encode_relay_message(std::move(message)));
}

void broker_service::relay_cancellation(request_cancellation& cancellation, std::string const& vm,
                                        std::uint64_t request_id)
{
    cancellation.add_hook([this, lifetime = m_kernel.lifetime(), vm, request_id] {
        if (!lifetime.expired() && m_pending.contains(request_id)) {
            send_message(vm, relay_cancel{request_id});
        }
    });
}

void broker_service::send_message(std::string const& vm, relay_message const& message)
{
    m_channels.send(vm, address_of(vm), encode_relay_message(message));
}

void broker_service::reply_message(channel_id to, relay_message const& message)
{
    m_channels.reply(to, encode_relay_message(message));
}

void broker_service::handle_reply(std::string const& vm, std::string const& message)
{
    m_health[vm].last_received_at = m_kernel.now();
    m_zones->record_heard(vm);
    auto decoded = try_decode_relay_message(message);
    if (!decoded.ok()) {
        m_kernel.log(log_level::warning, service_name,
                     "reply from a broker was ignored, since it could not be decoded", {});
        return;
    }
    if (auto* const reply = std::get_if<relay_reply>(&*decoded)) {
        handle_relay_reply(vm, std::move(*reply));
    }
    else if (auto const* const ping = std::get_if<relay_ping>(&*decoded)) {
        handle_ping_reply(vm, ping->number);
    }
    else if (auto const* const document = std::get_if<document_reply>(&*decoded);
             document != nullptr && m_on_document_reply) {
        m_on_document_reply(*document);
    }
    else if (std::holds_alternative<hand_over_notice>(*decoded)) {
        handle_hand_over(vm);
    }
}

void broker_service::handle_relay_reply(std::string const& vm, relay_reply reply)
{
    auto const found = m_pending.find(reply.request_id);
    if (found == m_pending.end()) {
        if (reply.connection_id != 0) {
            // The request is no longer pending, so the transaction that it began is not needed.
            m_channels.send(vm, address_of(vm), encode_relay_message(relay_release{reply.connection_id}));
        }
        return;
    }
    auto const answered = std::move(found->second);
    m_pending.erase(found);
    m_kernel.cancel_timer(answered.timer);
    record_round_trip(vm, answered.sent_at);
    if (reply.answers.size() != answered.commands) {
        answered.done(make_failed_reply(answered.commands, member_error::connection_lost));
        return;
    }
    if (reply.answers.back().error == member_error::refused) {
        exclude_route(answered.member, vm);
    }
    member_reply result;
    result.answers = std::move(reply.answers);
    m_zones->record_member_reply(zone_of_member(answered.member), vm, result);
    if (reply.connection_id != 0) {
        result.connection = make_pinned_connection(vm, {}, answered.member, reply.connection_id);
    }
    answered.done(std::move(result));
}

pinned_connection_pointer broker_service::make_pinned_connection(std::string const& vm,
                                                                 std::string const& group,
                                                                 std::string const& member,
                                                                 std::uint64_t connection_id)
{
    // The broker rolls the transaction back when it loses the channel. A later process of the same VM may
    // give the number to another transaction, so the number is only valid on this channel.
    auto const channel = channel_lifetime(vm);
    return std::make_shared<pinned_connection>(pinned_connection::hooks{
        [this, vm, group, member, connection_id, channel](member_request request, reply_callback done) {
            if (!channel.expired()) {
                relay(vm, group, member, connection_id, std::move(request), std::move(done));
                return;
            }
            m_kernel.start_timer(
                duration::zero(), [commands = request.commands.size(), done = std::move(done)] {
                    done(make_failed_reply(commands, member_error::refused,
                                           "the broker was lost, which rolled the transaction back"));
                });
        },
        [this, lifetime = m_kernel.lifetime(), vm, connection_id, channel] {
            if (!lifetime.expired() && !channel.expired()) {
                m_channels.send(vm, address_of(vm), encode_relay_message(relay_release{connection_id}));
            }
        }});
}

std::weak_ptr<bool> broker_service::channel_lifetime(std::string const& vm)
{
    auto& lifetime = m_channel_lifetimes[vm];
    if (!lifetime) {
        lifetime = std::make_shared<bool>(true);
    }
    return lifetime;
}

void broker_service::handle_request(channel_id from, std::string const& message)
{
    auto decoded = try_decode_relay_message(message);
    if (!decoded.ok()) {
        m_kernel.log(log_level::warning, service_name,
                     "request from a peer was ignored, since it could not be decoded", {});
        return;
    }
    if (auto const* const ping = std::get_if<relay_ping>(&*decoded)) {
        m_channels.reply(from, encode_relay_message(relay_ping{true, ping->number}));
    }
    else if (auto const* const release = std::get_if<relay_release>(&*decoded)) {
        auto const found = m_peer_connections.find(release->connection_id);
        if (found != m_peer_connections.end() && found->second.first == from) {
            m_peer_connections.erase(found);
        }
    }
    else if (auto* const request = std::get_if<relay_request>(&*decoded)) {
        m_channels_of_peers.insert(from);
        run_for_peer(from, std::move(*request));
    }
    else if (auto const* const cancel = std::get_if<relay_cancel>(&*decoded)) {
        auto const found = m_cancellations.find({from, cancel->request_id});
        if (found != m_cancellations.end()) {
            auto const cancellation = found->second;
            cancellation->cancel();
        }
    }
    else if (auto const* const report = std::get_if<connection_report>(&*decoded)) {
        m_reports->handle(*report);
    }
    else if (auto const* const document = std::get_if<document_request>(&*decoded);
             document != nullptr && m_on_document_request) {
        m_on_document_request(from, *document);
    }
}

void broker_service::run_for_peer(channel_id from, relay_request message)
{
    auto const request_id = message.request_id;
    auto const commands = message.request.commands.size();
    if (commands == 0) {
        return;
    }
    ++m_peer_requests_running;
    ++m_served;
    message.request.cancellation = std::make_shared<request_cancellation>();
    m_cancellations[{from, request_id}] = message.request.cancellation;
    auto reply = [this, from, request_id](member_reply result) {
        --m_peer_requests_running;
        m_cancellations.erase({from, request_id});
        if (!m_channels_of_peers.contains(from)) {
            // Nobody can use or return the connection of a transaction that has begun meanwhile.
            return;
        }
        relay_reply answer{request_id, std::move(result.answers), 0};
        if (result.connection) {
            answer.connection_id = m_next_connection_id++;
            m_peer_connections[answer.connection_id] = {from, std::move(result.connection)};
        }
        m_channels.reply(from, encode_relay_message(answer));
    };
    auto const zone = zone_of_member(message.member);
    if (!may_commit(message.request, message.member, zone)) {
        reply(make_failed_reply(
            commands, message.connection_id != 0 ? member_error::not_started : member_error::unproven_leader,
            "contact with the leader or other zones was lost a short time ago"));
        return;
    }
    reply_callback watched = watch_contact(message.request, zone, std::move(reply));
    if (message.connection_id != 0) {
        auto const found = m_peer_connections.find(message.connection_id);
        if (found == m_peer_connections.end() || found->second.first != from) {
            watched(
                make_failed_reply(commands, member_error::connection_lost, "transaction is no longer open"));
            return;
        }
        found->second.second->send(std::move(message.request), std::move(watched));
        return;
    }
    auto const found = m_dispatchers.find(message.member);
    if (found == m_dispatchers.end()) {
        watched(make_failed_reply(commands, member_error::refused, "member is unknown to the broker"));
        return;
    }
    m_used_at[message.member] = m_kernel.now();
    found->second.dispatcher->run(std::move(message.request), std::move(watched));
}

bool broker_service::is_used_as_broker_of(std::string const& member) const
{
    auto const found = m_used_at.find(member);
    return found != m_used_at.end() && m_kernel.now() - found->second < use_time;
}

void broker_service::schedule_check()
{
    if (m_pending.empty() || std::exchange(m_has_check_timer, true)) {
        return;
    }
    m_kernel.start_timer(check_period, [this] {
        m_has_check_timer = false;
        check_pending_requests();
        m_zones->check();
        schedule_check();
    });
}

void broker_service::check_pending_requests()
{
    auto const now = m_kernel.now();
    std::map<std::string, monotonic_time> oldest;
    for (auto const& [request_id, pending] : m_pending) {
        oldest.try_emplace(pending.vm, pending.sent_at);
    }
    for (auto const& [vm, since] : oldest) {
        auto& health = m_health[vm];
        if (now - since < ping_after || now - health.last_received_at < ping_after) {
            continue;
        }
        if (now - since >= silence_limit && now - health.last_received_at >= silence_limit) {
            Json::Value fields(Json::objectValue);
            fields["vm"] = vm;
            fields["silent_ms"] = to_milliseconds(now - health.last_received_at);
            m_kernel.log(log_level::info, service_name,
                         "broker stopped responding; failing its pending requests", std::move(fields));
            m_channels.drop(vm);
            fail_requests_at(vm, true, false);
            continue;
        }
        if (now - health.pinged_at >= ping_after) {
            m_zones->record_sent(vm);
            send_ping(vm);
        }
    }
}

void broker_service::send_ping(std::string const& vm)
{
    auto const number = m_next_ping++;
    m_health[vm].pinged_at = m_kernel.now();
    m_pings[number] = {vm, m_kernel.now()};
    m_channels.send(vm, address_of(vm), encode_relay_message(relay_ping{false, number}));
}

void broker_service::handle_ping_reply(std::string const& vm, std::uint64_t number)
{
    auto found = m_pings.find(number);
    if (number == 0) {
        // VMs of earlier builds do not repeat the number. They answer in order, so no earlier ping can be
        // meant.
        auto& forgotten = m_health[vm].forgotten_pings;
        if (forgotten != 0) {
            --forgotten;
            return;
        }
        found = std::find_if(m_pings.begin(), m_pings.end(),
                             [&vm](auto const& each) { return each.second.vm == vm; });
    }
    if (found == m_pings.end() || found->second.vm != vm) {
        return;
    }
    auto const sent_at = found->second.sent_at;
    m_pings.erase(found);
    record_round_trip(vm, sent_at);
}

void broker_service::probe_member_of(std::string const& zone)
{
    std::vector<member_entry const*> members;
    for (auto const& [id, registered] : m_dispatchers) {
        if (registered.entry.availability_zone == zone && !registered.entry.is_draining) {
            members.push_back(&registered.entry);
        }
    }
    if (members.empty()) {
        return;
    }
    auto const member = *members[m_kernel.random_below(members.size())];
    member_request request;
    request.client_account = no_account;
    request.needs_slot = false;
    request.time_limit_ms = member_probe_limit_ms;
    request.queue_limit_ms = member_probe_limit_ms;
    request.commands.resize(1);
    request.commands[0].kind = command_kind::status;
    run(member, std::move(request), [](member_reply const&) {});
}

std::string broker_service::zone_of_member(std::string const& member) const
{
    auto const found = m_dispatchers.find(member);
    return found == m_dispatchers.end() ? std::string() : found->second.entry.availability_zone;
}

void broker_service::handle_zone_change(std::string const& zone, bool is_silent)
{
    m_choice->reset();
    m_silent_until[zone] = m_kernel.now();
    if (!is_silent) {
        return;
    }
    std::set<std::string> vms;
    for (auto const& [request_id, pending] : m_pending) {
        auto const peer = m_membership->peers().find(pending.vm);
        if (peer != m_membership->peers().end() && peer->second.availability_zone == zone) {
            vms.insert(pending.vm);
        }
    }
    for (auto const& vm : vms) {
        m_channels.drop(vm);
        fail_requests_at(vm, true, false);
    }
}

void broker_service::handle_vm_loss(std::string const& vm, bool was_connected)
{
    if (was_connected) {
        // A reset or a close arrived from the VM's host.
        m_zones->record_heard(vm);
    }
    // No reply to what was sent on the lost channel can arrive.
    std::erase_if(m_pings, [&vm](auto const& each) { return each.second.vm == vm; });
    m_health[vm].forgotten_pings = 0;
    fail_requests_at(vm, was_connected, was_connected);
}

void broker_service::fail_requests_at(std::string const& vm, bool was_connected, bool has_ended)
{
    m_choice->record_loss(vm);
    m_channel_lifetimes.erase(vm);
    if (has_ended && m_on_ended) {
        m_on_ended(vm);
    }
    std::vector<pending_request> lost;
    for (auto each = m_pending.begin(); each != m_pending.end();) {
        if (each->second.vm != vm) {
            ++each;
            continue;
        }
        lost.push_back(std::move(each->second));
        each = m_pending.erase(each);
    }
    for (auto const& each : lost) {
        m_kernel.cancel_timer(each.timer);
        each.done(make_failed_reply(each.commands,
                                    was_connected ? member_error::connection_lost : member_error::refused));
    }
}

void broker_service::refuse_peer_requests()
{
    std::vector<std::shared_ptr<request_cancellation>> waiting;
    for (auto const& [request, cancellation] : m_cancellations) {
        waiting.push_back(cancellation);
    }
    for (auto const& cancellation : waiting) {
        cancellation->cancel();
    }
}

void broker_service::handle_channel_loss(channel_id from)
{
    m_channels_of_peers.erase(from);
    std::erase_if(m_peer_connections, [from](auto const& each) { return each.second.first == from; });
    // Nobody waits for the answers of requests that were not yet sent to a member.
    std::vector<std::shared_ptr<request_cancellation>> waiting;
    for (auto const& [request, cancellation] : m_cancellations) {
        if (request.first == from) {
            waiting.push_back(cancellation);
        }
    }
    for (auto const& cancellation : waiting) {
        cancellation->cancel();
    }
}

} // namespace greengagehitch
