#include "sessions/session_engine.h"

#include <utility>
#include <vector>

namespace greengagehitch {

namespace {

/// Time before the end of a drain at which statements that were not yet sent are refused. Their answers reach
/// the callers by then, also those of peers.
constexpr duration refusal_margin = std::chrono::milliseconds(300);
constexpr duration tick_period = std::chrono::milliseconds(100);
/// About one session in this many is closed at a time, so that the callers do not all reconnect at once.
constexpr std::size_t drain_steps = 10;
/// Age of the configuration above which the VM reports that it is not ready, so that the load balancer sends
/// it no new callers.
constexpr duration readiness_age_limit = std::chrono::milliseconds(3'200);

/// Time from the loss of the other zones until idle sessions are closed. Callers that reconnect earlier may
/// reach the same VM, as the load balancer has not yet noticed that it is not ready.
constexpr duration cut_off_close_delay = std::chrono::milliseconds(1'200);

} // namespace

session_engine::session_engine(kernel& kernel, session_engine_settings settings)
    : m_kernel(kernel), m_settings(settings)
{
}

void session_engine::start()
{
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_rates = &m_kernel.find<rate_shares>(rate_shares::service_name);
    m_groups = &m_kernel.find<group_registry>(group_registry::service_name);
    m_brokers = &m_kernel.find<broker_service>(broker_service::service_name);
    m_kernel.start_periodic(tick_period, [this] { tick(); });
}

Json::Value session_engine::dump() const
{
    Json::Value state(Json::objectValue);
    state["sessions"] = Json::UInt64(m_sessions.size());
    state["opened"] = Json::UInt64(m_counters.opened);
    state["statements"] = Json::UInt64(m_counters.statements);
    state["answered"] = Json::UInt64(m_counters.answered);
    for (std::size_t i = 0; i < session_error_names.size(); ++i) {
        state["refused"][std::string(session_error_names[i].name)] = Json::UInt64(m_counters.refused[i]);
    }
    for (std::size_t i = 0; i < session_end_names.size(); ++i) {
        state["unanswered"][std::string(session_end_names[i].name)] = Json::UInt64(m_counters.unanswered[i]);
    }
    state["overdue"] = Json::UInt64(m_counters.overdue);
    state["closed"] = Json::UInt64(m_counters.closed);
    return state;
}

std::variant<std::shared_ptr<client_session>, session_refusal>
session_engine::open(std::string database, std::string key, session_hooks hooks)
{
    auto const& configuration = m_fleet->configuration();
    if (!configuration || takes_no_work()) {
        return session_refusal{session_error::busy, {}};
    }
    auto const found = configuration->classes.find(database);
    if (found == configuration->classes.end()) {
        return session_refusal{may_trust_keys() ? session_error::unknown_database : session_error::busy, {}};
    }
    auto const account = configuration->account_of_key.find(key);
    auto const has_account = account != configuration->account_of_key.end();
    if (!found->second.is_open_to_all && !has_account) {
        return session_refusal{may_trust_keys() ? session_error::unknown_key : session_error::busy, {}};
    }
    auto refusal =
        configuration->find_refusal(found->second, has_account ? account->second : std::string("-"));
    if (!refusal.empty()) {
        return session_refusal{session_error::failed, std::move(refusal)};
    }
    ++m_counters.opened;
    auto session =
        std::make_shared<client_session>(*this, std::move(database), std::move(key), std::move(hooks));
    m_sessions.insert(session.get());
    return session;
}

bool session_engine::is_ready() const
{
    auto const age = m_fleet->configuration_age();
    return !is_draining() && age && *age <= readiness_age_limit && !m_fleet->members().empty() &&
           !(m_is_cut_off && m_is_cut_off());
}

bool session_engine::may_trust_keys() const
{
    auto const age = m_fleet->configuration_age();
    return age && *age <= m_settings.key_configuration_age_limit;
}

void session_engine::drain(std::function<void()> on_drained)
{
    m_on_drained = std::move(on_drained);
    m_drain_started = m_kernel.now();
}

void session_engine::tick()
{
    if (m_drain_started) {
        continue_drain();
        return;
    }
    auto const& configuration = m_fleet->configuration();
    if (!configuration) {
        return;
    }
    for (auto const& session : sessions()) {
        session->end_idle_transaction(configuration->transaction_idle_limit);
        session->report_overdue_statement();
    }
    update_cut_off();
    auto const has_better_peer = m_has_better_peer && m_has_better_peer();
    auto const was_cut_off_long = m_cut_off_since && m_kernel.now() - *m_cut_off_since >= cut_off_close_delay;
    if (!is_ready() && (has_better_peer || was_cut_off_long)) {
        close_idle_batch();
    }
}

void session_engine::update_cut_off()
{
    auto const is_cut_off = m_is_cut_off && m_is_cut_off();
    if (is_cut_off == m_cut_off_since.has_value()) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["sessions"] = Json::UInt64(m_sessions.size());
    if (m_cut_off_since) {
        fields["cut_off_ms"] = to_milliseconds(m_kernel.now() - *m_cut_off_since);
    }
    m_kernel.log(log_level::info, service_name,
                 is_cut_off
                     ? "VM is cut off from the other availability zones and reports that it is not ready"
                     : "VM reaches other availability zones again",
                 std::move(fields));
    m_cut_off_since = is_cut_off ? std::optional(m_kernel.now()) : std::nullopt;
}

void session_engine::close_idle_batch()
{
    auto const count = m_sessions.size() / drain_steps + 1;
    std::size_t closed = 0;
    for (auto const& session : sessions()) {
        if (closed < count && session->close_if_idle()) {
            ++closed;
        }
    }
    if (closed == 0) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["closed"] = Json::UInt64(closed);
    fields["sessions"] = Json::UInt64(m_sessions.size());
    fields["is_draining"] = is_draining();
    fields["is_cut_off"] = m_cut_off_since.has_value();
    if (auto const age = m_fleet->configuration_age()) {
        fields["configuration_age_ms"] = to_milliseconds(*age);
    }
    m_kernel.log(log_level::info, service_name, "idle sessions were closed, since this VM is not ready",
                 std::move(fields));
}

void session_engine::record_late_statement(std::string const& id)
{
    ++m_counters.refused[static_cast<std::size_t>(session_error::busy)];
    Json::Value fields(Json::objectValue);
    fields["request"] = id;
    m_kernel.log(log_level::info, service_name,
                 "statement was refused, since it arrived after its session was closed", std::move(fields));
}

bool session_engine::takes_no_work() const
{
    return m_is_drained ||
           (m_drain_started && m_kernel.now() - *m_drain_started >= m_settings.transaction_drain_limit);
}

std::vector<std::shared_ptr<client_session>> session_engine::sessions() const
{
    std::vector<std::shared_ptr<client_session>> all;
    for (auto* const session : m_sessions) {
        // A session that is being destroyed is still listed.
        if (auto alive = session->weak_from_this().lock()) {
            all.push_back(std::move(alive));
        }
    }
    return all;
}

void session_engine::continue_drain()
{
    auto const elapsed = m_kernel.now() - *m_drain_started;
    if (takes_no_work()) {
        for (auto const& session : sessions()) {
            session->end_idle_transaction(duration::zero());
            session->close_when_idle();
        }
    }
    else {
        close_idle_batch();
    }
    if (elapsed >= m_settings.drain_limit - refusal_margin && !std::exchange(m_has_refused_unsent, true)) {
        for (auto const& session : sessions()) {
            session->refuse_unsent();
        }
        if (m_refuse_peer_requests) {
            m_refuse_peer_requests();
        }
    }
    auto const is_over = elapsed >= m_settings.drain_limit;
    auto const has_peer_requests = m_has_peer_requests && m_has_peer_requests();
    if ((!m_sessions.empty() || has_peer_requests || elapsed < m_settings.arrival_limit) && !is_over) {
        return;
    }
    m_is_drained = true;
    for (auto const& session : sessions()) {
        session->abandon();
    }
    if (auto const on_drained = std::exchange(m_on_drained, nullptr)) {
        on_drained();
    }
}

} // namespace greengagehitch
