#include "session_fleet.h"

#include <utility>

#include <fmt/format.h>

#include "brokers/relay_messages.h"
#include "member_wire.h"

namespace greengagehitch::standin {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t peer_port = 7000;
constexpr std::uint16_t first_member_port = 8000;
constexpr duration publish_period = 300ms;
constexpr duration answer_timeout = 20s;
constexpr duration failed_order_time = 500ms;
constexpr duration failed_write_time = 500ms;

std::string next_statement_id()
{
    static std::uint64_t number = 0;
    return fmt::format("id-{}", ++number);
}

} // namespace

std::string session_fleet::database_of(std::size_t group, read_consistency consistency)
{
    return fmt::format("db-{}-{}", group, find_name(read_consistency_names, consistency));
}

session_fleet::session_fleet(session_fleet_shape shape, std::uint64_t seed)
    : m_shape(std::move(shape)), m_clock(seed)
{
    m_configuration.version = 1;
    m_shape.group.marks_handshake_answers = m_shape.passes_wire;
    for (std::size_t i = 0; i < m_shape.groups; ++i) {
        std::vector<std::string> ids;
        for (auto const* const letter : {"a", "b", "c"}) {
            ids.push_back(fmt::format("m-{}-{}", i, letter));
        }
        auto const name = fmt::format("group-{}", i);
        m_groups.push_back(std::make_unique<virtual_database_group>(m_clock, name, ids, m_shape.group));
        m_groups.back()->set_ledger(&m_ledger);
        for (auto const& id : ids) {
            add_member(id, i);
        }
        m_configuration.groups[name] = {m_shape.group.max_connections, 1};
        for (auto const consistency :
             {read_consistency::every_commit, read_consistency::bounded_age, read_consistency::own_writes}) {
            served_class work;
            work.database = database_of(i, consistency);
            work.name = work.database;
            work.group = name;
            work.consistency = consistency;
            work.max_data_age = consistency == read_consistency::every_commit ? 0ms : 1500ms;
            work.statement_timeout = 1000ms;
            work.latency_target = 300ms;
            work.priority = 1;
            m_configuration.classes[work.database] = work;
        }
    }
    for (std::size_t i = 0; i < m_shape.accounts; ++i) {
        m_configuration.account_of_key[key_of(i)] = account_name(i);
        m_configuration.limits[account_name(i)] = {m_shape.rate, m_shape.rate};
    }
    for (std::size_t i = 0; i < m_shape.zones.size(); ++i) {
        auto added = std::make_unique<virtual_vm>();
        added->name = fmt::format("vm-{}", i);
        added->index = i;
        added->zone = m_shape.zones[i];
        added->address = {fmt::format("10.0.{}.{}", i / 250, i % 250 + 1), peer_port};
        m_vm_of_name[added->name] = added.get();
        m_vm_of_host[added->address.host] = added.get();
        m_vms.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        start_vm(i);
    }
    if (m_shape.publishes_documents) {
        publish_configuration();
    }
}

session_fleet::~session_fleet()
{
    m_alive.reset();
    for (auto const& each : m_vms) {
        each->vm.reset();
    }
}

void session_fleet::start_vm(std::size_t index)
{
    auto& starting = *m_vms[index];
    ++starting.incarnation;
    session_vm_settings settings;
    settings.name = starting.name;
    settings.availability_zone = starting.zone;
    settings.peer_endpoint = starting.address;
    settings.deposes_replaced_leaders = m_shape.vms_rely_on_fences;
    settings.fleet_secret = "secret of the virtual fleet";
    starting.vm = std::make_unique<session_vm>(settings, make_hooks(index));
    starting.vm->start();
    if (!m_shape.publishes_documents) {
        return;
    }
    starting.vm->fleet().set_configuration(m_configuration);
    starting.vm->fleet().set_members(make_directory());
    starting.vm->fleet().confirm_configuration(m_clock.now());
}

