#include "standin_http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace greengagehitch::standin {

namespace {

class standin_request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit standin_request_handler(standin_http_server::handler const& handler) : m_handler(handler) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override // NOLINT
    {
        standin_http_request standin_request;
        standin_request.method = request.getMethod();
        Poco::URI::decode(request.getURI(), standin_request.path);
        standin_request.expected_version = request.get("X-Expected-Version", "");
        Poco::StreamCopier::copyToString(request.stream(), standin_request.body);
        auto const answer = m_handler(standin_request);
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        if (!answer.row_version.empty()) {
            response.set("X-Row-Version", answer.row_version);
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    standin_http_server::handler const& m_handler;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(standin_http_server::handler handler) : m_handler(std::move(handler)) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(Poco::Net::HTTPServerRequest const& /*request*/) override // NOLINT
    {
        return new standin_request_handler(m_handler); // NOLINT: the server owns it.
    }

private:
    standin_http_server::handler m_handler;
};

} // namespace

standin_http_server::standin_http_server(std::string const& host, std::uint16_t port, handler handler)
{
    constexpr int threads = 64;
    auto* const parameters = new Poco::Net::HTTPServerParams; // NOLINT: the server owns it.
    parameters->setMaxThreads(threads);
    parameters->setMaxQueued(threads * 4);
    Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress(host, port));
    m_server = std::make_unique<Poco::Net::HTTPServer>(new handler_factory(std::move(handler)), socket,
                                                       parameters); // NOLINT
    m_server->start();
}

standin_http_server::~standin_http_server()
{
    m_server->stopAll(true);
}

std::uint16_t standin_http_server::port() const
{
    return m_server->port();
}

} // namespace greengagehitch::standin
