#include "entry_vm/entry_vm.h"

#include <utility>

#include "base/digest.h"
#include "failover/failover_service.h"
#include "routing/group_directory.h"
#include "routing/majority_commit_service.h"

namespace greengagehitch {

namespace {

/// Derives the secret for one purpose from the fleet secret. Each purpose has a secret of its own, so that a
/// datagram is never accepted as a session token.
std::string derive_secret(std::string const& fleet_secret, std::string_view purpose)
{
    return hmac_sha256(fleet_secret, purpose);
}

} // namespace

entry_vm::entry_vm(entry_vm_settings const& settings, entry_vm_hooks hooks)
    : m_hooks(std::move(hooks)), m_name(settings.name), m_kernel(m_hooks.kernel)
{
    vm_identity identity{settings.name, settings.availability_zone, settings.peer_endpoint,
                         m_kernel.random()};
    m_kernel.add(std::make_unique<membership_service>(
        m_kernel, m_hooks.platform, std::move(identity),
        peer_codec(derive_secret(settings.fleet_secret, "peers")), m_hooks.send_datagram));
    m_kernel.add(std::make_unique<configuration_service>(m_kernel, m_hooks.platform));
    m_kernel.add(std::make_unique<key_service>(m_kernel));
    m_kernel.add(std::make_unique<allotment_service>(m_kernel, m_hooks.platform));
    m_kernel.add(std::make_unique<limit_service>(m_kernel, m_hooks.on_admitted));
    m_kernel.add(std::make_unique<group_directory>(m_kernel, m_hooks.platform, m_hooks.database));
    m_kernel.add(std::make_unique<failover_service>(m_kernel, m_hooks.platform));
    m_kernel.add(std::make_unique<majority_commit_service>(m_kernel));
    m_kernel.add(std::make_unique<read_service>(m_kernel));
    m_kernel.add(std::make_unique<write_service>(m_kernel));
    m_kernel.add(std::make_unique<transaction_service>(m_kernel));
    m_kernel.add(std::make_unique<diagnosis_service>(m_kernel));
    m_kernel.add(std::make_unique<request_service>(m_kernel, make_session_codec(settings.fleet_secret)));
}

void entry_vm::start()
{
    m_kernel.start();
}

void entry_vm::handle_request(caller_request request, caller_reply reply)
{
    m_kernel.find<request_service>(request_service::service_name)
        .handle(std::move(request), std::move(reply));
}

void entry_vm::handle_datagram(std::string const& datagram)
{
    m_kernel.find<membership_service>(membership_service::service_name).handle_datagram(datagram);
}

void entry_vm::drain(std::function<void()> drained)
{
    m_kernel.find<membership_service>(membership_service::service_name).set_leaving();
    m_kernel.find<request_service>(request_service::service_name).drain(std::move(drained));
}

Json::Value entry_vm::dump() const
{
    auto state = m_kernel.dump();
    state["vm"] = m_name;
    return state;
}

session_codec entry_vm::make_session_codec(std::string const& fleet_secret)
{
    return session_codec(derive_secret(fleet_secret, "sessions"));
}

configuration_service& entry_vm::configuration()
{
    return m_kernel.find<configuration_service>(configuration_service::service_name);
}

} // namespace greengagehitch
