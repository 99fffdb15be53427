#include "limits/limit_service.h"

#include <utility>
#include <vector>

namespace greengagehitch {

namespace {

std::string allotment_name(std::string const& client_account)
{
    return "rates/" + client_account;
}

} // namespace

void limit_service::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_allotments = &m_kernel.find<allotment_service>(allotment_service::service_name);
    m_configuration->on_change([this] { apply_configuration(); });
}

void limit_service::admit(std::string const& client_account, token_callback done)
{
    m_allotments->take(allotment_name(client_account),
                       [this, client_account, done = std::move(done)](std::optional<duration> wait) {
                           if (!wait && m_on_admitted) {
                               m_on_admitted(client_account);
                           }
                           done(wait);
                       });
}

void limit_service::apply_configuration()
{
    std::vector<std::string> names;
    for (auto const& [name, account] : m_configuration->current()->document.client_accounts) {
        m_allotments->configure(allotment_name(name), account.rate, account.burst);
        names.push_back(allotment_name(name));
    }
    m_allotments->remove_all_except(names);
}

} // namespace greengagehitch
