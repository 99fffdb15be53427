#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <json/value.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/signalfd.h>
#include <tclap/CmdLine.h>

#include "base/json.h"
#include "callers/http_listener.h"
#include "database_group/database_group.h"
#include "postgres_session.h"
#include "settings/daemon_settings.h"

namespace {

using namespace std::chrono_literals;
using greengagehitch::duration;
using greengagehitch::file_descriptor;
using greengagehitch::http_listener;
using greengagehitch::http_listener_options;
using greengagehitch::http_request;
using greengagehitch::reactor;
using greengagehitch::standin::database_group;
using greengagehitch::standin::group_hooks;
using greengagehitch::standin::group_member;
using greengagehitch::standin::member_session;
using greengagehitch::standin::postgres_session;

constexpr duration ship_period = 20ms;

/// Accepts PostgreSQL connections to one member.
class member_listener {
public:
    member_listener(reactor& reactor, group_member& member, std::string const& host,
                    duration connection_delay)
        : m_reactor(reactor), m_member(member), m_connection_delay(connection_delay),
          m_socket(Poco::Net::SocketAddress(host, 0))
    {
        m_socket.setBlocking(false);
        m_reactor.watch(m_socket.impl()->sockfd(), EPOLLIN, [this](std::uint32_t /*events*/) { accept(); });
        m_member.set_on_session_ended([this](member_session& session) { end_session(session); });
    }

    std::uint16_t port() const { return m_socket.address().port(); }

private:
    void accept()
    {
        file_descriptor client_socket(
            ::accept4(m_socket.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!client_socket.is_valid() || m_member.switches().is_killed) {
            return;
        }
        // With Nagle's algorithm, the answer to a connection reset would wait until the client acknowledges
        // the previous answer.
        int const enabled = 1;
        ::setsockopt(client_socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto const session = std::make_shared<postgres_session>(
            m_reactor, std::move(client_socket), m_member, m_connection_delay,
            [this](postgres_session* ended) { m_sessions.erase(ended); });
        m_sessions.emplace(session.get(), session);
        session->start();
    }

    void end_session(member_session const& ended)
    {
        for (auto const& [key, session] : m_sessions) {
            if (session->uses_session(ended)) {
                auto const retained_session = session;
                m_reactor.start_timer(duration::zero(), [retained_session] { retained_session->end(); });
                return;
            }
        }
    }

    reactor& m_reactor;
    group_member& m_member;
    duration m_connection_delay;
    Poco::Net::ServerSocket m_socket;
    std::map<postgres_session*, std::shared_ptr<postgres_session>> m_sessions;
};

/// Database group with a PostgreSQL listener for each member and an HTTP listener for their fault settings.
class database_process {
public:
    struct options {
        std::string host;
        std::size_t members = 0;
        std::size_t slots = 0;
        std::size_t connections = 0;
        duration connection_delay{};
        duration lag{};
        std::string schema;
    };

    database_process(reactor& reactor, options const& options)
        : m_reactor(reactor), m_group("standin", member_names(options.members),
                                      group_hooks{[&reactor] { return reactor.now(); },
                                                  [&reactor](duration delay, std::function<void()> callback) {
                                                      return reactor.start_timer(delay, std::move(callback));
                                                  }}),
          m_switch_listener(reactor, http_listener_options{{{options.host, 0}, std::nullopt}, 64, 4096, 60s},
                            [this](http_request const& request) { handle_switch_request(request); })
    {
        if (!options.schema.empty()) {
            m_group.seed({options.schema});
        }
        for (std::size_t i = 0; i < m_group.size(); ++i) {
            auto& member = m_group.member(i);
            member.switches().slots = options.slots;
            member.switches().max_connections = options.connections;
            member.switches().lag = options.lag;
            m_listeners.push_back(
                std::make_unique<member_listener>(reactor, member, options.host, options.connection_delay));
        }
        ship_log_periodically();
    }

    absl::Status try_start() { return m_switch_listener.try_start(); }

    std::string describe_ports() const
    {
        Json::Value root(Json::objectValue);
        root["switches_port"] = m_switch_listener.port();
        for (auto const& listener : m_listeners) {
            root["ports"].append(listener->port());
        }
        return greengagehitch::to_json_line(root);
    }

private:
    static std::vector<std::string> member_names(std::size_t count)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back(fmt::format("member-{}", i + 1));
        }
        return names;
    }

