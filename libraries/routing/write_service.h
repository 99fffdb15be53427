#pragma once

#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "outcome/retry_budget.h"
#include "request/request_context.h"
#include "routing/group_directory.h"
#include "routing/majority_commit_service.h"

namespace greengagehitch {

/// Runs writes at the primary and determines their outcomes. A commit is acknowledged only once a majority is
/// known to hold it, and a request is refused as "not run" only if it can no longer take effect.
class write_service : public service {
public:
    static constexpr std::string_view service_name = "writes";

    explicit write_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Runs all statements of the request in one transaction.
    void write(request_pointer const& request);

    /// Commits an interactive transaction on its connection. If the transaction has a request id,
    /// `fingerprint` is the one in its outcome record.
    void commit(request_pointer const& request, leased_connection_pointer const& connection,
                std::string request_id, std::string fingerprint);

    /// Answers with the outcome of a request id. If the request has not run, inserts a tombstone, so that it
    /// can no longer run.
    void resolve(request_pointer const& request);

    /// Time after the delay target for which the outcome of a commit is still sought.
    static constexpr duration resolution_time = std::chrono::seconds(3);

private:
    struct attempt;
    using attempt_pointer = std::shared_ptr<attempt>;

    using primary_callback =
        std::function<void(active_group&, std::size_t member, leased_connection_pointer)>;

    void run(attempt_pointer const& attempt);
    void acquire_primary_connection(attempt_pointer const& attempt, monotonic_time deadline,
                                    primary_callback on_connection);
    /// Refuses a request that cannot be completed: with the outcome "unknown" if a commit may still take
    /// effect, and with "not run" otherwise.
    void refuse_incomplete(attempt_pointer const& attempt);
    void wait_for_primary(attempt_pointer const& attempt, monotonic_time deadline,
                          primary_callback on_connection);
    void send_statements(attempt_pointer const& attempt, std::size_t member,
                         leased_connection_pointer const& connection);
    void send_with_commit(attempt_pointer const& attempt, std::size_t member,
                          leased_connection_pointer const& connection);
    void send_before_commit(attempt_pointer const& attempt, std::size_t member,
                            leased_connection_pointer const& connection);
    void send_commit(attempt_pointer const& attempt, std::size_t member,
                     leased_connection_pointer const& connection);
    void handle_commit_answer(attempt_pointer const& attempt, std::size_t member, batch_answer const& answer,
                              monotonic_time asked_at, std::string const& marker);
    void handle_failure(attempt_pointer const& attempt, std::size_t member, database_failure const& failure,
                        std::size_t failed_statement);
    void handle_unknown_outcome(attempt_pointer const& attempt);
    void retry(attempt_pointer const& attempt, refusal_reason reason, std::string const& message);

    void look_up_outcome(attempt_pointer const& attempt);
    void handle_outcome_record(attempt_pointer const& attempt, std::size_t member, batch_answer const& answer,
                               monotonic_time asked_at, std::string const& marker);
    void answer_from_record(attempt_pointer const& attempt, group_contract::outcome_record const& record,
                            log_position position);
    void insert_tombstone(attempt_pointer const& attempt);
    void retry_resolution(attempt_pointer const& attempt, std::function<void()> again);
    void await_majority(attempt_pointer const& attempt, log_position position, std::function<void()> on_held,
                        std::function<void()> on_not_held);
    void acknowledge(attempt_pointer const& attempt, log_position position, caller_answer answer);

    void observe_failure(attempt_pointer const& attempt, std::size_t member, database_failure const& failure);
    std::optional<log_position> committed_position(attempt_pointer const& attempt, std::size_t member,
                                                   result_set const& status_result, monotonic_time asked_at,
                                                   std::string const& marker);

    kernel& m_kernel;
    group_directory* m_directory = nullptr;
    majority_commit_service* m_majority_commits = nullptr;
    retry_budget m_budget;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_unknown_commits = 0;
    std::uint64_t m_tombstones = 0;
    std::uint64_t m_unknown_answers = 0;
};

} // namespace greengagehitch
