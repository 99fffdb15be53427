#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

namespace greengagehitch::standin {

/// HTTP request. `expected_version` is the value of the X-Expected-Version header, empty if absent.
struct standin_http_request {
    std::string method;
    std::string path;
    std::string body;
    std::string expected_version;
};

/// HTTP response. `row_version` is the value of the X-Row-Version header, which is omitted if empty.
struct standin_http_response {
    int status = 200;
    std::string body;
    std::string row_version;
};

/// Small blocking HTTP server for the stand-ins; the handler runs on the server's threads.
class standin_http_server {
public:
    using handler = std::function<standin_http_response(standin_http_request const&)>;

    standin_http_server(std::string const& host, std::uint16_t port, handler handler);
    ~standin_http_server();
    standin_http_server(standin_http_server const&) = delete;
    standin_http_server& operator=(standin_http_server const&) = delete;
    standin_http_server(standin_http_server&&) = delete;
    standin_http_server& operator=(standin_http_server&&) = delete;

    std::uint16_t port() const;

private:
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace greengagehitch::standin
