#include <cstdlib>
#include <functional>
#include <map>
#include <random>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "base/digest.h"
#include "base/json.h"
#include "configuration/configuration.h"
#include "keys/key_service.h"
#include "operator_client.h"
#include "settings/daemon_settings.h"
#include "table_printer.h"

namespace greengagehitch {

namespace {

/// Exit codes, described in docs/OPERATIONS.md.
enum exit_code {
    success = 0,
    failure = 1,
    usage_error = 2,
    invalid_document = 3,
    conflict = 4,
    unavailable = 5
};

constexpr int conflict_code = -32004;
constexpr int invalid_parameters_code = -32602;
constexpr std::size_t salt_size = 16;
constexpr std::size_t secret_size = 24;
constexpr std::size_t key_id_size = 6;

struct options {
    std::string url;
    std::string token;
    std::string author;
    bool is_json = false;
    std::string base_version;
    std::string summary;
    std::vector<std::string> arguments;
};

/// Error in the command or its arguments.
class usage_exception : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string random_bytes(std::size_t size)
{
    std::random_device device;
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) {
        bytes += static_cast<char>(device() & UINT8_MAX);
    }
    return bytes;
}

std::string required_argument(options const& command_options, std::size_t index, std::string const& expected)
{
    if (index >= command_options.arguments.size()) {
        throw usage_exception("expected " + expected);
    }
    return command_options.arguments[index];
}

Json::Value make_author_parameters(options const& command_options)
{
    Json::Value parameters(Json::objectValue);
    parameters["author"] = command_options.author;
    return parameters;
}

void print_json(Json::Value const& value)
{
    fmt::print("{}\n", to_json_line(value));
}

int show_status(operator_client& client, options const& command_options)
{
    auto const status = client.call("status", Json::Value(Json::objectValue));
    if (command_options.is_json) {
        print_json(status);
        return success;
    }
    fmt::print("VM {} in {}, configuration {}, {} requests in flight{}\n\n", status["vm"].asString(),
               status["availability_zone"].asString(), status["configuration_version"].asUInt64(),
               status["requests_in_flight"].asUInt64(), status["is_draining"].asBool() ? ", draining" : "");
    fmt::print("{}\n", format_table({{"DATABASE", "database"}, {"TERM", "term"}, {"PRIMARY", "primary"}},
                                    status["databases"]));
    fmt::print("{}\n", format_table({{"PEER", "vm"},
                                     {"ZONE", "availability_zone"},
                                     {"ADDRESS", "address"},
                                     {"REACHABLE", "is_reachable"},
                                     {"LEAVING", "is_leaving"}},
                                    status["peers"]));
    Json::Value classes(Json::arrayValue);
    for (auto const& name : status["classes"].getMemberNames()) {
        auto line = status["classes"][name];
        line["class"] = name;
        classes.append(std::move(line));
    }
    fmt::print("{}", format_table({{"CLASS", "class"},
                                   {"REQUESTS", "requests"},
                                   {"MEAN MS", "mean_ms"},
                                   {"P99 MS", "p99_ms"},
                                   {"LATE", "late"},
                                   {"REPLICA READS", "replica_reads"},
                                   {"PRIMARY READS", "primary_reads"}},
                                  classes));
    return success;
}

int show_dump(operator_client& client, options const& /*chosen*/)
{
    fmt::print("{}\n", client.call("dump", Json::Value(Json::objectValue)).toStyledString());
    return success;
}

int start_drain(operator_client& client, options const& /*chosen*/)
{
    client.call("drain", Json::Value(Json::objectValue));
    fmt::print("draining\n");
    return success;
}

int check_configuration(options const& command_options)
{
    auto const path = required_argument(command_options, 2, "a file; usage: config check FILE");
    auto const text = try_read_file(path);
    if (!text.ok()) {
        fmt::print(stderr, "{}\n", std::string(text.status().message()));
        return invalid_document;
    }
    auto const parsed = try_parse_configuration(*text, path);
    if (!parsed.ok()) {
        fmt::print(stderr, "{}\n", std::string(parsed.status().message()));
        return invalid_document;
    }
    fmt::print("{}: {} classes, {} client accounts, {} databases\n", path, parsed->classes.size(),
               parsed->client_accounts.size(), parsed->databases.size());
    return success;
}

int apply_configuration(operator_client& client, options const& command_options)
{
    auto const path = required_argument(command_options, 2, "a file; usage: config apply FILE");
    if (auto const code = check_configuration(command_options); code != success) {
        return code;
    }
    auto parameters = make_author_parameters(command_options);
    parameters["document"] = *try_read_file(path);
    parameters["summary"] = command_options.summary.empty() ? "applied " + path : command_options.summary;
    parameters["base_version"] =
        command_options.base_version.empty()
            ? client.call("config.show", Json::Value(Json::objectValue))["version"]
            : Json::Value(Json::UInt64(std::strtoull(command_options.base_version.c_str(), nullptr, 10)));
    auto const accepted = client.call("config.apply", parameters);
    command_options.is_json
        ? print_json(accepted)
        : fmt::print("configuration version {} accepted\n", accepted["version"].asUInt64());
    return success;
}

int show_configuration(operator_client& client, options const& command_options)
{
    Json::Value parameters(Json::objectValue);
    if (command_options.arguments.size() > 2) {
        parameters["digest"] = command_options.arguments[2];
    }
    auto const configuration = client.call("config.show", parameters);
    if (command_options.is_json) {
        print_json(configuration);
        return success;
    }
    fmt::print("# version {} by {}: {}\n{}", configuration["version"].asUInt64(),
               configuration["author"].asString(), configuration["summary"].asString(),
               configuration["document"].asString());
    return success;
}

int show_history(operator_client& client, options const& command_options)
{
    auto const history = client.call("config.history", Json::Value(Json::objectValue));
    if (command_options.is_json) {
        print_json(history);
        return success;
    }
    fmt::print("{}", format_table({{"VERSION", "version"},
                                   {"IN FORCE", "in_force"},
                                   {"AUTHOR", "author"},
                                   {"SUMMARY", "summary"},
                                   {"DIGEST", "digest"}},
                                  history));
    return success;
}

int give_key(operator_client& client, options const& command_options)
{
    auto parameters = make_author_parameters(command_options);
    caller_key const key{to_hex(random_bytes(key_id_size)), to_hex(random_bytes(secret_size))};
    auto const salt = to_hex(random_bytes(salt_size));
    parameters["client_account"] =
        required_argument(command_options, 2, "a client account; usage: key give ACCOUNT");
    parameters["id"] = key.id;
    parameters["salt"] = salt;
    parameters["digest"] = compute_key_digest(salt, key.secret);
    auto accepted = client.call("key.give", parameters);
    accepted["id"] = key.id;
    accepted["key"] = key.to_string();
    if (command_options.is_json) {
        print_json(accepted);
        return success;
    }
    fmt::print("key {} is active from configuration version {}; it is shown only once:\n{}\n", key.id,
               accepted["version"].asUInt64(), key.to_string());
    return success;
}

int withdraw_key(operator_client& client, options const& command_options)
{
    auto parameters = make_author_parameters(command_options);
    parameters["id"] = required_argument(command_options, 2, "a key id; usage: key withdraw ID");
    auto const accepted = client.call("key.withdraw", parameters);
    command_options.is_json
        ? print_json(accepted)
        : fmt::print("key withdrawn in configuration version {}\n", accepted["version"].asUInt64());
    return success;
}

int list_keys(operator_client& client, options const& command_options)
{
    auto const keys = client.call("key.list", Json::Value(Json::objectValue));
    command_options.is_json
        ? print_json(keys)
        : fmt::print("{}", format_table({{"KEY", "id"}, {"CLIENT ACCOUNT", "client_account"}}, keys));
    return success;
}

using command = std::function<int(operator_client&, options const&)>;

/// Commands that call the daemon, keyed by their names.
std::map<std::string, command> const& commands()
{
    static std::map<std::string, command> const table{
        {"status", show_status},
        {"dump", show_dump},
        {"drain", start_drain},
        {"config apply", apply_configuration},
        {"config show", show_configuration},
        {"config history", show_history},
        {"key give", give_key},
        {"key withdraw", withdraw_key},
        {"key list", list_keys},
    };
    return table;
}

int run(options const& command_options)
{
    auto name = required_argument(command_options, 0, "a command");
    if (name == "config" || name == "key") {
        name += " " + required_argument(command_options, 1, "a subcommand of " + name);
    }
    if (name == "config check") {
        return check_configuration(command_options);
    }
    auto const found = commands().find(name);
    if (found == commands().end()) {
        throw usage_exception("unknown command '" + name + "'");
    }
    if (command_options.url.empty()) {
        throw usage_exception("URL of the daemon is missing; set --daemon or GREENGAGEHITCH_DAEMON");
    }
    operator_client client(command_options.url, command_options.token);
    return found->second(client, command_options);
}

int run_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command_line(
        "Command-line client for operators of greengagehitch. Commands: status, dump, drain, config check "
        "FILE, config apply FILE, config show [DIGEST], config history, key give ACCOUNT, key withdraw ID, "
        "key list",
        ' ', GREENGAGEHITCH_VERSION);
    command_line.setExceptionHandling(false);
    auto const from_environment = [](char const* name) {
        auto const* const value = std::getenv(name);
        return std::string(value == nullptr ? "" : value);
    };
    TCLAP::ValueArg<std::string> url(
        "d", "daemon", "URL of a daemon's operator endpoint; default: value of GREENGAGEHITCH_DAEMON", false,
        from_environment("GREENGAGEHITCH_DAEMON"), "url", command_line);
    TCLAP::ValueArg<std::string> token_file(
        "t", "token-file", "file with the operator token; default: value of GREENGAGEHITCH_TOKEN_FILE", false,
        from_environment("GREENGAGEHITCH_TOKEN_FILE"), "file", command_line);
    TCLAP::ValueArg<std::string> author("a", "author",
                                        "author name for the configuration history; default: value of USER",
                                        false, from_environment("USER"), "name", command_line);
    TCLAP::ValueArg<std::string> base("b", "base",
                                      "version that the document is based on; default: the active version",
                                      false, "", "version", command_line);
    TCLAP::ValueArg<std::string> summary("m", "summary",
                                         "summary of the change for the configuration history", false, "",
                                         "text", command_line);
    TCLAP::SwitchArg json("j", "json", "print JSON", command_line);
    TCLAP::UnlabeledMultiArg<std::string> arguments("command", "command and its arguments", true, "command",
                                                    command_line);
    command_line.parse(argc, argv);
    options command_options{
        url.getValue(),      "", author.getValue(), json.getValue(), base.getValue(), summary.getValue(),
        arguments.getValue()};
    if (!token_file.getValue().empty()) {
        auto const token = try_read_file(token_file.getValue());
        if (!token.ok()) {
            throw usage_exception(std::string(token.status().message()));
        }
        command_options.token = token->substr(0, token->find_last_not_of(" \n\r\t") + 1);
    }
    return run(command_options);
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    try {
        return greengagehitch::run_command_line(argc, argv);
    }
    catch (TCLAP::ExitException const& exit) {
        return exit.getExitStatus();
    }
    catch (TCLAP::ArgException const& exception) {
        fmt::print(stderr, "{}: {}\n", exception.argId(), exception.error());
        return greengagehitch::usage_error;
    }
    catch (greengagehitch::usage_exception const& problem) {
        fmt::print(stderr, "{}; see --help\n", problem.what());
        return greengagehitch::usage_error;
    }
    catch (greengagehitch::operator_error const& error) {
        fmt::print(stderr, "{}\n", error.what());
        switch (error.code()) {
        case greengagehitch::conflict_code:
            return greengagehitch::conflict;
        case greengagehitch::invalid_parameters_code:
            return greengagehitch::invalid_document;
        default:
            return greengagehitch::unavailable;
        }
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return greengagehitch::failure;
    }
}
