#include "virtual_database_group.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengagehitch::standin {

namespace {

/// Time after which a replaced leader that can reach its successor becomes a replica.
constexpr duration replaced_leader_time = std::chrono::seconds(1);

} // namespace

virtual_database_group::virtual_database_group(virtual_clock& clock, std::string name,
                                               std::vector<std::string> ids, options options)
    : m_clock(clock), m_name(std::move(name)), m_ids(std::move(ids)), m_options(std::move(options)),
      m_leader(m_ids.front()), m_primaries{m_leader}
{
    for (auto const& id : m_ids) {
        m_members[id];
    }
}

bool virtual_database_group::is_listed(std::string const& id) const
{
    auto const& member = m_members.at(id);
    auto const was_crashed = member.crashed_at != monotonic_time{};
    return !member.faults.is_down ||
           (was_crashed && m_clock.now() - member.crashed_at < m_options.entry_lifetime);
}

void virtual_database_group::crash(std::string const& id)
{
    m_members.at(id).crashed_at = m_clock.now();
    auto& faults = m_members.at(id).faults;
    faults.is_down = true;
    faults.refuses_connections = true;
    lose_connections(id);
    drop_postponed_steps(id);
}

void virtual_database_group::restart(std::string const& id)
{
    auto& restarted = m_members.at(id);
    restarted.faults.is_down = false;
    restarted.faults.refuses_connections = false;
    restarted.stopped_at_term = 0;
    restarted.has_stepped_down = false;
    restarted.started_at = m_clock.now();
    lose_connections(id);
    drop_postponed_steps(id);
    if (id == m_leader) {
        m_primaries.insert(id);
        return;
    }
    m_primaries.erase(id);
    receive(id, m_leader, end_of_log());
    restarted.applied = restarted.log.size();
}

void virtual_database_group::drop_postponed_steps(std::string const& id)
{
    auto& ended = m_members.at(id);
    ended.is_standing_still = false;
    // The steps free the slots that they hold, and do nothing else on a lost connection.
    for (auto const& step : std::exchange(ended.postponed, {})) {
        step();
    }
}

void virtual_database_group::stand_still(std::string const& id)
{
    m_members.at(id).is_standing_still = true;
}

void virtual_database_group::go_on(std::string const& id)
{
    auto& member = m_members.at(id);
    if (!std::exchange(member.is_standing_still, false)) {
        return;
    }
    for (auto const& step : std::exchange(member.postponed, {})) {
        step();
    }
    std::vector<std::uint64_t> connection_numbers;
    for (auto const& [connection_number, each] : m_connections) {
        if (each->member == id) {
            connection_numbers.push_back(connection_number);
        }
    }
    for (auto const connection_number : connection_numbers) {
        // What has arrived on different connections is read in any order.
        m_clock.start_timer(m_clock.random_interval(m_options.mean_statement_time),
                            [this, connection_number] { run_next_command(connection_number); });
    }
    m_clock.start_timer(m_options.latency, [this, id] {
        for (auto const& replica : m_ids) {
            if (replica != m_leader && (id == m_leader || id == replica)) {
                receive(replica, m_leader, end_of_log());
            }
        }
    });
}

void virtual_database_group::run_step(std::string const& id, std::function<void()> step)
{
    auto& member = m_members.at(id);
    if (member.is_standing_still) {
        member.postponed.push_back(std::move(step));
        return;
    }
    step();
}

void virtual_database_group::add_replica(std::string const& id, bool is_isolated)
{
    m_ids.push_back(id);
    m_members[id].started_at = m_clock.now();
    m_members[id].faults.is_isolated = is_isolated;
    receive(id, m_leader, end_of_log());
    m_members.at(id).applied = m_members.at(id).log.size();
}

void virtual_database_group::lose_connections(std::string const& id)
{
    std::vector<std::uint64_t> connection_numbers;
    for (auto const& [connection_number, each] : m_connections) {
        if (each->member == id) {
            connection_numbers.push_back(connection_number);
        }
    }
    for (auto const connection_number : connection_numbers) {
        // The VM may close other connections when it learns of a lost one.
        auto const found = m_connections.find(connection_number);
        if (found == m_connections.end()) {
            continue;
        }
        auto const lost_connection = found->second;
        close(connection_number);
        lost_connection->events.lost(member_error::connection_lost);
    }
}

