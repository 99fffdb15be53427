#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "base/time.h"

namespace greengagehitch {

/// IP number and port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string to_string() const;
    bool operator==(endpoint const&) const = default;
};

/// Reads "127.0.0.1:8080" or "[::1]:8080". Names are not resolved.
std::optional<endpoint> parse_endpoint(std::string const& text);

/// True for addresses that only this VM reaches.
bool is_loopback(endpoint const& address);

struct tls_settings {
    std::string certificate_file; ///< PEM, with the chain.
    std::string private_key_file; ///< PEM.
};

struct listener_settings {
    endpoint listen;
    std::optional<tls_settings> tls;
};

/// Settings of one daemon, from its YAML file.
struct daemon_settings {
    std::string vm_name;
    std::string availability_zone;
    listener_settings callers;
    std::size_t max_caller_connections = 0; ///< Connections of callers at once.
    std::size_t max_request_bytes = 0;      ///< Largest body of a call.
    listener_settings operators;
    std::string operator_token; ///< Read from operators.token_file.
    endpoint peers;
    std::string fleet_secret; ///< Read from fleet_secret_file.
    std::string platform_url; ///< http://IP:port
    duration platform_timeout{};
    std::string database_user;
    std::string database_password_file; ///< Empty when the databases ask for none.
    std::string database_tls_mode;      ///< libpq's sslmode.
    duration drain_timeout{};
};

/// Reads and checks settings. `file` names the source in errors; files that it refers to are read.
absl::StatusOr<daemon_settings> try_parse_daemon_settings(std::string const& text, std::string const& file);

/// Reads and checks the settings in `path`.
absl::StatusOr<daemon_settings> try_load_daemon_settings(std::string const& path);

/// Contents of a small file.
absl::StatusOr<std::string> try_read_file(std::string const& path);

} // namespace greengagehitch
