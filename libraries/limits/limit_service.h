#pragma once

#include <functional>
#include <string>

#include "allotment/allotment_service.h"
#include "configuration/configuration_service.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Admits requests within the rate and burst of their client account, counted over the whole fleet.
class limit_service : public service {
public:
    static constexpr std::string_view service_name = "limits";

    /// `on_admitted` is told of each admitted request; may be empty.
    limit_service(kernel& kernel, std::function<void(std::string const&)> on_admitted)
        : m_kernel(kernel), m_on_admitted(std::move(on_admitted))
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;

    /// Takes one request of the account. `done` gets the time after which a retry may pass, or nothing when
    /// the request is admitted; it may come at once or after asking peers. Accounts without a limit always
    /// pass.
    void admit(std::string const& client_account, token_callback done);

private:
    void apply_configuration();

    kernel& m_kernel;
    std::function<void(std::string const&)> m_on_admitted;
    configuration_service* m_configuration = nullptr;
    allotment_service* m_allotments = nullptr;
};

} // namespace greengagehitch
