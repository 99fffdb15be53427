#include "adapters/http_client.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <sys/socket.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

namespace greengagehitch {

namespace {

constexpr std::size_t max_queued_calls = 256;
constexpr std::size_t receive_buffer_size = 16UL * 1024;

/// Returns whether the text holds a control character, which may end a field of the head of a request.
bool has_control_character(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char character) {
        auto const byte = static_cast<unsigned char>(character);
        return byte < ' ' || byte == 127;
    });
}

/// Returns whether all fields of the head of the request can be sent as it is.
bool is_sendable(http_client_request const& call)
{
    return !has_control_character(call.method) && !has_control_character(call.path) &&
           call.path.find(' ') == std::string::npos &&
           std::none_of(call.headers.begin(), call.headers.end(), [](auto const& header) {
               return has_control_character(header.first) || has_control_character(header.second);
           });
}

std::string encode_request(http_client_request const& call, endpoint const& address)
{
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address.host, address.port);
    request.setKeepAlive(false);
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    for (auto const& [name, value] : call.headers) {
        request.set(name, value);
    }
    std::ostringstream text;
    request.write(text);
    text << call.body;
    return text.str();
}

void send_all(Poco::Net::StreamSocket& socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const sent = socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

} // namespace

http_client::http_client(reactor& reactor, log_sink log, std::string server, endpoint const& address,
                         std::size_t threads)
    : m_reactor(reactor), m_log(std::move(log)), m_server(std::move(server)), m_address(address)
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
    if (!is_sendable(call)) {
        Json::Value fields(Json::objectValue);
        fields["server"] = m_server;
        fields["method"] = call.method;
        fields["path"] = call.path;
        m_log({log_level::error, "http", "request was not sent, since its path or a header cannot be sent",
               std::move(fields)});
        m_reactor.post([done = std::move(done)] { done({}); });
        return;
    }
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
        auto answer = send(next.call);
        answer.sent_at = sent_at;
        answer.answered_at = m_reactor.now();
        m_reactor.post(
            [this, call = std::move(next.call), done = std::move(next.done), answer = std::move(answer)] {
                if (answer.refusal) {
                    record_refusal(call, *answer.refusal);
                }
                done(answer);
            });
    }
}

http_response http_client::send(http_client_request const& call) const
{
    http_answer_reader reader;
    try {
        exchange(call, reader);
    }
    catch (std::exception const&) {
        // The connection was not established, failed or timed out.
        reader.end();
    }
    http_response answer;
    if (reader.is_whole()) {
        answer.status = reader.status();
        answer.body = std::move(reader.body());
        answer.headers = std::move(reader.headers());
    }
    else if (reader.has_begun()) {
        answer.refusal = reader.refusal();
    }
    return answer;
}

void http_client::exchange(http_client_request const& call, http_answer_reader& reader) const
{
    Poco::Timespan const timeout(to_microseconds(call.timeout));
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(m_address.host, m_address.port), timeout);
    socket.setNoDelay(true);
    socket.setSendTimeout(timeout);
    socket.setReceiveTimeout(timeout);
    send_all(socket, encode_request(call, m_address));
    std::array<char, receive_buffer_size> buffer{};
    while (!reader.is_whole() && !reader.refusal()) {
        auto const received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (received <= 0) {
            reader.end();
            return;
        }
        reader.add({buffer.data(), static_cast<std::size_t>(received)});
    }
}

void http_client::record_refusal(http_client_request const& call, http_refusal reason)
{
    auto const index = static_cast<std::size_t>(reason);
    ++m_refusals[index];
    Json::Value fields(Json::objectValue);
    fields["server"] = m_server;
    fields["method"] = call.method;
    fields["path"] = call.path;
    fields["reason"] = std::string(http_refusal_names[index].name);
    fields["refused"] = Json::UInt64(m_refusals[index]);
    m_log({log_level::warning, "http", "answer was refused since it is not whole", std::move(fields)});
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