void session_fleet::stop_vm(std::size_t index)
{
    m_vms[index]->vm->drain([this, index, incarnation = m_vms[index]->incarnation] {
        // The VM cannot be destroyed while it calls this function.
        m_clock.start_timer(duration::zero(), [this, index, incarnation] {
            if (m_vms[index]->vm && m_vms[index]->incarnation == incarnation) {
                kill_vm(index);
            }
        });
    });
}

void session_fleet::close_connection(std::uint64_t number)
{
    if (auto const found = m_group_of_connection.find(number); found != m_group_of_connection.end()) {
        found->second->close(number);
        m_group_of_connection.erase(found);
    }
    m_vm_of_connection.erase(number);
    m_answered.erase(number);
    m_state_of_connection.erase(number);
}

void session_fleet::kill_vm(std::size_t index)
{
    m_vms[index]->vm.reset();
    for (auto const& [number, vm] : m_vm_of_connection) {
        if (vm == index) {
            m_clock.start_timer(m_shape.latency, [this, number = number] { close_connection(number); });
        }
    }
    std::vector<std::uint64_t> lost;
    for (auto const& [number, vm_indexes] : m_channels) {
        if (vm_indexes.first == index || vm_indexes.second == index) {
            lost.push_back(number);
        }
    }
    for (auto const number : lost) {
        auto const vm_indexes = m_channels.at(number);
        m_channels.erase(number);
        m_channel_of.erase(vm_indexes);
        run_after_latency(vm_indexes.first, [name = m_vms[vm_indexes.second]->name](session_vm& vm) {
            vm.brokers().handle_vm_loss(name, true);
        });
        run_after_latency(vm_indexes.second,
                          [number](session_vm& vm) { vm.brokers().handle_channel_loss(channel_id{number}); });
    }
}

void session_fleet::set_zone_cut(std::string const& zone, bool is_cut)
{
    if (is_cut) {
        m_cut_zones.insert(zone);
    }
    else {
        m_cut_zones.erase(zone);
    }
    for (auto const& each : m_vms) {
        if (each->zone == zone) {
            each->can_reach_store = !is_cut;
        }
    }
    for (auto const& [member, member_zone] : m_zone_of_member) {
        if (member_zone == zone) {
            m_group_of_member.at(member)->faults(member).is_isolated = is_cut;
        }
    }
}

void session_fleet::set_zone_refused(std::string const& zone, bool is_refused)
{
    m_are_connections_refused = is_refused;
    if (is_refused) {
        m_cut_zones.insert(zone);
    }
    else {
        m_cut_zones.erase(zone);
    }
}

void session_fleet::change_configuration(std::function<void(served_configuration&)> const& change)
{
    change(m_configuration);
    ++m_configuration.version;
}

void session_fleet::drain_member(std::string const& id)
{
    m_draining.insert(id);
}

member_directory session_fleet::make_directory() const
{
    member_directory directory;
    for (auto const& group : m_groups) {
        for (auto const& id : group->ids()) {
            member_entry entry;
            entry.id = id;
            entry.group = group->name();
            entry.address = m_address_of_member.at(id);
            entry.availability_zone = m_zone_of_member.at(id);
            entry.slots = m_shape.group.slots;
            entry.is_draining = m_draining.contains(id);
            entry.claims_primary = group->leader() == id;
            entry.change = {0, group->term()};
            if (group->warm_up_time() > duration::zero() && group->started_at(id) != monotonic_time{}) {
                auto const started_at = group->started_at(id);
                entry.started_at = static_cast<std::uint64_t>(to_microseconds(started_at.time_since_epoch()));
                entry.warm_up_left =
                    std::max(duration::zero(), started_at + group->warm_up_time() - m_clock.now());
            }
            if (group->is_listed(id) && !m_unlisted.contains(id)) {
                directory[id] = std::move(entry);
            }
        }
    }
    return directory;
}

void session_fleet::add_unlisted_replica(std::string const& id, std::size_t group)
{
    m_unlisted.insert(id);
    add_member(id, group);
    auto const is_isolated = m_cut_zones.contains(m_zone_of_member.at(id)) && !m_are_connections_refused;
    m_groups[group]->add_replica(id, is_isolated);
}

