#include "workload.h"

#include <fmt/format.h>

namespace greengagehitch::standin {

namespace {

using namespace std::chrono_literals;

/// Longest time from a call to its answer: delay target, resolution of an open outcome and both ways. A
/// caller gives up after it.
constexpr duration call_limit = 30s;
constexpr auto own_reads = "own_reads";
constexpr auto reads_1s = "reads_1s";
constexpr auto reads_10s = "reads_10s";

duration freshness_of(std::string const& class_name)
{
    return class_name == reads_1s ? duration(1s) : duration(10s);
}

std::uint64_t number_of(parameter const& field)
{
    return field ? std::strtoull(field->c_str(), nullptr, 10) : 0;
}

} // namespace

workload::workload(virtual_fleet& fleet, fleet_setup const& setup, workload_options options)
    : m_fleet(fleet), m_setup(setup), m_options(options), m_acknowledgements(options.sessions)
{
    auto const databases = fleet.databases().names();
    for (std::size_t i = 0; i < options.sessions; ++i) {
        session added;
        added.name = fmt::format("session-{}", i);
        added.account = account_name(i % setup.key_of_account.size());
        added.database = databases[i % databases.size()];
        m_sessions.push_back(std::move(added));
    }
    for (auto const& name : databases) {
        m_logs.emplace(name, std::make_unique<entry_log>(fleet.databases().group(name)));
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
        auto const count = m_logs.at(each.database)->count_at_primary(each.name);
        if (each.fate == write_fate::acknowledged && count == 0) {
            m_violations.add(invariant::acknowledged_write_lost, each.name + " was acknowledged and is gone");
        }
        if (each.fate == write_fate::not_run && count != 0) {
            m_violations.add(invariant::not_run_that_ran, each.name + " was called not run and ran");
        }
        if (each.is_deposit && count > 1) {
            m_violations.add(invariant::write_doubled, fmt::format("{} ran {} times", each.name, count));
        }
    }
}

void workload::schedule(std::size_t index)
{
    m_fleet.clock().start_timer(m_fleet.clock().random_interval(m_options.think_time), [this, index] {
        if (m_is_running) {
            act(index);
        }
    });
}

void workload::act(std::size_t index)
{
    auto const draw = m_fleet.clock().random_share();
    if (draw < m_options.deposit_share) {
        write(index, true);
    }
    else if (draw < m_options.deposit_share + m_options.write_share) {
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
    auto const record = m_writes.size();
    m_writes.push_back({name, writer.database, is_deposit, write_fate::open});
    send(index, *vm, request, [this, index, record, value](caller_response const& response) {
        take_write(index, record, value, response);
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
    auto const draw = m_fleet.clock().random_share();
    auto const* const class_name = draw >= m_options.fresh_read_share      ? own_reads
                                   : draw < m_options.fresh_read_share / 2 ? reads_1s
                                                                           : reads_10s;
    read_expectation expected;
    expected.id = m_next_read++;
    expected.marker = fmt::format("marker-{}", expected.id);
    expected.class_name = class_name;
    expected.floor = floor_of(reader, class_name);
    expected.sent_at = m_fleet.now();
    caller_request request;
    request.class_name = class_name;
    request.database = reader.database;
    request.key = m_setup.key_of_account.at(reader.account);
    // Reads with a freshness start a session of their own, so that only their age counts.
    request.session = expected.class_name == own_reads ? reader.token : "";
    request.statements.push_back({"select coalesce(max(value), 0), $2 from entries where session = $1",
                                  {reader.name, expected.marker}});
    ++m_figures.reads;
    observe_arrival(reader, expected, request.session);
    send(index, *vm, request,
         [this, index, expected](caller_response const& response) { take_read(index, expected, response); });
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

void workload::take_write(std::size_t index, std::size_t record, std::uint64_t value,
                          caller_response const& response)
{
    auto& writer = m_sessions[index];
    auto& written = m_writes[record];
    if (auto const* const refused = std::get_if<refusal>(&response)) {
        auto const is_not_run = refused->effect == outcome::not_run;
        written.fate = is_not_run ? write_fate::not_run : write_fate::unknown;
        ++(is_not_run ? m_figures.not_run : m_figures.unknown);
        ++m_figures.reasons[refused->reason];
        return;
    }
    auto const& answer = std::get<caller_answer>(response);
    ++m_figures.acknowledged;
    written.fate = write_fate::acknowledged;
    auto const majority = m_fleet.shape().members / 2 + 1;
    auto const holders = m_logs.at(written.database)->holders(written.name);
    if (holders < majority) {
        m_violations.add(invariant::acknowledged_write_lost,
                         fmt::format("{} was acknowledged and is held by {} members", written.name, holders));
    }
    writer.token = answer.session;
    writer.acknowledged = std::max(writer.acknowledged, value);
    m_acknowledgements[index].push_back({m_fleet.clock().now(), writer.acknowledged});
}

void workload::take_read(std::size_t index, read_expectation const& expected, caller_response const& response)
{
    auto& reader = m_sessions[index];
    if (auto const* const refused = std::get_if<refusal>(&response)) {
        ++m_figures.reasons[refused->reason];
        if (m_on_read_answer) {
            m_on_read_answer(expected.id, served_by::none);
        }
        return;
    }
    auto const& answer = std::get<caller_answer>(response);
    if (m_on_read_answer) {
        m_on_read_answer(expected.id, answer.source);
    }
    m_figures.replica_reads += answer.source == served_by::replica ? 1 : 0;
    auto const is_whole = answer.results.size() == 1 && answer.results.front().rows.size() == 1 &&
                          answer.results.front().rows.front().size() == 2;
    if (!is_whole || answer.results.front().rows.front()[1] != expected.marker) {
        m_violations.add(invariant::foreign_answer, fmt::format("{} got another answer", expected.marker));
        return;
    }
    constexpr duration read_delay = 500ms;
    auto const both_ways = 2 * m_fleet.shape().client_latency;
    m_figures.late_reads += m_fleet.now() - expected.sent_at > read_delay + both_ways ? 1 : 0;
    auto const value = number_of(answer.results.front().rows.front()[0]);
    auto const is_own = expected.class_name == own_reads;
    if (value < expected.floor) {
        m_violations.add(is_own ? invariant::read_your_writes : invariant::stale_read,
                         fmt::format("{} {} saw {} instead of {} or later", reader.name, expected.class_name,
                                     value, expected.floor));
    }
    if (is_own) {
        reader.token = answer.session;
    }
}

void workload::send(std::size_t index, std::size_t vm, caller_request const& request,
                    std::function<void(caller_response const&)> take)
{
    ++m_figures.calls;
    auto const is_done = std::make_shared<bool>(false);
    m_fleet.call(vm, request,
                 [this, index, is_done, take = std::move(take)](caller_response const& response) {
                     if (std::exchange(*is_done, true)) {
                         m_violations.add(invariant::foreign_answer, "a call was answered twice");
                         return;
                     }
                     take(response);
                     schedule(index);
                 });
    auto const life = m_fleet.generation_of(vm);
    m_fleet.clock().start_timer(call_limit, [this, index, vm, life, is_done] {
        if (std::exchange(*is_done, true)) {
            return;
        }
        // A VM that died or was paused owes no answer; the caller goes on all the same.
        if (m_fleet.generation_of(vm) == life) {
            m_violations.add(invariant::call_without_answer,
                             fmt::format("{} got no answer from vm {}", m_sessions[index].name, vm + 1));
        }
        schedule(index);
    });
}

std::uint64_t workload::floor_of(session const& reader, std::string const& class_name) const
{
    if (class_name == own_reads) {
        return reader.acknowledged;
    }
    auto const index = static_cast<std::size_t>(&reader - m_sessions.data());
    auto const latest = m_fleet.now() - freshness_of(class_name);
    std::uint64_t floor = 0;
    for (auto const& each : m_acknowledgements[index]) {
        if (each.at <= latest) {
            floor = each.value;
        }
    }
    return floor;
}

std::optional<std::size_t> workload::choose_vm()
{
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        if (m_fleet.vm(i) != nullptr) {
            up.push_back(i);
        }
    }
    if (up.empty()) {
        return std::nullopt;
    }
    return up[m_fleet.clock().random_below(up.size())];
}

} // namespace greengagehitch::standin
