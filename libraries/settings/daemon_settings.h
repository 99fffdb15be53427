#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "base/time.h"

namespace greengagehitch {

/// IP address and port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string to_string() const;
    bool operator==(endpoint const&) const = default;
};

/// Parses text such as "127.0.0.1:8080" or "[::1]:8080". Returns std::nullopt for other text, including host
/// names, which are not resolved.
std::optional<endpoint> parse_endpoint(std::string const& text);

/// Returns whether `address` is a loopback address, which only processes on the same VM can reach.
bool is_loopback(endpoint const& address);

struct tls_settings {
    std::string certificate_file; ///< Path of a PEM file with the certificate and its chain.
    std::string private_key_file; ///< Path of a PEM file with the private key.
};

struct listener_settings {
    endpoint listen;
    std::optional<tls_settings> tls;
};

/// Settings of one daemon, as read from its YAML file.
struct daemon_settings {
    std::string vm_name;
    std::string availability_zone;
    listener_settings callers;
    std::size_t max_caller_connections = 0; ///< Connections of callers above this number are rejected.
    std::size_t max_request_bytes = 0;      ///< Maximum size of a request body, in bytes.
    listener_settings operators;
    std::string operator_token; ///< Contents of the file named by operators.token_file.
    endpoint peers;             ///< Address on which the VM receives messages from its peers.
    std::string fleet_secret;   ///< Contents of the file named by peers.fleet_secret_file.
    std::string platform_url;   ///< URL of the platform, such as http://127.0.0.1:7000.
    duration platform_timeout{};
    std::string database_user;
    std::string database_password_file; ///< Path of the file; empty when the databases require no password.
    std::string database_tls_mode;      ///< Value of libpq's `sslmode` parameter.
    duration drain_timeout{};
};

/// Parses and checks the settings in `text`, and reads the files that they refer to. Error messages name
/// `file` as the source.
absl::StatusOr<daemon_settings> try_parse_daemon_settings(std::string const& text, std::string const& file);

/// Reads, parses and checks the settings file at `path`.
absl::StatusOr<daemon_settings> try_load_daemon_settings(std::string const& path);

/// Returns the contents of a file. The whole file is read into memory.
absl::StatusOr<std::string> try_read_file(std::string const& path);

} // namespace greengagehitch
