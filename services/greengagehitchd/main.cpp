#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "daemon.h"

namespace {

/// Exit codes, described in docs/OPERATIONS.md.
enum exit_code { success = 0, failure = 1, usage_error = 2, settings_error = 3, cannot_listen = 4 };

int run(std::string const& path, bool is_check_only, greengagehitch::log_level min_level)
{
    auto settings = greengagehitch::try_load_daemon_settings(path);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return settings_error;
    }
    if (is_check_only) {
        fmt::print("{}: settings are valid\n", path);
        return success;
    }
    // Signals are blocked before the first thread starts, so that they reach only the signal watcher.
    greengagehitch::signal_watcher::block();
    greengagehitch::json_line_log const log(settings->vm_name, min_level);
    greengagehitch::daemon daemon(*std::move(settings), log);
    if (auto const status = daemon.try_start(); !status.ok()) {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return cannot_listen;
    }
    daemon.run();
    return success;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command_line("Database proxy with session consistency: the daemon of one entry VM",
                                    ' ', GREENGAGEHITCH_VERSION);
        command_line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settings("s", "settings", "YAML file with the settings", true, "",
                                              "file", command_line);
        TCLAP::SwitchArg check("", "check-settings", "check the settings and exit", command_line);
        TCLAP::SwitchArg verbose("v", "verbose", "log at level debug", command_line);
        command_line.parse(argc, argv);
        auto const min_level =
            verbose.getValue() ? greengagehitch::log_level::debug : greengagehitch::log_level::info;
        return run(settings.getValue(), check.getValue(), min_level);
    }
    catch (TCLAP::ExitException const& exit) {
        return exit.getExitStatus();
    }
    catch (TCLAP::ArgException const& exception) {
        fmt::print(stderr, "{}: {}\n", exception.argId(), exception.error());
        return usage_error;
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return failure;
    }
}
