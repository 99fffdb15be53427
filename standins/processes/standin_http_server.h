#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

namespace greengagehitch::standin {

/// HTTP request, reduced to the parts that the stand-ins use.
struct standin_http_request {
    std::string method;
    std::string path;
    std::string body;
    std::string expected_version; ///< Value of the X-Expected-Version header, empty if absent.
};

/// HTTP response, reduced to the parts that the stand-ins use.
struct standin_http_response {
    int status = 200;
    std::string body;
    std::string row_version; ///< Value of the X-Row-Version header, which is omitted if empty.
};

/// Blocking HTTP server for the stand-ins. The handler is called on several threads of the server at once.
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
