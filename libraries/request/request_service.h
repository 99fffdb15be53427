#pragma once

#include <functional>
#include <memory>
#include <string>

#include "configuration/configuration_service.h"
#include "diagnosis/diagnosis_service.h"
#include "kernel/kernel.h"
#include "keys/key_service.h"
#include "limits/limit_service.h"
#include "request/request_context.h"
#include "routing/read_service.h"
#include "routing/transaction_service.h"
#include "routing/write_service.h"

namespace greengagehitch {

/// Entry point of the VM for callers' requests. It validates each call, admits it and passes it to the
/// service that runs it. A call that fails validation has not run any statement.
class request_service : public service {
public:
    static constexpr std::string_view service_name = "requests";

    request_service(kernel& kernel, session_codec codec);

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Handles one call. `reply` is called exactly once, possibly before this function returns.
    void handle(caller_request request, caller_reply reply);

    /// Refuses new work with the outcome "not run" and calls `on_drained` once all requests and transactions
    /// in progress have ended.
    void drain(std::function<void()> on_drained);
    bool is_draining() const { return m_is_draining; }

    std::size_t in_flight() const { return m_in_flight; }

    static constexpr std::size_t max_request_id_size = 128;
    static constexpr std::size_t max_statements = 1'000;

private:
    struct admission;

    std::optional<refusal> check(caller_request& request, admission& admitted);
    std::optional<refusal> check_class(caller_request const& request, admission& admitted) const;
    std::optional<refusal> check_key(caller_request const& request, admission& admitted) const;
    std::optional<refusal> check_session(caller_request const& request, admission& admitted) const;
    std::optional<refusal> check_database(caller_request const& request, admission& admitted) const;
    std::optional<refusal> check_work(caller_request const& request, admission const& admitted) const;
    void admit_by_rate(caller_request request, admission admitted, caller_reply reply);
    void run(caller_request request, admission admitted, caller_reply reply, monotonic_time started);
    void dispatch(request_pointer const& request);
    void finish(request_context& request, caller_response response, caller_reply const& reply);
    void report_drained_if_idle();

    kernel& m_kernel;
    session_codec m_codec;
    configuration_service* m_configuration = nullptr;
    key_service* m_keys = nullptr;
    limit_service* m_limits = nullptr;
    read_service* m_reads = nullptr;
    write_service* m_writes = nullptr;
    transaction_service* m_transactions = nullptr;
    diagnosis_service* m_diagnosis = nullptr;
    std::size_t m_in_flight = 0;
    std::size_t m_waiting_for_rate = 0; ///< Calls that wait for a token of their rate limit.
    bool m_is_draining = false;
    std::function<void()> m_on_drained;
    std::map<refusal_reason, std::uint64_t> m_immediate_refusals;
};

} // namespace greengagehitch
