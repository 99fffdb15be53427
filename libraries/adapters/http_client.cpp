#include "adapters/http_client.h"

#include <memory>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace greengagehitch {

namespace {

constexpr std::size_t max_queued_calls = 256;

} // namespace

bool case_insensitive_less::operator()(std::string const& left, std::string const& right) const
{
    return Poco::icompare(left, right) < 0;
}

/// Connection of one worker thread to the server.
class http_client::worker {
public:
    worker(std::string host, std::uint16_t port) : m_host(std::move(host)), m_port(port) {}

    http_response run(http_client_request const& call)
    {
        try {
            return send(call);
        }
        catch (Poco::Exception const&) {
            m_session.reset();
            return {};
        }
        catch (std::exception const&) {
            m_session.reset();
            return {};
        }
    }

private:
    http_response send(http_client_request const& call)
    {
        if (!m_session) {
            m_session = std::make_unique<Poco::Net::HTTPClientSession>(m_host, m_port);
            m_session->setKeepAlive(true);
        }
        m_session->setTimeout(Poco::Timespan(to_microseconds(call.timeout)));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        for (auto const& [name, value] : call.headers) {
            request.set(name, value);
        }
        m_session->sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        auto& stream = m_session->receiveResponse(response);
        http_response answer;
        Poco::StreamCopier::copyToString(stream, answer.body);
        answer.status = response.getStatus();
        for (auto const& [name, value] : response) {
            answer.headers[name] = value;
        }
        if (response.hasContentLength() &&
            answer.body.size() != static_cast<std::size_t>(response.getContentLength64())) {
            m_session.reset();
            return {};
        }
        return answer;
    }

    std::string m_host;
    std::uint16_t m_port;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
};

http_client::http_client(reactor& reactor, std::string host, std::uint16_t port, std::size_t threads)
    : m_reactor(reactor), m_host(std::move(host)), m_port(port)
{
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { run_worker(); });
    }
}

http_client::~http_client()
{
    {
        std::lock_guard const lock(m_mutex);
        m_is_stopping = true;
    }
    m_has_work.notify_all();
    for (auto& thread : m_threads) {
        thread.join();
    }
}

void http_client::call(http_client_request call, http_response_callback done)
{
    std::unique_lock lock(m_mutex);
    if (m_queued_calls.size() >= max_queued_calls) {
        lock.unlock();
        // The queue is full. The callback runs on the reactor's thread, as it does for any other failure.
        m_reactor.post([done = std::move(done)] { done({}); });
        return;
    }
    m_queued_calls.push_back({std::move(call), std::move(done)});
    lock.unlock();
    m_has_work.notify_one();
}

void http_client::run_worker()
{
    worker connection(m_host, m_port);
    while (true) {
        queued_call next;
        {
            std::unique_lock lock(m_mutex);
            m_has_work.wait(lock, [this] { return m_is_stopping || !m_queued_calls.empty(); });
            if (m_is_stopping) {
                return;
            }
            next = std::move(m_queued_calls.front());
            m_queued_calls.pop_front();
        }
        auto const sent_at = m_reactor.now();
        auto answer = connection.run(next.call);
        answer.sent_at = sent_at;
        answer.answered_at = m_reactor.now();
        m_reactor.post([done = std::move(next.done), answer = std::move(answer)] { done(answer); });
    }
}

std::string escape_query(std::string const& text)
{
    std::string escaped;
    Poco::URI::encode(text, "?#&+/=", escaped);
    return escaped;
}

std::string escape_path(std::string const& text)
{
    std::string escaped;
    Poco::URI::encode(text, "?#&+", escaped);
    return escaped;
}

} // namespace greengagehitch
