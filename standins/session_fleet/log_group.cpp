#include "log_group.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengagehitch::standin {

log_group::log_group(virtual_clock& clock, std::string name, std::vector<std::string> ids, options options)
    : m_clock(clock), m_name(std::move(name)), m_ids(std::move(ids)), m_options(options),
      m_leader(m_ids.front())
{
    for (auto const& id : m_ids) {
        m_members[id];
    }
}

void log_group::restart(std::string const& id)
{
    auto& restarted = m_members.at(id);
    restarted.faults.is_dark = false;
    restarted.stopped_at_term = 0;
    std::vector<std::uint64_t> links;
    for (auto const& [link, each] : m_connections) {
        if (each->member == id) {
            links.push_back(link);
        }
    }
    for (auto const link : links) {
        auto const lost = m_connections.at(link);
        close(link);
        lost->events.lost(member_error::connection_lost);
    }
    if (!leads(id)) {
        restarted.log = m_members.at(m_leader).log;
        restarted.applied = restarted.log.size();
    }
}

void log_group::promote(std::string const& id)
{
    m_clock.start_timer(m_options.promotion, [this, id] {
        if (leads(id) || m_members.at(id).faults.is_dark) {
            return;
        }
        ++m_term;
        m_leader = id;
        auto& leader = m_members.at(id);
        leader.applied = leader.log.size();
        m_next_number = leader.log.empty() ? 1 : leader.log.back().position.position + 1;
        for (auto& [other, each] : m_members) {
            each.stopped_at_term = 0;
            if (other != id && !each.faults.is_dark) {
                each.log = leader.log;
                each.applied = std::min(each.applied, each.log.size());
            }
        }
    });
}

bool log_group::holds_all_acknowledged() const
{
    auto const& log = m_members.at(m_leader).log;
    return std::all_of(m_acknowledged.begin(), m_acknowledged.end(), [&log](auto const& each) {
        return std::any_of(log.begin(), log.end(),
                           [&each](auto const& entry) { return entry.statement == each.second.statement; });
    });
}

std::size_t log_group::count_in_log(std::string const& statement) const
{
    auto const& log = m_members.at(m_leader).log;
    return static_cast<std::size_t>(std::count_if(
        log.begin(), log.end(), [&statement](auto const& entry) { return entry.statement == statement; }));
}

log_position log_group::acknowledged_before(monotonic_time time) const
{
    log_position highest;
    for (auto const& [at, entry] : m_acknowledged) {
        if (at < time) {
            highest = std::max(highest, entry.position);
        }
    }
    return highest;
}

log_position log_group::end_of_log() const
{
    auto const& log = m_members.at(m_leader).log;
    return log.empty() ? log_position{} : log.back().position;
}

void log_group::open(std::uint64_t link, backend_connection_target const& target,
                     backend_connection_events events)
{
    auto const added = std::make_shared<connection>();
    added->member = target.member;
    added->client_account = target.client_account;
    added->events = std::move(events);
    m_connections[link] = added;
    ++m_members.at(target.member).connections;
    m_clock.start_timer(m_options.handshake + 2 * m_options.latency,
                        [this, link, added, group = target.group] {
                            auto const& member = m_members.at(added->member);
                            if (!m_connections.contains(link) || member.faults.is_dark) {
                                return;
                            }
                            member_answer answer;
                            if (group != m_name) {
                                answer.error = member_error::wrong_member;
                            }
                            else if (member.connections > m_options.max_connections) {
                                answer.error = member_error::too_many_connections;
                            }
                            ++m_opened;
                            answer.position = readable(member);
                            added->events.opened(std::move(answer));
                        });
}

void log_group::send(std::uint64_t link, std::vector<member_command> const& commands)
{
    m_clock.start_timer(m_options.latency, [this, link, commands] {
        auto const found = m_connections.find(link);
        if (found == m_connections.end()) {
            return;
        }
        auto& queue = found->second->queue;
        queue.insert(queue.end(), commands.begin(), commands.end());
        run_next(link);
    });
}

void log_group::close(std::uint64_t link)
{
    auto const found = m_connections.find(link);
    if (found == m_connections.end()) {
        return;
    }
    --m_members.at(found->second->member).connections;
    m_connections.erase(found);
}

bool log_group::needs_slot(connection const& /*of*/, member_command const& command)
{
    if (command.kind == command_kind::execute) {
        return true;
    }
    return command.kind == command_kind::caller_statement;
}

