#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry_index.h"
#include "fleet_setup.h"
#include "violation_log.h"
#include "virtual_fleet.h"

namespace greengagehitch::standin {

/// Mix and pace of the calls of an experiment.
struct workload_options {
    std::size_t sessions = 24;
    duration think_time = std::chrono::milliseconds(40);
    double write_share = 0.3;
    double deposit_share = 0.1;
    double fresh_read_share = 0.2; ///< Reads with a freshness of 1 s or 10 s; the rest read their own writes.
    bool is_roaming = true;        ///< Each call goes to a VM drawn at random.
};

/// Sessions that write and read through all VMs, and check each answer against the promises of the brief.
class workload {
public:
    workload(virtual_fleet& fleet, fleet_setup const& setup, workload_options options);

    void start();
    void stop() { m_is_running = false; }

    /// Checks what can be said only when all is quiet: nothing lost, doubled or falsely called not run.
    void check_at_end();

    violation_log const& violations() const { return m_violations; }

    struct figures {
        std::size_t calls = 0;
        std::size_t acknowledged = 0;
        std::size_t not_run = 0;
        std::size_t unknown = 0;
        std::size_t reads = 0;
        std::size_t replica_reads = 0;
        std::size_t late_reads = 0; ///< Served, but after the delay target.
        std::map<refusal_reason, std::size_t> reasons;
    };

    figures const& results() const { return m_figures; }

    /// Read as an observer sees it when it arrives at its VM.
    struct read_event {
        std::uint64_t id = 0;
        std::string class_name;
        std::string account;
        std::string database;
        std::string token;
        std::optional<monotonic_time> last_write; ///< Of this session, when it was acknowledged.
    };

    void set_read_observer(std::function<void(read_event const&)> on_arrival,
                           std::function<void(std::uint64_t id, served_by source)> on_answer)
    {
        m_on_read_arrival = std::move(on_arrival);
        m_on_read_answer = std::move(on_answer);
    }

private:
    struct session {
        std::string name;
        std::string account;
        std::string database;
        std::string token;
        std::uint64_t written = 0;      ///< Last value sent.
        std::uint64_t acknowledged = 0; ///< Highest value acknowledged.
    };

    enum class write_state { pending, acknowledged, not_run, unknown };

    struct write_record {
        std::string name;
        std::string database;
        bool is_deposit = false;
        write_state state = write_state::pending;
    };

    /// Highest acknowledged value of a session, with when it was acknowledged.
    struct acknowledgement {
        monotonic_time at;
        std::uint64_t value = 0;
    };

    void schedule(std::size_t index);
    void issue_call(std::size_t index);
    void write(std::size_t index, bool is_deposit);
    void read(std::size_t index);
    void handle_write_response(std::size_t index, std::size_t write_index, std::uint64_t value,
                               caller_response const& response);
    /// What a read's answer is checked against.
    struct read_expectation {
        std::uint64_t id = 0;
        std::string marker;
        std::string class_name;
        std::uint64_t minimum_value = 0;
        monotonic_time sent_at;
    };

    void observe_arrival(session const& reader, read_expectation const& expected, std::string const& token);
    void handle_read_response(std::size_t index, read_expectation const& expected,
                              caller_response const& response);
    void send(std::size_t index, std::size_t vm, caller_request const& request,
              std::function<void(caller_response const&)> on_response);
    std::uint64_t minimum_expected_value(session const& reader, std::string const& class_name) const;
    std::optional<std::size_t> choose_vm();

    virtual_fleet& m_fleet;
    fleet_setup const& m_setup;
    workload_options m_options;
    bool m_is_running = true;
    std::vector<session> m_sessions;
    std::vector<std::deque<acknowledgement>> m_acknowledgements;
    std::deque<write_record> m_writes;
    std::map<std::string, std::unique_ptr<entry_index>> m_entry_indexes;
    violation_log m_violations;
    figures m_figures;
    std::uint64_t m_next_read = 1;
    std::function<void(read_event const&)> m_on_read_arrival;
    std::function<void(std::uint64_t, served_by)> m_on_read_answer;
};

} // namespace greengagehitch::standin
