#include "brokers/broker_service.h"

#include <algorithm>
#include <utility>

#include "brokers/broker_candidates.h"
#include "failover/watcher_choice.h"

namespace greengagehitch {

namespace {

/// Choices are made anew this often, since VMs come and go.
constexpr duration choice_lifetime = std::chrono::milliseconds(150);
constexpr duration watch_period = std::chrono::milliseconds(60);
/// A broker that owes an answer for this long is asked for a sign of life.
constexpr duration ping_after = std::chrono::milliseconds(120);
/// A broker that is silent for this long, with an answer owing, is taken as dead.
constexpr duration silence_limit = std::chrono::milliseconds(350);
/// Time for which a dead VM, or one that cannot reach a member, is passed over.
constexpr duration down_time = std::chrono::milliseconds(600);
constexpr duration avoid_time = std::chrono::milliseconds(1'500);
/// Time for the way to the broker and back, beyond what the request itself may take.
constexpr duration relay_slack = std::chrono::milliseconds(60);

} // namespace

void broker_service::start()
{
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_kernel.start_periodic(watch_period, [this] { watch(); });
}

Json::Value broker_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["relayed"] = Json::UInt64(m_relayed);
    state["served"] = Json::UInt64(m_served);
    state["pending"] = Json::UInt64(m_pending.size());
    state["leases"] = Json::UInt64(m_leases.size());
    for (auto const& [member, chosen] : m_choices) {
        state["brokers"][member] = chosen.vm;
    }
    return state;
}

void broker_service::add_desk(member_entry const& member, std::shared_ptr<member_desk> desk)
{
    m_desks[member.id] = {member, std::move(desk)};
}

void broker_service::remove_desk(std::string const& member)
{
    m_desks.erase(member);
    m_choices.erase(member);
    m_avoided.erase(member);
}

bool broker_service::is_broker_of(std::string const& member)
{
    auto const found = m_desks.find(member);
    return found != m_desks.end() &&
           choose(member, found->second.entry.availability_zone) == m_membership->identity().name;
}

std::string const& broker_service::choose(std::string const& member, std::string const& zone)
{
    auto const now = m_kernel.now();
    auto& chosen = m_choices[member];
    if (!chosen.vm.empty() && now - chosen.made_at < choice_lifetime) {
        return chosen.vm;
    }
    auto const& self = m_membership->identity();
    auto const avoided = m_avoided.find(member);
    auto const is_avoided = [&](std::string const& vm) {
        if (avoided == m_avoided.end()) {
            return false;
        }
        auto const until = avoided->second.find(vm);
        return until != avoided->second.end() && until->second > now;
    };
    broker_candidates near;
    broker_candidates all;
    auto const add = [&](std::string const& vm, std::string const& its_zone, double processor_share) {
        if (is_avoided(vm)) {
            return;
        }
        all.add(vm, processor_share);
        if (its_zone == zone) {
            near.add(vm, processor_share);
        }
    };
    if (!m_membership->is_leaving()) {
        add(self.name, self.availability_zone, self.processor_share);
    }
    for (auto const& [name, peer] : m_membership->peers()) {
        if (!peer.is_leaving && !is_down(name, peer) && m_membership->is_reachable(peer)) {
            add(name, peer.availability_zone, peer.processor_share);
        }
    }
    auto const candidates = near.is_empty() ? all.strong() : near.strong();
    chosen.vm = candidates.empty() ? self.name : choose_first(member, candidates);
    chosen.made_at = now;
    return chosen.vm;
}

bool broker_service::is_down(std::string const& vm, peer_state const& peer) const
{
    auto const health = m_health.find(vm);
    if (health == m_health.end() || health->second.lost_at == monotonic_time{}) {
        return false;
    }
    // It is back once it was heard again, and not only by what was on its way.
    auto const back_after = health->second.lost_at + down_time;
    auto const sign_of_life = std::max(peer.last_received_at, peer.indirect_contact_at);
    return m_kernel.now() < back_after || !sign_of_life || *sign_of_life < back_after;
}

void broker_service::run(member_entry const& member, member_request request, reply_callback done)
{
    auto const vm = choose(member.id, member.availability_zone);
    if (vm != m_membership->identity().name) {
        relay(vm, member.group, member.id, 0, std::move(request), std::move(done));
        return;
    }
    auto const found = m_desks.find(member.id);
    if (found == m_desks.end()) {
        auto const commands = request.commands.size();
        m_kernel.start_timer(duration::zero(), [commands, done = std::move(done)] {
            done(make_failed_reply(commands, member_error::refused, "member is unknown"));
        });
        return;
    }
    // Unreachable for this VM does not mean unreachable for the next one in rank.
    found->second.desk->run(std::move(request),
                            [this, id = member.id, vm, done = std::move(done)](member_reply reply) {
                                if (reply.answers.back().error == member_error::refused) {
                                    avoid_route(id, vm);
                                }
                                done(std::move(reply));
                            });
}

void broker_service::avoid_route(std::string const& member, std::string const& vm)
{
    m_avoided[member][vm] = m_kernel.now() + avoid_time;
    m_choices.erase(member);
}

endpoint broker_service::address_of(std::string const& vm) const
{
    auto const found = m_membership->peers().find(vm);
    if (found == m_membership->peers().end() || found->second.address.port == 0) {
        return {};
    }
    // Channels are listened for on the port after the one for datagrams.
    auto address = found->second.address;
    ++address.port;
    return address;
}

void broker_service::relay(std::string const& vm, std::string const& group, std::string const& member,
                           std::uint64_t lease, member_request request, reply_callback done)
{
    auto const number = m_next_number++;
    auto& added = m_pending[number];
    added.vm = vm;
    added.member = member;
    added.commands = request.commands.size();
    added.done = std::move(done);
    added.sent_at = m_kernel.now();
    auto const limit =
        std::chrono::milliseconds(request.queue_limit_ms + request.time_limit_ms) + relay_slack;
    added.timer = m_kernel.start_timer(limit, [this, number] {
        auto const found = m_pending.find(number);
        if (found == m_pending.end()) {
            return;
        }
        auto const late = std::move(found->second);
        m_pending.erase(found);
        late.done(make_failed_reply(late.commands, member_error::timed_out));
    });
    ++m_relayed;
    relay_request message{number, group, member, lease, std::move(request)};
    m_channels.send(vm, address_of(vm), encode_relay_message(std::move(message)));
}

void broker_service::take_reply(std::string const& vm, std::string const& message)
{
    m_health[vm].heard_at = m_kernel.now();
    auto decoded = try_decode_relay_message(message);
    if (!decoded.ok()) {
        m_kernel.log(log_level::warning, service_name, "reply cannot be read", {});
        return;
    }
    if (auto* const reply = std::get_if<relay_reply>(&*decoded)) {
        take_answer(vm, std::move(*reply));
    }
}

void broker_service::take_answer(std::string const& vm, relay_reply reply)
{
    auto const found = m_pending.find(reply.number);
    if (found == m_pending.end()) {
        if (reply.lease != 0) {
            // Nobody waits for the transaction any more.
            m_channels.send(vm, address_of(vm), encode_relay_message(relay_release{reply.lease}));
        }
        return;
    }
    auto const answered = std::move(found->second);
    m_pending.erase(found);
    m_kernel.cancel_timer(answered.timer);
    if (reply.answers.size() != answered.commands) {
        answered.done(make_failed_reply(answered.commands, member_error::connection_lost));
        return;
    }
    if (reply.answers.back().error == member_error::refused) {
        avoid_route(answered.member, vm);
    }
    member_reply result;
    result.answers = std::move(reply.answers);
    if (reply.lease != 0) {
        result.lease = make_lease(vm, {}, answered.member, reply.lease);
    }
    answered.done(std::move(result));
}

lease_pointer broker_service::make_lease(std::string const& vm, std::string const& group,
                                         std::string const& member, std::uint64_t lease)
{
    return std::make_shared<member_lease>(member_lease::hooks{
        [this, vm, group, member, lease](member_request request, reply_callback done) {
            relay(vm, group, member, lease, std::move(request), std::move(done));
        },
        [this, lifetime = m_kernel.lifetime(), vm, lease] {
            if (!lifetime.expired()) {
                m_channels.send(vm, address_of(vm), encode_relay_message(relay_release{lease}));
            }
        }});
}

void broker_service::take_request(channel_id from, std::string const& message)
{
    auto decoded = try_decode_relay_message(message);
    if (!decoded.ok()) {
        m_kernel.log(log_level::warning, service_name, "request cannot be read", {});
        return;
    }
    if (std::holds_alternative<relay_ping>(*decoded)) {
        m_channels.reply(from, encode_relay_message(relay_ping{true}));
    }
    else if (auto const* const release = std::get_if<relay_release>(&*decoded)) {
        auto const found = m_leases.find(release->lease);
        if (found != m_leases.end() && found->second.first == from) {
            m_leases.erase(found);
        }
    }
    else if (auto* const request = std::get_if<relay_request>(&*decoded)) {
        run_for_guest(from, std::move(*request));
    }
}

void broker_service::run_for_guest(channel_id from, relay_request message)
{
    auto const number = message.number;
    auto const commands = message.request.commands.size();
    if (commands == 0) {
        return;
    }
    ++m_guests_running;
    ++m_served;
    auto reply = [this, from, number](member_reply result) {
        --m_guests_running;
        relay_reply answer{number, std::move(result.answers), 0};
        if (result.lease) {
            answer.lease = m_next_lease++;
            m_leases[answer.lease] = {from, std::move(result.lease)};
        }
        m_channels.reply(from, encode_relay_message(answer));
    };
    if (message.lease != 0) {
        auto const found = m_leases.find(message.lease);
        if (found == m_leases.end() || found->second.first != from) {
            reply(make_failed_reply(commands, member_error::connection_lost, "transaction is gone"));
            return;
        }
        found->second.second->send(std::move(message.request), std::move(reply));
        return;
    }
    auto const found = m_desks.find(message.member);
    if (found == m_desks.end()) {
        reply(make_failed_reply(commands, member_error::refused, "member is unknown here"));
        return;
    }
    found->second.desk->run(std::move(message.request), std::move(reply));
}

void broker_service::watch()
{
    auto const now = m_kernel.now();
    std::map<std::string, monotonic_time> oldest;
    for (auto const& [number, pending] : m_pending) {
        oldest.try_emplace(pending.vm, pending.sent_at);
    }
    for (auto const& [vm, since] : oldest) {
        auto& health = m_health[vm];
        if (now - since < ping_after || now - health.heard_at < ping_after) {
            continue;
        }
        if (now - since >= silence_limit && now - health.heard_at >= silence_limit) {
            Json::Value fields(Json::objectValue);
            fields["vm"] = vm;
            fields["silent_ms"] = to_milliseconds(now - health.heard_at);
            m_kernel.log(log_level::info, service_name, "broker is silent", std::move(fields));
            m_channels.drop(vm);
            lose_vm(vm, true);
            continue;
        }
        if (now - health.pinged_at >= ping_after) {
            health.pinged_at = now;
            m_channels.send(vm, address_of(vm), encode_relay_message(relay_ping{}));
        }
    }
}

void broker_service::lose_vm(std::string const& vm, bool was_connected)
{
    m_health[vm].lost_at = m_kernel.now();
    m_choices.clear();
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

void broker_service::lose_channel(channel_id from)
{
    std::erase_if(m_leases, [from](auto const& each) { return each.second.first == from; });
}

} // namespace greengagehitch
