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

/// Call rate and proportions of the kinds of calls in an experiment.
struct workload_options {
    std::size_t sessions = 24;
    duration think_time = std::chrono::milliseconds(40); ///< Mean pause of a session between two calls.
    double write_share = 0.3;   ///< Fraction of calls that are writes without a request id.
    double deposit_share = 0.1; ///< Fraction of calls that are writes with a request id.
    /// Fraction of reads that have a freshness of 1 s or 10 s; the others read their own writes.
    double fresh_read_share = 0.2;
    bool is_roaming = true; ///< Whether each call goes to a random VM.
};

/// Sessions that write and read through all VMs, and check each answer against the consistency guarantees.
class workload {
public:
    workload(virtual_fleet& fleet, fleet_setup const& setup, workload_options options);

    void start();
    void stop() { m_is_running = false; }

    /// Checks, once no call is in progress, that no write was lost, duplicated, or executed though it was
    /// reported as not run.
    void check_at_end();

    violation_log const& violations() const { return m_violations; }

    struct statistics {
        std::size_t calls = 0;
        std::size_t acknowledged = 0;
        std::size_t not_run = 0;
        std::size_t unknown = 0;
        std::size_t reads = 0;
        std::size_t replica_reads = 0;
        std::size_t late_reads = 0; ///< Reads answered after their delay target.
        std::map<refusal_reason, std::size_t> reasons;
    };

    statistics const& results() const { return m_statistics; }

    /// Properties of a read, as reported to the observer when the read arrives at its VM.
    struct read_event {
        std::uint64_t id = 0;
        std::string class_name;
        std::string account;
        std::string database;
        std::string token;
        std::optional<monotonic_time> last_write; ///< When the last write of the session was acknowledged.
    };

    /// Sets callbacks for the arrival of each read at its VM and for its answer.
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
        std::uint64_t written = 0;      ///< Value of the last write sent.
        std::uint64_t acknowledged = 0; ///< Highest value of an acknowledged write.
    };

    enum class write_state { pending, acknowledged, not_run, unknown };

    struct write_record {
        std::string name;
        std::string database;
        bool is_deposit = false;
        write_state state = write_state::pending;
    };

    /// Highest acknowledged value of a session at the time of an acknowledgement.
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
    /// Values that the answer to a read is checked against.
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
    statistics m_statistics;
    std::uint64_t m_next_read_id = 1;
    std::function<void(read_event const&)> m_on_read_arrival;
    std::function<void(std::uint64_t, served_by)> m_on_read_answer;
};

} // namespace greengagehitch::standin
