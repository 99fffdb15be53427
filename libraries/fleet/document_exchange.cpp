#include "fleet/document_exchange.h"

#include <utility>

namespace greengagehitch {

namespace {

/// Time after which a request without an answer counts as failed. A document of 100 KB takes 40 ms on a link
/// of 20 Mbit/s, and one VM may have to send it to all VMs of its zone.
constexpr duration document_timeout = std::chrono::milliseconds(1'200);

} // namespace

void document_exchange::start()
{
    m_brokers = &m_kernel.find<broker_service>(broker_service::service_name);
    m_brokers->set_document_handlers(
        [this](channel_id from, document_request const& request) { handle_request(from, request); },
        [this](document_reply const& reply) { handle_reply(reply); });
}

Json::Value document_exchange::dump() const
{
    Json::Value state(Json::objectValue);
    state["sent"] = Json::UInt64(m_sent);
    state["received"] = Json::UInt64(m_received);
    state["pending"] = Json::UInt64(m_pending.size());
    return state;
}

void document_exchange::set_source(document_kind kind, std::function<std::string()> source)
{
    m_sources[kind] = std::move(source);
}

void document_exchange::request(document_kind kind, std::string const& vm, document_callback done)
{
    auto const request_id = m_next_request_id++;
    m_pending[request_id] = std::move(done);
    m_kernel.start_timer(document_timeout, [this, request_id] { finish(request_id, std::nullopt); });
    m_brokers->send_message(vm, document_request{request_id, kind});
}

void document_exchange::handle_request(channel_id from, document_request const& request)
{
    auto const source = m_sources.find(request.kind);
    auto content = source == m_sources.end() ? std::string() : source->second();
    m_sent += content.empty() ? 0 : 1;
    m_brokers->reply_message(from, document_reply{request.request_id, std::move(content)});
}

void document_exchange::handle_reply(document_reply const& reply)
{
    m_received += reply.content.empty() ? 0 : 1;
    finish(reply.request_id, reply.content.empty() ? std::nullopt : std::optional(reply.content));
}

void document_exchange::finish(std::uint64_t request_id, std::optional<std::string> const& content)
{
    auto const found = m_pending.find(request_id);
    if (found == m_pending.end()) {
        return;
    }
    auto const done = std::move(found->second);
    m_pending.erase(found);
    done(content);
}

} // namespace greengagehitch
