#include "daemon.h"

#include <utility>

#include <absl/strings/strip.h>
#include <fmt/format.h>

#include "base/json.h"
#include "base/try.h"

namespace greengagehitch {

namespace {

constexpr std::size_t max_operator_connections = 64;
constexpr duration caller_idle_timeout = std::chrono::minutes(10);
constexpr duration operator_idle_timeout = std::chrono::minutes(1);
constexpr duration final_answer_poll_interval = std::chrono::milliseconds(5);
/// Time for callers with open connections to read their last answers before the daemon exits.
constexpr duration final_answer_grace_period = std::chrono::milliseconds(200);
constexpr std::size_t max_operator_body_size = 16UL * 1024 * 1024;

} // namespace

daemon::daemon(daemon_settings settings, json_line_log log)
    : m_settings(std::move(settings)), m_log(std::move(log)), m_random(std::random_device{}()),
      m_peer_socket(
          m_reactor, [this](log_record const& record) { m_log.write(record); },
          [this](std::string const& datagram) { m_vm->handle_datagram(datagram); })
{
}

daemon::~daemon()
{
    // The VM is destroyed before the adapters that its hooks refer to.
    m_operator_endpoint.reset();
    m_caller_endpoint.reset();
    m_vm.reset();
}

absl::Status daemon::try_start()
{
    std::string password;
    if (!m_settings.database_password_file.empty()) {
        password =
            std::string(absl::StripAsciiWhitespace(TRY(try_read_file(m_settings.database_password_file))));
    }
    TRY(m_peer_socket.try_open(m_settings.peers));
    m_vm = std::make_unique<entry_vm>(entry_vm_settings{m_settings.vm_name, m_settings.availability_zone,
                                                        m_settings.peers, m_settings.fleet_secret},
                                      make_hooks(password));
    TRY(try_start_listeners());
    m_signal_watch.emplace(
        m_reactor, [this] { start_drain(); }, [this] { dump_state(); });
    m_vm->start();
    Json::Value fields(Json::objectValue);
    fields["callers"] =
        endpoint{m_settings.callers.listen.host, m_caller_endpoint->listener().port()}.to_string();
    fields["operators"] =
        endpoint{m_settings.operators.listen.host, m_operator_endpoint->listener().port()}.to_string();
    fields["peers"] = m_settings.peers.to_string();
    m_log.write({log_level::info, "daemon", "serving", std::move(fields)});
    return absl::OkStatus();
}

void daemon::run()
{
    m_reactor.run();
    m_log.write({log_level::info, "daemon", "stopped", {}});
}

entry_vm_hooks daemon::make_hooks(std::string const& database_password)
{
    m_platform_client.emplace(
        m_reactor, [this](log_record const& record) { m_log.write(record); }, m_settings.platform_url,
        m_settings.platform_timeout);
    m_database_connector.emplace(m_reactor, libpq_options{m_settings.database_user, database_password,
                                                          m_settings.database_tls_mode, "greengagehitch"});
    entry_vm_hooks hooks;
    hooks.kernel.now = [this] { return m_reactor.now(); };
    hooks.kernel.random = [this] { return m_random(); };
    hooks.kernel.start_timer = [this](duration delay, std::function<void()> callback) {
        return m_reactor.start_timer(delay, std::move(callback));
    };
    hooks.kernel.cancel_timer = [this](timer_id timer) { m_reactor.cancel_timer(timer); };
    hooks.kernel.log = [this](log_record const& record) { m_log.write(record); };
    hooks.send_datagram = [this](endpoint const& target, std::string const& datagram) {
        m_peer_socket.send(target, datagram);
    };
    hooks.database = m_database_connector->hooks();
    hooks.platform = m_platform_client->hooks();
    return hooks;
}

absl::Status daemon::try_start_listeners()
{
    m_caller_endpoint = std::make_unique<caller_endpoint>(
        m_reactor,
        http_listener_options{m_settings.callers, m_settings.max_caller_connections,
                              m_settings.max_request_bytes, caller_idle_timeout},
        [this](caller_request request, caller_reply reply) {
            m_vm->handle_request(std::move(request), std::move(reply));
        });
    TRY(m_caller_endpoint->listener().try_start());
    m_operator_endpoint = std::make_unique<operator_endpoint>(
        m_reactor,
        http_listener_options{m_settings.operators, max_operator_connections, max_operator_body_size,
                              operator_idle_timeout},
        m_settings.operator_token, *m_vm, [this] { start_drain(); });
    return m_operator_endpoint->listener().try_start();
}

void daemon::dump_state()
{
    Json::Value fields(Json::objectValue);
    fields["state"] = m_vm->dump();
    m_log.write({log_level::info, "daemon", "state dump", std::move(fields)});
}

void daemon::start_drain()
{
    if (std::exchange(m_is_draining, true)) {
        return;
    }
    m_log.write({log_level::info, "daemon", "draining", {}});
    m_caller_endpoint->listener().stop_accepting();
    m_vm->drain([this] { stop_when_answers_are_sent(); });
    m_reactor.start_timer(m_settings.drain_timeout, [this] {
        m_log.write({log_level::warning, "daemon", "drain timed out; requests in flight are aborted", {}});
        m_reactor.stop();
    });
}

void daemon::stop_when_answers_are_sent()
{
    if (m_caller_endpoint->listener().pending_calls() != 0) {
        m_reactor.start_timer(final_answer_poll_interval, [this] { stop_when_answers_are_sent(); });
        return;
    }
    m_reactor.start_timer(final_answer_grace_period, [this] {
        if (m_caller_endpoint->listener().pending_calls() != 0) {
            stop_when_answers_are_sent();
            return;
        }
        m_reactor.stop();
    });
}

} // namespace greengagehitch
