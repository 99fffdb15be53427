#include "virtual_databases.h"

#include <utility>

#include <fmt/format.h>
#include <json/value.h>

#include "base/json.h"

namespace greengagehitch::standin {

namespace {

constexpr duration open_timeout = std::chrono::seconds(3);
/// Time after which a member closes a connection on which it receives nothing.
constexpr duration keepalive_time = std::chrono::seconds(1);

} // namespace

/// Connection from a VM to a member.
struct virtual_databases::connection {
    std::uint64_t id = 0;
    std::uint64_t owner = 0; ///< Number of the hooks through which the connection was opened.
    std::string vm_zone;
    std::string group;
    std::size_t member = 0;
    std::function<void(std::function<void()>)> deliver;
    std::shared_ptr<member_session> session;
    bool is_stuck = false; ///< A message was lost to a cut or a fault, so no later message arrives.
    bool is_closed = false;
    monotonic_time last_request_arrival;
    monotonic_time last_answer_arrival;
};

virtual_databases::virtual_databases(virtual_clock& clock, virtual_network& network, options options)
    : m_clock(clock), m_network(network), m_options(options)
{
}

void virtual_databases::add_group(std::string const& name, std::vector<std::string> const& zones,
                                  std::vector<std::string> const& schema)
{
    std::vector<std::string> members;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        members.push_back(fmt::format("{}-member-{}", name, i + 1));
    }
    group_hooks const hooks{[this] { return m_clock.now(); },
                            [this](duration delay, std::function<void()> callback) {
                                return m_clock.start_timer(delay, std::move(callback));
                            }};
    // The address of this object separates the data of two fleets in one process; nothing else depends on it.
    auto const prefix = fmt::format("{}-{}", fmt::ptr(this), name);
    group_entry entry{std::make_unique<database_group>(prefix, members, hooks), zones,
                      std::vector<bool>(zones.size(), false)};
    entry.model->seed(schema);
    entry.model->set_ship_delay(m_network.draw_latency(zones.front(), zones.back()));
    for (std::size_t i = 0; i < zones.size(); ++i) {
        entry.model->member(i).switches().slots = m_options.slots;
        entry.model->member(i).switches().max_connections = m_options.max_connections;
    }
    m_groups.emplace(name, std::move(entry));
    ship_periodically(name);
}

std::vector<std::string> virtual_databases::names() const
{
    std::vector<std::string> names;
    for (auto const& [name, entry] : m_groups) {
        names.push_back(name);
    }
    return names;
}

std::string virtual_databases::encode_group_row(std::string const& name) const
{
    auto const& entry = m_groups.at(name);
    Json::Value root(Json::objectValue);
    root["slots"] = Json::UInt64(m_options.slots);
    root["max_connections"] = Json::UInt64(m_options.max_connections);
    for (std::size_t i = 0; i < entry.zones.size(); ++i) {
        Json::Value member(Json::objectValue);
        member["name"] = entry.model->member(i).name();
        member["availability_zone"] = entry.zones[i];
        member["host"] = name;
        member["port"] = Json::UInt64(i);
        member["database"] = name;
        root["members"].append(std::move(member));
    }
    return to_json_line(root);
}

void virtual_databases::set_unreachable(std::string const& group, std::size_t member, bool is_unreachable)
{
    m_groups.at(group).is_unreachable[member] = is_unreachable;
}

database_hooks virtual_databases::hooks(std::string const& zone,
                                        std::function<void(std::function<void()>)> const& deliver)
{
    auto const owner = m_next_owner++;
    return {
        [this, zone, owner, deliver](member_address const& address, open_callback const& on_opened) {
            auto const id = m_next_connection++;
            open(zone, owner, deliver, id, address, on_opened);
            return connection_id{id};
        },
        [this](connection_id id, batch const& request, batch_callback const& on_answered) {
            execute(static_cast<std::uint64_t>(id), request, on_answered);
        },
        [this](connection_id id) { close(static_cast<std::uint64_t>(id)); },
    };
}

void virtual_databases::close_all(std::uint64_t owner)
{
    std::vector<std::uint64_t> ids;
    for (auto const& [id, each] : m_connections) {
        if (each->owner == owner) {
            ids.push_back(id);
        }
    }
    for (auto const id : ids) {
        close(id);
    }
}

void virtual_databases::apply_network_cuts()
{
    for (auto& [name, entry] : m_groups) {
        for (std::size_t i = 0; i < entry.zones.size(); ++i) {
            for (std::size_t j = i + 1; j < entry.zones.size(); ++j) {
                entry.model->set_link_cut(i, j, m_network.is_cut(entry.zones[i], entry.zones[j]));
            }
        }
    }
}

