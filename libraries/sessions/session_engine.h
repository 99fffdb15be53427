#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "limits/rate_shares.h"
#include "members/group_registry.h"
#include "metrics/latency_histogram.h"
#include "sessions/client_session.h"

namespace greengagehitch {

struct session_engine_settings {
    /// Oldest knowledge of the configuration with which a key may still admit.
    duration key_configuration_age_limit = std::chrono::milliseconds(4'400);
    /// Time that transactions have to end after a drain began.
    duration transaction_drain_limit = std::chrono::milliseconds(2'800);
    /// Time for which callers still come after the drain began, until the balancer has noticed it.
    duration arrival_limit = std::chrono::milliseconds(2'600);
    /// Time after which what is left is cut.
    duration drain_limit = std::chrono::milliseconds(5'200);
};

/// Counters for operators.
struct session_counters {
    std::uint64_t opened = 0;
    std::uint64_t statements = 0;
    std::uint64_t answered = 0;
    std::array<std::uint64_t, session_error_names.size()> refused{}; ///< By error.
    /// Time from a statement's arrival to its answer, by statement_kind; refusals are left out.
    std::array<latency_histogram, statement_kind_names.size()> latencies;
};

/// All sessions of this VM, with what they share. The one way from a caller's statement to a database.
class session_engine : public service {
public:
    static constexpr std::string_view service_name = "sessions";

    session_engine(kernel& kernel, session_engine_settings settings);

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Opens a session, or says why not. The front end keeps it until the caller leaves.
    std::variant<std::shared_ptr<client_session>, session_error> open(std::string database, std::string key,
                                                                      session_hooks hooks);

    /// Closes sessions between operations, gives transactions some time, then calls `drained`.
    void drain(std::function<void()> drained);
    bool is_draining() const { return m_drain_started.has_value(); }

    /// True when this VM can serve sessions.
    bool is_ready() const;

    /// True when a key may admit, by the age of what is known of withdrawals.
    bool may_trust_keys() const;

    /// Set by the fleet's reports: whether a peer could serve what this VM cannot.
    void set_has_better_peer(std::function<bool()> predicate) { m_has_better_peer = std::move(predicate); }

    /// Set by the VM: whether peers' work is under way here, which a drain waits for.
    void set_has_peer_requests(std::function<bool()> predicate)
    {
        m_has_peer_requests = std::move(predicate);
    }

    session_counters const& counters() const { return m_counters; }
    session_counters& counters() { return m_counters; }
    std::size_t size() const { return m_sessions.size(); }

    kernel& service_kernel() { return m_kernel; }
    fleet_state& fleet() { return *m_fleet; }
    rate_shares& rates() { return *m_rates; }
    group_registry& groups() { return *m_groups; }

    void remove(client_session* session) { m_sessions.erase(session); }

private:
    void tick();
    void continue_drain();
    void close_some_idle();

    kernel& m_kernel;
    session_engine_settings m_settings;
    fleet_state* m_fleet = nullptr;
    rate_shares* m_rates = nullptr;
    group_registry* m_groups = nullptr;
    std::set<client_session*> m_sessions;
    session_counters m_counters;
    std::function<bool()> m_has_better_peer;
    std::function<bool()> m_has_peer_requests;
    std::optional<monotonic_time> m_drain_started;
    std::function<void()> m_drained;
};

} // namespace greengagehitch
