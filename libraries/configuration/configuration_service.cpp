#include "configuration/configuration_service.h"

#include <utility>

#include <fmt/format.h>

#include "base/digest.h"
#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr auto pointer_key = "configuration/current";
constexpr duration min_poll_period = std::chrono::milliseconds(400);
/// Maximum rate of reads of the version pointer by the whole fleet, per second.
constexpr double pointer_reads_per_second = 30;
constexpr duration retry_delay = std::chrono::milliseconds(200);
constexpr duration download_retry_period = std::chrono::milliseconds(100);
constexpr duration download_timeout = std::chrono::seconds(2);
constexpr int max_publication_attempts = 25;
constexpr std::size_t chunk_size = 1'000;
constexpr std::size_t max_snapshot_size = 64UL * 1024 * 1024;

/// Contents of the row that points to the newest version.
struct version_pointer {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
};

std::string object_name(std::string const& digest)
{
    return "configuration/" + digest;
}

std::string encode_pointer(version_pointer const& pointer)
{
    Json::Value root(Json::objectValue);
    root["version"] = Json::UInt64(pointer.version);
    root["digest"] = pointer.digest;
    root["author"] = pointer.author;
    return to_json_line(root);
}

std::optional<version_pointer> decode_pointer(std::string const& text)
{
    auto const root = try_parse_json(text);
    if (!root.ok() || !root->isObject() || !(*root)["version"].isUInt64()) {
        return std::nullopt;
    }
    return version_pointer{(*root)["version"].asUInt64(), (*root)["digest"].asString(),
                           (*root)["author"].asString()};
}

} // namespace

/// Publication in progress, with the state that a retry needs.
struct configuration_service::publication_attempt {
    std::optional<std::uint64_t> base_version; ///< Set if the change applies to this version only.
    configuration_change change;
    std::string author;
    std::string summary;
    publication_callback done;
    int attempt_count = 0;
    configuration_snapshot next;
    std::string body;
    /// True once a conditional put of `next` failed in a way that leaves open whether it took effect.
    bool is_outcome_unknown = false;
};

/// Snapshot that is being downloaded from a peer.
struct configuration_service::download {
    std::string peer;
    std::string digest;
    std::string bytes;
    monotonic_time started_at;
};

configuration_service::configuration_service(kernel& kernel, platform_hooks const& platform)
    : m_kernel(kernel), m_platform(platform)
{
}

configuration_service::~configuration_service() = default;

void configuration_service::start()
{
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
    m_membership->set_heartbeat_hooks(
        [this](heartbeat& message) { fill_heartbeat(message); },
        [this](peer_state const& peer, heartbeat const& message) { handle_heartbeat(peer, message); });
    m_membership->on_message<configuration_request>(
        [this](peer_state const& peer, configuration_request const& request) {
            answer_request(peer, request);
        });
    m_membership->on_message<configuration_chunk>(
        [this](peer_state const& peer, configuration_chunk const& chunk) { handle_chunk(peer, chunk); });
    poll_pointer();
    m_kernel.start_periodic(download_retry_period, [this] {
        if (m_download) {
            request_next_chunk(m_download->peer);
        }
    });
}

Json::Value configuration_service::dump() const
{
    Json::Value state(Json::objectValue);
    state["version"] = Json::UInt64(m_current ? m_current->version : 0);
    state["digest"] = m_current ? m_current->digest : "";
    state["author"] = m_current ? m_current->author : "";
    if (m_confirmed_since) {
        state["confirmed_age_ms"] = to_milliseconds(m_kernel.now() - *m_confirmed_since);
    }
    return state;
}

void configuration_service::publish_document(std::uint64_t base_version, std::string document_text,
                                             std::string author, std::string summary,
                                             publication_callback done)
{
    auto attempt = std::make_shared<publication_attempt>();
    attempt->base_version = base_version;
    attempt->change = [text = std::move(document_text)](configuration_snapshot& snapshot) -> absl::Status {
        auto document = try_parse_configuration(text, "configuration");
        if (!document.ok()) {
            return document.status();
        }
        snapshot.document_text = text;
        snapshot.document = *std::move(document);
        return absl::OkStatus();
    };
    attempt->author = std::move(author);
    attempt->summary = std::move(summary);
    attempt->done = std::move(done);
    start_attempt(attempt);
}

void configuration_service::publish_change(configuration_change change, std::string author,
                                           std::string summary, publication_callback done)
{
    auto attempt = std::make_shared<publication_attempt>();
    attempt->change = std::move(change);
    attempt->author = std::move(author);
    attempt->summary = std::move(summary);
    attempt->done = std::move(done);
    start_attempt(attempt);
}