void session_fleet::add_member(std::string const& id, std::size_t group)
{
    m_group_of_member[id] = m_groups[group].get();
    m_zone_of_member[id] = id.substr(id.size() - 1);
    m_address_of_member[id] = {"10.1.0.1",
                               static_cast<std::uint16_t>(first_member_port + m_address_of_member.size())};
}

void session_fleet::publish_configuration()
{
    for (auto const& each : m_vms) {
        if (each->vm && each->can_reach_store) {
            each->vm->fleet().set_configuration(m_configuration);
            each->vm->fleet().set_members(make_directory());
            each->vm->fleet().confirm_configuration(m_clock.now() - m_shape.latency);
        }
    }
    m_clock.start_timer(publish_period, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            publish_configuration();
        }
    });
}

void session_fleet::run_after_latency(std::size_t index, std::function<void(session_vm&)> callback)
{
    auto const incarnation = m_vms[index]->incarnation;
    m_clock.start_timer(m_shape.latency, [this, index, incarnation, callback = std::move(callback)] {
        auto& vm = *m_vms[index];
        if (vm.vm && vm.incarnation == incarnation) {
            callback(*vm.vm);
        }
    });
}

session_fleet::virtual_vm* session_fleet::find_vm(std::string const& name)
{
    auto const found = m_vm_of_name.find(name);
    return found == m_vm_of_name.end() ? nullptr : found->second;
}

session_fleet::virtual_vm* session_fleet::find_vm(endpoint const& address)
{
    auto const found = m_vm_of_host.find(address.host);
    return found == m_vm_of_host.end() ? nullptr : found->second;
}

session_vm_hooks session_fleet::make_hooks(std::size_t index)
{
    session_vm_hooks hooks;
    auto* const self = m_vms[index].get();
    hooks.kernel.now = [this] { return m_clock.now(); };
    hooks.kernel.random = [this] { return m_clock.random()(); };
    hooks.kernel.start_timer = [this](duration delay, std::function<void()> callback) {
        return m_clock.start_timer(delay, std::move(callback));
    };
    hooks.kernel.cancel_timer = [this](timer_id timer) { m_clock.cancel_timer(timer); };
    hooks.kernel.log = [this](log_record const& record) {
        if (m_on_log) {
            m_on_log(record);
        }
    };
    hooks.send_datagram = [this, self](endpoint const& target, std::string const& datagram) {
        m_datagram_bytes += datagram.size();
        auto* const to = find_vm(target);
        if (to == nullptr || !can_exchange_messages(*self, *to)) {
            return;
        }
        auto const number = to->index;
        run_after_latency(number, [datagram](session_vm& vm) { vm.handle_datagram(datagram); });
    };
    hooks.connections = {
        [this, self](backend_connection_target target, backend_connection_events events) {
            auto const number = m_next_connection++;
            if (target.member.empty()) {
                target.member = member_at(target.address);
            }
            // Nothing runs at an address without a member.
            auto const has_member = !target.member.empty();
            if (!has_member || !can_reach_member(*self, target.member)) {
                if (!has_member || m_are_connections_refused ||
                    m_refused.contains({self->index, target.member})) {
                    run_after_latency(self->index, [opened = events.opened](session_vm&) {
                        member_answer answer;
                        answer.error = member_error::refused;
                        answer.is_refused_by_host = true;
                        opened(std::move(answer));
                    });
                }
                return backend_connection_id{number};
            }
            m_member_of_connection[number] = target.member;
            m_vm_of_connection[number] = self->index;
            open_connection(number, target, std::move(events));
            return backend_connection_id{number};
        },
        [this, self](backend_connection_id id, std::vector<member_command> const& commands) {
            auto const number = static_cast<std::uint64_t>(id);
            auto const found = m_group_of_connection.find(number);
            if (found != m_group_of_connection.end() &&
                can_reach_member(*self, m_member_of_connection.at(number)) &&
                !answers_busy(number, commands)) {
                found->second->send(number, commands);
            }
        },
        [this](backend_connection_id id) { close_connection(static_cast<std::uint64_t>(id)); }};
    if (m_shape.passes_wire) {
        auto const wire =
            std::make_shared<member_wire>(m_clock, hooks.connections, [this](std::string const& message) {
                m_ledger.record_unreadable_command(message);
            });
        hooks.connections = wire->hooks();
    }
    hooks.channels = {
        [this, index](std::string const& vm, endpoint const&, std::string const& message) {
            send_message(index, vm, message);
        },
        [this, index](std::string const& vm) {
            auto* const to = find_vm(vm);
            auto const server = to->index;
            auto const found = m_channel_of.find({index, server});
            if (found != m_channel_of.end()) {
                m_channels.erase(found->second);
                m_channel_of.erase(found);
            }
        },
        [this, index](channel_id to, std::string const& message) { reply(index, to, message); }};
    hooks.platform.read_row = [this, self](std::string const& key, auto done) {
        m_clock.start_timer(m_shape.latency, [this, self, key, done = repeated(std::move(done))] {
            if (!self->can_reach_store) {
                fail_call(done);
                return;
            }
            auto const& entry = m_store[key];
            done(std::optional(table_row{
                key, entry.value, entry.version,
                std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch())
                    .count()}));
        });
    };
    hooks.platform.put_row = [this, self](std::string const& key, std::uint64_t expected,
                                          std::string const& value, auto done) {
        put_row(*self, key, expected, value, repeated(std::move(done)));
    };
    hooks.platform.list_vms = [this](auto done) {
        std::vector<vm_record> records;
        for (auto const& each : m_vms) {
            if (each->is_listed) {
                records.push_back(
                    {each->name, each->zone, each->address.host, each->address.port, vm_state::live});
            }
        }
        m_clock.start_timer(m_shape.latency, [records, done = repeated(std::move(done))] { done(records); });
    };
    hooks.promote = [this](promotion_order const& order, std::function<void(absl::Status)> done) {
        execute_promotion(order, repeated(std::move(done)));
    };
    return hooks;
}

