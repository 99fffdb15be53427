#include "callers/operator_endpoint.h"

#include <utility>

#include <fmt/format.h>
#include <jsonrpccpp/common/errors.h>

#include "base/digest.h"

namespace greengagehitch {

namespace {

constexpr auto json_type = "application/json";
constexpr int http_ok = 200;
constexpr int http_unauthorized = 401;
constexpr std::size_t default_history_entries = 20;
constexpr std::size_t max_history_entries = 500;

std::string string_parameter(Json::Value const& parameters, char const* name)
{
    auto const& value = parameters[name];
    return value.isString() ? value.asString() : std::string();
}

rpc_error invalid_parameters(std::string message)
{
    return {jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, std::move(message), {}};
}

std::variant<Json::Value, rpc_error> to_reply(publication const& result)
{
    if (result.result_kind == publication::kind::accepted) {
        Json::Value accepted(Json::objectValue);
        accepted["version"] = Json::UInt64(result.version);
        return accepted;
    }
    rpc_error error;
    error.code =
        result.result_kind == publication::kind::conflict ? rpc_code::conflict : rpc_code::unavailable;
    if (result.result_kind == publication::kind::rejected) {
        error.code = jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS;
    }
    error.message = result.message;
    error.data["result"] = std::string(find_name(publication_kind_names, result.result_kind));
    error.data["version"] = Json::UInt64(result.version);
    error.data["author"] = result.author;
    return error;
}

} // namespace

operator_endpoint::operator_endpoint(reactor& reactor, http_listener_options options, std::string token,
                                     entry_vm& vm, std::function<void()> drain)
    : m_token(std::move(token)), m_vm(vm), m_drain(std::move(drain)),
      m_listener(reactor, std::move(options), [this](http_request const& request) { handle(request); })
{
    add_methods();
}

void operator_endpoint::handle(http_request const& request)
{
    if (!is_equal_in_constant_time(parse_bearer_token(request.authorization), m_token)) {
        m_listener.send_answer(request.id, http_unauthorized, "text/plain",
                               "operator token is missing or wrong\n");
        return;
    }
    auto const parsed = parse_rpc_call(request.body);
    if (auto const* const error = std::get_if<rpc_error>(&parsed)) {
        m_listener.send_answer(request.id, http_ok, json_type, format_rpc_error({}, *error));
        return;
    }
    auto const& call = std::get<rpc_call>(parsed);
    auto const found = m_methods.find(call.method);
    if (found == m_methods.end()) {
        rpc_error const error{
            jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND, fmt::format("unknown method '{}'", call.method), {}};
        m_listener.send_answer(request.id, http_ok, json_type, format_rpc_error(call.id, error));
        return;
    }
    found->second(call.parameters, [this, http_id = request.id,
                                    id = call.id](std::variant<Json::Value, rpc_error> answer) {
        auto const* const error = std::get_if<rpc_error>(&answer);
        auto body = error != nullptr ? format_rpc_error(id, *error)
                                     : format_rpc_result(id, std::get<Json::Value>(std::move(answer)));
        m_listener.send_answer(http_id, http_ok, json_type, std::move(body));
    });
}

void operator_endpoint::add_methods()
{
    m_methods["status"] = [this](Json::Value const& /*parameters*/, reply_callback const& done) {
        done(status());
    };
    m_methods["dump"] = [this](Json::Value const& /*parameters*/, reply_callback const& done) {
        done(m_vm.dump());
    };
    m_methods["drain"] = [this](Json::Value const& /*parameters*/, reply_callback const& done) {
        done(Json::Value("draining"));
        m_drain();
    };
    m_methods["config.show"] = [this](Json::Value const& parameters, reply_callback const& done) {
        show_configuration(parameters, done);
    };
    m_methods["config.apply"] = [this](Json::Value const& parameters, reply_callback const& done) {
        apply_configuration(parameters, done);
    };
    m_methods["config.history"] = [this](Json::Value const& parameters, reply_callback const& done) {
        show_history(parameters, done);
    };
    m_methods["key.give"] = [this](Json::Value const& parameters, reply_callback const& done) {
        give_key(parameters, done);
    };
    m_methods["key.withdraw"] = [this](Json::Value const& parameters, reply_callback const& done) {
        withdraw_key(parameters, done);
    };
    m_methods["key.list"] = [this](Json::Value const& /*parameters*/, reply_callback const& done) {
        list_keys(done);
    };
}

void operator_endpoint::show_configuration(Json::Value const& parameters, reply_callback const& done)
{
    auto const digest = string_parameter(parameters, "digest");
    auto const& current = m_vm.configuration().current();
    if (digest.empty() && !current) {
        Json::Value empty_configuration(Json::objectValue);
        empty_configuration["version"] = Json::UInt64(0);
        empty_configuration["document"] = "";
        done(empty_configuration);
        return;
    }
    m_vm.configuration().read_snapshot(
        digest.empty() ? current->digest : digest, [done](auto const& snapshot) {
            if (!snapshot.ok()) {
                done(rpc_error{rpc_code::unavailable, std::string(snapshot.status().message()), {}});
                return;
            }
            Json::Value output(Json::objectValue);
            output["version"] = Json::UInt64(snapshot->version);
            output["digest"] = snapshot->digest;
            output["author"] = snapshot->author;
            output["summary"] = snapshot->summary;
            output["document"] = snapshot->document_text;
            done(output);
        });
}

void operator_endpoint::apply_configuration(Json::Value const& parameters, reply_callback const& done)
{
    if (!parameters["base_version"].isUInt64()) {
        done(invalid_parameters("base_version: expected the version that the document is based on"));
        return;
    }
    m_vm.configuration().publish_document(
        parameters["base_version"].asUInt64(), string_parameter(parameters, "document"),
        string_parameter(parameters, "author"), string_parameter(parameters, "summary"),
        [done](publication const& result) { done(to_reply(result)); });
}

void operator_endpoint::show_history(Json::Value const& parameters, reply_callback const& done)
{
    auto const limit = parameters["limit"].isUInt()
                           ? std::min<std::size_t>(parameters["limit"].asUInt(), max_history_entries)
                           : default_history_entries;
    m_vm.configuration().read_history(limit, [done](auto const& entries) {
        Json::Value output(Json::arrayValue);
        for (auto const& entry : entries) {
            Json::Value item(Json::objectValue);
            item["version"] = Json::UInt64(entry.version);
            item["author"] = entry.author;
            item["summary"] = entry.summary;
            item["digest"] = entry.digest;
            item["in_force"] = entry.is_active;
            output.append(std::move(item));
        }
        done(output);
    });
}

void operator_endpoint::give_key(Json::Value const& parameters, reply_callback const& done)
{
    key_record const record{string_parameter(parameters, "id"),
                            string_parameter(parameters, "client_account"),
                            string_parameter(parameters, "salt"), string_parameter(parameters, "digest")};
    if (record.id.empty() || record.salt.empty() || record.digest.empty()) {
        done(invalid_parameters("expected the parameters id, client_account, salt and digest"));
        return;
    }
    m_vm.configuration().publish_change(
        [record](configuration_snapshot& snapshot) -> absl::Status {
            if (!snapshot.document.client_accounts.contains(record.client_account)) {
                return absl::NotFoundError(
                    fmt::format("client account '{}' is not configured", record.client_account));
            }
            auto const [existing, is_new] = snapshot.keys.emplace(record.id, record);
            if (!is_new && existing->second.digest != record.digest) {
                return absl::AlreadyExistsError(fmt::format("key '{}' already exists", record.id));
            }
            return absl::OkStatus();
        },
        string_parameter(parameters, "author"),
        fmt::format("gave key {} to {}", record.id, record.client_account),
        [done](publication const& result) { done(to_reply(result)); });
}

void operator_endpoint::withdraw_key(Json::Value const& parameters, reply_callback const& done)
{
    auto const id = string_parameter(parameters, "id");
    m_vm.configuration().publish_change(
        [id](configuration_snapshot& snapshot) -> absl::Status {
            if (snapshot.keys.erase(id) == 0) {
                return absl::NotFoundError(fmt::format("key '{}' does not exist", id));
            }
            return absl::OkStatus();
        },
        string_parameter(parameters, "author"), fmt::format("withdrew key {}", id),
        [done](publication const& result) { done(to_reply(result)); });
}

void operator_endpoint::list_keys(reply_callback const& done)
{
    Json::Value output(Json::arrayValue);
    if (auto const& current = m_vm.configuration().current()) {
        for (auto const& [id, key] : current->keys) {
            Json::Value item(Json::objectValue);
            item["id"] = id;
            item["client_account"] = key.client_account;
            output.append(std::move(item));
        }
    }
    done(output);
}

Json::Value operator_endpoint::status()
{
    auto const state = m_vm.dump();
    Json::Value output(Json::objectValue);
    output["vm"] = state["vm"];
    output["availability_zone"] = state["membership"]["availability_zone"];
    output["is_draining"] = state["requests"]["is_draining"];
    output["configuration_version"] = state["configuration"]["version"];
    output["requests_in_flight"] = state["requests"]["in_flight"];
    output["peers"] = state["membership"]["peers"];
    output["databases"] = Json::Value(Json::arrayValue);
    for (auto const& name : state["groups"].getMemberNames()) {
        auto const& group = state["groups"][name];
        Json::Value item(Json::objectValue);
        item["database"] = name;
        item["term"] = group["term"];
        item["primary"] = group["primary"];
        output["databases"].append(std::move(item));
    }
    output["classes"] = state["diagnosis"];
    return output;
}

} // namespace greengagehitch
