#pragma once

#include <map>
#include <optional>
#include <string>

#include "configuration/configuration_service.h"
#include "kernel/kernel.h"
#include "limits/token_bucket.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Admits requests within the rate and burst of their client account. Each VM holds an equal share of the
/// account's rate; see docs/design/limits.md for what that leaves open.
class limit_service : public service {
public:
    static constexpr std::string_view service_name = "limits";

    explicit limit_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Takes one request of the account; otherwise returns the time after which a retry may pass. Accounts
    /// without a limit always pass.
    std::optional<duration> admit(std::string const& client_account);

private:
    void follow_configuration();
    std::map<std::string, token_bucket>::iterator refresh_bucket(client_account const& account,
                                                                 monotonic_time now);

    kernel& m_kernel;
    configuration_service* m_configuration = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, token_bucket> m_buckets;
};

} // namespace greengagehitch
