#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "adapters/http_client.h"
#include "platform/platform_adapter.h"
#include "platform/store_client.h"
#include "reactor/tcp_stream.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Time within which a call to this machine must have ended.
constexpr duration call_limit = 5s;
constexpr std::size_t one_worker = 1;

/// When a server sends the answer to an earlier call again.
enum class repetition {
    none,
    at_rest,   ///< Right after the first copy, before the next call.
    under_way, ///< While the next call is under way, before its answer.
};

struct received_request {
    std::string line; ///< Method, path and protocol version.
    std::string body;
};

std::string make_answer(int status, std::string_view body)
{
    return fmt::format("HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, body.size(), body);
}

/// HTTP server that keeps its connections open and can send each answer twice.
class repeating_server {
public:
    using handler = std::function<std::string(received_request const&)>;

    repeating_server(reactor& loop, repetition repeats, handler handler)
        : m_repeats(repeats), m_handler(std::move(handler)),
          m_acceptor(loop, [this](std::shared_ptr<tcp_stream> const& stream) { accept(stream); })
    {
        cr_assert(m_acceptor.try_listen({"127.0.0.1", 0}).ok());
    }

    endpoint address() const { return {"127.0.0.1", m_acceptor.port()}; }
    std::size_t requests() const { return m_requests; }
    /// Closes each connection after its first answer.
    void set_closes(bool closes) { m_closes = closes; }

private:
    struct connection {
        std::shared_ptr<tcp_stream> stream;
        std::string input;
        std::string last_answer;
    };

    void accept(std::shared_ptr<tcp_stream> const& stream)
    {
        auto& added = m_connections.emplace_back();
        added.stream = stream;
        tcp_stream::events events;
        events.bytes = [this, &added](std::string_view bytes) { handle_bytes(added, bytes); };
        events.ended = [] {};
        stream->start(std::move(events));
    }

    void handle_bytes(connection& source, std::string_view bytes)
    {
        source.input += bytes;
        while (auto request = try_take_request(source.input)) {
            ++m_requests;
            if (m_repeats == repetition::under_way) {
                source.stream->send(source.last_answer);
            }
            source.last_answer = m_handler(*request);
            source.stream->send(source.last_answer);
            if (m_repeats == repetition::at_rest) {
                source.stream->send(source.last_answer);
            }
            if (m_closes) {
                source.stream->close_after_sending([] {});
            }
        }
    }

    static std::optional<received_request> try_take_request(std::string& input)
    {
        constexpr std::string_view end_of_head = "\r\n\r\n";
        constexpr std::string_view length_field = "Content-Length: ";
        auto const head_end = input.find(end_of_head);
        if (head_end == std::string::npos) {
            return std::nullopt;
        }
        auto const length_at = input.find(length_field);
        std::size_t const length =
            length_at < head_end ? std::stoul(input.substr(length_at + length_field.size())) : 0;
        auto const body_at = head_end + end_of_head.size();
        if (input.size() < body_at + length) {
            return std::nullopt;
        }
        received_request request{input.substr(0, input.find("\r\n")), input.substr(body_at, length)};
        input.erase(0, body_at + length);
        return request;
    }

    repetition m_repeats;
    handler m_handler;
    std::deque<connection> m_connections;
    std::size_t m_requests = 0;
    bool m_closes = false;
    tcp_acceptor m_acceptor;
};

void ignore_log(log_record const& /*record*/) {}

/// Runs the event loop until `result` has a value.
template <typename T>
void wait_for(reactor& loop, std::optional<T> const& result)
{
    auto const end = loop.now() + call_limit;
    while (!result && loop.now() < end) {
        loop.run_once(10ms);
    }
    cr_assert(result.has_value(), "the call did not end in time");
}

/// Gives the event loop time to deliver what a server sends after its answer.
void rest(reactor& loop)
{
    auto const end = loop.now() + 20ms;
    while (loop.now() < end) {
        loop.run_once(5ms);
    }
}

/// Result of one order to promote a member.
absl::Status promote(reactor& loop, promotion_hook const& hook, std::uint64_t fence)
{
    std::optional<absl::Status> result;
    hook({"group", "member", "vm", fence}, [&result](absl::Status const& status) { result = status; });
    wait_for(loop, result);
    return *result;
}

void check_reads(repetition repeats)
{
    reactor loop;
    repeating_server server(loop, repeats, [](received_request const& request) {
        constexpr std::string_view key_field = "from=";
        auto const key_at = request.line.find(key_field) + key_field.size();
        auto const key = request.line.substr(key_at, request.line.find('&', key_at) - key_at);
        return make_answer(
            200,
            fmt::format(
                R"({{"rows":[{{"key":"{}","row-version":1,"value":""}}],"row-version":1,"now-ms":1}})", key));
    });
    http_client caller(loop, ignore_log, "server", server.address(), one_worker);
    store_client store(caller.hook(), caller.hook(), 1s);
    for (std::string const key : {"first", "second", "third"}) {
        std::optional<absl::StatusOr<store_rows>> result;
        store.read(store_purpose::failover_lock, "table", key, 1,
                   [&result](absl::StatusOr<store_rows> const& rows) { result = rows; });
        wait_for(loop, result);
        cr_assert(result->ok(), "%s", result->status().ToString().c_str());
        cr_assert((*result)->rows.size() == 1 && (*result)->rows.front().key == key,
                  "the read of %s returned the row of %s", key.c_str(), (*result)->rows.front().key.c_str());
        rest(loop);
    }
}

void check_writes(repetition repeats)
{
    reactor loop;
    std::uint64_t writes = 0;
    repeating_server server(loop, repeats, [&writes](received_request const&) {
        ++writes;
        return writes % 2 == 1 ? make_answer(200, fmt::format(R"({{"row-version":{}}})", writes))
                               : make_answer(412, R"({"rows":[]})");
    });
    http_client caller(loop, ignore_log, "server", server.address(), one_worker);
    store_client store(caller.hook(), caller.hook(), 1s);
    for (std::uint64_t write = 1; write <= 4; ++write) {
        std::optional<absl::StatusOr<std::uint64_t>> result;
        store.write(store_purpose::failover_lock, "table", "key", "value", 0,
                    [&result](absl::StatusOr<std::uint64_t> const& version) { result = version; });
        wait_for(loop, result);
        if (write % 2 == 1) {
            cr_assert(result->ok() && **result == write, "write %d did not return its version",
                      static_cast<int>(write));
        }
        else {
            cr_assert(absl::IsAborted(result->status()), "write %d was refused, but returned %s",
                      static_cast<int>(write), result->status().ToString().c_str());
        }
        rest(loop);
    }
}

void check_orders(repetition repeats)
{
    constexpr std::uint64_t accepted_orders = 8;
    reactor loop;
    repeating_server server(loop, repeats, [&server](received_request const&) {
        return make_answer(server.requests() <= accepted_orders ? 200 : 409, "{}");
    });
    promotion_client client(loop, ignore_log, server.address(), 1s);
    auto const hook = client.hook();
    for (std::uint64_t order = 1; order <= 2 * accepted_orders; ++order) {
        auto const result = promote(loop, hook, order);
        if (order <= accepted_orders) {
            cr_assert(result.ok(), "order %d: %s", static_cast<int>(order), result.ToString().c_str());
        }
        else {
            cr_assert(absl::IsFailedPrecondition(result), "order %d was refused, but returned %s",
                      static_cast<int>(order), result.ToString().c_str());
        }
        rest(loop);
    }
}

} // namespace

