#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "brokers/broker_service.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// Passes documents of the platform's store from VM to VM, so that one VM of a zone reads a change from the
/// store for all others. The documents are opaque here; those who register them check their versions.
class document_exchange : public service {
public:
    static constexpr std::string_view service_name = "documents";

    explicit document_exchange(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Sets the function that returns this VM's copy of a document, or an empty string when it has none.
    void set_source(document_kind kind, std::function<std::string()> source);

    /// Receives the document, or no value when the VM has none or did not answer in time.
    using document_callback = std::function<void(std::optional<std::string> const&)>;

    /// Asks a VM for its copy of a document.
    void request(document_kind kind, std::string const& vm, document_callback done);

private:
    void handle_request(channel_id from, document_request const& request);
    void handle_reply(document_reply const& reply);
    void finish(std::uint64_t request_id, std::optional<std::string> const& content);

    kernel& m_kernel;
    broker_service* m_brokers = nullptr;
    std::map<document_kind, std::function<std::string()>> m_sources;
    std::map<std::uint64_t, document_callback> m_pending; ///< Keyed by request id.
    std::uint64_t m_next_request_id = 1;
    std::uint64_t m_sent = 0;     ///< Number of documents sent to peers.
    std::uint64_t m_received = 0; ///< Number of documents received from peers.
};

} // namespace greengagehitch
