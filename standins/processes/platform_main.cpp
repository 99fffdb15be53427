#include <atomic>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>
#include <json/value.h>
#include <tclap/CmdLine.h>

#include "base/json.h"
#include "platform/platform_model.h"
#include "settings/daemon_settings.h"
#include "standin_http_server.h"

namespace {

using greengagehitch::standin::standin_http_request;
using greengagehitch::standin::standin_http_response;

constexpr int http_not_found = 404;
constexpr int http_precondition_failed = 412;
constexpr int http_unavailable = 503;

/// Serves the table service, object store and VM list of the platform over HTTP, and injects faults on
/// request.
class platform_process {
public:
    standin_http_response handle(standin_http_request const& request)
    {
        if (request.path == "/switches") {
            return set_switches(request);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_delay_ms.load()));
        if (m_is_down) {
            return {http_unavailable, "", ""};
        }
        auto answer = serve(request);
        auto const is_change = request.method == "PUT";
        if (is_change && m_lost_answers > 0) {
            --m_lost_answers;
            return {http_unavailable, "", ""};
        }
        return answer;
    }

private:
    standin_http_response set_switches(standin_http_request const& request)
    {
        auto const root = greengagehitch::try_parse_json(request.body);
        if (!root.ok()) {
            return {400, std::string(root.status().message()), ""};
        }
        m_is_down = root->get("down", m_is_down.load()).asBool();
        m_delay_ms = root->get("delay_ms", m_delay_ms.load()).asInt();
        m_lost_answers = root->get("lost_answers", m_lost_answers.load()).asInt();
        return {};
    }

    standin_http_response serve(standin_http_request const& request)
    {
        std::lock_guard const lock(m_mutex);
        absl::string_view path = request.path;
        if (absl::ConsumePrefix(&path, "/table/")) {
            return serve_row(request, std::string(path));
        }
        if (absl::ConsumePrefix(&path, "/scan/")) {
            return serve_scan(std::string(path));
        }
        if (absl::ConsumePrefix(&path, "/objects/")) {
            return serve_object(request, std::string(path));
        }
        if (path == "/vms") {
            return serve_vms(request);
        }
        return {http_not_found, "", ""};
    }

    standin_http_response serve_row(standin_http_request const& request, std::string const& key)
    {
        if (request.method == "PUT") {
            std::uint64_t expected = 0;
            if (!absl::SimpleAtoi(request.expected_version, &expected)) {
                return {400, "expected a number in the X-Expected-Version header", ""};
            }
            auto const version = m_model.put_row(key, expected, request.body);
            return version.ok() ? standin_http_response{200, "", fmt::to_string(*version)}
                                : standin_http_response{http_precondition_failed, "", ""};
        }
        auto const row = m_model.read_row(key);
        return row ? standin_http_response{200, row->value, fmt::to_string(row->version)}
                   : standin_http_response{http_not_found, "", ""};
    }

    standin_http_response serve_scan(std::string const& prefix)
    {
        Json::Value rows(Json::arrayValue);
        for (auto const& row : m_model.scan_rows(prefix)) {
            Json::Value entry(Json::objectValue);
            entry["key"] = row.key;
            entry["value"] = row.value;
            entry["version"] = Json::UInt64(row.version);
            rows.append(std::move(entry));
        }
        return {200, greengagehitch::to_json_line(rows), ""};
    }

    standin_http_response serve_object(standin_http_request const& request, std::string const& name)
    {
        if (request.method == "PUT") {
            m_model.put_object(name, request.body);
            return {};
        }
        auto const body = m_model.get_object(name);
        return body.ok() ? standin_http_response{200, *body, ""}
                         : standin_http_response{http_not_found, "", ""};
    }

    standin_http_response serve_vms(standin_http_request const& request)
    {
        if (request.method == "PUT") {
            auto const root = greengagehitch::try_parse_json(request.body);
            if (!root.ok() || !root->isArray()) {
                return {400, "expected a JSON array of VMs", ""};
            }
            m_vms = *root;
            return {};
        }
        return {200, greengagehitch::to_json_line(m_vms), ""};
    }

    std::mutex m_mutex;
    greengagehitch::standin::platform_model m_model;
    Json::Value m_vms{Json::arrayValue};
    std::atomic<bool> m_is_down = false;
    std::atomic<int> m_delay_ms = 0;
    std::atomic<int> m_lost_answers = 0;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command_line("Stand-in for the platform: table service, object store and VM list", ' ',
                                    "0.1.0");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP number and port", false, "127.0.0.1:0",
                                            "address", command_line);
        command_line.parse(argc, argv);
        auto const address = greengagehitch::parse_endpoint(listen.getValue());
        if (!address) {
            fmt::print(stderr, "--listen: expected an IP number and port\n");
            return EXIT_FAILURE;
        }
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        platform_process process;
        greengagehitch::standin::standin_http_server const server(
            address->host, address->port,
            [&process](standin_http_request const& request) { return process.handle(request); });
        fmt::print("{{\"port\":{}}}\n", server.port());
        std::fflush(stdout);
        int received = 0;
        sigwait(&signals, &received);
        return EXIT_SUCCESS;
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return EXIT_FAILURE;
    }
}