void configuration_service::read_history(std::size_t limit,
                                         std::function<void(std::vector<history_entry>)> const& done)
{
    auto const entries = std::make_shared<std::vector<history_entry>>();
    append_history(m_current ? m_current->digest : std::string(), limit, entries, done);
}

void configuration_service::read_snapshot(
    std::string const& digest, std::function<void(absl::StatusOr<configuration_snapshot>)> const& done)
{
    if (m_current && m_current->digest == digest) {
        done(*m_current);
        return;
    }
    m_platform.get_object(object_name(digest),
                          m_kernel.guard<absl::StatusOr<std::string>>([digest, done](auto const& body) {
                              if (!body.ok()) {
                                  done(body.status());
                                  return;
                              }
                              auto snapshot = try_decode_snapshot(*body);
                              if (snapshot.ok() && snapshot->digest != digest) {
                                  done(absl::DataLossError("configuration object does not match its digest"));
                                  return;
                              }
                              done(std::move(snapshot));
                          }));
}

void configuration_service::poll_pointer()
{
    auto const requested_at = m_kernel.now();
    m_platform.read_row(pointer_key, m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                                         [this, requested_at](auto const& row) {
                                             if (row.ok()) {
                                                 handle_pointer(*row, requested_at);
                                             }
                                         }));
    m_kernel.start_timer(m_membership->store_poll_period(min_poll_period, pointer_reads_per_second),
                         [this] { poll_pointer(); });
}

void configuration_service::handle_pointer(std::optional<table_row> const& row, monotonic_time requested_at)
{
    if (!row) {
        return;
    }
    auto const pointer = decode_pointer(row->value);
    if (!pointer) {
        m_kernel.log(log_level::error, service_name, "table row of the configuration version is malformed");
        return;
    }
    if (m_current && m_current->version == pointer->version) {
        confirm(requested_at);
        return;
    }
    if (m_is_fetching || (m_current && m_current->version > pointer->version)) {
        return;
    }
    m_is_fetching = true;
    m_platform.get_object(object_name(pointer->digest),
                          m_kernel.guard<absl::StatusOr<std::string>>(
                              [this, requested_at, digest = pointer->digest](auto const& body) {
                                  m_is_fetching = false;
                                  if (!body.ok() || to_hex(sha256(*body)) != digest) {
                                      return;
                                  }
                                  auto snapshot = try_decode_snapshot(*body);
                                  if (!snapshot.ok()) {
                                      Json::Value fields;
                                      fields["error"] = std::string(snapshot.status().message());
                                      m_kernel.log(log_level::error, service_name,
                                                   "cannot decode the accepted configuration version",
                                                   std::move(fields));
                                      return;
                                  }
                                  activate(*std::move(snapshot), *body);
                                  if (m_current && m_current->digest == digest) {
                                      confirm(requested_at);
                                  }
                              }));
}

void configuration_service::activate(configuration_snapshot snapshot, std::string body)
{
    if (m_current && snapshot.version <= m_current->version) {
        return;
    }
    Json::Value fields;
    fields["version"] = Json::UInt64(snapshot.version);
    fields["author"] = snapshot.author;
    fields["summary"] = snapshot.summary;
    VERIFY(!m_current || snapshot.version > m_current->version);
    m_current = std::make_shared<configuration_snapshot const>(std::move(snapshot));
    m_current_body = std::move(body);
    m_download.reset();
    m_kernel.log(log_level::info, service_name, "configuration version became active", std::move(fields));
    for (auto const& callback : m_on_change) {
        callback();
    }
    m_membership->send_heartbeats_now();
}

void configuration_service::confirm(monotonic_time since)
{
    m_confirmed_since = std::max(m_confirmed_since.value_or(since), since);
}

void configuration_service::start_attempt(std::shared_ptr<publication_attempt> const& attempt)
{
    ++attempt->attempt_count;
    if (!m_membership->has_majority()) {
        // VMs that are cut off from the platform keep serving only while they receive heartbeats from a
        // majority of the fleet. A version that is accepted through this VM, without a majority, might not
        // reach them.
        retry_attempt(attempt, {publication::kind::unavailable, 0, "",
                                "this VM is not in contact with a majority of the fleet, so the change might "
                                "not reach all VMs"});
        return;
    }
    m_platform.read_row(
        pointer_key,
        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>([this, attempt](auto const& row) {
            if (!row.ok()) {
                retry_attempt(attempt, {publication::kind::unavailable, 0, "",
                                        "the platform's table service did not respond"});
                return;
            }
            if (!*row) {
                attempt->next = {};
                put_contents(attempt, 0);
                return;
            }
            auto const pointer = decode_pointer((*row)->value);
            auto const row_version = (*row)->version;
            if (!pointer) {
                attempt->done({publication::kind::rejected, 0, "",
                               "table row of the configuration version is malformed"});
                return;
            }
            read_snapshot(pointer->digest, [this, attempt, row_version](auto base) {
                if (!base.ok()) {
                    retry_attempt(attempt, {publication::kind::unavailable, 0, "",
                                            "the platform's object store did not respond"});
                    return;
                }
                attempt->next = *std::move(base);
                put_contents(attempt, row_version);
            });
        }));
}