/// Guards against a VM that acts on the answer to an earlier call: the store sent an answer twice, and the
/// client took the second one for the answer to the next call on the connection, so a read returned another
/// key's row.
Test(http_answers, read_after_an_answer_that_arrived_twice_at_rest_returns_its_own_row)
{
    check_reads(repetition::at_rest);
}

/// As before, while the second answer arrives with the call already under way.
Test(http_answers, read_after_an_answer_that_arrived_twice_meanwhile_returns_its_own_row)
{
    check_reads(repetition::under_way);
}

/// Guards against two VMs that hold one lock: a write that the store refused seemed to have succeeded, since
/// the answer to an earlier write arrived a second time.
Test(http_answers, refused_write_after_an_answer_that_arrived_twice_at_rest_does_not_succeed)
{
    check_writes(repetition::at_rest);
}

/// As before, while the second answer arrives with the call already under way.
Test(http_answers, refused_write_after_an_answer_that_arrived_twice_meanwhile_does_not_succeed)
{
    check_writes(repetition::under_way);
}

/// Guards against a takeover that goes on without an order: the platform refused an order to promote a
/// member, and the answer to an earlier order, which arrived a second time, counted as its acceptance.
Test(http_answers, refused_order_after_an_answer_that_arrived_twice_at_rest_is_not_accepted)
{
    check_orders(repetition::at_rest);
}

