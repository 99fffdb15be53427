#include "session_vm/session_vm.h"

#include <utility>

#include "base/digest.h"
#include "base/single_use.h"
#include "platform/single_answer_hooks.h"

namespace greengagehitch {

namespace {

/// Period of heartbeats, which only make VMs known to each other; reports also show that a VM is reachable.
constexpr duration heartbeat_period = std::chrono::seconds(2);
constexpr duration vm_list_period = std::chrono::seconds(30);
/// Time within which two reports from a VM of another zone should have been received.
constexpr duration peer_reachability_timeout = std::chrono::milliseconds(2'600);

/// Returns a function that counts and logs the answers of the platform that arrive a second time. It may
/// outlive the kernel.
std::function<void(std::string_view)> make_repetition_log(kernel& kernel)
{
    return [&kernel, lifetime = kernel.lifetime(),
            repeated = std::make_shared<std::uint64_t>(0)](std::string_view hook) {
        ++*repeated;
        if (lifetime.expired()) {
            return;
        }
        Json::Value fields(Json::objectValue);
        fields["call"] = std::string(hook);
        fields["repeated"] = Json::UInt64(*repeated);
        kernel.log(log_level::warning, "platform",
                   "answer to a call of the platform came twice and was ignored", std::move(fields));
    };
}

} // namespace

session_vm::session_vm(session_vm_settings const& settings, session_vm_hooks hooks)
    : m_hooks(std::move(hooks)), m_name(settings.name), m_kernel(m_hooks.kernel)
{
    auto const on_repeated = make_repetition_log(m_kernel);
    m_hooks.platform = make_single_answer_hooks(std::move(m_hooks.platform), on_repeated);
    m_hooks.promote = [promote = std::move(m_hooks.promote),
                       on_repeated](promotion_order const& order, std::function<void(absl::Status)> done) {
        promote(order, single_use(std::move(done), [on_repeated] { on_repeated("promote"); }));
    };
    vm_identity identity{settings.name, settings.availability_zone, settings.peer_endpoint, m_kernel.random(),
                         settings.processor_share};
    m_kernel.add(std::make_unique<membership_service>(
        m_kernel, m_hooks.platform, std::move(identity),
        peer_codec(hmac_sha256(settings.fleet_secret, "peers")), m_hooks.send_datagram,
        membership_timing{heartbeat_period, peer_reachability_timeout, vm_list_period}));
    m_kernel.add(std::make_unique<fleet_state>(m_kernel, settings.evacuation_limit));
    m_kernel.add(std::make_unique<rate_shares>(m_kernel, settings.rates));
    m_kernel.add(std::make_unique<broker_service>(m_kernel, m_hooks.channels));
    m_kernel.add(std::make_unique<document_exchange>(m_kernel));
    m_kernel.add(std::make_unique<group_registry>(m_kernel, m_hooks.connections, m_hooks.platform,
                                                  settings.deposes_replaced_leaders, settings.warm_up,
                                                  settings.paces_recovery));
    m_kernel.add(std::make_unique<report_service>(m_kernel));
    m_kernel.add(std::make_unique<roster_service>(m_kernel, m_hooks.platform, m_hooks.connections));
    m_kernel.add(std::make_unique<takeover_service>(m_kernel, m_hooks.platform, m_hooks.connections,
                                                    m_hooks.promote, settings.deposes_replaced_leaders));
    m_kernel.add(std::make_unique<session_engine>(m_kernel, settings.sessions));
    m_fleet = &m_kernel.find<fleet_state>(fleet_state::service_name);
    m_sessions = &m_kernel.find<session_engine>(session_engine::service_name);
}

void session_vm::start()
{
    m_kernel.start();
    auto& reports = m_kernel.find<report_service>(report_service::service_name);
    m_sessions->set_has_better_peer([&reports] { return !reports.peers_with_store().empty(); });
    m_sessions->set_is_cut_off([this] { return brokers().is_cut_off(); });
    m_sessions->set_has_peer_requests([this] { return brokers().has_peer_requests(); });
    m_sessions->set_refuse_peer_requests([this] { brokers().refuse_peer_requests(); });
    m_kernel.log(log_level::info, "vm", "started", {});
}

void session_vm::handle_datagram(std::string const& datagram)
{
    m_kernel.find<membership_service>(membership_service::service_name).handle_datagram(datagram);
}

void session_vm::drain(std::function<void()> drained)
{
    m_kernel.find<membership_service>(membership_service::service_name).set_leaving();
    reports().send_report_now();
    brokers().hand_over();
    m_sessions->groups().report_connections(true);
    m_sessions->drain(std::move(drained));
}

Json::Value session_vm::dump() const
{
    auto state = m_kernel.dump();
    state["vm"] = m_name;
    return state;
}

} // namespace greengagehitch