void configuration_service::put_contents(std::shared_ptr<publication_attempt> const& attempt,
                                         std::uint64_t row_version)
{
    auto& next = attempt->next;
    if (attempt->base_version && *attempt->base_version != next.version) {
        attempt->done({publication::kind::conflict, next.version, next.author,
                       fmt::format("change is based on version {}, but version {} by {} is active: {}",
                                   *attempt->base_version, next.version, next.author, next.summary)});
        return;
    }
    auto const changed = attempt->change(next);
    if (!changed.ok()) {
        attempt->done({publication::kind::rejected, next.version, "", std::string(changed.message())});
        return;
    }
    next.previous_digest = next.digest;
    ++next.version;
    next.author = attempt->author;
    next.summary = attempt->summary;
    attempt->body = encode_snapshot(next);
    next.digest = to_hex(sha256(attempt->body));
    m_platform.put_object(object_name(next.digest), attempt->body,
                          m_kernel.guard<absl::Status>([this, attempt, row_version](auto const& status) {
                              if (!status.ok()) {
                                  retry_attempt(attempt, {publication::kind::unavailable, 0, "",
                                                          "the platform's object store did not respond"});
                                  return;
                              }
                              put_pointer(attempt, row_version);
                          }));
}

void configuration_service::put_pointer(std::shared_ptr<publication_attempt> const& attempt,
                                        std::uint64_t row_version)
{
    auto const& next = attempt->next;
    m_platform.put_row(
        pointer_key, row_version, encode_pointer({next.version, next.digest, next.author}),
        m_kernel.guard<absl::StatusOr<std::uint64_t>>([this, attempt, row_version](auto const& put) {
            if (put.ok()) {
                accept_attempt(attempt);
                return;
            }
            attempt->is_outcome_unknown =
                attempt->is_outcome_unknown || put.status().code() != absl::StatusCode::kAborted;
            resolve_attempt(attempt, row_version);
        }));
}

void configuration_service::resolve_attempt(std::shared_ptr<publication_attempt> const& attempt,
                                            std::uint64_t row_version)
{
    publication const unresolved{
        publication::kind::unknown, attempt->next.version, "",
        "the platform did not confirm whether the change took effect; see config history"};
    if (++attempt->attempt_count > max_publication_attempts) {
        attempt->done(unresolved);
        return;
    }
    m_platform.read_row(pointer_key,
                        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(
                            [this, attempt, row_version](auto const& row) {
                                if (!row.ok()) {
                                    m_kernel.start_timer(retry_delay, [this, attempt, row_version] {
                                        resolve_attempt(attempt, row_version);
                                    });
                                    return;
                                }
                                auto const current_row_version = *row ? (*row)->version : 0;
                                if (current_row_version == row_version) {
                                    // The put has not taken effect yet. It is sent again under the same
                                    // condition. If the first one is still in flight, only one of the two
                                    // can succeed, and both write the same value.
                                    put_pointer(attempt, row_version);
                                    return;
                                }
                                resolve_from_history(attempt, **row);
                            }));
}

void configuration_service::resolve_from_history(std::shared_ptr<publication_attempt> const& attempt,
                                                 table_row const& row)
{
    auto const pointer = decode_pointer(row.value);
    if (pointer && pointer->digest == attempt->next.digest) {
        accept_attempt(attempt);
        return;
    }
    if (!pointer) {
        attempt->done(
            {publication::kind::unknown, 0, "", "table row of the configuration version is malformed"});
        return;
    }
    // Another version is the newest one. It may be based on this one, so the history is searched for it.
    read_snapshot(pointer->digest, [this, attempt, row](auto const& newest) {
        if (!newest.ok()) {
            m_kernel.start_timer(retry_delay, [this, attempt, row] {
                if (++attempt->attempt_count > max_publication_attempts) {
                    attempt->done(
                        {publication::kind::unknown, attempt->next.version, "",
                         "the platform did not confirm whether the change took effect; see config history"});
                    return;
                }
                resolve_from_history(attempt, row);
            });
            return;
        }
        if (newest->version > attempt->next.version && newest->previous_digest != attempt->next.digest) {
            table_row previous_row = row;
            previous_row.value =
                encode_pointer({newest->version - 1, newest->previous_digest, newest->author});
            resolve_from_history(attempt, previous_row);
            return;
        }
        if (newest->previous_digest == attempt->next.digest) {
            attempt->done({publication::kind::accepted, attempt->next.version, attempt->author, ""});
            return;
        }
        attempt->is_outcome_unknown = false;
        if (!attempt->base_version) {
            start_attempt(attempt);
            return;
        }
        attempt->done({publication::kind::conflict, newest->version, newest->author,
                       fmt::format("version {} by {} was accepted first: {}", newest->version, newest->author,
                                   newest->summary)});
    });
}