void session_fleet::fail_call(std::function<void(absl::Status const&)> done)
{
    auto const timeout = m_store_timeout.value_or(m_shape.latency);
    m_clock.start_timer(timeout - m_shape.latency,
                        [done = std::move(done)] { done(absl::UnavailableError("cut")); });
}

void session_fleet::put_row(virtual_vm const& vm, std::string const& key, std::uint64_t expected,
                            std::string const& value, put_callback const& done)
{
    auto const faults = m_row_faults[key];
    auto const carry_out = [this, &vm, key, expected, value](put_callback const& answer) {
        auto& entry = m_store[key];
        if (!vm.can_reach_store) {
            fail_call(answer);
        }
        else if (entry.version != expected) {
            answer(absl::AbortedError("row has another version"));
        }
        else {
            entry = {value, m_store_version++};
            answer(entry.version);
        }
    };
    if (faults.rejects_writes || faults.write_delay) {
        m_clock.start_timer(failed_write_time,
                            [done] { done(absl::UnavailableError("store did not answer")); });
    }
    if (faults.rejects_writes) {
        return;
    }
    m_clock.start_timer(faults.write_delay.value_or(m_shape.latency),
                        [carry_out, done = faults.write_delay ? put_callback([](auto const&) {}) : done] {
                            carry_out(done);
                        });
}

void session_fleet::open_connection(std::uint64_t number, backend_connection_target const& target,
                                    backend_connection_events events)
{
    auto* const group = m_group_of_member.at(target.member);
    m_group_of_connection[number] = group;
    m_answered[number] = events.answered;
    events.answered = [this, number, answered = events.answered](member_answer answer) {
        m_state_of_connection[number] = answer.state;
        answered(std::move(answer));
    };
    group->open(number, target, std::move(events));
}

std::string session_fleet::member_at(endpoint const& address) const
{
    for (auto const& [id, own] : m_address_of_member) {
        if (own == address) {
            return id;
        }
    }
    return {};
}

