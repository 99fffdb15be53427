#pragma once

#include <functional>
#include <string>

#include "allotment/allotment_service.h"
#include "configuration/configuration_service.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Admits requests within the rate and burst of their client account. The limits apply to the whole fleet.
class limit_service : public service {
public:
    static constexpr std::string_view service_name = "limits";

    /// `on_admitted` is called with the client account of each admitted request. It may be empty.
    limit_service(kernel& kernel, std::function<void(std::string const&)> on_admitted)
        : m_kernel(kernel), m_on_admitted(std::move(on_admitted))
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;

    /// Admits or rejects one request of the account. `done` receives no value when the request is admitted,
    /// and otherwise the time after which a retry may succeed. It is called either before this function
    /// returns or after peers have answered. Requests of accounts without a limit are always admitted.
    void admit(std::string const& client_account, token_callback done);

private:
    void apply_configuration();

    kernel& m_kernel;
    std::function<void(std::string const&)> m_on_admitted;
    configuration_service* m_configuration = nullptr;
    allotment_service* m_allotments = nullptr;
};

} // namespace greengagehitch
