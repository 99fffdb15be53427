#include "settings/daemon_settings.h"

#include <array>
#include <fstream>
#include <sstream>

#include <Poco/Net/IPAddress.h>
#include <Poco/URI.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include "base/try.h"
#include "settings/yaml_section.h"

namespace greengagehitch {

namespace {

constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_name_length = 64;
constexpr std::array libpq_tls_modes{"disable", "prefer", "require", "verify-ca", "verify-full"};

endpoint read_endpoint(yaml_section& section, std::string const& field)
{
    auto const text = section.required_string(field);
    if (auto const address = parse_endpoint(text)) {
        return *address;
    }
    if (!text.empty()) {
        section.report(
            field, fmt::format("expected an IP address and port such as 127.0.0.1:8080, found '{}'", text));
    }
    return {};
}

std::string read_name(yaml_section& section, std::string const& field)
{
    auto name = section.required_string(field);
    auto const is_valid =
        !name.empty() && name.size() <= max_name_length &&
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
    if (!is_valid && !name.empty()) {
        section.report(field, "expected at most 64 lower-case letters, digits and hyphens");
    }
    return name;
}

listener_settings read_listener(yaml_section& section)
{
    listener_settings listener;
    listener.listen = read_endpoint(section, "listen");
    if (section.has("tls")) {
        auto tls = section.section("tls");
        listener.tls =
            tls_settings{tls.required_string("certificate_file"), tls.required_string("private_key_file")};
        tls.report_unknown_fields();
    }
    if (!listener.tls && !listener.listen.host.empty() && !is_loopback(listener.listen)) {
        section.report(
            "listen",
            "expected tls, because an address other than loopback must not receive keys unencrypted");
    }
    return listener;
}

void read_vm(yaml_section& root, daemon_settings& settings)
{
    auto vm = root.section("vm");
    settings.vm_name = read_name(vm, "name");
    settings.availability_zone = read_name(vm, "availability_zone");
    vm.report_unknown_fields();
}

void read_callers(yaml_section& root, daemon_settings& settings)
{
    constexpr std::uint64_t max_connection_limit = 100'000;
    constexpr std::uint64_t default_connection_limit = 8'000;
    constexpr std::uint64_t min_body_bytes = 1'024;
    constexpr std::uint64_t max_body_bytes = 16UL * 1'024 * 1'024;
    constexpr std::uint64_t default_body_bytes = 256UL * 1'024;
    auto callers = root.section("callers");
    settings.callers = read_listener(callers);
    settings.max_caller_connections =
        callers.optional_number("max_connections", 1, max_connection_limit, default_connection_limit);
    settings.max_request_bytes =
        callers.optional_number("max_request_bytes", min_body_bytes, max_body_bytes, default_body_bytes);
    callers.report_unknown_fields();
}

/// Reads a secret from the file that a field names. Reports a problem when the secret is shorter than
/// `min_secret_length` characters.
std::string read_secret(yaml_section& section, std::string const& field)
{
    auto const file = section.required_string(field);
    if (file.empty()) {
        return {};
    }
    auto const contents = try_read_file(file);
    if (!contents.ok()) {
        section.report(field, std::string(contents.status().message()));
        return {};
    }
    auto secret = std::string(absl::StripAsciiWhitespace(*contents));
    if (secret.size() < min_secret_length) {
        section.report(field, fmt::format("expected at least {} characters in the file", min_secret_length));
    }
    return secret;
}

void read_operators(yaml_section& root, daemon_settings& settings)
{
    auto operators = root.section("operators");
    settings.operators = read_listener(operators);
    settings.operator_token = read_secret(operators, "token_file");
    operators.report_unknown_fields();
}

void read_peers(yaml_section& root, daemon_settings& settings)
{
    auto peers = root.section("peers");
    settings.peers = read_endpoint(peers, "listen");
    settings.fleet_secret = read_secret(peers, "fleet_secret_file");
    peers.report_unknown_fields();
}

void read_platform(yaml_section& root, daemon_settings& settings)
{
    auto platform = root.section("platform");
    settings.platform_url = platform.required_string("url");
    settings.platform_timeout = platform.optional_duration("timeout", std::chrono::milliseconds(50),
                                                           std::chrono::seconds(30), std::chrono::seconds(1));
    platform.report_unknown_fields();
    if (settings.platform_url.empty()) {
        return;
    }
    try {
        Poco::URI const url(settings.platform_url);
        if (url.getScheme() != "http" && url.getScheme() != "https") {
            platform.report("url", "expected a URL that starts with http:// or https://");
        }
    }
    catch (Poco::Exception const&) {
        platform.report("url", "expected a URL such as http://127.0.0.1:7000");
    }
}

void read_databases(yaml_section& root, daemon_settings& settings)
{
    auto databases = root.section("databases");
    settings.database_user = databases.required_string("user");
    settings.database_password_file = databases.optional_string("password_file", "");
    settings.database_tls_mode = databases.optional_string("tls_mode", "verify-full");
    auto const is_known = std::find(libpq_tls_modes.begin(), libpq_tls_modes.end(),
                                    settings.database_tls_mode) != libpq_tls_modes.end();
    if (!is_known) {
        databases.report("tls_mode", "expected one of disable, prefer, require, verify-ca, verify-full");
    }
    databases.report_unknown_fields();
}

} // namespace

std::string endpoint::to_string() const
{
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port)
                                               : fmt::format("[{}]:{}", host, port);
}

std::optional<endpoint> parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint32_t port = 0;
    Poco::Net::IPAddress address;
    auto const is_port = absl::SimpleAtoi(text.substr(colon + 1), &port) && port <= UINT16_MAX;
    if (!is_port || !Poco::Net::IPAddress::tryParse(host, address)) {
        return std::nullopt;
    }
    return endpoint{host, static_cast<std::uint16_t>(port)};
}

bool is_loopback(endpoint const& address)
{
    Poco::Net::IPAddress parsed;
    return Poco::Net::IPAddress::tryParse(address.host, parsed) && parsed.isLoopback();
}

absl::StatusOr<daemon_settings> try_parse_daemon_settings(std::string const& text, std::string const& file)
{
    settings_problems problems(file);
    auto const node = parse_yaml(text, problems);
    TRY(problems.to_status());
    daemon_settings settings;
    yaml_section root(node, "", problems);
    read_vm(root, settings);
    read_callers(root, settings);
    read_operators(root, settings);
    read_peers(root, settings);
    read_platform(root, settings);
    read_databases(root, settings);
    settings.drain_timeout = root.optional_duration("drain_timeout", std::chrono::seconds(1),
                                                    std::chrono::minutes(10), std::chrono::seconds(30));
    root.report_unknown_fields();
    TRY(problems.to_status());
    return settings;
}

absl::StatusOr<daemon_settings> try_load_daemon_settings(std::string const& path)
{
    return try_parse_daemon_settings(TRY(try_read_file(path)), path);
}

absl::StatusOr<std::string> try_read_file(std::string const& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return absl::NotFoundError(fmt::format("cannot read file '{}'", path));
    }
    std::ostringstream contents;
    contents << stream.rdbuf();
    return contents.str();
}

} // namespace greengagehitch