void session_fleet::set_member_busy(std::string const& id, bool is_busy)
{
    if (is_busy) {
        m_busy.insert(id);
    }
    else {
        m_busy.erase(id);
    }
}

bool session_fleet::answers_busy(std::uint64_t number, std::vector<member_command> const& commands)
{
    if (!m_busy.contains(m_member_of_connection.at(number)) || commands.size() != 1 ||
        commands.front().kind != command_kind::caller_statement) {
        return false;
    }
    m_clock.start_timer(2 * m_shape.group.latency, [this, number] {
        auto const found = m_answered.find(number);
        if (found == m_answered.end()) {
            return;
        }
        member_answer answer;
        answer.error = member_error::busy;
        answer.state = m_state_of_connection[number];
        auto const answered = found->second;
        answered(std::move(answer));
    });
    return true;
}

void session_fleet::send_message(std::size_t from, std::string const& to, std::string const& message)
{
    auto* const target = find_vm(to);
    auto const server = target->index;
    if (!target->vm) {
        run_after_latency(from, [to](session_vm& vm) { vm.brokers().handle_vm_loss(to, false); });
        return;
    }
    auto& number = m_channel_of[{from, server}];
    if (number == 0) {
        number = m_next_channel++;
        m_channels[number] = {from, server};
    }
    if (can_exchange_messages(*m_vms[from], *target)) {
        run_after_latency(server, [number, message](session_vm& vm) {
            vm.brokers().handle_request(channel_id{number}, message);
        });
    }
}

void session_fleet::reply(std::size_t from, channel_id to, std::string const& message)
{
    auto const found = m_channels.find(static_cast<std::uint64_t>(to));
    if (found == m_channels.end() || !can_exchange_messages(*m_vms[from], *m_vms[found->second.first])) {
        return;
    }
    auto sent = message;
    if (m_without_ping_numbers.contains(from)) {
        auto const decoded = try_decode_relay_message(message);
        if (decoded.ok() && std::holds_alternative<relay_ping>(*decoded)) {
            sent = encode_relay_message(relay_ping{true, 0});
        }
    }
    run_after_latency(found->second.first, [name = m_vms[from]->name, sent](session_vm& vm) {
        vm.brokers().handle_reply(name, sent);
    });
}

void session_fleet::execute_promotion(promotion_order const& order, std::function<void(absl::Status)> done)
{
    ++m_sent_orders;
    m_last_ordered = order.member;
    if (m_do_orders_fail) {
        m_clock.start_timer(failed_order_time, [done = std::move(done)] {
            done(absl::UnavailableError("platform did not answer"));
        });
        return;
    }
    auto delay = m_shape.latency;
    if (auto const late = std::exchange(m_next_order_delay, std::nullopt); late || m_order_delay) {
        delay = late ? *late : *m_order_delay;
        m_delayed_order = order;
        m_clock.start_timer(failed_order_time, [done = std::move(done)] {
            done(absl::UnavailableError("platform did not answer"));
        });
        done = [](absl::Status const&) {};
    }
    m_clock.start_timer(delay, [this, order, done = std::move(done)] {
        auto& fence = m_fences[order.group];
        auto* const group = m_group_of_member.at(order.member);
        if (order.fence < fence || group->faults(order.member).is_down) {
            m_stale_promotion_orders += order.fence < fence ? 1 : 0;
            done(absl::FailedPreconditionError("refused"));
            return;
        }
        fence = order.fence;
        m_promotions += group->leader() == order.member ? 0 : 1;
        group->promote(order.member);
        done(absl::OkStatus());
    });
}

