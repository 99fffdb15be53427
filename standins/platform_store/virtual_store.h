#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

#include "adapters/http_client.h"
#include "virtual_clock.h"

namespace greengagehitch::standin {

/// The platform's store in virtual time, as VMs call it over HTTP: reads, conditional writes and a feed of
/// changes. It can be restored from an older copy.
class virtual_store {
public:
    /// Contents and version of the store at one moment.
    struct copy {
        struct row {
            std::string value;
            std::uint64_t version = 0;
        };
        struct change {
            std::pair<std::string, std::string> name;
            std::uint64_t version = 0;
            bool is_deleted = false;
            std::string value;
        };
        std::map<std::pair<std::string, std::string>, row> rows; ///< Keyed by table and key.
        std::vector<change> history;
        std::uint64_t version = 0;
    };

    /// `latency` is the time from a request to its answer.
    virtual_store(virtual_clock& clock, duration latency) : m_clock(clock), m_latency(latency) {}

    /// Returns the hook through which the VM `caller` calls the store.
    http_call_hook hook(std::string const& caller);

    /// Writes or deletes a row as the operator or a member does. Returns its version.
    std::uint64_t put(std::string const& table, std::string const& key, std::string const& value);
    std::uint64_t erase(std::string const& table, std::string const& key);
    /// Writes a row that no VM reads, so that the version rises by `count`.
    void raise_version(std::uint64_t count);

    copy const& contents() const { return m_contents; }
    std::uint64_t version() const { return m_contents.version; }

    /// Replaces the contents by an older copy and starts a new era.
    void restore(copy older);

    /// Sets the time from a request to its answer.
    void set_latency(duration latency) { m_latency = latency; }
    /// Forgets all changes so far; only a whole read shows them.
    void discard_history() { m_discarded_version = m_contents.version; }
    /// While the store keeps no history, no read of changes succeeds.
    void set_keeps_history(bool keeps_history) { m_keeps_history = keeps_history; }

    /// While the store is unavailable, calls are not answered.
    void set_available(bool is_available) { m_is_available = is_available; }
    /// While the store is unavailable and `rejects_calls` is true, calls are rejected at once.
    void set_rejects_calls(bool rejects_calls) { m_rejects_calls = rejects_calls; }
    /// Lets each answer reach the VM a second time after `delay`, or only once again if there is no delay.
    void set_repetition_delay(std::optional<duration> delay) { m_repetition_delay = delay; }
    /// Makes the store unreachable for one VM, or reachable again.
    void set_cut(std::string const& caller, bool is_cut);

    /// Number of calls by a VM whose path and query begin with `prefix`.
    std::size_t calls(std::string const& caller, std::string const& prefix) const;

private:
    struct waiting_poll {
        std::string caller;
        std::string table;
        std::uint64_t after = 0;
        http_response_callback done;
    };

    bool can_answer(std::string const& caller) const { return m_is_available && !m_cut.contains(caller); }
    http_response handle(http_client_request const& request);
    http_response read(std::map<std::string, std::string> const& query) const;
    http_response write(std::string const& body);
    /// Answers a feed at once if there are changes or the version is unknown; otherwise lets it wait.
    void poll(std::string const& caller, std::map<std::string, std::string> const& query,
              http_response_callback done);
    /// Returns whether the store has the version and all later changes.
    bool can_show_changes(std::uint64_t after) const;
    bool has_changes(std::string const& table, std::uint64_t after) const;
    http_response changes(std::string const& table, std::uint64_t after) const;
    http_response answer(int status, Json::Value root) const;
    void record(std::string const& table, std::string const& key, std::string const& value, bool is_deleted);
    void wake_polls();

    virtual_clock& m_clock;
    duration m_latency;
    copy m_contents;
    std::uint64_t m_era = 1;
    std::uint64_t m_discarded_version = 0; ///< Latest version whose change the feed no longer shows.
    bool m_is_available = true;
    bool m_keeps_history = true;
    bool m_rejects_calls = false;
    std::optional<duration> m_repetition_delay;
    std::set<std::string> m_cut;
    std::vector<std::shared_ptr<waiting_poll>> m_polls;
    std::map<std::string, std::vector<std::string>> m_paths; ///< Paths that were called, keyed by caller.
};

} // namespace greengagehitch::standin
