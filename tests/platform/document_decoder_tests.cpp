#include <criterion/criterion.h>

#include <fmt/format.h>

#include "platform/document_decoder.h"
#include "platform/platform_settings.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::document_decoder;

namespace {

constexpr auto member_document =
    R"({"service":"g","address":"10.1.0.9:8080","zone":"a","version":"v1","capacity":5,"state":"ready",)"
    R"("cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":17})";

std::string replace_text(std::string text, std::string const& from, std::string const& to)
{
    auto const at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

Test(member_entry, complete_entry_is_decoded)
{
    auto const entry = try_decode_member("i-1", member_document, {1, 8});
    cr_assert(entry.ok());
    cr_assert(entry->group == "g");
    cr_assert((entry->address == endpoint{"10.1.0.9", 8080}));
    cr_assert(entry->slots == 5);
    cr_assert(entry->started_at == 17);
    cr_assert(not(entry->claims_primary));
    cr_assert(not(entry->is_draining));
}

Test(member_entry, invalid_entry_is_rejected)
{
    for (auto const& text : {replace_text(member_document, R"("service":"g",)", ""),
                             replace_text(member_document, R"("capacity":5)", R"("capacity":"5")"),
                             replace_text(member_document, R"("version":"v1",)", ""),
                             replace_text(member_document, R"("cold-remaining-ms":0,)", ""),
                             replace_text(member_document, R"(,"sequence":4)", ""),
                             replace_text(member_document, R"("sequence":4)", R"("sequence":"4")"),
                             replace_text(member_document, R"("born":17)", R"("born":"17")"),
                             replace_text(member_document, R"("state":"ready")", R"("state":"asleep")"),
                             replace_text(member_document, R"("replica")", R"("witness")"),
                             replace_text(member_document, "10.1.0.9:8080", "somewhere"),
                             std::string("\xff\xfe"), std::string("[]"), std::string()}) {
        cr_assert(not(try_decode_member("i-1", text, {1, 8}).ok()), "%s", text.c_str());
    }
}

/// Guards against members that one kind of machine uses and the other does not, since bytes above 127 are
/// negative on one of them, and against members that cannot be named to themselves.
Test(member_entry, name_holds_any_byte_that_a_word_of_a_message_may_hold)
{
    for (std::string const& name : {std::string("\xc3\xa9"), std::string("a\nb"), std::string("a\rb"),
                                    std::string("a\tb\x7f"), std::string("a\0b", 3), std::string(200, 'x')}) {
        cr_assert(try_decode_member(name, member_document, {1, 8}).ok(), "%s", name.c_str());
    }
    for (std::string const& name :
         {std::string(), std::string("a b"), std::string("a\r\nb"), std::string(201, 'x')}) {
        cr_assert(not(try_decode_member(name, member_document, {1, 8}).ok()), "%s", name.c_str());
    }
    cr_assert(try_decode_member(
                  "i-1", replace_text(member_document, R"("service":"g")", R"("service":"\u00e9\t")"), {1, 8})
                  .ok());
    cr_assert(not(try_decode_member(
                      "i-1", replace_text(member_document, R"("service":"g")", R"("service":"g h")"), {1, 8})
                      .ok()));
}

Test(configuration, classes_keys_and_limits_are_decoded)
{
    auto const decoded = try_decode_configuration(
        R"({"version":7,"routes":[{"name":"r","database":"d","prefix":"/","type":"read_your_writes",)"
        R"("timeout-ms":1000,"target-latency-ms":400,"priority":2,"service":"g","max-attempts":2,)"
        R"("max-staleness-ms":2500,"public":false}],"services":[{"name":"g","max-connections":34,)"
        R"("sync-replicas":1}],"limits":{"tx-idle-ms":3000},)"
        R"("tenants":[{"name":"t","api-keys":["k1","k2"],"rate-per-s":12.5,"burst":9}]})");
    cr_assert(decoded.ok());
    auto const& work = decoded->classes.at("d");
    cr_assert(work.consistency == read_consistency::own_writes);
    cr_assert(work.max_data_age == 2500ms);
    cr_assert(work.latency_target == 400ms);
    cr_assert(decoded->account_of_key.at("k2") == "t");
    cr_assert(decoded->limits.at("t").rate == 12.5);
    cr_assert(decoded->groups.at("g").max_connections == 34);
}

Test(configuration, configuration_with_unknown_class_type_is_rejected)
{
    cr_assert(not(try_decode_configuration(
                      R"({"version":7,"routes":[{"name":"r","database":"d","type":"new","timeout-ms":1,)"
                      R"("service":"g"}]})")
                      .ok()));
}

Test(configuration, warm_up_without_a_positive_time_and_rate_is_none)
{
    for (auto const* const fields :
         {R"("cold-start-s":-1,"cold-per-s":12)", R"("cold-start-s":4,"cold-per-s":-2)",
          R"("cold-start-s":4)", R"("cold-start-s":"4","cold-per-s":12)"}) {
        auto const decoded = try_decode_configuration(R"({"version":1,"routes":[],"services":[{"name":"g",)" +
                                                      std::string(fields) + "}]}");
        cr_assert(decoded.ok());
        cr_assert(decoded->groups.at("g").warm_up_time == 0s, "%s", fields);
    }
    auto const decoded = try_decode_configuration(
        R"({"version":1,"routes":[],"services":[{"name":"g","cold-start-s":4.0,"cold-per-s":12.0}]})");
    cr_assert(decoded->groups.at("g").warm_up_time == 4s);
    cr_assert(decoded->groups.at("g").warm_up_rate == 12);
}

Test(platform_settings, bounds_of_evacuation_and_warm_up_are_optional)
{
    std::string const text = "vm: {name: a, availability_zone: z, processor_share: 1}\n"
                             "listen: {callers: '127.0.0.1:1', probes: '127.0.0.1:2', peers: '127.0.0.1:3'}\n"
                             "platform: {store: '127.0.0.1:4', orders: '127.0.0.1:5'}\n"
                             "limits:\n  key_withdrawal: 5s\n  shutdown: 6s\n  rate_window: 5s\n"
                             "  rate_tolerance_share: 0.1\n  rate_tolerance_operations: 20\n";
    auto const without = try_parse_platform_settings(text, "boot.yaml");
    cr_assert(without.ok(), "%s", std::string(without.status().message()).c_str());
    cr_assert(without->evacuation_limit == default_evacuation_limit);
    cr_assert(without->warm_up.rate_factor == 1);
    auto const with = try_parse_platform_settings(
        text + "  evacuation: 7000ms\n  warm_up_rate_factor: 1.5\n  warm_up_tolerance_requests: 5\n",
        "boot.yaml");
    cr_assert(with.ok());
    cr_assert(with->evacuation_limit == 7s);
    cr_assert(with->warm_up.rate_factor == 1.5);
    cr_assert(with->warm_up.tolerated_requests == 5);
}

Test(platform_settings, errors_name_missing_fields_and_lines_of_unknown_fields)
{
    auto const parsed = try_parse_platform_settings("vm:\n  name: a\n  colour: red\n", "boot.yaml");
    cr_assert(not(parsed.ok()));
    auto const text = std::string(parsed.status().message());
    cr_assert(text.find("boot.yaml:3") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("availability_zone") != std::string::npos, "%s", text.c_str());
}

/// Guards against requests that nobody sent and against messages whose words are shifted: tenants and
/// services whose names cannot be words of a message are refused, and the rest of the configuration applies.
Test(configuration, names_that_cannot_be_sent_are_refused_and_the_others_are_served)
{
    auto const decoded = try_decode_configuration(
        R"({"version":7,"routes":[)"
        R"({"name":"r","database":"d","type":"primary","service":"g","timeout-ms":1},)"
        R"({"name":"r","database":"e","type":"primary","service":"g\r\nh","timeout-ms":1}],"tenants":[)"
        R"({"name":"a","api-keys":["1"]},{"name":"a b","api-keys":["2"]},{"name":"","api-keys":["3"]},)"
        R"({"name":"a\nb\r","api-keys":["4"]}]})");
    cr_assert(decoded.ok());
    cr_assert(decoded->account_of_key.size() == 4);
    cr_assert(decoded->refused_accounts.size() == 2);
    cr_assert(decoded->refused_accounts.contains("a b") && decoded->refused_accounts.contains(""));
    cr_assert(decoded->find_refusal(decoded->classes.at("d"), "a\nb\r").empty());
    cr_assert(decoded->classes.at("e").refusal ==
              "the name of the service cannot be sent to its members: it contains a line end");
    cr_assert(not(decoded->find_refusal(decoded->classes.at("e"), "a").empty()));
}

/// Guards against headers that a name cuts: the name of a VM is sent as the holder of its duties, and a line
/// end in it began another header or the body.
Test(platform_settings, name_that_cannot_be_the_value_of_a_header_is_refused)
{
    auto const parse = [](std::string const& name, std::string const& zone) {
        return try_parse_platform_settings(
            "vm: {name: \"" + name + "\", availability_zone: \"" + zone +
                "\", processor_share: 1}\n"
                "listen: {callers: '127.0.0.1:1', probes: '127.0.0.1:2', peers: '127.0.0.1:3'}\n"
                "platform: {store: '127.0.0.1:4', orders: '127.0.0.1:5'}\n"
                "limits:\n  key_withdrawal: 5s\n  shutdown: 6s\n  rate_window: 5s\n"
                "  rate_tolerance_share: 0.1\n  rate_tolerance_operations: 20\n",
            "boot.yaml");
    };
    cr_assert(parse("vm 1\xc3\xa9", "zone a").ok());
    for (std::string const& odd :
         {std::string("a\\r\\nX-Fencing-Token: 9"), std::string("a\\n"), std::string("a\\0"),
          std::string("a\\x7f"), std::string(" a"), std::string("a "), std::string(201, 'x')}) {
        auto const with_name = parse(odd, "z");
        cr_assert(not(with_name.ok()), "%s", odd.c_str());
        auto const reason = std::string(with_name.status().message());
        cr_assert(reason.find("name: expected") != std::string::npos, "%s", reason.c_str());
        cr_assert(not(parse("a", odd).ok()), "%s", odd.c_str());
    }
}
