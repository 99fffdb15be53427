#pragma once

#include <memory>
#include <optional>
#include <random>

#include <absl/status/status.h>

#include "adapters/datagram_socket.h"
#include "adapters/json_line_log.h"
#include "adapters/libpq_connector.h"
#include "adapters/platform_client.h"
#include "callers/caller_endpoint.h"
#include "callers/operator_endpoint.h"
#include "entry_vm/entry_vm.h"
#include "reactor/reactor.h"
#include "reactor/signal_watcher.h"
#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Connects sockets, libpq, HTTP and signals to the hooks of one entry VM, which makes all decisions.
class daemon {
public:
    daemon(daemon_settings settings, json_line_log log);
    ~daemon();
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// Opens the listeners and starts the VM.
    absl::Status try_start();

    /// Serves requests until a drain has finished. SIGTERM, SIGINT or an operator starts the drain.
    void run();

private:
    entry_vm_hooks make_hooks(std::string const& database_password);
    absl::Status try_start_listeners();
    void start_drain();
    void dump_state();
    void stop_when_answers_are_sent();

    daemon_settings m_settings;
    json_line_log m_log;
    reactor m_reactor;
    std::mt19937_64 m_random;
    std::optional<signal_watcher> m_signal_watch;
    datagram_socket m_peer_socket;
    std::optional<platform_client> m_platform_client;
    std::optional<libpq_connector> m_database_connector;
    std::unique_ptr<entry_vm> m_vm;
    std::unique_ptr<caller_endpoint> m_caller_endpoint;
    std::unique_ptr<operator_endpoint> m_operator_endpoint;
    bool m_is_draining = false;
};

} // namespace greengagehitch