void virtual_database_group::promote(std::string const& id)
{
    m_clock.start_timer(m_options.promotion_time, [this, id] {
        if ((m_leader == id && is_primary(id)) || m_members.at(id).faults.is_down) {
            return;
        }
        ++m_term;
        if (m_options.deposes_replaced_leader) {
            m_primaries.clear();
        }
        else if (m_leader != id && is_primary(m_leader)) {
            depose_replaced_leader(m_leader);
        }
        m_leader = id;
        m_primaries.insert(id);
        m_waiting_commits.clear();
        auto& leader = m_members.at(id);
        leader.has_stepped_down = false;
        leader.applied = leader.log.size();
        m_next_number = leader.log.empty() ? 1 : leader.log.back().position.position + 1;
        for (auto& [other, each] : m_members) {
            each.stopped_at_term = 0;
            if (other != id && !each.faults.is_down && !is_primary(other)) {
                each.log = leader.log;
                each.applied = std::min(each.applied, each.log.size());
            }
        }
    });
}

void virtual_database_group::depose_replaced_leader(std::string const& id)
{
    m_clock.start_timer(replaced_leader_time, [this, id] {
        if (id == m_leader || !is_primary(id)) {
            return;
        }
        auto& replaced = m_members.at(id);
        if (replaced.faults.is_isolated || replaced.faults.is_down) {
            depose_replaced_leader(id);
            return;
        }
        m_primaries.erase(id);
        replaced.log = m_members.at(m_leader).log;
        replaced.applied = replaced.log.size();
    });
}

void virtual_database_group::note_read(std::string const& statement)
{
    m_noted_reads[statement] = acknowledged_before(m_clock.now());
}

void virtual_database_group::check_noted_read(std::string const& statement, log_position applied)
{
    auto const noted = m_noted_reads.find(statement);
    m_stale_reads += noted != m_noted_reads.end() && applied < noted->second ? 1 : 0;
}

std::size_t virtual_database_group::lost_commits() const
{
    auto const& log = m_members.at(m_leader).log;
    return static_cast<std::size_t>(
        std::count_if(m_acknowledged.begin(), m_acknowledged.end(), [&log](auto const& each) {
            return std::none_of(log.begin(), log.end(), [&each](auto const& entry) {
                return entry.statement == each.second.statement;
            });
        }));
}

std::size_t virtual_database_group::count_in_log(std::string const& statement) const
{
    auto const counts = log_counts();
    auto const found = counts.find(statement);
    return found == counts.end() ? 0 : found->second;
}

std::map<std::string, std::size_t> virtual_database_group::log_counts() const
{
    std::map<std::string, std::size_t> counts;
    for (auto const& entry : m_members.at(m_leader).log) {
        for (auto const& write : entry.writes) {
            ++counts[write];
        }
    }
    return counts;
}

log_position virtual_database_group::acknowledged_before(monotonic_time time) const
{
    log_position highest;
    for (auto const& [at, entry] : m_acknowledged) {
        if (at < time) {
            highest = std::max(highest, entry.position);
        }
    }
    return highest;
}

log_position virtual_database_group::end_of_log() const
{
    auto const& log = m_members.at(m_leader).log;
    return log.empty() ? log_position{} : log.back().position;
}

void virtual_database_group::open(std::uint64_t connection_number, backend_connection_target const& target,
                                  backend_connection_events events)
{
    auto const added = std::make_shared<connection>();
    added->member = target.member;
    added->client_account = target.client_account;
    added->events = std::move(events);
    m_connections[connection_number] = added;
    ++m_members.at(target.member).connections;
    m_clock.start_timer(m_options.connection_setup_time + 2 * m_options.latency,
                        [this, connection_number, added, group = target.group] {
                            run_step(added->member, [this, connection_number, added, group] {
                                finish_handshake(connection_number, added, group);
                            });
                        });
}

