#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_hooks.h"
#include "reactor/reactor.h"

namespace greengagehitch {

/// Carries the platform hooks over HTTP. Calls block in a few threads of their own; the answers come back on
/// the reactor's thread.
class platform_client {
public:
    platform_client(reactor& reactor, std::string url, duration timeout);
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;
    platform_client(platform_client&&) = delete;
    platform_client& operator=(platform_client&&) = delete;

    platform_hooks hooks();

private:
    struct http_answer {
        int status = 0; ///< 0 when no answer came.
        std::string body;
        std::uint64_t row_version = 0;
    };

    struct http_call {
        std::string method;
        std::string path;
        std::string body;
        std::string expected_version; ///< Of a conditional put; empty for none.
        std::function<void(http_answer)> done;
    };

    class worker;

    void enqueue(http_call call);
    void run_worker();
    static absl::Status status_of(http_answer const& answer);

    reactor& m_reactor;
    std::string m_url;
    duration m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_has_work;
    std::deque<http_call> m_calls;
    bool m_is_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace greengagehitch
