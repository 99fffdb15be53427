#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "configuration/configuration_service.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"

namespace greengagehitch {

enum class key_error { missing, malformed, unknown, account_removed };

inline constexpr std::array key_error_names{
    enum_name<key_error>{key_error::missing, "request has no key"},
    enum_name<key_error>{key_error::malformed, "key is malformed"},
    enum_name<key_error>{key_error::unknown, "key is unknown or was withdrawn"},
    enum_name<key_error>{key_error::account_removed, "client account of the key does not exist"},
};

/// Caller's key: an identifier that may be logged, and a secret that leaves the process only as a salted
/// digest.
struct caller_key {
    std::string id;
    std::string secret;

    /// Returns the key in the form in which callers send it.
    std::string to_string() const;
};

/// Parses a key in the form in which callers send it.
std::optional<caller_key> parse_caller_key(std::string_view text);

/// Returns the digest of a key that the fleet stores, in hexadecimal.
std::string compute_key_digest(std::string const& salt_hex, std::string const& secret);

/// Result of checking a key.
struct authentication {
    std::string key_id;
    std::string client_account;
    std::optional<key_error> error;
};

/// Authenticates callers' keys against the active configuration, on every request.
class key_service : public service {
public:
    static constexpr std::string_view service_name = "keys";

    explicit key_service(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    authentication authenticate(std::string_view key) const;

    /// Returns true if the known keys are recent enough to authenticate callers: the configuration was
    /// confirmed within the maximum confirmation age, or this VM is in contact with a majority of the fleet,
    /// which every configuration change requires. A withdrawn key is then refused in time.
    bool is_current() const;

private:
    kernel& m_kernel;
    configuration_service* m_configuration = nullptr;
    membership_service* m_membership = nullptr;
};

} // namespace greengagehitch