void virtual_database_group::finish_handshake(std::uint64_t connection_number,
                                              connection_pointer const& added, std::string const& group)
{
    auto const& member = m_members.at(added->member);
    auto const is_silent = member.faults.is_down && !member.faults.refuses_connections;
    if (!m_connections.contains(connection_number) || is_silent) {
        return;
    }
    member_answer answer;
    if (member.faults.refuses_connections) {
        answer.error = member_error::refused;
        answer.is_refused_by_host = true;
    }
    else if (group != m_name) {
        answer.error = member_error::wrong_member;
    }
    else if (member.connections > m_options.max_connections) {
        answer.error = member_error::too_many_connections;
        ++m_refused_connections;
    }
    ++m_opened_connections;
    answer.position = applied_position(member);
    added->events.opened(answer);
    if (answer.is_ok() && draw(member.faults.repeated_answer_share)) {
        answer.is_handshake = m_options.marks_handshake_answers;
        ++m_repeated_answers;
        deliver_after(m_clock.random_interval(member.faults.mean_repetition_delay), connection_number,
                      std::move(answer));
    }
}

void virtual_database_group::send(std::uint64_t connection_number,
                                  std::vector<member_command> const& commands)
{
    m_clock.start_timer(m_options.latency, [this, connection_number, commands] {
        auto const found = m_connections.find(connection_number);
        if (found == m_connections.end()) {
            return;
        }
        auto& member = m_members.at(found->second->member);
        for (auto const& command : commands) {
            if (needs_slot(*found->second, command) && !member.faults.is_down) {
                member.arrival_times.push_back(m_clock.now());
            }
        }
        auto& queue = found->second->queue;
        queue.insert(queue.end(), commands.begin(), commands.end());
        run_next_command(connection_number);
    });
}

void virtual_database_group::close(std::uint64_t connection_number)
{
    auto const found = m_connections.find(connection_number);
    if (found == m_connections.end()) {
        return;
    }
    --m_members.at(found->second->member).connections;
    m_connections.erase(found);
}

bool virtual_database_group::needs_slot(connection const& /*current*/, member_command const& command)
{
    if (command.kind == command_kind::execute) {
        return true;
    }
    return command.kind == command_kind::caller_statement;
}

void virtual_database_group::run_next_command(std::uint64_t connection_number)
{
    auto const found = m_connections.find(connection_number);
    if (found == m_connections.end() || found->second->is_running || found->second->queue.empty()) {
        return;
    }
    auto const current = found->second;
    auto& member = m_members.at(current->member);
    if (member.faults.is_down || member.is_standing_still) {
        return;
    }
    auto const command = current->queue.front();
    auto const takes_slot = needs_slot(*current, command);
    if (takes_slot && member.running_statements >= m_options.slots) {
        m_clock.start_timer(std::chrono::milliseconds(1),
                            [this, connection_number] { run_next_command(connection_number); });
        return;
    }
    current->queue.erase(current->queue.begin());
    current->is_running = true;
    member.running_statements += takes_slot ? 1 : 0;
    auto const statement_time =
        takes_slot ? m_clock.random_interval(m_options.mean_statement_time) : duration::zero();
    m_clock.start_timer(statement_time, [this, connection_number, current, command, takes_slot] {
        run_step(current->member, [this, connection_number, current, command, takes_slot] {
            finish_command(connection_number, current, command, takes_slot);
        });
    });
}

void virtual_database_group::finish_command(std::uint64_t connection_number,
                                            connection_pointer const& current, member_command const& command,
                                            bool takes_slot)
{
    m_members.at(current->member).running_statements -= takes_slot ? 1 : 0;
    current->is_running = false;
    if (!m_connections.contains(connection_number) || m_members.at(current->member).faults.is_down) {
        return;
    }
    auto const is_commit = command.kind == command_kind::caller_statement && command.text == "COMMIT";
    auto const is_write = command.text.starts_with("WRITE") || (command.kind == command_kind::execute &&
                                                                current->prepared.contains(command.name) &&
                                                                current->prepared.at(command.name).is_write);
    auto const ends_with_commit = (is_commit && current->state == transaction_state::open) ||
                                  (is_write && current->state == transaction_state::idle);
    if (ends_with_commit && is_primary(current->member)) {
        m_statements_run += is_write ? 1 : 0;
        if (!is_commit) {
            current->pending_writes = {command.id};
        }
        commit(connection_number, current, command);
        return;
    }
    send_answer(connection_number, run_command(connection_number, *current, command), takes_slot);
}