void log_group::run_next(std::uint64_t link)
{
    auto const found = m_connections.find(link);
    if (found == m_connections.end() || found->second->is_running || found->second->queue.empty()) {
        return;
    }
    auto const of = found->second;
    auto& member = m_members.at(of->member);
    if (member.faults.is_dark) {
        return;
    }
    auto const command = of->queue.front();
    auto const takes_slot = needs_slot(*of, command);
    if (takes_slot && member.running >= m_options.slots) {
        m_clock.start_timer(std::chrono::milliseconds(1), [this, link] { run_next(link); });
        return;
    }
    of->queue.erase(of->queue.begin());
    of->is_running = true;
    member.running += takes_slot ? 1 : 0;
    auto const work = takes_slot ? m_clock.random_interval(m_options.work) : duration::zero();
    m_clock.start_timer(work, [this, link, of, command, takes_slot] {
        m_members.at(of->member).running -= takes_slot ? 1 : 0;
        of->is_running = false;
        if (!m_connections.contains(link) || m_members.at(of->member).faults.is_dark) {
            return;
        }
        auto const is_commit = command.kind == command_kind::caller_statement && command.text == "COMMIT";
        auto const is_write = command.text.starts_with("WRITE") ||
                              (command.kind == command_kind::execute && of->prepared.contains(command.name) &&
                               of->prepared.at(command.name).is_write);
        auto const ends_with_commit = (is_commit && of->state == transaction_state::open) ||
                                      (is_write && of->state == transaction_state::idle);
        if (ends_with_commit && leads(of->member)) {
            m_statements_run += is_write ? 1 : 0;
            if (!is_commit) {
                of->writes = {command.id};
            }
            commit(link, of, command.id);
            return;
        }
        finish(link, run(*of, command), takes_slot);
    });
}

void log_group::commit(std::uint64_t link, connection_pointer const& of, std::string const& id)
{
    auto const is_empty = of->writes.empty();
    auto const is_stale = of->state == transaction_state::open && of->may_write && of->term != m_term;
    of->state = transaction_state::idle;
    if (is_stale && !is_empty) {
        of->writes.clear();
        finish(link, fail(*of, member_error::read_only), true);
        return;
    }
    if (is_empty) {
        auto answer = make_answer(*of);
        answer.proof = "proof-" + id;
        finish(link, std::move(answer), true);
        return;
    }
    log_entry const entry{{m_term, m_next_number++}, of->writes.front()};
    of->writes.clear();
    auto& leader = m_members.at(m_leader);
    leader.log.push_back(entry);
    leader.applied = leader.log.size();
    replicate(entry, link, id);
}

void log_group::replicate(log_entry const& entry, std::uint64_t link, std::string const& id)
{
    auto const is_acknowledged = std::make_shared<bool>(false);
    auto const from = m_leader;
    for (auto const& replica : m_ids) {
        if (replica == from) {
            continue;
        }
        m_clock.start_timer(m_options.latency, [this, entry, link, id, replica, from, is_acknowledged] {
            auto& member = m_members.at(replica);
            auto const is_deaf = member.faults.is_dark || member.faults.is_deaf ||
                                 member.stopped_at_term > entry.position.term || m_leader != from;
            if (is_deaf) {
                return;
            }
            // A replica that missed entries receives them with the next one.
            auto const& log = m_members.at(from).log;
            auto const end = std::find_if(log.begin(), log.end(), [&entry](auto const& each) {
                return each.position == entry.position;
            });
            if (end == log.end()) {
                return;
            }
            if (member.log.size() < static_cast<std::size_t>(end - log.begin()) + 1) {
                member.log.assign(log.begin(), end + 1);
            }
            m_clock.start_timer(m_clock.random_interval(member.faults.lag),
                                [this, replica, size = member.log.size()] {
                                    auto& late = m_members.at(replica);
                                    late.applied = std::max(late.applied, std::min(size, late.log.size()));
                                });
            if (std::exchange(*is_acknowledged, true)) {
                return;
            }
            m_clock.start_timer(m_options.latency, [this, entry, link, id] {
                auto const found = m_connections.find(link);
                if (found == m_connections.end() || m_members.at(found->second->member).faults.is_dark) {
                    return;
                }
                auto answer = make_answer(*found->second);
                answer.proof = "proof-" + id;
                answer.position = entry.position;
                if (m_clock.random_share() >= m_members.at(found->second->member).faults.lost_answers) {
                    m_acknowledged.emplace_back(m_clock.now(), entry);
                    finish(link, std::move(answer), false);
                }
            });
        });
    }
}