session_caller::session_caller(session_fleet& fleet, std::size_t vm, std::string const& database,
                               std::string const& key)
    : m_fleet(fleet)
{
    m_number = fleet.ledger().add_session("account-" + key.substr(key.find('-') + 1));
    auto record = [&fleet, number = m_number, answers = m_answers](session_answer answer) {
        fleet.ledger().record_answer(number, answer);
        answers->push_back(std::move(answer));
    };
    if (!fleet.passes_wire()) {
        open(vm, database, key, std::move(record));
        return;
    }
    m_wire =
        std::make_shared<caller_wire>(fleet.clock(), std::move(record), [&fleet](std::string const& message) {
            fleet.ledger().record_unreadable_answer(message);
        });
    for (auto const& message : m_wire->send(fmt::format("START {} {}", database, key))) {
        auto const* const opening = std::get_if<line_protocol::open_message>(&message);
        if (opening == nullptr || m_session) {
            end();
            return;
        }
        open(vm, opening->database, opening->key,
             [wire = m_wire](session_answer const& answer) { wire->receive(answer); });
    }
}

void session_caller::open(std::size_t vm, std::string const& database, std::string const& key,
                          std::function<void(session_answer)> on_answer)
{
    session_hooks hooks;
    hooks.answer = std::move(on_answer);
    hooks.close = [was_closed = m_was_closed] { *was_closed = true; };
    auto opened = m_fleet.vm(vm).sessions().open(database, key, std::move(hooks));
    if (auto const* const refusal = std::get_if<session_refusal>(&opened)) {
        m_open_error = refusal->error;
        return;
    }
    m_session = std::get<std::shared_ptr<client_session>>(std::move(opened));
}

void session_caller::send(session_statement statement)
{
    m_fleet.ledger().record_sent(m_number, statement);
    if (!m_wire) {
        m_session->handle(std::move(statement));
        return;
    }
    for (auto& message : m_wire->send("QUERY " + statement.id + " " + statement.text)) {
        auto* const read = std::get_if<session_statement>(&message);
        if (read == nullptr) {
            end();
            return;
        }
        m_session->handle(std::move(*read));
    }
}

void session_caller::end()
{
    *m_was_closed = true;
    if (auto const ended = std::exchange(m_session, nullptr)) {
        ended->disconnect(session_end::invalid_message);
    }
}

session_answer session_caller::send_and_wait(session_statement statement)
{
    auto const before = m_answers->size();
    send(std::move(statement));
    auto const end = m_fleet.clock().now() + answer_timeout;
    while (m_answers->size() == before && m_fleet.clock().now() < end) {
        m_fleet.clock().run_for(1ms);
    }
    if (m_answers->size() != before) {
        return m_answers->back();
    }
    session_answer none;
    none.error = session_error::timed_out;
    none.error_text = "the session did not answer before the timeout";
    return none;
}

void session_caller::disconnect()
{
    if (auto const left = std::exchange(m_session, nullptr)) {
        left->disconnect();
    }
}

session_statement session_caller::make_statement(statement_kind kind, std::string const& text)
{
    session_statement statement;
    statement.kind = kind;
    statement.id = next_statement_id();
    statement.text = text;
    return statement;
}

session_statement session_caller::read(std::string const& item)
{
    return make_statement(statement_kind::read, "READ " + item);
}

session_statement session_caller::write(std::string const& item, std::string const& data)
{
    return make_statement(statement_kind::write, "WRITE " + item + " " + data);
}

session_statement session_caller::set(std::string const& name, std::string const& value)
{
    auto statement = make_statement(statement_kind::set_value, "SET " + name + " " + value);
    statement.name = name;
    statement.argument = value;
    return statement;
}

session_statement session_caller::prepare(std::string const& name, bool is_write, std::string const& shape)
{
    auto statement = make_statement(statement_kind::prepare,
                                    "PREPARE " + name + (is_write ? " WRITE " : " READ ") + shape);
    statement.name = name;
    statement.prepared = {is_write, shape};
    return statement;
}

session_statement session_caller::execute(std::string const& name, std::string const& arguments)
{
    auto statement = make_statement(statement_kind::execute, "EXECUTE " + name + " " + arguments);
    statement.name = name;
    statement.argument = arguments;
    return statement;
}

session_statement session_caller::deallocate(std::string const& name)
{
    auto statement = make_statement(statement_kind::deallocate, "DEALLOC " + name);
    statement.name = name;
    return statement;
}

} // namespace greengagehitch::standin
