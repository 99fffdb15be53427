#include <criterion/criterion.h>

#include <string>

#include "base/json.h"
#include "callers/caller_endpoint.h"

namespace {

using namespace greengagehitch;

/// Returns the code of the error with which a request body is rejected, or 0 if it is converted to a request.
int error_code_of(std::string const& body)
{
    auto const call = parse_rpc_call(body);
    if (auto const* const error = std::get_if<rpc_error>(&call)) {
        return error->code;
    }
    auto const request = parse_caller_request(std::get<rpc_call>(call), "Bearer ggh_a_b");
    auto const* const error = std::get_if<rpc_error>(&request);
    return error == nullptr ? 0 : error->code;
}

std::string make_execute_call(std::string const& parameters)
{
    return R"({"jsonrpc":"2.0","id":1,"method":"execute","params":)" + parameters + "}";
}

constexpr int parse_error = -32700;
constexpr int invalid_request = -32600;
constexpr int method_not_found = -32601;
constexpr int invalid_parameters = -32602;

} // namespace

Test(caller_endpoint, broken_json_is_a_parse_error)
{
    for (auto const* const body : {"", "{", "[1,", "{\"a\":1}x", "\xff", "nul"}) {
        cr_assert(error_code_of(body) == parse_error, "%s", body);
    }
    cr_assert(error_code_of(std::string(100'000, '[')) == parse_error);
}

Test(caller_endpoint, malformed_calls_are_invalid_requests)
{
    for (auto const* const body :
         {"1", "[]", "{}", R"({"jsonrpc":"1.0","id":1,"method":"execute"})",
          R"({"jsonrpc":"2.0","method":"execute"})", R"({"jsonrpc":"2.0","id":{},"method":"execute"})",
          R"({"jsonrpc":"2.0","id":1,"method":7})"}) {
        cr_assert(error_code_of(body) == invalid_request, "%s", body);
    }
}

Test(caller_endpoint, unknown_method_is_refused)
{
    cr_assert(error_code_of(R"({"jsonrpc":"2.0","id":1,"method":"drop"})") == method_not_found);
}

Test(caller_endpoint, parameters_of_a_wrong_type_are_refused)
{
    for (auto const* const parameters :
         {"[]", "{}", R"({"class":1,"statement":{"sql":"select 1"}})", R"({"class":"a"})",
          R"({"class":"a","statement":"select 1"})", R"({"class":"a","statement":{"sql":""}})",
          R"({"class":"a","statement":{"sql":"select 1","parameters":{}}})",
          R"({"class":"a","statement":{"sql":"select 1","parameters":[[1]]}})",
          R"({"class":"a","statement":{"sql":"select 1","parameters":["\u0000"]}})",
          R"({"class":"a","statement":{"sql":"select 1","extra":1}})",
          R"({"class":"a","statement":{"sql":"select 1"},"statements":[]})",
          R"({"class":"a","statements":{}})", R"({"class":"a","statement":{"sql":"select 1"},"sesion":"x"})",
          R"({"class":"a","statement":{"sql":"select 1"},"session":5})"}) {
        cr_assert(error_code_of(make_execute_call(parameters)) == invalid_parameters, "%s", parameters);
    }
}

Test(caller_endpoint, valid_call_becomes_a_typed_request)
{
    auto const call = parse_rpc_call(make_execute_call(
        R"({"class":"a","request_id":"r","statement":{"sql":"select $1","parameters":[null,true,-5,1.5,"x"]}})"));
    auto const request = parse_caller_request(std::get<rpc_call>(call), "bearer  ggh_a_b ");
    auto const& typed = std::get<caller_request>(request);
    cr_assert(typed.key == std::string("ggh_a_b"));
    cr_assert(typed.request_id == std::string("r"));
    auto const& bound = typed.statements.front().parameters;
    cr_assert(not(bound[0].has_value()));
    cr_assert(*bound[1] == std::string("t"));
    cr_assert(*bound[2] == std::string("-5"));
    cr_assert(*bound[3] == std::string("1.5"));
    cr_assert(*bound[4] == std::string("x"));
}

Test(caller_endpoint, refusal_contains_outcome_reason_and_retry_delay)
{
    refusal const refused{outcome::unknown, refusal_reason::commit_unresolved,
                          "outcome of the commit is unknown", std::chrono::milliseconds(7)};
    auto const body = try_parse_json(format_caller_response(Json::Value(3), refused));
    cr_assert(body.ok());
    auto const& error = (*body)["error"];
    cr_assert(error["code"].asInt() == rpc_code::unknown_outcome);
    cr_assert(error["data"]["outcome"].asString() == std::string("unknown"));
    cr_assert(error["data"]["reason"].asString() == std::string("commit_unresolved"));
    cr_assert(error["data"]["retry_after_ms"].asInt() == 7);
    cr_assert((*body)["id"].asInt() == 3);
}
