#pragma once

#include <string>

#include "allotment/allotment_service.h"
#include "configuration/configuration_service.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Admits requests within the rate and burst of their client account, counted over the whole fleet.
class limit_service : public service {
public:
    static constexpr std::string_view service_name = "limits";

    explicit limit_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;

    /// Takes one request of the account. `done` gets the time after which a retry may pass, or nothing when
    /// the request is admitted; it may come at once or after asking peers. Accounts without a limit always
    /// pass.
    void admit(std::string const& client_account, token_callback done);

private:
    void follow_configuration();

    kernel& m_kernel;
    configuration_service* m_configuration = nullptr;
    allotment_service* m_allotments = nullptr;
};

} // namespace greengagehitch
