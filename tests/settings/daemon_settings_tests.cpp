#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <absl/strings/str_replace.h>

#include "settings/daemon_settings.h"

namespace {

/// Provides the text of settings, and creates the secret file that they refer to.
struct settings_fixture {
    settings_fixture() { std::ofstream(secret_file) << "a secret of some length\n"; }
    ~settings_fixture() { std::remove(secret_file.c_str()); }
    settings_fixture(settings_fixture const&) = delete;
    settings_fixture& operator=(settings_fixture const&) = delete;
    settings_fixture(settings_fixture&&) = delete;
    settings_fixture& operator=(settings_fixture&&) = delete;

    /// Returns the text of valid settings with `from` replaced by `to`.
    std::string text(std::string const& from = "", std::string const& to = "") const
    {
        std::string const valid = "vm:\n  name: vm-1\n  availability_zone: gasabo\n"
                                  "callers:\n  listen: 127.0.0.1:8080\n"
                                  "operators:\n  listen: 127.0.0.1:8081\n  token_file: " +
                                  secret_file +
                                  "\n"
                                  "peers:\n  listen: 127.0.0.1:9000\n  fleet_secret_file: " +
                                  secret_file +
                                  "\n"
                                  "platform:\n  url: http://127.0.0.1:7000\n"
                                  "databases:\n  user: proxy\n  tls_mode: disable\n";
        return from.empty() ? valid : absl::StrReplaceAll(valid, {{from, to}});
    }

    std::string parse_error(std::string const& from, std::string const& to) const
    {
        auto const settings = greengagehitch::try_parse_daemon_settings(text(from, to), "daemon.yaml");
        return settings.ok() ? "" : std::string(settings.status().message());
    }

    std::string secret_file = "daemon_settings_" + std::to_string(getpid()) + ".secret";
};

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(daemon_settings, valid_settings_are_read)
{
    settings_fixture const fixture;
    auto const settings = greengagehitch::try_parse_daemon_settings(fixture.text(), "daemon.yaml");
    cr_assert(settings.ok(), "%s", std::string(settings.status().message()).c_str());
    cr_assert(settings->vm_name == std::string("vm-1"));
    cr_assert(settings->callers.listen.port == 8080);
    cr_assert(settings->fleet_secret == std::string("a secret of some length"));
}

Test(daemon_settings, unknown_field_names_file_line_and_what_was_expected)
{
    settings_fixture const fixture;
    auto const parse_error = fixture.parse_error("  name: vm-1", "  nmae: vm-1");
    cr_assert(contains(parse_error,
                       "daemon.yaml:2: vm.nmae: unknown field; expected one of: availability_zone, name"));
    cr_assert(contains(parse_error, "vm.name: missing; expected a string"));
}

Test(daemon_settings, invalid_values_are_reported_with_their_field)
{
    settings_fixture const fixture;
    cr_assert(contains(fixture.parse_error("127.0.0.1:8080", "localhost"),
                       "daemon.yaml:5: callers.listen: expected an IP"));
    cr_assert(contains(fixture.parse_error("url: http://127.0.0.1:7000", "url: ftp://x"),
                       "platform.url: expected a URL"));
    cr_assert(contains(fixture.parse_error("tls_mode: disable", "tls_mode: maybe"),
                       "databases.tls_mode: expected one of"));
    cr_assert(contains(fixture.parse_error("platform:\n", "platform:\n  timeout: 5\n"),
                       "platform.timeout: expected a duration"));
    cr_assert(
        contains(fixture.parse_error("gasabo", "Gasabo Zone"), "expected at most 64 lower-case letters"));
}

Test(daemon_settings, yaml_syntax_error_names_the_file)
{
    settings_fixture const fixture;
    cr_assert(contains(fixture.parse_error("vm:\n", "vm: [\n"), "daemon.yaml:"));
}

Test(daemon_settings, listener_outside_loopback_without_tls_is_rejected)
{
    settings_fixture const fixture;
    cr_assert(
        contains(fixture.parse_error("127.0.0.1:8080", "10.0.0.1:8080"), "callers.listen: expected tls"));
}

Test(daemon_settings, missing_secret_file_is_reported)
{
    settings_fixture const fixture;
    cr_assert(contains(fixture.parse_error("fleet_secret_file: " + fixture.secret_file,
                                           "fleet_secret_file: /nowhere/secret"),
                       "cannot read file '/nowhere/secret'"));
}
