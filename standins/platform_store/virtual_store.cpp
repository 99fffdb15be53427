#include "virtual_store.h"

#include <algorithm>

#include <Poco/URI.h>
#include <fmt/format.h>

#include "base/base64.h"
#include "base/json.h"
#include "base/verify.h"

namespace greengagehitch::standin {

namespace {

enum http_status {
    http_ok = 200,
    http_not_found = 404,
    http_gone = 410,
    http_condition_failed = 412,
    http_unavailable = 503
};

std::map<std::string, std::string> parse_query(std::string const& path)
{
    std::map<std::string, std::string> query;
    for (auto const& [name, value] : Poco::URI(path).getQueryParameters()) {
        query[name] = value;
    }
    return query;
}

std::string field(std::map<std::string, std::string> const& query, std::string const& name)
{
    auto const found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

Json::Value encode_row(std::string const& key, std::string const& value, std::uint64_t version)
{
    Json::Value row(Json::objectValue);
    row["key"] = key;
    row["value"] = encode_base64(value);
    row["row-version"] = Json::UInt64(version);
    return row;
}

} // namespace

http_call_hook virtual_store::hook(std::string const& caller)
{
    return [this, caller](http_client_request const& request, http_response_callback done) {
        m_paths[caller].push_back(request.path);
        auto const sent_at = m_clock.now();
        auto respond = [this, sent_at, done = std::move(done)](http_response const& response) {
            auto answered = response;
            answered.sent_at = sent_at;
            answered.answered_at = m_clock.now();
            if (m_repetition_delay) {
                m_clock.start_timer(*m_repetition_delay, [done, answered] { done(answered); });
            }
            done(answered);
        };
        m_clock.start_timer(m_latency, [this, caller, request, respond = std::move(respond)] {
            if (!m_is_available && m_rejects_calls) {
                http_response rejection;
                rejection.status = http_unavailable;
                respond(rejection);
                return;
            }
            if (!can_answer(caller)) {
                m_clock.start_timer(request.timeout, [respond] { respond({}); });
                return;
            }
            if (request.path.starts_with("/rows-feed")) {
                poll(caller, parse_query(request.path), respond);
                return;
            }
            respond(handle(request));
        });
    };
}

std::uint64_t virtual_store::put(std::string const& table, std::string const& key, std::string const& value)
{
    ++m_contents.version;
    record(table, key, value, false);
    return m_contents.version;
}

std::uint64_t virtual_store::erase(std::string const& table, std::string const& key)
{
    ++m_contents.version;
    record(table, key, {}, true);
    return m_contents.version;
}

void virtual_store::raise_version(std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        put("other", "row", std::to_string(i));
    }
}

void virtual_store::restore(copy older)
{
    VERIFY(older.version <= m_contents.version);
    m_contents = std::move(older);
    m_discarded_version = std::min(m_discarded_version, m_contents.version);
    ++m_era;
    for (auto const& waiting : std::exchange(m_polls, {})) {
        waiting->done({});
    }
}

void virtual_store::set_cut(std::string const& caller, bool is_cut)
{
    if (is_cut) {
        m_cut.insert(caller);
    }
    else {
        m_cut.erase(caller);
    }
}

std::size_t virtual_store::calls(std::string const& caller, std::string const& prefix) const
{
    auto const found = m_paths.find(caller);
    if (found == m_paths.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&prefix](std::string const& path) { return path.starts_with(prefix); }));
}

http_response virtual_store::handle(http_client_request const& request)
{
    if (request.path.starts_with("/rows-get")) {
        return read(parse_query(request.path));
    }
    if (request.path == "/rows-tx") {
        return write(request.body);
    }
    return answer(http_not_found, Json::Value(Json::objectValue));
}

http_response virtual_store::read(std::map<std::string, std::string> const& query) const
{
    auto const table = field(query, "table");
    auto const limit = static_cast<Json::ArrayIndex>(std::stoul(field(query, "limit")));
    Json::Value root(Json::objectValue);
    root["rows"] = Json::Value(Json::arrayValue);
    root["has-more"] = false;
    for (auto each = m_contents.rows.lower_bound({table, field(query, "from")});
         each != m_contents.rows.end() && each->first.first == table; ++each) {
        if (root["rows"].size() == limit) {
            root["has-more"] = true;
            break;
        }
        root["rows"].append(encode_row(each->first.second, each->second.value, each->second.version));
    }
    return answer(http_ok, std::move(root));
}