/// As before, while the second answer arrives with the call already under way.
Test(http_answers, refused_order_after_an_answer_that_arrived_twice_meanwhile_is_not_accepted)
{
    check_orders(repetition::under_way);
}

/// Guards against a call that seems to have succeeded although its answer ended early: an answer without a
/// length, one with a chunk missing and one that ended within its header counted as whole.
Test(http_answers, answer_that_is_not_whole_is_refused)
{
    std::string const head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
    std::vector<std::string> const cut_answers{
        head + "\r\n{}",
        head + "Content-Length: 4\r\n\r\n{}",
        head + "Content-Length: 0\r\n",
        head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
        head + "Content-Length: x\r\n\r\n{}",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\n{}",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 2",
        "HELLO\r\n\r\n",
    };
    for (auto const& cut : cut_answers) {
        reactor loop;
        repeating_server server(loop, repetition::none, [&cut](received_request const&) { return cut; });
        server.set_closes(true);
        http_client caller(loop, ignore_log, "server", server.address(), one_worker);
        std::optional<http_response> result;
        caller.call({"POST", "/call", "{}", {}, 1s},
                    [&result](http_response const& answer) { result = answer; });
        wait_for(loop, result);
        cr_assert(result->status == 0, "status %d for the answer %s", result->status, cut.c_str());
        cr_assert(result->headers.empty() && result->body.empty(), "the answer %s was not discarded",
                  cut.c_str());
    }
}