void virtual_databases::open(std::string const& zone, std::uint64_t owner,
                             std::function<void(std::function<void()>)> const& deliver, std::uint64_t id,
                             member_address const& address, open_callback const& on_opened)
{
    auto const added = std::make_shared<connection>();
    added->id = id;
    added->owner = owner;
    added->vm_zone = zone;
    added->group = address.host;
    added->member = address.port;
    added->deliver = deliver;
    m_connections.emplace(id, added);
    auto const fail = [this, added, on_opened](duration delay, database_error error) {
        m_clock.start_timer(delay, [this, added, on_opened, error] {
            m_connections.erase(added->id);
            added->deliver([on_opened, error] {
                on_opened(
                    database_failure{error, "", "connection to the database member could not be opened"});
            });
        });
    };
    if (is_cut(*added)) {
        fail(open_timeout, database_error::timed_out);
        return;
    }
    auto const member_zone = m_groups.at(added->group).zones[added->member];
    auto const request_latency = m_network.draw_latency(zone, member_zone) + m_network.draw_retransmission();
    m_clock.start_timer(request_latency + m_options.connection_delay,
                        [this, added, on_opened, fail, zone, member_zone] {
                            if (added->is_closed) {
                                return;
                            }
                            auto& member = m_groups.at(added->group).model->member(added->member);
                            if (is_cut(*added) || member.switches().is_paused) {
                                fail(open_timeout, database_error::timed_out);
                                return;
                            }
                            auto const response_latency = m_network.draw_latency(member_zone, zone);
                            if (member.switches().is_killed) {
                                fail(response_latency, database_error::refused);
                                return;
                            }
                            added->session = member.open_session();
                            if (!added->session) {
                                fail(response_latency, database_error::too_many_connections);
                                return;
                            }
                            m_clock.start_timer(response_latency, [this, added, on_opened] {
                                if (!is_cut(*added)) {
                                    added->deliver([on_opened] { on_opened(std::nullopt); });
                                }
                            });
                        });
}

void virtual_databases::execute(std::uint64_t id, batch const& request, batch_callback const& on_answered)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto const current = found->second;
    if (current->is_stuck || is_cut(*current)) {
        mark_stuck(current);
        return;
    }
    auto const arrival = next_arrival(*current, current->last_request_arrival);
    m_clock.start_timer(arrival - m_clock.now(), [this, current, request, on_answered] {
        if (current->is_closed || current->is_stuck || !current->session) {
            return;
        }
        if (is_cut(*current)) {
            mark_stuck(current);
            return;
        }
        auto const& switches = m_groups.at(current->group).model->member(current->member).switches();
        if (switches.is_killed) {
            auto const reset_arrival = next_arrival(*current, current->last_answer_arrival);
            m_clock.start_timer(reset_arrival - m_clock.now(), [current, on_answered] {
                current->deliver([on_answered] {
                    on_answered({{}, database_failure{database_error::connection_lost, "", "reset"}});
                });
            });
            return;
        }
        auto filtered_request = request;
        if (m_request_filter) {
            m_request_filter(filtered_request);
        }
        current->session->submit(filtered_request,
                                 [this, current, request, on_answered](batch_answer result) {
                                     if (m_answer_filter) {
                                         m_answer_filter(request, result);
                                     }
                                     send_answer(current, on_answered, result);
                                 });
    });
}

void virtual_databases::send_answer(std::shared_ptr<connection> const& current,
                                    batch_callback const& on_answered, batch_answer const& result)
{
    if (current->is_closed || current->is_stuck) {
        return;
    }
    if (is_cut(*current)) {
        mark_stuck(current);
        return;
    }
    auto const is_lost = m_clock.random_share() < m_lost_answer_share;
    auto const arrival = next_arrival(*current, current->last_answer_arrival);
    if (is_lost) {
        current->is_stuck = true;
        current->session->close();
        m_clock.start_timer(arrival - m_clock.now(), [current, on_answered] {
            current->deliver([on_answered] {
                on_answered({{}, database_failure{database_error::connection_lost, "", "reset"}});
            });
        });
        return;
    }
    m_clock.start_timer(arrival - m_clock.now(), [this, current, on_answered, result] {
        if (current->is_closed) {
            return;
        }
        if (is_cut(*current)) {
            mark_stuck(current);
            return;
        }
        current->deliver([on_answered, result] { on_answered(result); });
    });
}

void virtual_databases::close(std::uint64_t id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto const closing = found->second;
    m_connections.erase(found);
    closing->is_closed = true;
    if (!closing->session) {
        return;
    }
    auto const delay = is_cut(*closing) || closing->is_stuck
                           ? keepalive_time
                           : m_network.draw_latency(closing->vm_zone, closing->vm_zone);
    m_clock.start_timer(delay, [closing] { closing->session->close(); });
}

void virtual_databases::mark_stuck(std::shared_ptr<connection> const& stuck)
{
    if (std::exchange(stuck->is_stuck, true) || !stuck->session) {
        return;
    }
    m_clock.start_timer(keepalive_time, [stuck] { stuck->session->close(); });
}

bool virtual_databases::is_cut(connection const& current) const
{
    auto const& entry = m_groups.at(current.group);
    return entry.is_unreachable[current.member] ||
           m_network.is_cut(current.vm_zone, entry.zones[current.member]);
}

monotonic_time virtual_databases::next_arrival(connection& current, monotonic_time& last_arrival)
{
    auto const member_zone = m_groups.at(current.group).zones[current.member];
    auto const latency =
        m_network.draw_latency(current.vm_zone, member_zone) + m_network.draw_retransmission();
    last_arrival = std::max(last_arrival, m_clock.now() + latency);
    return last_arrival;
}

void virtual_databases::ship_periodically(std::string const& name)
{
    m_groups.at(name).model->ship_log();
    m_clock.start_timer(m_options.ship_period, [this, name] { ship_periodically(name); });
}

} // namespace greengagehitch::standin
