#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Result of publishing a version.
struct publication {
    enum class kind { accepted, conflict, rejected, unavailable, unknown };
    kind result_kind = kind::unavailable;
    std::uint64_t version = 0; ///< The accepted version, or the newest one after a conflict.
    std::string author;        ///< Author of the newest version after a conflict.
    std::string message;       ///< Reason why the version was not accepted.
};

inline constexpr std::array publication_kind_names{
    enum_name<publication::kind>{publication::kind::accepted, "accepted"},
    enum_name<publication::kind>{publication::kind::conflict, "conflict"},
    enum_name<publication::kind>{publication::kind::rejected, "rejected"},
    enum_name<publication::kind>{publication::kind::unavailable, "unavailable"},
    enum_name<publication::kind>{publication::kind::unknown, "unknown"},
};

/// One version in the history of the configuration.
struct history_entry {
    std::uint64_t version = 0;
    std::string author;
    std::string summary;
    std::string digest;
    bool is_active = false; ///< True if this VM uses the version.
};

/// Edits the next version of the configuration in place, or returns an error if the change does not apply.
using configuration_change = std::function<absl::Status(configuration_snapshot&)>;
using publication_callback = std::function<void(publication)>;

/// Keeps the newest accepted configuration active. A row of the platform's table points to the newest version
/// and is changed by conditional puts; the contents are an object that is named by its digest. Peers announce
/// versions in heartbeats. The active version never decreases.
class configuration_service : public service {
public:
    static constexpr std::string_view service_name = "configuration";

    configuration_service(kernel& kernel, platform_hooks const& platform);
    ~configuration_service() override;
    configuration_service(configuration_service const&) = delete;
    configuration_service& operator=(configuration_service const&) = delete;
    configuration_service(configuration_service&&) = delete;
    configuration_service& operator=(configuration_service&&) = delete;

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Returns the active configuration; null until the first one was received.
    std::shared_ptr<configuration_snapshot const> const& current() const { return m_current; }

    /// Returns the latest time at which the active version is known to have been the newest one; empty if it
    /// was never confirmed.
    std::optional<monotonic_time> confirmed_since() const { return m_confirmed_since; }

    /// Calls `callback` after each change of the active version.
    void on_change(std::function<void()> callback) { m_on_change.push_back(std::move(callback)); }

    /// Publishes a document that is based on `base_version`. Fails with a conflict if a newer version was
    /// accepted since.
    void publish_document(std::uint64_t base_version, std::string document_text, std::string author,
                          std::string summary, publication_callback done);

    /// Publishes a change that applies to any version, and retries it after a conflict.
    void publish_change(configuration_change change, std::string author, std::string summary,
                        publication_callback done);

    /// Reads up to `limit` versions of the history, from the active version backwards.
    void read_history(std::size_t limit, std::function<void(std::vector<history_entry>)> const& done);

    /// Reads a version by its digest, from memory or from the object store.
    void read_snapshot(std::string const& digest,
                       std::function<void(absl::StatusOr<configuration_snapshot>)> const& done);

private:
    struct publication_attempt;
    struct download;

    void poll_pointer();
    void handle_pointer(std::optional<table_row> const& row, monotonic_time requested_at);
    void activate(configuration_snapshot snapshot, std::string body);
    void confirm(monotonic_time since);

    void start_attempt(std::shared_ptr<publication_attempt> const& attempt);
    void put_contents(std::shared_ptr<publication_attempt> const& attempt, std::uint64_t row_version);
    void put_pointer(std::shared_ptr<publication_attempt> const& attempt, std::uint64_t row_version);
    void resolve_attempt(std::shared_ptr<publication_attempt> const& attempt, std::uint64_t row_version);
    void retry_attempt(std::shared_ptr<publication_attempt> const& attempt, publication final_result);
    void accept_attempt(std::shared_ptr<publication_attempt> const& attempt);
    void resolve_from_history(std::shared_ptr<publication_attempt> const& attempt, table_row const& row);

    void fill_heartbeat(heartbeat& message) const;
    void handle_heartbeat(peer_state const& peer, heartbeat const& message);
    void request_next_chunk(std::string const& peer);
    void answer_request(peer_state const& peer, configuration_request const& request);
    void handle_chunk(peer_state const& peer, configuration_chunk const& chunk);
    void append_history(std::string const& digest, std::size_t limit,
                        std::shared_ptr<std::vector<history_entry>> const& entries,
                        std::function<void(std::vector<history_entry>)> const& done);

    kernel& m_kernel;
    platform_hooks const& m_platform;
    membership_service* m_membership = nullptr;
    std::shared_ptr<configuration_snapshot const> m_current;
    std::string m_current_body; ///< Encoded form of `m_current`, which is sent to peers.
    std::optional<monotonic_time> m_confirmed_since;
    std::vector<std::function<void()>> m_on_change;
    std::unique_ptr<download> m_download;
    bool m_is_fetching = false;
};

} // namespace greengagehitch
