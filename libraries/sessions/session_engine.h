#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "brokers/broker_service.h"
#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "limits/rate_shares.h"
#include "members/group_registry.h"
#include "metrics/latency_histogram.h"
#include "sessions/client_session.h"

namespace greengagehitch {

struct session_engine_settings {
    /// Age of the configuration above which keys are not accepted.
    duration key_configuration_age_limit = std::chrono::milliseconds(4'400);
    /// Time from the start of a drain until transactions that are still open are rolled back.
    duration transaction_drain_limit = std::chrono::milliseconds(2'800);
    /// Minimum duration of a drain. New callers arrive until the load balancer detects that the VM is not
    /// ready.
    duration arrival_limit = std::chrono::milliseconds(2'600);
    /// Maximum duration of a drain. It then ends even if sessions are still open.
    duration drain_limit = std::chrono::milliseconds(5'200);
};

/// Counts of sessions and statements since the start of the process, for operators.
struct session_counters {
    std::uint64_t opened = 0;
    std::uint64_t statements = 0;
    std::uint64_t answered = 0;
    std::array<std::uint64_t, session_error_names.size()> refused{}; ///< Indexed by session_error.
    /// Statements whose connection ended before their answer, indexed by session_end.
    std::array<std::uint64_t, session_end_names.size()> unanswered{};
    std::uint64_t overdue = 0; ///< Statements that had no answer for long after their time limit.
    std::uint64_t closed = 0;  ///< Sessions that this VM closed while they were idle.
    /// Time from a statement's arrival to its answer, indexed by statement_kind; failed statements are not
    /// recorded.
    std::array<latency_histogram, statement_kind_names.size()> latencies;
};

/// Holds all sessions of this VM and the services that they share. All statements of callers reach their
/// databases through it.
class session_engine : public service {
public:
    static constexpr std::string_view service_name = "sessions";

    session_engine(kernel& kernel, session_engine_settings settings);

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Opens a session, or returns the error. The front end owns the session until the caller disconnects.
    std::variant<std::shared_ptr<client_session>, session_refusal> open(std::string database, std::string key,
                                                                        session_hooks hooks);

    /// Closes idle sessions and waits a limited time for open transactions and requests of peers to end.
    /// After `transaction_drain_limit`, sessions take no further work and close once they are idle. All
    /// statements are answered before `on_drained` is called, and no session opens afterwards.
    void drain(std::function<void()> on_drained);
    bool is_draining() const { return m_drain_started.has_value(); }

    /// Returns true if this VM is not draining, has a recent configuration, knows at least one member and is
    /// not cut off from the other availability zones.
    bool is_ready() const;

    /// Returns true if the configuration is recent enough to accept keys. An older one may still list a key
    /// that was withdrawn.
    bool may_trust_keys() const;

    /// Sets the predicate that returns true if, according to the reports of the fleet, a peer could serve
    /// sessions that this VM cannot serve.
    void set_has_better_peer(std::function<bool()> predicate) { m_has_better_peer = std::move(predicate); }

    /// Sets the predicate that returns true while this VM reaches no other availability zone, which others
    /// probably still serve.
    void set_is_cut_off(std::function<bool()> predicate) { m_is_cut_off = std::move(predicate); }

    /// Sets the predicate that returns true while requests of peers are running at this VM. A drain waits for
    /// these requests.
    void set_has_peer_requests(std::function<bool()> predicate)
    {
        m_has_peer_requests = std::move(predicate);
    }

    /// Sets the function that refuses the requests of peers which wait at this VM and were not yet sent.
    void set_refuse_peer_requests(std::function<void()> refuse)
    {
        m_refuse_peer_requests = std::move(refuse);
    }

    /// Counts and logs a statement that arrived after this VM had closed its session, and was refused.
    void record_late_statement(std::string const& id);

    session_counters const& counters() const { return m_counters; }
    session_counters& counters() { return m_counters; }
    std::size_t size() const { return m_sessions.size(); }

    kernel& service_kernel() { return m_kernel; }
    fleet_state& fleet() { return *m_fleet; }
    rate_shares& rates() { return *m_rates; }
    group_registry& groups() { return *m_groups; }
    broker_service& brokers() { return *m_brokers; }
    contact_guard& contact() { return m_brokers->contact(); }

    void remove(client_session* session) { m_sessions.erase(session); }

private:
    void tick();
    void continue_drain();
    /// Returns whether the drain is over, or has lasted so long that no further work is taken.
    bool takes_no_work() const;
    std::vector<std::shared_ptr<client_session>> sessions() const;
    void close_idle_batch();
    /// Notes since when this VM is cut off, and logs changes.
    void update_cut_off();

    kernel& m_kernel;
    session_engine_settings m_settings;
    fleet_state* m_fleet = nullptr;
    rate_shares* m_rates = nullptr;
    group_registry* m_groups = nullptr;
    broker_service* m_brokers = nullptr;
    std::set<client_session*> m_sessions;
    session_counters m_counters;
    std::function<bool()> m_has_better_peer;
    std::function<bool()> m_has_peer_requests;
    std::function<void()> m_refuse_peer_requests;
    std::function<bool()> m_is_cut_off;
    std::optional<monotonic_time> m_cut_off_since;
    std::optional<monotonic_time> m_drain_started;
    bool m_has_refused_unsent = false; ///< Whether unsent statements were refused, as the drain ends soon.
    bool m_is_drained = false; ///< Whether the drain is over. The process may still run for a short time.
    std::function<void()> m_on_drained;
};

} // namespace greengagehitch
