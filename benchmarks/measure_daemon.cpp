#include <memory>
#include <vector>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "adapters/libpq_connector.h"
#include "base/json.h"
#include "load_caller.h"
#include "measure_report.h"

namespace greengagehitch {

namespace {

using namespace std::chrono_literals;

constexpr duration warm_up_time = 1s;
constexpr duration load_time = 5s;
constexpr duration latency_time = 3s;
constexpr duration idle_time = 1s;
constexpr std::size_t load_callers = 64;
constexpr std::size_t idle_callers = 4'000;

struct daemon_options {
    endpoint callers;                ///< The daemon's listener for callers.
    std::uint16_t database_port = 0; ///< Port of a replica, for measurements without the daemon.
    std::string key;                 ///< Key that authenticates the callers.
    std::string daemon_pid;          ///< Process id, used to read the daemon's memory use from /proc.
};

std::string make_read_request()
{
    return R"({"jsonrpc":"2.0","id":1,"method":"execute","params":{"class":"stock","statement":)"
           R"({"sql":"select id, pond, flags from bookings where id = $1","parameters":[7]}}})";
}

/// Response times and errors of several callers, each of which sends one request after the other.
struct load_result {
    std::vector<double> delays_ms;
    std::size_t errors = 0;
    std::string last_error; ///< Body of the last response with an error; empty without errors.
};

load_result run_load(reactor& loop, daemon_options const& options, std::size_t callers, duration length)
{
    load_result result;
    std::vector<std::unique_ptr<load_caller>> connections;
    auto const end = loop.now() + length;
    for (std::size_t i = 0; i < callers; ++i) {
        connections.push_back(std::make_unique<load_caller>(
            loop, options.callers, options.key,
            [&loop, &result, &connections, i, end](duration delay, std::string const& body) {
                if (body.find("\"error\"") != std::string::npos) {
                    ++result.errors;
                    result.last_error = body;
                }
                result.delays_ms.push_back(to_milliseconds(delay));
                if (loop.now() < end) {
                    connections[i]->send(make_read_request());
                }
            }));
        connections.back()->send(make_read_request());
    }
    while (loop.now() < end) {
        loop.run_once(10ms);
    }
    return result;
}

/// Measures response times of the statement of make_read_request() over a direct connection to the database.
/// It runs in the same kind of transaction that the daemon uses.
std::vector<double> run_direct(reactor& loop, daemon_options const& options, duration length)
{
    libpq_connector connector(loop, {"greengagehitch", "", "disable", "measure"});
    auto const hooks = connector.hooks();
    std::vector<double> delays;
    bool is_open = false;
    auto const deadline = loop.now() + length;
    auto const connection = hooks.open({"127.0.0.1", options.database_port, "ledger"},
                                       [&is_open](auto const& failure) { is_open = !failure; });
    while (!is_open) {
        loop.run_once(10ms);
        if (loop.now() > deadline) {
            throw std::runtime_error("timed out connecting to the database stand-in");
        }
    }
    auto const end = loop.now() + length;
    std::function<void()> send_statement = [&] {
        batch statement_batch;
        statement_batch.statements.push_back({"select id, pond, flags from bookings where id = $1", {"7"}});
        auto const sent_at = loop.now();
        hooks.execute(connection, std::move(statement_batch), [&, sent_at](batch_answer const& answer) {
            if (!answer.is_ok()) {
                return;
            }
            delays.push_back(to_milliseconds(loop.now() - sent_at));
            if (loop.now() < end) {
                send_statement();
            }
        });
    };
    send_statement();
    while (loop.now() < end) {
        loop.run_once(10ms);
    }
    return delays;
}

double resident_mb(std::string const& pid)
{
    auto const status = try_read_file("/proc/" + pid + "/status");
    auto const rss_offset = status.ok() ? status->find("VmRSS:") : std::string::npos;
    if (rss_offset == std::string::npos) {
        return 0;
    }
    constexpr double kilobytes_in_megabyte = 1024;
    return std::strtod(status->c_str() + rss_offset + 6, nullptr) / kilobytes_in_megabyte;
}

int measure(daemon_options const& options)
{
    reactor loop;
    measure_report report("daemon");
    run_load(loop, options, load_callers, warm_up_time);
    auto const load = run_load(loop, options, load_callers, load_time);
    auto const through_daemon = run_load(loop, options, 1, latency_time);
    auto const direct = run_direct(loop, options, latency_time);
    std::vector<std::unique_ptr<load_caller>> idle_connections;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < idle_callers; ++i) {
        idle_connections.push_back(std::make_unique<load_caller>(
            loop, options.callers, options.key, [&answered](duration /*delay*/, std::string const& body) {
                answered += body.find("\"result\"") != std::string::npos ? 1 : 0;
            }));
        idle_connections.back()->send(make_read_request());
        loop.run_once(1ms);
    }
    auto const end = loop.now() + idle_time;
    while (loop.now() < end) {
        loop.run_once(10ms);
    }
    auto const seconds = std::chrono::duration<double>(load_time).count();
    auto const requests_per_second = static_cast<double>(load.delays_ms.size() - load.errors) / seconds;
    auto const through_median = quantile(through_daemon.delays_ms, 0.5);
    auto const direct_median = quantile(direct, 0.5);
    auto const resident = resident_mb(options.daemon_pid);
    report.add_figure("load_callers", Json::UInt64(load_callers));
    report.add_figure("load_median_ms", quantile(load.delays_ms, 0.5));
    report.add_figure("load_p99_ms", quantile(load.delays_ms, 0.99));
    report.add_figure("errors", Json::UInt64(load.errors + through_daemon.errors));
    report.add_figure("first_error", load.last_error + through_daemon.last_error);
    report.add_figure("median_through_daemon_ms", through_median);
    report.add_figure("median_direct_ms", direct_median);
    report.add_figure("median_ratio", through_median / direct_median);
    report.add_minimum("requests_per_second", 5'000, requests_per_second);
    report.add_maximum("added_median_ms", 0.5, through_median - direct_median);
    report.add_minimum("idle_callers", 4'000, static_cast<double>(answered));
    report.add_maximum("idle_resident_mb", 128, resident);
    report.add_exact("errors", 0, static_cast<double>(load.errors + through_daemon.errors));
    return report.print();
}

} // namespace

} // namespace greengagehitch

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command_line("Measures throughput, latency and memory of one daemon over loopback",
                                    ' ', "0.1.0");
        TCLAP::ValueArg<std::string> callers("", "callers",
                                             "address and port of the daemon's listener for callers", true,
                                             "", "address", command_line);
        TCLAP::ValueArg<std::uint16_t> database(
            "", "database-port", "port of a replica of the database stand-in", true, 0, "port", command_line);
        TCLAP::ValueArg<std::string> key("", "key", "key that the callers send", true, "", "key",
                                         command_line);
        TCLAP::ValueArg<std::string> pid("", "pid", "process id of the daemon", true, "", "pid",
                                         command_line);
        command_line.parse(argc, argv);
        auto const address = greengagehitch::parse_endpoint(callers.getValue());
        if (!address) {
            fmt::print(stderr, "--callers must be an IP address and a port, such as 127.0.0.1:8080\n");
            return 2;
        }
        return greengagehitch::measure({*address, database.getValue(), key.getValue(), pid.getValue()});
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return 1;
    }
}
