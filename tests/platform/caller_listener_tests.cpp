#include <memory>
#include <string>

#include <criterion/criterion.h>

#include "platform/caller_listener.h"
#include "platform/document_decoder.h"
#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

constexpr std::size_t stopped_vm = 0;
/// What a caller receives at the end of its session, and for a statement behind the end.
std::string const last_error = line_protocol::encode_error(session_error::busy);
std::string const refusal = last_error + line_protocol::encode_end_of_answer();

/// Connection of a caller to the listener of a VM, whose fleet runs in virtual time.
struct connected_caller {
    connected_caller()
        : fleet({}, 1), listener(std::make_unique<caller_listener>(
                            loop, fleet.vm(stopped_vm).sessions(),
                            [this](log_record const& record) { records.push_back(record); }))
    {
        fleet.clock().run_for(4s);
        cr_assert(listener->try_listen({"127.0.0.1", 0}).ok());
        stream = tcp_stream::try_connect(loop, {"127.0.0.1", listener->port()});
        cr_assert(stream != nullptr);
        tcp_stream::events events;
        events.bytes = [this](std::string_view bytes) { received += bytes; };
        events.ended = [this] { has_ended = true; };
        stream->start(std::move(events));
    }

    /// Runs the loop until the caller has received `text`, or its connection has ended, or 2 s have passed.
    void wait_for(std::string_view text)
    {
        for (auto const end = loop.now() + 2s;
             received.find(text) == std::string::npos && !has_ended && loop.now() < end;) {
            loop.run_once(5ms);
        }
    }

    /// Connects again with this START message, and returns the answer.
    std::string start(std::string const& fields)
    {
        received.clear();
        has_ended = false;
        stream->close();
        stream = tcp_stream::try_connect(loop, {"127.0.0.1", listener->port()});
        cr_assert(stream != nullptr);
        tcp_stream::events events;
        events.bytes = [this](std::string_view bytes) { received += bytes; };
        events.ended = [this] { has_ended = true; };
        stream->start(std::move(events));
        stream->send("START " + fields + "\r\n");
        wait_for("\r\n");
        return received;
    }

    /// Sends a query and returns the first line of its answer.
    std::string query(std::string const& text)
    {
        received.clear();
        stream->send("QUERY 1 " + text + "\r\n");
        for (int i = 0; i < 100 && received.empty() && !has_ended; ++i) {
            fleet.clock().run_for(10ms);
            loop.run_once(5ms);
        }
        return received.substr(0, received.find("\r\n"));
    }

    /// Makes a document the configuration of the fleet, as a version above the active one.
    void configure(std::string const& document)
    {
        auto const decoded = document_decoder::try_decode_configuration(document);
        cr_assert(decoded.ok(), "%s", std::string(decoded.status().message()).c_str());
        fleet.change_configuration([&decoded](served_configuration& configuration) {
            auto const version = configuration.version;
            configuration = *decoded;
            configuration.version = version;
        });
        fleet.clock().run_for(1s);
    }

    /// Runs the loop until the connection has ended, or 3 s have passed.
    void wait_for_end()
    {
        for (auto const end = loop.now() + 3s; !has_ended && loop.now() < end;) {
            loop.run_once(5ms);
        }
        cr_assert(has_ended);
    }

    void open_session()
    {
        stream->send("START " + session_fleet::database_of(0, read_consistency::own_writes) + " " +
                     session_fleet::key_of(0) + "\r\n");
        wait_for("READY I -\r\n");
        cr_assert(received == "READY I -\r\n", "%s", received.c_str());
        received.clear();
    }

    /// Lets the VM close the idle session, of which the caller has not learned yet.
    void close_idle_session()
    {
        fleet.stop_vm(stopped_vm);
        fleet.clock().run_for(200ms);
        cr_assert(fleet.vm(stopped_vm).sessions().size() == 0);
    }

    reactor loop;
    std::vector<log_record> records;
    session_fleet fleet;
    std::unique_ptr<caller_listener> listener;
    std::shared_ptr<tcp_stream> stream;
    std::string received;
    bool has_ended = false;
};

} // namespace

/// Guards against a statement that gets neither an answer nor a refusal: the VM closed its session, which was
/// idle, while the statement was on its way, and discarded it.
Test(caller_listener, statement_that_crosses_the_close_of_its_session_is_refused)
{
    connected_caller caller;
    caller.open_session();
    caller.close_idle_session();
    caller.stream->send("QUERY 1 READ x\r\n");
    caller.wait_for_end();
    cr_assert(caller.received == refusal + last_error, "%s", caller.received.c_str());
}

/// Guards against statements that get no answer, since a caller had sent several at once when the VM closed
/// its session: the VM answered the first one and closed the connection.
Test(caller_listener, statements_that_are_sent_at_once_across_the_close_of_their_session_are_all_refused)
{
    connected_caller caller;
    caller.open_session();
    caller.close_idle_session();
    caller.stream->send("QUERY 1 READ x\r\nQUERY 2 WRITE x y\r\nQUERY 3 READ x\r\n");
    caller.wait_for("READY");
    caller.stream->send("QUERY 4 BEGIN\r\n");
    caller.wait_for_end();
    cr_assert(caller.received == refusal + refusal + refusal + refusal + last_error, "%s",
              caller.received.c_str());
}