    void ship_log_periodically()
    {
        m_group.ship_log();
        m_reactor.start_timer(ship_period, [this] { ship_log_periodically(); });
    }

    void handle_switch_request(http_request const& request)
    {
        auto const root = greengagehitch::try_parse_json(request.body);
        auto const is_valid = root.ok() && root->isObject() && (*root)["member"].isUInt() &&
                              (*root)["member"].asUInt() < m_group.size();
        if (!is_valid) {
            m_switch_listener.send_answer(request.id, 400, "text/plain",
                                          "expected a JSON object with the index of a member\n");
            return;
        }
        auto const index = (*root)["member"].asUInt();
        auto& member = m_group.member(index);
        if (root->isMember("lag_ms")) {
            member.switches().lag = std::chrono::milliseconds((*root)["lag_ms"].asInt64());
        }
        if (root->isMember("service_us")) {
            member.switches().service_time = std::chrono::microseconds((*root)["service_us"].asInt64());
        }
        if (root->isMember("cut_off")) {
            m_group.set_cut_off(index, (*root)["cut_off"].asBool());
        }
        if (root->isMember("killed")) {
            (*root)["killed"].asBool() ? member.kill() : member.restart();
        }
        if (root->isMember("paused")) {
            (*root)["paused"].asBool() ? member.pause() : member.resume();
        }
        Json::Value status(Json::objectValue);
        status["term"] = Json::UInt64(member.term());
        status["is_primary"] = member.is_primary();
        status["log_size"] = Json::UInt64(member.log().size());
        m_switch_listener.send_answer(request.id, 200, "application/json",
                                      greengagehitch::to_json_line(status));
    }

    reactor& m_reactor;
    database_group m_group;
    http_listener m_switch_listener;
    std::vector<std::unique_ptr<member_listener>> m_listeners;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command_line("Stand-in for one database group of the platform", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> host("", "host", "IP number to listen on", false, "127.0.0.1", "IP",
                                          command_line);
        TCLAP::ValueArg<std::size_t> members("", "members", "members of the group", false, 3, "count",
                                             command_line);
        TCLAP::ValueArg<std::size_t> slots("", "slots", "batches that a member runs at once", false, 5,
                                           "count", command_line);
        TCLAP::ValueArg<std::size_t> connections("", "connections", "connections to each member", false, 35,
                                                 "count", command_line);
        TCLAP::ValueArg<int> connection_delay("", "connection-delay-ms", "time that a new connection takes",
                                              false, 10, "ms", command_line);
        TCLAP::ValueArg<int> lag("", "lag-ms", "time from receiving a log entry to applying it", false, 5,
                                 "ms", command_line);
        TCLAP::ValueArg<std::string> schema("", "schema", "statement that creates the table", false, "",
                                            "SQL", command_line);
        command_line.parse(argc, argv);
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        reactor loop;
        file_descriptor const signal_descriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
        loop.watch(signal_descriptor.get(), EPOLLIN, [&loop](std::uint32_t /*events*/) { loop.stop(); });
        database_process process(loop, {host.getValue(), members.getValue(), slots.getValue(),
                                        connections.getValue(),
                                        std::chrono::milliseconds(connection_delay.getValue()),
                                        std::chrono::milliseconds(lag.getValue()), schema.getValue()});
        if (auto const status = process.try_start(); !status.ok()) {
            fmt::print(stderr, "{}\n", std::string(status.message()));
            return EXIT_FAILURE;
        }
        fmt::print("{}\n", process.describe_ports());
        std::fflush(stdout);
        loop.run();
        return EXIT_SUCCESS;
    }
    catch (std::exception const& exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return EXIT_FAILURE;
    }
}
