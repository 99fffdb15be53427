#include "callers/caller_endpoint.h"

#include <array>
#include <cmath>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <jsonrpccpp/common/errors.h>

#include "request/result_json.h"

namespace greengagehitch {

namespace {

constexpr auto json_type = "application/json";
constexpr int http_ok = 200;
constexpr int http_method_not_allowed = 405;

rpc_error invalid_parameter(std::string const& name, std::string_view expected)
{
    rpc_error error{jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, fmt::format("{}: expected {}", name, expected),
                    Json::Value(Json::objectValue)};
    error.data["outcome"] = "not_run";
    error.data["reason"] = "invalid_request";
    return error;
}

/// Reads the parameters of a call and keeps the first error.
class parameter_reader {
public:
    explicit parameter_reader(Json::Value const& parameters) : m_parameters(parameters) {}

    void read_text(std::string const& name, std::string& target, bool is_required)
    {
        m_known_names.insert(name);
        if (!m_parameters.isMember(name)) {
            if (is_required) {
                record_error(invalid_parameter(name, "a string"));
            }
            return;
        }
        if (!m_parameters[name].isString()) {
            record_error(invalid_parameter(name, "a string"));
            return;
        }
        target = m_parameters[name].asString();
    }

    void read_statements(std::vector<statement>& target)
    {
        m_known_names.insert("statement");
        m_known_names.insert("statements");
        auto const has_one = m_parameters.isMember("statement");
        auto const has_many = m_parameters.isMember("statements");
        if (has_one == has_many) {
            record_error(
                invalid_parameter("statement", "exactly one of the parameters 'statement' and 'statements'"));
            return;
        }
        if (has_one) {
            read_statement("statement", m_parameters["statement"], target);
            return;
        }
        if (!m_parameters["statements"].isArray()) {
            record_error(invalid_parameter("statements", "an array of statements"));
            return;
        }
        for (auto const& each : m_parameters["statements"]) {
            read_statement(fmt::format("statements[{}]", target.size()), each, target);
        }
    }

    std::optional<rpc_error> finish()
    {
        for (auto const& name : m_parameters.getMemberNames()) {
            if (!m_known_names.contains(name)) {
                record_error(invalid_parameter(name, "a known parameter name"));
            }
        }
        return std::move(m_error);
    }

private:
    void read_statement(std::string const& name, Json::Value const& value, std::vector<statement>& target)
    {
        if (!value.isObject() || !value["sql"].isString() || value["sql"].asString().empty()) {
            record_error(invalid_parameter(name, "an object with the fields 'sql' and 'parameters'"));
            return;
        }
        for (auto const& field : value.getMemberNames()) {
            if (field != "sql" && field != "parameters") {
                record_error(invalid_parameter(fmt::format("{}.{}", name, field), "a known field name"));
            }
        }
        statement parsed;
        parsed.sql = value["sql"].asString();
        auto const& parameters = value["parameters"];
        if (!parameters.isNull() && !parameters.isArray()) {
            record_error(invalid_parameter(name + ".parameters", "an array"));
            return;
        }
        for (auto const& each : parameters) {
            read_bound_value(fmt::format("{}.parameters[{}]", name, parsed.parameters.size()), each,
                             parsed.parameters);
        }
        target.push_back(std::move(parsed));
    }

    void read_bound_value(std::string const& name, Json::Value const& value, std::vector<parameter>& target)
    {
        if (value.isNull()) {
            target.emplace_back();
        }
        else if (value.isBool()) {
            target.emplace_back(value.asBool() ? "t" : "f");
        }
        else if (value.isString()) {
            if (value.asString().find('\0') != std::string::npos) {
                record_error(invalid_parameter(name, "a string without NUL bytes"));
            }
            target.emplace_back(value.asString());
        }
        else if (value.isInt64()) {
            target.emplace_back(fmt::to_string(value.asInt64()));
        }
        else if (value.isUInt64()) {
            target.emplace_back(fmt::to_string(value.asUInt64()));
        }
        else if (value.isDouble() && std::isfinite(value.asDouble())) {
            target.emplace_back(fmt::format("{}", value.asDouble()));
        }
        else {
            record_error(invalid_parameter(name, "null, true, false, a number or a string"));
        }
    }