void virtual_database_group::commit(std::uint64_t connection_number, connection_pointer const& current,
                                    member_command const& command)
{
    auto const proof = record_run(connection_number, *current, command);
    use_data(*current, command);
    auto const is_empty = current->pending_writes.empty();
    auto const is_stale =
        current->state == transaction_state::open && current->is_write_transaction && current->term != m_term;
    current->state = transaction_state::idle;
    if (is_stale && !is_empty) {
        current->pending_writes.clear();
        send_answer(connection_number, make_error_answer(*current, member_error::read_only), true);
        return;
    }
    if (is_empty) {
        auto answer = make_answer(*current);
        answer.proof = proof;
        send_answer(connection_number, answer, true);
        return;
    }
    if (current->member != m_leader) {
        // A replaced leader has no replica that receives from it, so the commit gets no answer.
        current->pending_writes.clear();
        return;
    }
    if (m_ledger != nullptr && command.text == "COMMIT") {
        m_ledger->record_commit(current->transaction, command.id);
    }
    log_entry const entry{
        {m_term, m_next_number++}, current->pending_writes.front(), current->pending_writes};
    current->pending_writes.clear();
    auto& leader = m_members.at(m_leader);
    leader.log.push_back(entry);
    leader.applied = leader.log.size();
    replicate(entry, connection_number, proof);
}

void virtual_database_group::replicate(log_entry const& entry, std::uint64_t connection_number,
                                       std::string const& proof)
{
    m_waiting_commits.push_back({entry, connection_number, proof});
    for (auto const& replica : m_ids) {
        if (replica != m_leader) {
            m_clock.start_timer(m_options.latency,
                                [this, replica, sender = m_leader, position = entry.position] {
                                    receive(replica, sender, position);
                                });
        }
    }
}

bool virtual_database_group::is_receiving(std::string const& replica, std::string const& sender) const
{
    auto const& receiver = m_members.at(replica);
    auto const& faults = receiver.faults;
    auto const& sender_faults = m_members.at(sender).faults;
    return m_leader == sender && !faults.is_down && !faults.is_replication_cut && !sender_faults.is_down &&
           !receiver.is_standing_still && !m_members.at(sender).is_standing_still &&
           faults.is_isolated == sender_faults.is_isolated && receiver.stopped_at_term <= m_term;
}

void virtual_database_group::receive(std::string const& replica, std::string const& sender,
                                     log_position position)
{
    if (!is_receiving(replica, sender)) {
        return;
    }
    auto& receiver = m_members.at(replica);
    // A replica that missed earlier entries receives them together with this one.
    auto const& log = m_members.at(sender).log;
    auto const end = std::upper_bound(
        log.begin(), log.end(), position,
        [](log_position const& limit, log_entry const& each) { return limit < each.position; });
    if (receiver.log.size() < static_cast<std::size_t>(end - log.begin())) {
        receiver.log.assign(log.begin(), end);
    }
    m_clock.start_timer(m_clock.random_interval(receiver.faults.mean_apply_lag),
                        [this, replica, size = receiver.log.size()] {
                            auto& applying_member = m_members.at(replica);
                            applying_member.applied =
                                std::max(applying_member.applied, std::min(size, applying_member.log.size()));
                        });
    for (auto const& commit : std::exchange(m_waiting_commits, {})) {
        if (position < commit.entry.position) {
            m_waiting_commits.push_back(commit);
            continue;
        }
        m_clock.start_timer(m_options.latency, [this, commit, sender] {
            if (!m_members.at(sender).is_standing_still) {
                acknowledge(commit, sender);
                return;
            }
            run_step(sender, [this, commit, sender] {
                // A leader that was replaced while it stood still answers nothing more.
                if (is_primary(sender)) {
                    acknowledge(commit, sender);
                }
            });
        });
    }
}

void virtual_database_group::acknowledge(waiting_commit const& commit, std::string const& leader)
{
    auto const found = m_connections.find(commit.connection_number);
    auto const& faults = m_members.at(leader).faults;
    if (found == m_connections.end() || faults.is_down || m_members.at(leader).has_stepped_down) {
        return;
    }
    auto answer = make_answer(*found->second);
    answer.proof = commit.proof;
    answer.position = commit.entry.position;
    if (m_clock.random_share() < faults.lost_answer_share) {
        return;
    }
    if (draw(faults.cut_answer_share)) {
        lose_connection(commit.connection_number);
        return;
    }
    m_acknowledged.emplace_back(m_clock.now(), commit.entry);
    deliver(commit.connection_number, leader, answer);
    run_next_command(commit.connection_number);
}