http_response virtual_store::write(std::string const& body)
{
    auto const root = try_parse_json(body);
    VERIFY(root.ok());
    for (auto const& expected : (*root)["expected"]) {
        auto const found = m_contents.rows.find({expected["table"].asString(), expected["key"].asString()});
        auto const version = found == m_contents.rows.end() ? 0 : found->second.version;
        if (version != expected["row-version"].asUInt64()) {
            return answer(http_condition_failed, Json::Value(Json::objectValue));
        }
    }
    ++m_contents.version;
    for (auto const& row : (*root)["writes"]) {
        record(row["table"].asString(), row["key"].asString(), decode_base64(row["value"].asString()), false);
    }
    return answer(http_ok, Json::Value(Json::objectValue));
}

void virtual_store::poll(std::string const& caller, std::map<std::string, std::string> const& query,
                         http_response_callback done)
{
    auto const table = field(query, "table");
    auto const after = std::stoull(field(query, "after"));
    auto const wait = std::chrono::milliseconds(std::stoul(field(query, "wait-ms")));
    if (!can_show_changes(after) || has_changes(table, after) || wait == duration::zero()) {
        done(changes(table, after));
        return;
    }
    auto const waiting = std::make_shared<waiting_poll>(waiting_poll{caller, table, after, std::move(done)});
    m_polls.push_back(waiting);
    m_clock.start_timer(wait, [this, weak = std::weak_ptr(waiting)] {
        auto const ended = weak.lock();
        if (ended) {
            std::erase(m_polls, ended);
            ended->done(can_answer(ended->caller) ? changes(ended->table, ended->after) : http_response{});
        }
    });
}

bool virtual_store::can_show_changes(std::uint64_t after) const
{
    return m_keeps_history && after <= m_contents.version && after >= m_discarded_version;
}

bool virtual_store::has_changes(std::string const& table, std::uint64_t after) const
{
    return std::any_of(m_contents.history.begin(), m_contents.history.end(), [&](copy::change const& each) {
        return each.name.first == table && each.version > after;
    });
}

http_response virtual_store::changes(std::string const& table, std::uint64_t after) const
{
    Json::Value root(Json::objectValue);
    if (!can_show_changes(after)) {
        return answer(http_gone, std::move(root));
    }
    root["rows"] = Json::Value(Json::arrayValue);
    for (auto const& each : m_contents.history) {
        if (each.name.first == table && each.version > after) {
            auto row = encode_row(each.name.second, each.value, each.version);
            row["deleted"] = each.is_deleted;
            root["rows"].append(std::move(row));
        }
    }
    return answer(http_ok, std::move(root));
}

http_response virtual_store::answer(int status, Json::Value root) const
{
    root["row-version"] = Json::UInt64(m_contents.version);
    root["now-ms"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch()).count());
    http_response response;
    response.status = status;
    response.body = to_json_line(root);
    response.headers["Store-Era"] = std::to_string(m_era);
    return response;
}

void virtual_store::record(std::string const& table, std::string const& key, std::string const& value,
                           bool is_deleted)
{
    std::pair const name(table, key);
    if (is_deleted) {
        m_contents.rows.erase(name);
    }
    else {
        m_contents.rows[name] = {value, m_contents.version};
    }
    m_contents.history.push_back({name, m_contents.version, is_deleted, value});
    wake_polls();
}

void virtual_store::wake_polls()
{
    // Answered later, so that a call never returns within another one.
    m_clock.start_timer(m_latency, [this] {
        for (auto const& waiting : std::vector(m_polls)) {
            if (can_answer(waiting->caller) && has_changes(waiting->table, waiting->after)) {
                std::erase(m_polls, waiting);
                waiting->done(changes(waiting->table, waiting->after));
            }
        }
    });
}

} // namespace greengagehitch::standin
