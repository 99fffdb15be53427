#include "adapters/platform_client.h"

#include <memory>
#include <sstream>
#include <utility>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr std::size_t worker_count = 4;
constexpr std::size_t max_waiting_calls = 256;
constexpr auto version_header = "X-Row-Version";
constexpr auto expected_version_header = "X-Expected-Version";

std::string escape(std::string const& text)
{
    std::string escaped;
    Poco::URI::encode(text, "?#&+", escaped);
    return escaped;
}

std::optional<vm_record> parse_vm(Json::Value const& entry)
{
    if (!entry.isObject()) {
        return std::nullopt;
    }
    vm_record record;
    record.name = entry["name"].asString();
    record.availability_zone = entry["availability_zone"].asString();
    record.peer_host = entry["peer_host"].asString();
    record.peer_port = static_cast<std::uint16_t>(entry["peer_port"].asUInt());
    record.state = find_value(vm_state_names, entry["state"].asString()).value_or(vm_state::live);
    return record;
}

} // namespace

/// One thread's connection to the platform.
class platform_client::worker {
public:
    worker(std::string const& url, duration timeout) : m_url(url), m_timeout(timeout) {}

    http_answer run(http_call const& call)
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
    http_answer send(http_call const& call)
    {
        if (!m_session) {
            auto const microseconds = to_microseconds(m_timeout);
            m_session = std::make_unique<Poco::Net::HTTPClientSession>(m_url.getHost(), m_url.getPort());
            m_session->setKeepAlive(true);
            m_session->setTimeout(Poco::Timespan(microseconds));
        }
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        if (!call.expected_version.empty()) {
            request.set(expected_version_header, call.expected_version);
        }
        m_session->sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        auto& stream = m_session->receiveResponse(response);
        http_answer answer;
        Poco::StreamCopier::copyToString(stream, answer.body);
        answer.status = response.getStatus();
        [[maybe_unused]] auto const has_version =
            absl::SimpleAtoi(response.get(version_header, "0"), &answer.row_version);
        return answer;
    }

    Poco::URI m_url;
    duration m_timeout;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
};

platform_client::platform_client(reactor& reactor, std::string url, duration timeout)
    : m_reactor(reactor), m_url(std::move(url)), m_timeout(timeout)
{
    for (std::size_t i = 0; i < worker_count; ++i) {
        m_threads.emplace_back([this] { run_worker(); });
    }
}

platform_client::~platform_client()
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

platform_hooks platform_client::hooks()
{
    platform_hooks hooks;
    hooks.read_row = [this](std::string key, auto done) {
        auto const path = "/table/" + escape(key);
        enqueue({"GET", path, "", "", [key = std::move(key), done = std::move(done)](http_answer answer) {
                     if (answer.status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND) {
                         done(std::optional<table_row>());
                         return;
                     }
                     auto status = status_of(answer);
                     if (!status.ok()) {
                         done(std::move(status));
                         return;
                     }
                     done(std::optional(table_row{key, std::move(answer.body), answer.row_version}));
                 }});
    };
    hooks.put_row = [this](std::string const& key, std::uint64_t expected, std::string value, auto done) {
        enqueue({"PUT", "/table/" + escape(key), std::move(value), fmt::to_string(expected),
                 [done = std::move(done)](http_answer const& answer) {
                     auto status = status_of(answer);
                     if (!status.ok()) {
                         done(std::move(status));
                         return;
                     }
                     done(answer.row_version);
                 }});
    };
    hooks.scan_rows = [this](std::string const& prefix, auto done) {
        enqueue(
            {"GET", "/scan/" + escape(prefix), "", "", [done = std::move(done)](http_answer const& answer) {
                 auto status = status_of(answer);
                 auto root = status.ok() ? try_parse_json(answer.body) : absl::StatusOr<Json::Value>(status);
                 if (!root.ok()) {
                     done(root.status());
                     return;
                 }
                 std::vector<table_row> rows;
                 for (auto const& entry : *root) {
                     rows.push_back(
                         {entry["key"].asString(), entry["value"].asString(), entry["version"].asUInt64()});
                 }
                 done(std::move(rows));
             }});
    };
    hooks.put_object = [this](std::string const& name, std::string body, auto done) {
        enqueue({"PUT", "/objects/" + escape(name), std::move(body), "",
                 [done = std::move(done)](http_answer const& answer) { done(status_of(answer)); }});
    };
    hooks.get_object = [this](std::string const& name, auto done) {
        enqueue({"GET", "/objects/" + escape(name), "", "", [done = std::move(done)](http_answer answer) {
                     auto status = status_of(answer);
                     if (!status.ok()) {
                         done(std::move(status));
                         return;
                     }
                     done(std::move(answer.body));
                 }});
    };
    hooks.list_vms = [this](auto done) {
        enqueue({"GET", "/vms", "", "", [done = std::move(done)](http_answer const& answer) {
                     auto status = status_of(answer);
                     auto root =
                         status.ok() ? try_parse_json(answer.body) : absl::StatusOr<Json::Value>(status);
                     if (!root.ok()) {
                         done(root.status());
                         return;
                     }
                     std::vector<vm_record> records;
                     for (auto const& entry : *root) {
                         if (auto record = parse_vm(entry)) {
                             records.push_back(*std::move(record));
                         }
                     }
                     done(std::move(records));
                 }});
    };
    return hooks;
}

void platform_client::enqueue(http_call call)
{
    std::unique_lock lock(m_mutex);
    if (m_calls.size() >= max_waiting_calls) {
        lock.unlock();
        // Too many calls wait already; the caller hears so on the reactor's thread, like of any other
        // failure.
        m_reactor.post([done = std::move(call.done)] { done({}); });
        return;
    }
    m_calls.push_back(std::move(call));
    lock.unlock();
    m_has_work.notify_one();
}

void platform_client::run_worker()
{
    worker connection(m_url, m_timeout);
    while (true) {
        http_call call;
        {
            std::unique_lock lock(m_mutex);
            m_has_work.wait(lock, [this] { return m_is_stopping || !m_calls.empty(); });
            if (m_is_stopping) {
                return;
            }
            call = std::move(m_calls.front());
            m_calls.pop_front();
        }
        auto answer = connection.run(call);
        m_reactor.post([done = std::move(call.done), answer = std::move(answer)] { done(answer); });
    }
}

absl::Status platform_client::status_of(http_answer const& answer)
{
    using response = Poco::Net::HTTPResponse;
    switch (answer.status) {
    case response::HTTP_OK:
    case response::HTTP_NO_CONTENT:
        return absl::OkStatus();
    case response::HTTP_NOT_FOUND:
        return absl::NotFoundError("the platform has no such entry");
    case response::HTTP_PRECONDITION_FAILED:
        return absl::AbortedError("row has another version");
    default:
        return absl::UnavailableError(fmt::format("the platform answered {}", answer.status));
    }
}

} // namespace greengagehitch