void log_group::finish(std::uint64_t link, member_answer answer, bool was_run)
{
    auto const found = m_connections.find(link);
    if (found == m_connections.end()) {
        return;
    }
    auto const& faults = m_members.at(found->second->member).faults;
    if (was_run && m_clock.random_share() < faults.lost_answers) {
        return;
    }
    m_clock.start_timer(m_options.latency, [this, link, answer = std::move(answer)]() mutable {
        auto const still = m_connections.find(link);
        if (still != m_connections.end()) {
            auto const of = still->second;
            of->events.answered(std::move(answer));
        }
    });
    run_next(link);
}

member_answer log_group::make_answer(connection const& of) const
{
    member_answer answer;
    answer.state = of.state;
    answer.position = readable(m_members.at(of.member));
    return answer;
}

member_answer log_group::fail(connection& of, member_error error) const
{
    if (of.state == transaction_state::open) {
        of.state = transaction_state::failed;
    }
    auto answer = make_answer(of);
    answer.error = error;
    return answer;
}

log_position log_group::readable(member const& of) const
{
    return of.applied == 0 ? log_position{} : of.log[of.applied - 1].position;
}

member_answer log_group::run(connection& of, member_command const& command)
{
    auto& member = m_members.at(of.member);
    switch (command.kind) {
    case command_kind::begin:
    case command_kind::begin_read:
        if (command.kind == command_kind::begin && !leads(of.member)) {
            return fail(of, member_error::read_only);
        }
        if (command.minimum_position && readable(member) < *command.minimum_position) {
            return fail(of, member_error::lagging);
        }
        of.state = transaction_state::open;
        of.may_write = command.kind == command_kind::begin;
        of.term = m_term;
        of.writes.clear();
        return make_answer(of);
    case command_kind::rollback:
        of.state = transaction_state::idle;
        of.writes.clear();
        return make_answer(of);
    case command_kind::set_value:
        of.values[command.name] = command.argument;
        return make_answer(of);
    case command_kind::prepare:
        of.prepared[command.name] = command.prepared;
        return make_answer(of);
    case command_kind::reset:
        of.values.clear();
        of.prepared.clear();
        return make_answer(of);
    case command_kind::status:
    case command_kind::stop_receiving:
    case command_kind::resume_receiving:
    case command_kind::step_down: {
        if (command.kind == command_kind::stop_receiving) {
            member.stopped_at_term = command.term;
        }
        else if (command.kind == command_kind::resume_receiving) {
            member.stopped_at_term = 0;
        }
        auto answer = make_answer(of);
        auto const received = member.log.empty() ? log_position{} : member.log.back().position;
        answer.replication =
            replication_status{leads(of.member) ? member_role::primary : member_role::replica, m_term,
                               received, member.stopped_at_term};
        return answer;
    }
    case command_kind::caller_statement:
    case command_kind::execute:
        return run_statement(of, command);
    }
    return fail(of, member_error::malformed);
}

member_answer log_group::run_statement(connection& of, member_command const& command)
{
    auto const& member = m_members.at(of.member);
    if (of.state == transaction_state::failed) {
        return fail(of, member_error::malformed);
    }
    auto is_write = command.text.starts_with("WRITE");
    if (command.kind == command_kind::execute) {
        auto const found = of.prepared.find(command.name);
        if (found == of.prepared.end()) {
            return fail(of, member_error::unknown_prepared);
        }
        is_write = found->second.is_write;
    }
    if (command.minimum_position && readable(member) < *command.minimum_position) {
        return fail(of, member_error::lagging);
    }
    auto const lost_lead =
        of.state == transaction_state::open && of.may_write && (!leads(of.member) || of.term != m_term);
    if (lost_lead || (is_write && !leads(of.member))) {
        return fail(of, member_error::read_only);
    }
    ++m_statements_run;
    if (is_write) {
        of.writes.push_back(command.id);
    }
    auto answer = make_answer(of);
    answer.proof = "proof-" + command.id;
    // What a test needs to know of the connection that ran the statement.
    auto const position = readable(member);
    std::string values;
    for (auto const& [name, value] : of.values) {
        values += fmt::format("{}={};", name, value);
    }
    answer.rows = {fmt::format("{}.{} {} {} {}", position.term, position.position, of.member,
                               of.client_account, values)};
    return answer;
}

} // namespace greengagehitch::standin