/// Guards against a connection that never ends, since its caller goes on sending statements to a session that
/// the VM has closed.
Test(caller_listener, caller_that_goes_on_sending_after_the_close_of_its_session_is_disconnected)
{
    connected_caller caller;
    caller.open_session();
    caller.close_idle_session();
    for (auto const end = caller.loop.now() + 2s; !caller.has_ended && caller.loop.now() < end;) {
        caller.stream->send("QUERY 1 READ x\r\n");
        caller.loop.run_once(20ms);
    }
    cr_assert(caller.has_ended);
}

/// Guards against a caller that takes an answer to a statement that it has not sent: an idle caller only
/// receives an error before its connection ends.
Test(caller_listener, idle_caller_receives_only_an_error_before_the_close_of_its_session)
{
    connected_caller caller;
    caller.open_session();
    caller.close_idle_session();
    caller.wait_for("READY");
    cr_assert(caller.has_ended);
    cr_assert(caller.received.starts_with("ERROR BUSY "), "%s", caller.received.c_str());
    cr_assert(caller.received.find("READY") == std::string::npos, "%s", caller.received.c_str());
    for (auto const end = caller.loop.now() + 2s;
         caller.listener->has_connections() && caller.loop.now() < end;) {
        caller.loop.run_once(5ms);
    }
    cr_assert(!caller.listener->has_connections());
    cr_assert(caller.listener->connections() == 0);
}

/// Guards against an incident whose cause no log shows: a session ended since a message was not valid.
Test(caller_listener, invalid_message_is_logged_with_its_reason)
{
    connected_caller caller;
    caller.open_session();
    caller.stream->send("HELLO there\r\n");
    caller.wait_for_end();
    cr_assert(caller.listener->invalid_messages() == 1);
    cr_assert(caller.records.size() == 1);
    cr_assert(caller.records.front().fields["reason"] == "message is of an unknown kind");
}

/// Guards against UNASKED and a key that its caller did not show: what followed a line feed in a field ran as
/// a message of its own.
Test(caller_listener, line_feed_ends_no_message)
{
    connected_caller caller;
    caller.stream->send("START " + session_fleet::database_of(0, read_consistency::own_writes) + " " +
                        session_fleet::key_of(0) + "\nx\r\n");
    caller.wait_for_end();
    cr_assert(caller.received == line_protocol::encode_error(session_error::unknown_key), "%s",
              caller.received.c_str());
}

/// Guards against a message over the size limit that is served, since it arrived with its line end.
Test(caller_listener, complete_message_over_the_size_limit_is_refused)
{
    connected_caller caller;
    caller.open_session();
    caller.stream->send("QUERY 1 SET x " + std::string(line_protocol::max_message_size, 'y') + "\r\n");
    caller.wait_for_end();
    cr_assert(caller.received == line_protocol::encode_error(session_error::too_large), "%s",
              caller.received.c_str());
}

/// Guards against UNASKED and against sessions that are refused with BUSY for ever: the name of a tenant is a
/// word of the first message to a member. A line end in it began a request that no caller had sent, and a
/// blank shifted the words that follow. Other tenants are served meanwhile.
Test(caller_listener, callers_whose_tenant_or_service_cannot_be_named_to_members_are_refused)
{
    std::string const services =
        R"({"version":7,"routes":[)"
        R"({"name":"r","database":"d","type":"primary","service":"group-0","timeout-ms":1000},)"
        R"({"name":"s","database":"e","type":"primary","service":"group 0","timeout-ms":1000},)"
        R"({"name":"p","database":"open","type":"primary","service":"group-0","timeout-ms":1000,)"
        R"("public":true}],"services":[{"name":"group-0","max-connections":34,"sync-replicas":1}],"tenants":[)";
    std::string const good =
        R"({"name":"good","api-keys":["good"]},{"name":"odd\n\r\t\u0000\u007f\u00e9","api-keys":["odd"]})";
    connected_caller caller;
    caller.configure(services + good + R"(,{"name":"line","api-keys":["line"]}]})");
    cr_assert(caller.start("d line") == "READY I -\r\n");
    caller.configure(services + good +
                     R"(,{"name":"village\r\nQUERY 71 WRITE evil 1","api-keys":["line"]},)"
                     R"({"name":"a b","api-keys":["blank"]},{"name":"","api-keys":["empty"]},{"name":")" +
                     std::string(line_protocol::max_message_size, 'x') + R"(","api-keys":["long"]}]})");
    // The session was opened before.
    for (auto const* const text : {"READ x", "WRITE x 1", "BEGIN", "BEGIN READ"}) {
        auto const answer = caller.query(text);
        cr_assert(answer ==
                      "ERROR FAILED the name of the tenant cannot be sent to members: it contains a line end",
                  "%s: %s", text, answer.c_str());
    }
    for (auto const* const fields : {"d line", "d blank", "d empty", "d long", "e good", "open blank"}) {
        auto const answer = caller.start(fields);
        cr_assert(answer.starts_with("ERROR FAILED the name of the "), "%s: %s", fields, answer.c_str());
    }
    for (auto const* const fields : {"d good", "d odd", "open none"}) {
        auto const answer = caller.start(fields);
        cr_assert(answer == "READY I -\r\n", "%s: %s", fields, answer.c_str());
        cr_assert(caller.query("READ x").starts_with("ROW "), "%s: %s", fields, caller.received.c_str());
    }
    auto const unknown = caller.start("d none");
    cr_assert(unknown.starts_with("ERROR NOAUTH "), "%s", unknown.c_str());
}
