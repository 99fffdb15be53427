#include "operator_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace greengagehitch {

struct operator_client::connection {
    explicit connection(std::string const& url) : connector(url), client(connector) {}

    jsonrpc::HttpClient connector;
    jsonrpc::Client client;
};

operator_client::operator_client(std::string const& url, std::string const& token)
    : m_connection(std::make_unique<connection>(url))
{
    constexpr long timeout_ms = 15'000;
    m_connection->connector.SetTimeout(timeout_ms);
    m_connection->connector.AddHeader("Authorization", "Bearer " + token);
}

operator_client::~operator_client() = default;

Json::Value operator_client::call(std::string const& method, Json::Value const& parameters)
{
    try {
        return m_connection->client.CallMethod(method, parameters);
    }
    catch (jsonrpc::JsonRpcException const& exception) {
        throw operator_error(exception.GetCode(), exception.GetMessage());
    }
}

} // namespace greengagehitch