void virtual_database_group::send_answer(std::uint64_t connection_number, member_answer const& answer,
                                         bool was_run)
{
    auto const found = m_connections.find(connection_number);
    if (found == m_connections.end()) {
        return;
    }
    auto const& faults = m_members.at(found->second->member).faults;
    if (was_run && m_clock.random_share() < faults.lost_answer_share) {
        return;
    }
    if (draw(faults.cut_answer_share)) {
        lose_connection(connection_number);
        return;
    }
    deliver(connection_number, found->second->member, answer);
    run_next_command(connection_number);
}

void virtual_database_group::deliver(std::uint64_t connection_number, std::string const& member,
                                     member_answer const& answer)
{
    deliver_after(m_options.latency, connection_number, answer);
    auto const& faults = m_members.at(member).faults;
    if (draw(faults.repeated_answer_share)) {
        ++m_repeated_answers;
        deliver_after(m_options.latency + m_clock.random_interval(faults.mean_repetition_delay),
                      connection_number, answer);
    }
}

void virtual_database_group::deliver_after(duration delay, std::uint64_t connection_number,
                                           member_answer answer)
{
    m_clock.start_timer(delay, [this, connection_number, answer = std::move(answer)]() mutable {
        auto const receiver = m_connections.find(connection_number);
        if (receiver != m_connections.end()) {
            auto const current = receiver->second;
            current->events.answered(std::move(answer));
        }
    });
}

void virtual_database_group::lose_connection(std::uint64_t connection_number)
{
    m_clock.start_timer(m_options.latency, [this, connection_number] {
        auto const found = m_connections.find(connection_number);
        if (found == m_connections.end()) {
            return;
        }
        auto const lost_connection = found->second;
        close(connection_number);
        lost_connection->events.lost(member_error::connection_lost);
    });
}

std::string virtual_database_group::record_run(std::uint64_t connection_number, connection const& current,
                                               member_command const& command)
{
    if (m_ledger == nullptr) {
        return "proof-" + command.id;
    }
    auto const transaction = current.state == transaction_state::idle ? 0 : current.transaction;
    return m_ledger->record_run(
        {connection_number, transaction, current.client_account, current.session_values, current.prepared},
        command);
}

member_answer virtual_database_group::make_answer(connection const& current) const
{
    member_answer answer;
    answer.state = current.state;
    answer.position = applied_position(m_members.at(current.member));
    return answer;
}

member_answer virtual_database_group::make_error_answer(connection& current, member_error error) const
{
    if (current.state == transaction_state::open) {
        current.state = transaction_state::failed;
    }
    auto answer = make_answer(current);
    answer.error = error;
    answer.error_text = m_options.error_text;
    return answer;
}

std::optional<std::string> virtual_database_group::use_data(connection const& current,
                                                            member_command const& command)
{
    if (!m_options.returns_data || command.text == "COMMIT") {
        return std::nullopt;
    }
    auto const is_execution = command.kind == command_kind::execute;
    auto const is_write =
        is_execution ? current.prepared.at(command.name).is_write : command.text.starts_with("WRITE ");
    auto const arguments = is_execution ? command.argument : command.text.substr(command.text.find(' ') + 1);
    auto const blank = arguments.find(' ');
    auto const item = arguments.substr(0, blank);
    if (is_write) {
        m_data[item] = blank == std::string::npos ? std::string() : arguments.substr(blank + 1);
        return std::nullopt;
    }
    auto const found = m_data.find(item);
    return found == m_data.end() ? std::nullopt : std::optional(found->second);
}

log_position virtual_database_group::applied_position(member const& queried) const
{
    return queried.applied == 0 ? log_position{} : queried.log[queried.applied - 1].position;
}

