#include "adapters/platform_client.h"

#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include "base/json.h"

namespace greengagehitch {

namespace {

constexpr std::size_t worker_count = 4;
constexpr auto version_header = "X-Row-Version";
constexpr auto expected_version_header = "X-Expected-Version";

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

platform_client::platform_client(reactor& reactor, log_sink log, std::string const& url, duration timeout)
    : m_timeout(timeout), m_http_client(reactor, std::move(log), "platform",
                                        {Poco::URI(url).getHost(), Poco::URI(url).getPort()}, worker_count)
{
}

platform_hooks platform_client::hooks()
{
    platform_hooks hooks;
    hooks.read_row = [this](std::string key, auto done) {
        auto const path = "/table/" + escape_path(key);
        call("GET", path, "", "", [key = std::move(key), done = std::move(done)](row_response answer) {
            if (answer.status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND) {
                done(std::optional<table_row>());
                return;
            }
            auto status = to_status(answer);
            if (!status.ok()) {
                done(std::move(status));
                return;
            }
            done(std::optional(table_row{key, std::move(answer.body), answer.row_version}));
        });
    };
    hooks.put_row = [this](std::string const& key, std::uint64_t expected_version, std::string const& value,
                           auto done) {
        call("PUT", "/table/" + escape_path(key), value, fmt::to_string(expected_version),
             [done = std::move(done)](row_response const& answer) {
                 auto status = to_status(answer);
                 if (!status.ok()) {
                     done(std::move(status));
                     return;
                 }
                 done(answer.row_version);
             });
    };
    hooks.scan_rows = [this](std::string const& prefix, auto done) {
        call("GET", "/scan/" + escape_path(prefix), "", "",
             [done = std::move(done)](row_response const& answer) {
                 auto status = to_status(answer);
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
             });
    };
    hooks.put_object = [this](std::string const& name, std::string const& body, auto done) {
        call("PUT", "/objects/" + escape_path(name), body, "",
             [done = std::move(done)](row_response const& answer) { done(to_status(answer)); });
    };
    hooks.get_object = [this](std::string const& name, auto done) {
        call("GET", "/objects/" + escape_path(name), "", "", [done = std::move(done)](row_response answer) {
            auto status = to_status(answer);
            if (!status.ok()) {
                done(std::move(status));
                return;
            }
            done(std::move(answer.body));
        });
    };
    hooks.list_vms = [this](auto done) {
        call("GET", "/vms", "", "", [done = std::move(done)](row_response const& answer) {
            auto status = to_status(answer);
            auto root = status.ok() ? try_parse_json(answer.body) : absl::StatusOr<Json::Value>(status);
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
        });
    };
    return hooks;
}

void platform_client::call(std::string method, std::string path, std::string body,
                           std::string const& expected_version, std::function<void(row_response)> done)
{
    http_client_request call{std::move(method), std::move(path), std::move(body), {}, m_timeout};
    if (!expected_version.empty()) {
        call.headers.emplace_back(expected_version_header, expected_version);
    }
    m_http_client.call(std::move(call), [done = std::move(done)](http_response const& answer) {
        row_response result{answer.status, answer.body, 0};
        auto const version = answer.headers.find(version_header);
        if (version != answer.headers.end() && !absl::SimpleAtoi(version->second, &result.row_version)) {
            result.status = 0;
        }
        done(std::move(result));
    });
}

absl::Status platform_client::to_status(row_response const& answer)
{
    using response = Poco::Net::HTTPResponse;
    switch (answer.status) {
    case response::HTTP_OK:
    case response::HTTP_NO_CONTENT:
        return absl::OkStatus();
    case response::HTTP_NOT_FOUND:
        return absl::NotFoundError("the platform has no entry with this name");
    case response::HTTP_PRECONDITION_FAILED:
        return absl::AbortedError("row has another version");
    default:
        return absl::UnavailableError(
            fmt::format("the platform answered with HTTP status {}", answer.status));
    }
}

} // namespace greengagehitch
