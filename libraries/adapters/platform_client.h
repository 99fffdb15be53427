#pragma once

#include <functional>
#include <string>

#include "adapters/http_client.h"
#include "platform/platform_hooks.h"
#include "reactor/reactor.h"

namespace greengagehitch {

/// Implements the platform hooks over HTTP.
class platform_client {
public:
    platform_client(reactor& reactor, log_sink log, std::string const& url, duration timeout);

    platform_hooks hooks();

private:
    struct row_response {
        int status = 0; ///< HTTP status code; 0 if no valid response was received.
        std::string body;
        std::uint64_t row_version = 0;
    };

    void call(std::string method, std::string path, std::string body, std::string const& expected_version,
              std::function<void(row_response)> done);
    static absl::Status to_status(row_response const& answer);

    duration m_timeout;
    http_client m_http_client;
};

} // namespace greengagehitch