    void record_error(rpc_error error)
    {
        if (!m_error) {
            m_error = std::move(error);
        }
    }

    Json::Value const& m_parameters;
    std::set<std::string> m_known_names;
    std::optional<rpc_error> m_error;
};

Json::Value to_json(caller_answer const& answer)
{
    Json::Value result(Json::objectValue);
    result["results"] = to_caller_json(answer.results);
    result["session"] = answer.session;
    if (!answer.transaction.empty()) {
        result["transaction"] = answer.transaction;
    }
    if (answer.is_repeated) {
        result["repeated"] = true;
    }
    if (answer.source != served_by::none) {
        result["served_by"] = std::string(find_name(served_by_names, answer.source));
    }
    return result;
}

rpc_error to_error(refusal const& refused)
{
    rpc_error error{refused.effect == outcome::not_run ? rpc_code::not_run : rpc_code::unknown_outcome,
                    refused.message, Json::Value(Json::objectValue)};
    error.data["outcome"] = std::string(find_name(outcome_names, refused.effect));
    error.data["reason"] = std::string(find_name(refusal_reason_names, refused.reason));
    if (refused.retry_after > duration::zero()) {
        error.data["retry_after_ms"] =
            Json::Int64(std::chrono::ceil<std::chrono::milliseconds>(refused.retry_after).count());
    }
    if (refused.effect == outcome::unknown) {
        error.data["resolve"] = "call resolve with the same class and request_id";
    }
    return error;
}

} // namespace

std::variant<caller_request, rpc_error> parse_caller_request(rpc_call const& call,
                                                             std::string const& authorization)
{
    auto const kind = find_value(request_kind_names, call.method);
    if (!kind) {
        rpc_error error{jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND,
                        fmt::format("unknown method '{}'", call.method), Json::Value(Json::objectValue)};
        error.data["outcome"] = "not_run";
        error.data["reason"] = "invalid_request";
        return error;
    }
    caller_request request;
    request.kind = *kind;
    request.key = parse_bearer_token(authorization);
    parameter_reader reader(call.parameters);
    auto const has_class_name =
        *kind == request_kind::execute || *kind == request_kind::begin || *kind == request_kind::resolve;
    if (has_class_name) {
        reader.read_text("class", request.class_name, true);
        reader.read_text("database", request.database, false);
        reader.read_text("request_id", request.request_id, *kind == request_kind::resolve);
    }
    else {
        reader.read_text("transaction", request.transaction, true);
    }
    reader.read_text("session", request.session, false);
    if (*kind == request_kind::execute || *kind == request_kind::continue_transaction) {
        reader.read_statements(request.statements);
    }
    if (auto error = reader.finish()) {
        return *std::move(error);
    }
    return request;
}

std::string format_caller_response(Json::Value const& id, caller_response const& response)
{
    if (auto const* const answer = std::get_if<caller_answer>(&response)) {
        return format_rpc_result(id, to_json(*answer));
    }
    return format_rpc_error(id, to_error(std::get<refusal>(response)));
}

caller_endpoint::caller_endpoint(reactor& reactor, http_listener_options options, request_handler handler)
    : m_handler(std::move(handler)),
      m_listener(reactor, std::move(options), [this](http_request const& request) { handle(request); })
{
}

void caller_endpoint::handle(http_request const& request)
{
    if (request.method != "POST") {
        m_listener.send_answer(request.id, http_method_not_allowed, "text/plain",
                               "send JSON-RPC 2.0 by POST\n");
        return;
    }
    auto parsed = parse_rpc_call(request.body);
    if (auto const* const error = std::get_if<rpc_error>(&parsed)) {
        m_listener.send_answer(request.id, http_ok, json_type, format_rpc_error({}, *error));
        return;
    }
    auto const& call = std::get<rpc_call>(parsed);
    auto converted = parse_caller_request(call, request.authorization);
    if (auto const* const error = std::get_if<rpc_error>(&converted)) {
        m_listener.send_answer(request.id, http_ok, json_type, format_rpc_error(call.id, *error));
        return;
    }
    m_handler(std::get<caller_request>(std::move(converted)), [this, call_id = request.id, rpc_id = call.id](
                                                                  caller_response const& response) {
        m_listener.send_answer(call_id, http_ok, json_type, format_caller_response(rpc_id, response));
    });
}

} // namespace greengagehitch