/// Guards against refusals of answers that are whole, however they say where they end.
Test(http_answers, whole_answer_is_accepted)
{
    std::string const head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
    std::vector<std::string> const whole_answers{
        head + "Content-Length: 7\r\n\r\n{\"a\":1}",
        head + "content-length:7\r\nConnection: close\r\n\r\n{\"a\":1}",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\n{\"a\r\n4;x=y\r\n\":1}\r\n0\r\nTrailer: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 7\r\n\r\n{\"a\":1}",
    };
    for (auto const& whole : whole_answers) {
        reactor loop;
        repeating_server server(loop, repetition::none, [&whole](received_request const&) { return whole; });
        http_client caller(loop, ignore_log, "server", server.address(), one_worker);
        std::optional<http_response> result;
        caller.call({"GET", "/call", "", {}, 1s},
                    [&result](http_response const& answer) { result = answer; });
        wait_for(loop, result);
        cr_assert(result->status == 200 && result->body == R"({"a":1})", "status %d for the answer %s",
                  result->status, whole.c_str());
        cr_assert(result->headers.at("store-era") == "1");
    }
}

/// Guards against answers that are discarded without a trace: operators saw calls without an answer only,
/// whether the server was silent or its answers ended early.
Test(http_answers, refused_answer_is_counted_and_logged_with_its_path)
{
    std::vector<std::pair<std::string, http_refusal>> const refused_answers{
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}", http_refusal::cut_short},
        {"HTTP/1.1 200 OK\r\n\r\n{}", http_refusal::without_length},
        {"HELLO\r\n\r\n", http_refusal::malformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", http_refusal::too_large},
    };
    for (auto const& [refused, reason] : refused_answers) {
        reactor loop;
        repeating_server server(loop, repetition::none,
                                [&bytes = refused](received_request const&) { return bytes; });
        server.set_closes(true);
        std::vector<log_record> records;
        http_client caller(
            loop, [&records](log_record const& record) { records.push_back(record); }, "store",
            server.address(), one_worker);
        std::optional<http_response> result;
        caller.call({"POST", "/rows-tx", "{}", {}, 1s},
                    [&result](http_response const& answer) { result = answer; });
        wait_for(loop, result);
        cr_assert(result->status == 0 && result->refusal == reason);
        cr_assert(caller.refusals()[static_cast<std::size_t>(reason)] == 1);
        cr_assert(records.size() == 1, "%zu log lines", records.size());
        cr_assert(records.front().fields["path"] == "/rows-tx" &&
                  records.front().fields["server"] == "store");
        cr_assert(records.front().fields["reason"] ==
                  std::string(http_refusal_names[static_cast<std::size_t>(reason)].name));
    }
}

/// Guards against refusals that are counted where no answer has arrived: the server closed the connection.
Test(http_answers, call_without_an_answer_is_not_counted_as_refused)
{
    reactor loop;
    repeating_server server(loop, repetition::none, [](received_request const&) { return std::string(); });
    server.set_closes(true);
    http_client caller(loop, ignore_log, "server", server.address(), one_worker);
    std::optional<http_response> result;
    caller.call({"GET", "/call", "", {}, 1s}, [&result](http_response const& answer) { result = answer; });
    wait_for(loop, result);
    cr_assert(result->status == 0 && !result->refusal);
    for (auto const count : caller.refusals()) {
        cr_assert(count == 0);
    }
}

/// Guards against orders with another fence or body: a line end in the value of a header ended it, and what
/// followed was another header. Such a request fails at once and is logged.
Test(http_requests, request_whose_head_holds_a_control_character_is_not_sent)
{
    reactor loop;
    repeating_server server(loop, repetition::none,
                            [](received_request const&) { return make_answer(200, "{}"); });
    std::vector<log_record> records;
    http_client caller(
        loop, [&records](log_record const& record) { records.push_back(record); }, "orders", server.address(),
        one_worker);
    for (auto const& [path, holder] : std::vector<std::pair<std::string, std::string>>{
             {"/failover", "vm\r\nX-Fencing-Token: 9"},
             {"/failover", std::string("v\0m", 3)},
             {"/failover HTTP/1.1\r\nX-Fencing-Token: 9", "vm"}}) {
        std::optional<int> status;
        caller.call({"POST", path, "{}", {{"X-Duty-Holder", holder}}, 1s},
                    [&status](http_response const& answer) { status = answer.status; });
        wait_for(loop, status);
        cr_assert(*status == 0);
    }
    cr_assert(server.requests() == 0);
    cr_assert(records.size() == 3);
    std::optional<int> status;
    caller.call({"POST", "/failover", "{}", {{"X-Duty-Holder", "vm \xc3\xa9"}}, 1s},
                [&status](http_response const& answer) { status = answer.status; });
    wait_for(loop, status);
    cr_assert(*status == 200);
}

/// Guards against reads of other rows than those asked for: keys hold any bytes, and are part of a path.
Test(http_requests, text_with_any_bytes_is_escaped_in_paths)
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte) {
        all += static_cast<char>(byte);
    }
    for (auto const& escaped : {escape_query(all), escape_path(all)}) {
        std::string decoded;
        for (std::size_t i = 0; i < escaped.size(); ++i) {
            cr_assert(escaped[i] > ' ' && escaped[i] < 127, "byte %d at %zu", escaped[i], i);
            if (escaped[i] == '%') {
                decoded += static_cast<char>(std::stoi(escaped.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else {
                cr_assert(std::string_view("?#&+").find(escaped[i]) == std::string_view::npos);
                decoded += escaped[i];
            }
        }
        cr_assert(decoded == all);
    }
}