void configuration_service::retry_attempt(std::shared_ptr<publication_attempt> const& attempt,
                                          publication final_result)
{
    if (attempt->attempt_count >= max_publication_attempts) {
        attempt->done(std::move(final_result));
        return;
    }
    m_kernel.start_timer(retry_delay, [this, attempt] { start_attempt(attempt); });
}

void configuration_service::accept_attempt(std::shared_ptr<publication_attempt> const& attempt)
{
    activate(attempt->next, attempt->body);
    attempt->done({publication::kind::accepted, attempt->next.version, attempt->author, ""});
}

void configuration_service::fill_heartbeat(heartbeat& message) const
{
    if (!m_current) {
        return;
    }
    message.configuration_version = m_current->version;
    message.configuration_digest = m_current->digest;
    constexpr std::uint64_t never_confirmed = UINT64_MAX;
    message.configuration_age_us =
        m_confirmed_since ? static_cast<std::uint64_t>(to_microseconds(m_kernel.now() - *m_confirmed_since))
                          : never_confirmed;
}

void configuration_service::handle_heartbeat(peer_state const& peer, heartbeat const& message)
{
    auto const version = m_current ? m_current->version : 0;
    constexpr std::uint64_t max_confirmed_age_us = 3'600'000'000;
    if (message.configuration_version == version && version != 0 && peer.echoed_heartbeat_sent_at &&
        message.configuration_age_us < max_confirmed_age_us) {
        // The peer sent this heartbeat after it had received the one that was sent at
        // `echoed_heartbeat_sent_at`.
        confirm(*peer.echoed_heartbeat_sent_at - std::chrono::microseconds(message.configuration_age_us));
    }
    if (message.configuration_version <= version) {
        return;
    }
    auto const now = m_kernel.now();
    if (m_download && now - m_download->started_at < download_timeout) {
        return;
    }
    m_download = std::make_unique<download>(download{peer.name, message.configuration_digest, "", now});
    request_next_chunk(peer.name);
}

void configuration_service::request_next_chunk(std::string const& peer)
{
    m_membership->send(peer, configuration_request{m_download->digest, m_download->bytes.size()});
}

void configuration_service::answer_request(peer_state const& peer, configuration_request const& request)
{
    if (!m_current || request.digest != m_current->digest || request.offset >= m_current_body.size()) {
        return;
    }
    m_membership->send(peer.name, configuration_chunk{request.digest, m_current_body.size(), request.offset,
                                                      m_current_body.substr(request.offset, chunk_size)});
}

void configuration_service::handle_chunk(peer_state const& peer, configuration_chunk const& chunk)
{
    if (!m_download || m_download->digest != chunk.digest || m_download->bytes.size() != chunk.offset ||
        chunk.total_size > max_snapshot_size) {
        return;
    }
    m_download->bytes += chunk.bytes;
    if (m_download->bytes.size() < chunk.total_size) {
        request_next_chunk(peer.name);
        return;
    }
    auto body = std::move(m_download->bytes);
    auto const digest = m_download->digest;
    m_download.reset();
    if (to_hex(sha256(body)) != digest) {
        return;
    }
    auto snapshot = try_decode_snapshot(body);
    if (snapshot.ok()) {
        activate(*std::move(snapshot), std::move(body));
    }
}

void configuration_service::append_history(std::string const& digest, std::size_t limit,
                                           std::shared_ptr<std::vector<history_entry>> const& entries,
                                           std::function<void(std::vector<history_entry>)> const& done)
{
    if (digest.empty() || entries->size() >= limit) {
        done(*entries);
        return;
    }
    read_snapshot(digest, [this, limit, entries, done](auto const& snapshot) {
        if (!snapshot.ok()) {
            done(*entries);
            return;
        }
        entries->push_back({snapshot->version, snapshot->author, snapshot->summary, snapshot->digest,
                            m_current && m_current->digest == snapshot->digest});
        append_history(snapshot->previous_digest, limit, entries, done);
    });
}

} // namespace greengagehitch
