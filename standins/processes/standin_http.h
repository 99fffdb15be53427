#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

namespace greengagehitch::standin {

struct plain_request {
    std::string method;
    std::string path;
    std::string body;
    std::string expected_version;
};

struct plain_answer {
    int status = 200;
    std::string body;
    std::string row_version;
};

/// Small blocking HTTP server for the stand-ins; the handler runs on the server's threads.
class standin_http {
public:
    using handler = std::function<plain_answer(plain_request const&)>;

    standin_http(std::string const& host, std::uint16_t port, handler handler);
    ~standin_http();
    standin_http(standin_http const&) = delete;
    standin_http& operator=(standin_http const&) = delete;
    standin_http(standin_http&&) = delete;
    standin_http& operator=(standin_http&&) = delete;

    std::uint16_t port() const;

private:
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace greengagehitch::standin
