#include "workload.h"

#include <fmt/format.h>

namespace greengagehitch::standin {

namespace {

using namespace std::chrono_literals;

/// Time after which a caller stops waiting for an answer. It covers the delay target, the resolution of an
/// unknown outcome and the network round trip.
constexpr duration call_timeout = 30s;
constexpr auto own_reads = "own_reads";
constexpr auto reads_1s = "reads_1s";
constexpr auto reads_10s = "reads_10s";

duration max_age_of(std::string const& class_name)
{
    return class_name == reads_1s ? duration(1s) : duration(10s);
}

std::uint64_t to_number(parameter const& field)
{
    return field ? std::strtoull(field->c_str(), nullptr, 10) : 0;
}

} // namespace

workload::workload(virtual_fleet& fleet, fleet_setup const& setup, workload_options options)
    : m_fleet(fleet), m_setup(setup), m_options(options), m_acknowledgements(options.sessions)
{
    auto const databases = fleet.databases().names();
    for (std::size_t i = 0; i < options.sessions; ++i) {
        session new_session;
        new_session.name = fmt::format("session-{}", i);
        new_session.account = account_name(i % setup.key_of_account.size());
        new_session.database = databases[i % databases.size()];
        m_sessions.push_back(std::move(new_session));
    }
    for (auto const& name : databases) {
        m_entry_indexes.emplace(name, std::make_unique<entry_index>(fleet.databases().group(name)));
    }
}

void workload::start()
{
    for (std::size_t i = 0; i < m_sessions.size(); ++i) {
        schedule(i);
    }
}

void workload::check_at_end()
{
    for (auto const& each : m_writes) {
        auto const count = m_entry_indexes.at(each.database)->count_at_primary(each.name);
        if (each.state == write_state::acknowledged && count == 0) {
            m_violations.add(violation_kind::acknowledged_write_lost,
                             each.name + " was acknowledged, but the primary does not have it");
        }
        if (each.state == write_state::not_run && count != 0) {
            m_violations.add(violation_kind::executed_write_reported_not_run,
                             each.name + " was reported as not run, but was executed");
        }
        if (each.is_deposit && count > 1) {
            m_violations.add(violation_kind::duplicated_write,
                             fmt::format("{} was executed {} times", each.name, count));
        }
    }
}

void workload::schedule(std::size_t index)
{
    m_fleet.clock().start_timer(m_fleet.clock().random_interval(m_options.think_time), [this, index] {
        if (m_is_running) {
            issue_call(index);
        }
    });
}

void workload::issue_call(std::size_t index)
{
    auto const random_value = m_fleet.clock().random_share();
    if (random_value < m_options.deposit_share) {
        write(index, true);
    }
    else if (random_value < m_options.deposit_share + m_options.write_share) {
        write(index, false);
    }
    else {
        read(index);
    }
}

void workload::write(std::size_t index, bool is_deposit)
{
    auto& writer = m_sessions[index];
    auto const vm = choose_vm();
    if (!vm) {
        schedule(index);
        return;
    }
    auto const value = ++writer.written;
    auto const name = fmt::format("{}-{}", writer.name, value);
    caller_request request;
    request.class_name = is_deposit ? "deposits" : "bookings";
    request.database = writer.database;
    request.key = m_setup.key_of_account.at(writer.account);
    request.session = writer.token;
    request.request_id = is_deposit ? name : "";
    request.statements.push_back({"insert into entries (session, name, value) values ($1, $2, $3)",
                                  {writer.name, name, fmt::to_string(value)}});
    auto const write_index = m_writes.size();
    m_writes.push_back({name, writer.database, is_deposit, write_state::pending});
    send(index, *vm, request, [this, index, write_index, value](caller_response const& response) {
        handle_write_response(index, write_index, value, response);
    });
}

void workload::read(std::size_t index)
{
    auto& reader = m_sessions[index];
    auto const vm = choose_vm();
    if (!vm) {
        schedule(index);
        return;
    }
    auto const random_value = m_fleet.clock().random_share();
    auto const* const class_name = random_value >= m_options.fresh_read_share      ? own_reads
                                   : random_value < m_options.fresh_read_share / 2 ? reads_1s
                                                                                   : reads_10s;
    read_expectation expected;
    expected.id = m_next_read_id++;
    expected.marker = fmt::format("marker-{}", expected.id);
    expected.class_name = class_name;
    expected.minimum_value = minimum_expected_value(reader, class_name);
    expected.sent_at = m_fleet.now();
    caller_request request;
    request.class_name = class_name;
    request.database = reader.database;
    request.key = m_setup.key_of_account.at(reader.account);
    // A read with a freshness bound starts a new session, so that only the age of the data constrains it.
    request.session = expected.class_name == own_reads ? reader.token : "";
    request.statements.push_back({"select coalesce(max(value), 0), $2 from entries where session = $1",
                                  {reader.name, expected.marker}});
    ++m_statistics.reads;
    observe_arrival(reader, expected, request.session);
    send(index, *vm, request, [this, index, expected](caller_response const& response) {
        handle_read_response(index, expected, response);
    });
}

void workload::observe_arrival(session const& reader, read_expectation const& expected,
                               std::string const& token)
{
    if (!m_on_read_arrival) {
        return;
    }
    read_event event{expected.id, expected.class_name, reader.account, reader.database, token, std::nullopt};
    auto const& acknowledged = m_acknowledgements[static_cast<std::size_t>(&reader - m_sessions.data())];
    if (!acknowledged.empty()) {
        event.last_write = acknowledged.back().at;
    }
    m_fleet.clock().start_timer(m_fleet.shape().client_latency, [this, event] { m_on_read_arrival(event); });
}

void workload::handle_write_response(std::size_t index, std::size_t write_index, std::uint64_t value,
                                     caller_response const& response)
{
    auto& writer = m_sessions[index];
    auto& written = m_writes[write_index];
    if (auto const* const refused = std::get_if<refusal>(&response)) {
        auto const is_not_run = refused->effect == outcome::not_run;
        written.state = is_not_run ? write_state::not_run : write_state::unknown;
        ++(is_not_run ? m_statistics.not_run : m_statistics.unknown);
        ++m_statistics.reasons[refused->reason];
        return;
    }
    auto const& answer = std::get<caller_answer>(response);
    ++m_statistics.acknowledged;
    written.state = write_state::acknowledged;
    auto const majority = m_fleet.shape().members / 2 + 1;
    auto const member_count = m_entry_indexes.at(written.database)->member_count(written.name);
    if (member_count < majority) {
        m_violations.add(
            violation_kind::acknowledged_write_lost,
            fmt::format("{} was acknowledged, but only {} members hold it", written.name, member_count));
    }
    writer.token = answer.session;
    writer.acknowledged = std::max(writer.acknowledged, value);
    m_acknowledgements[index].push_back({m_fleet.clock().now(), writer.acknowledged});
}

void workload::handle_read_response(std::size_t index, read_expectation const& expected,
                                    caller_response const& response)
{
    auto& reader = m_sessions[index];
    if (auto const* const refused = std::get_if<refusal>(&response)) {
        ++m_statistics.reasons[refused->reason];
        if (m_on_read_answer) {
            m_on_read_answer(expected.id, served_by::none);
        }
        return;
    }
    auto const& answer = std::get<caller_answer>(response);
    if (m_on_read_answer) {
        m_on_read_answer(expected.id, answer.source);
    }
    m_statistics.replica_reads += answer.source == served_by::replica ? 1 : 0;
    auto const is_complete = answer.results.size() == 1 && answer.results.front().rows.size() == 1 &&
                             answer.results.front().rows.front().size() == 2;
    if (!is_complete || answer.results.front().rows.front()[1] != expected.marker) {
        m_violations.add(violation_kind::mismatched_answer,
                         fmt::format("read {} received the answer to another request", expected.marker));
        return;
    }
    constexpr duration read_delay = 500ms;
    auto const round_trip = 2 * m_fleet.shape().client_latency;
    m_statistics.late_reads += m_fleet.now() - expected.sent_at > read_delay + round_trip ? 1 : 0;
    auto const value = to_number(answer.results.front().rows.front()[0]);
    auto const reads_own_writes = expected.class_name == own_reads;
    if (value < expected.minimum_value) {
        m_violations.add(reads_own_writes ? violation_kind::read_your_writes : violation_kind::stale_read,
                         fmt::format("{}: a read of class {} returned {}, expected at least {}", reader.name,
                                     expected.class_name, value, expected.minimum_value));
    }
    if (reads_own_writes) {
        reader.token = answer.session;
    }
}

void workload::send(std::size_t index, std::size_t vm, caller_request const& request,
                    std::function<void(caller_response const&)> on_response)
{
    ++m_statistics.calls;
    auto const is_finished = std::make_shared<bool>(false);
    m_fleet.call(
        vm, request,
        [this, index, is_finished, on_response = std::move(on_response)](caller_response const& response) {
            if (std::exchange(*is_finished, true)) {
                m_violations.add(violation_kind::mismatched_answer, "a call received a second answer");
                return;
            }
            on_response(response);
            schedule(index);
        });
    auto const life = m_fleet.generation_of(vm);
    m_fleet.clock().start_timer(call_timeout, [this, index, vm, life, is_finished] {
        if (std::exchange(*is_finished, true)) {
            return;
        }
        // A VM that was killed or paused need not answer. The caller continues in either case.
        if (m_fleet.generation_of(vm) == life) {
            m_violations.add(violation_kind::unanswered_call,
                             fmt::format("{} received no answer from VM {}", m_sessions[index].name, vm + 1));
        }
        schedule(index);
    });
}

std::uint64_t workload::minimum_expected_value(session const& reader, std::string const& class_name) const
{
    if (class_name == own_reads) {
        return reader.acknowledged;
    }
    auto const index = static_cast<std::size_t>(&reader - m_sessions.data());
    auto const latest_acknowledgement = m_fleet.now() - max_age_of(class_name);
    std::uint64_t minimum_value = 0;
    for (auto const& each : m_acknowledgements[index]) {
        if (each.at <= latest_acknowledgement) {
            minimum_value = each.value;
        }
    }
    return minimum_value;
}

std::optional<std::size_t> workload::choose_vm()
{
    std::vector<std::size_t> running_vms;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        if (m_fleet.vm(i) != nullptr) {
            running_vms.push_back(i);
        }
    }
    if (running_vms.empty()) {
        return std::nullopt;
    }
    return running_vms[m_fleet.clock().random_below(running_vms.size())];
}

} // namespace greengagehitch::standin
