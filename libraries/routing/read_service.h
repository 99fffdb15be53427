#pragma once

#include <memory>
#include <optional>
#include <string>

#include "kernel/kernel.h"
#include "outcome/retry_budget.h"
#include "request/request_context.h"
#include "routing/group_directory.h"

namespace greengagehitch {

/// Member to which a read is sent, and the earliest time to send it.
struct read_target {
    std::size_t member = 0;
    bool is_primary = false;
    monotonic_time earliest_send_time;
};

/// Routes reads to replicas that are known or expected to have applied the session's position and to be
/// within the freshness limit of the class of work, and to the primary otherwise. An answer is accepted only
/// if the position that the member returned with it meets both requirements.
class read_service : public service {
public:
    static constexpr std::string_view service_name = "reads";

    explicit read_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Runs the statements of the request in one read-only transaction and answers the request.
    void read(request_pointer const& request);

private:
    struct attempt;
    using attempt_pointer = std::shared_ptr<attempt>;

    void probe_stale_members(active_group& group, work_class const& work);
    void try_next(attempt_pointer const& attempt);
    void send(attempt_pointer const& attempt, active_group& group, std::size_t member);
    void handle_answer(attempt_pointer const& attempt, std::size_t member, batch_answer answer,
                       monotonic_time asked_at, std::string const& marker);
    void handle_failure(attempt_pointer const& attempt, std::size_t member, database_failure const& failure,
                        std::size_t failed_statement);
    bool meets_read_requirements(attempt const& attempt, active_group const& group,
                                 member_status const& status) const;
    void finish(attempt_pointer const& attempt, active_group& group, std::size_t member, batch_answer answer,
                member_status const& status);
    void retry(attempt_pointer const& attempt);
    void refuse_read(attempt_pointer const& attempt);

    std::optional<read_target> choose_target(attempt const& attempt, active_group const& group);
    std::optional<log_position> required_position(attempt const& attempt, active_group const& group) const;
    double load_of(active_group const& group, std::size_t member) const;

    kernel& m_kernel;
    group_directory* m_directory = nullptr;
    membership_service* m_membership = nullptr;
    retry_budget m_budget;
    std::uint64_t m_replica_reads = 0;
    std::uint64_t m_primary_reads = 0;
    std::uint64_t m_answers_below_position = 0;
};

} // namespace greengagehitch