member_answer virtual_database_group::run_command(std::uint64_t connection_number, connection& current,
                                                  member_command const& command)
{
    auto& member = m_members.at(current.member);
    switch (command.kind) {
    case command_kind::begin:
    case command_kind::begin_read:
        if (current.state != transaction_state::idle) {
            return make_error_answer(current, member_error::malformed);
        }
        if (command.kind == command_kind::begin && !is_primary(current.member)) {
            return make_error_answer(current, member_error::read_only);
        }
        if (command.minimum_position && applied_position(member) < *command.minimum_position) {
            return make_error_answer(current, member_error::lagging);
        }
        current.state = transaction_state::open;
        current.is_write_transaction = command.kind == command_kind::begin;
        current.term = m_term;
        current.transaction = m_next_transaction++;
        current.pending_writes.clear();
        return make_answer(current);
    case command_kind::rollback:
        current.state = transaction_state::idle;
        current.pending_writes.clear();
        return make_answer(current);
    case command_kind::set_value:
        current.session_values[command.name] = command.argument;
        return make_answer(current);
    case command_kind::prepare:
        current.prepared[command.name] = command.prepared;
        return make_answer(current);
    case command_kind::reset:
        current.session_values.clear();
        current.prepared.clear();
        return make_answer(current);
    case command_kind::status:
    case command_kind::stop_receiving:
    case command_kind::resume_receiving:
    case command_kind::step_down: {
        if (command.kind == command_kind::stop_receiving) {
            member.stopped_at_term = command.term;
        }
        else if (command.kind == command_kind::resume_receiving) {
            member.stopped_at_term = 0;
            if (current.member != m_leader) {
                receive(current.member, m_leader, end_of_log());
            }
        }
        else if (command.kind == command_kind::step_down && is_primary(current.member)) {
            m_primaries.erase(current.member);
            member.has_stepped_down = true;
        }
        auto answer = make_answer(current);
        auto const received = member.log.empty() ? log_position{} : member.log.back().position;
        answer.replication =
            replication_status{is_primary(current.member) ? member_role::primary : member_role::replica,
                               is_primary(current.member) && current.member != m_leader ? m_term - 1 : m_term,
                               received, member.stopped_at_term};
        return answer;
    }
    case command_kind::caller_statement:
    case command_kind::execute:
        return run_statement(connection_number, current, command);
    }
    return make_error_answer(current, member_error::malformed);
}

member_answer virtual_database_group::run_statement(std::uint64_t connection_number, connection& current,
                                                    member_command const& command)
{
    auto const& member = m_members.at(current.member);
    auto const is_commit = command.text == "COMMIT";
    if (current.state == transaction_state::failed ||
        (is_commit && current.state == transaction_state::idle)) {
        return make_error_answer(current, member_error::malformed);
    }
    auto is_write = command.text.starts_with("WRITE");
    if (command.kind == command_kind::execute) {
        auto const found = current.prepared.find(command.name);
        if (found == current.prepared.end()) {
            return make_error_answer(current, member_error::unknown_prepared);
        }
        is_write = found->second.is_write;
    }
    if (command.minimum_position && applied_position(member) < *command.minimum_position) {
        return make_error_answer(current, member_error::lagging);
    }
    auto const has_lost_leadership = current.state == transaction_state::open &&
                                     current.is_write_transaction &&
                                     (!is_primary(current.member) || current.term != m_term);
    if (has_lost_leadership || (is_write && !is_primary(current.member))) {
        return make_error_answer(current, member_error::read_only);
    }
    if (is_commit && !current.pending_writes.empty()) {
        // The member has lost the lead since the transaction wrote.
        current.state = transaction_state::idle;
        current.pending_writes.clear();
        return make_error_answer(current, member_error::read_only);
    }
    ++m_statements_run;
    if (is_write) {
        current.pending_writes.push_back(command.id);
    }
    else {
        check_noted_read(command.id, applied_position(member));
    }
    auto const proof = record_run(connection_number, current, command);
    if (is_commit) {
        current.state = transaction_state::idle;
    }
    auto answer = make_answer(current);
    answer.proof = proof;
    if (is_commit) {
        return answer;
    }
    // The row reports position, member, account and session values, so that tests can check where and how
    // the statement was executed.
    auto const position = applied_position(member);
    std::string session_values;
    for (auto const& [name, value] : current.session_values) {
        session_values += fmt::format("{}={};", name, value);
    }
    answer.rows = {fmt::format("{}.{} {} {} {}", position.term, position.position, current.member,
                               current.client_account, session_values)};
    if (auto data = use_data(current, command)) {
        answer.rows = {command.id, *std::move(data)};
    }
    if (m_ledger != nullptr) {
        m_ledger->record_rows(proof, answer.rows);
    }
    return answer;
}

} // namespace greengagehitch::standin
