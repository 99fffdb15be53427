#include "configuration/configuration.h"

#include <fmt/format.h>
#include <json/value.h>
#include <yaml-cpp/yaml.h>

#include "base/digest.h"
#include "base/json.h"
#include "base/try.h"
#include "settings/yaml_section.h"

namespace greengagehitch {

namespace {

constexpr duration min_delay = std::chrono::milliseconds(1);
constexpr duration max_delay = std::chrono::minutes(5);
constexpr duration max_age = std::chrono::hours(24);
constexpr duration default_idle_limit = std::chrono::seconds(10);
constexpr duration max_idle_limit = std::chrono::minutes(10);
constexpr double max_rate = 1e7;
constexpr auto read_your_writes = "read_your_writes";

work_class read_class(std::string const& name, yaml_section& section)
{
    work_class result;
    result.name = name;
    auto const access = section.required_string("access");
    if (auto const value = find_value(class_access_names, access)) {
        result.access = *value;
    }
    else if (!access.empty()) {
        section.report("access", "expected read or write");
    }
    result.databases = section.required_strings("databases");
    if (result.databases.empty()) {
        section.report("databases", "expected at least one database");
    }
    if (section.optional_string("freshness", read_your_writes) != read_your_writes) {
        result.freshness = section.required_duration("freshness", min_delay, max_age);
    }
    result.delay = section.required_duration("delay", min_delay, max_delay);
    result.acceptable_refusals = section.optional_fraction("acceptable_refusals", 0);
    result.is_repeatable = section.optional_bool("repeatable", result.access == class_access::read);
    result.is_open_to_all = section.optional_bool("open_to_all", false);
    result.transaction_idle_limit = section.optional_duration(
        "transaction_idle_limit", std::chrono::milliseconds(10), max_idle_limit, default_idle_limit);
    if (result.is_open_to_all && result.access == class_access::write) {
        section.report("open_to_all", "expected false: a class that writes needs a key");
    }
    return result;
}

client_account read_account(std::string const& name, yaml_section& section)
{
    client_account result;
    result.name = name;
    result.rate = section.required_decimal("rate", 0, max_rate);
    result.burst = section.required_decimal("burst", 1, max_rate);
    return result;
}

void check_databases(configuration_document const& document, yaml_section& root)
{
    for (auto const& [name, each] : document.classes) {
        for (auto const& database : each.databases) {
            if (!document.databases.contains(database)) {
                root.report("classes",
                            fmt::format("class '{}' refers to database '{}', which is not listed under "
                                        "databases",
                                        name, database));
            }
        }
    }
}

} // namespace

absl::StatusOr<configuration_document> try_parse_configuration(std::string const& text,
                                                               std::string const& file)
{
    settings_problems problems(file);
    auto const node = parse_yaml(text, problems);
    TRY(problems.to_status());
    configuration_document document;
    yaml_section root(node, "", problems);
    root.for_each_entry("databases", [&document](std::string const& name, yaml_section& section) {
        document.databases.emplace(name, database_entry{name, section.optional_bool("leaving", false)});
    });
    root.for_each_entry("classes", [&document](std::string const& name, yaml_section& section) {
        document.classes.emplace(name, read_class(name, section));
    });
    root.for_each_entry("client_accounts", [&document](std::string const& name, yaml_section& section) {
        document.client_accounts.emplace(name, read_account(name, section));
    });
    check_databases(document, root);
    root.report_unknown_fields();
    TRY(problems.to_status());
    return document;
}

work_class const* configuration_snapshot::find_class(std::string const& name) const
{
    auto const found = document.classes.find(name);
    return found == document.classes.end() ? nullptr : &found->second;
}

std::string encode_snapshot(configuration_snapshot const& snapshot)
{
    Json::Value root(Json::objectValue);
    root["version"] = Json::UInt64(snapshot.version);
    root["previous_digest"] = snapshot.previous_digest;
    root["author"] = snapshot.author;
    root["summary"] = snapshot.summary;
    root["document"] = snapshot.document_text;
    root["keys"] = Json::Value(Json::arrayValue);
    for (auto const& [id, key] : snapshot.keys) {
        Json::Value entry(Json::objectValue);
        entry["id"] = id;
        entry["client_account"] = key.client_account;
        entry["salt"] = key.salt;
        entry["digest"] = key.digest;
        root["keys"].append(std::move(entry));
    }
    return to_json_line(root);
}

absl::StatusOr<configuration_snapshot> try_decode_snapshot(std::string const& body)
{
    auto const root = TRY(try_parse_json(body));
    configuration_snapshot snapshot;
    try {
        snapshot.version = root["version"].asUInt64();
        snapshot.previous_digest = root["previous_digest"].asString();
        snapshot.author = root["author"].asString();
        snapshot.summary = root["summary"].asString();
        snapshot.document_text = root["document"].asString();
        for (auto const& entry : root["keys"]) {
            auto const id = entry["id"].asString();
            snapshot.keys.emplace(id, key_record{id, entry["client_account"].asString(),
                                                 entry["salt"].asString(), entry["digest"].asString()});
        }
    }
    catch (Json::Exception const& exception) {
        return absl::DataLossError(fmt::format("cannot decode configuration snapshot: {}", exception.what()));
    }
    snapshot.document = TRY(try_parse_configuration(snapshot.document_text, "configuration"));
    snapshot.digest = to_hex(sha256(body));
    return snapshot;
}

} // namespace greengagehitch
