#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

#include "kernel/kernel.h"
#include "members/backend_connection.h"
#include "platform/member_connector.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Time within which an answer of this machine must have been handled.
constexpr duration answer_limit = 2s;

/// Member that answers each connection with the same bytes and keeps it open.
struct member_connector_fixture {
    explicit member_connector_fixture(std::string answer) : greeting(std::move(answer))
    {
        cr_assert(acceptor.try_listen({"127.0.0.1", 0}).ok());
    }

    /// Opens a connection. Returns the first answer, or no value if none arrived in time.
    std::optional<member_answer> open() { return open_at({"127.0.0.1", acceptor.port()}); }

    std::optional<member_answer> open_at(endpoint const& address)
    {
        std::optional<member_answer> result;
        backend_connection_events events;
        events.opened = [&result](member_answer answer) { result = std::move(answer); };
        events.answered = [this](member_answer answer) { answers.push_back(std::move(answer)); };
        events.lost = [this](member_error error) { lost = error; };
        backend_connection_target target;
        target.group = "group";
        target.client_account = client_account;
        target.member = "member";
        target.address = address;
        opened = hooks.open(target, std::move(events));
        auto const end = loop.now() + answer_limit;
        while (!result && loop.now() < end) {
            loop.run_once(10ms);
        }
        return result;
    }

    /// Opens a connection. Returns the answers that follow the handshake, at least `count` if they arrive in
    /// time.
    std::vector<member_answer> collect_answers(std::size_t count)
    {
        cr_assert(open());
        auto const end = loop.now() + answer_limit;
        while (answers.size() < count && loop.now() < end) {
            loop.run_once(10ms);
        }
        return answers;
    }

    /// Sends a command on the connection, and waits until the member has received a line end.
    void send(member_command const& command)
    {
        auto const size = received.size();
        hooks.send(opened, {command});
        auto const end = loop.now() + answer_limit;
        while ((received.size() == size || !received.ends_with("\r\n")) && loop.now() < end) {
            loop.run_once(10ms);
        }
    }

    /// Returns whether the caller closes the connection in time.
    bool is_closed_by_caller()
    {
        auto const end = loop.now() + answer_limit;
        while (!is_closed && loop.now() < end) {
            loop.run_once(10ms);
        }
        return is_closed;
    }

    reactor loop;
    std::string greeting; ///< Sent once, when the first bytes arrive.
    std::string received;
    std::vector<member_answer> answers;
    std::string client_account = "account";
    std::optional<member_error> lost;
    backend_connection_id opened = backend_connection_id::none;
    std::shared_ptr<tcp_stream> accepted;
    bool is_closed = false;
    tcp_acceptor acceptor{loop, [this](std::shared_ptr<tcp_stream> stream) {
                              accepted = std::move(stream);
                              tcp_stream::events events;
                              events.bytes = [this](std::string_view bytes) {
                                  received += bytes;
                                  accepted->send(std::exchange(greeting, {}));
                              };
                              events.ended = [this] { is_closed = true; };
                              accepted->start(std::move(events));
                          }};
    std::vector<log_record> records;
    member_connector connector{loop, [this](log_record const& record) { records.push_back(record); }};
    backend_connection_hooks hooks = connector.hooks();
};

} // namespace

Test(member_connector, ready_line_opens_the_connection)
{
    member_connector_fixture fixture("READY I 3.12\r\n");
    auto const answer = fixture.open();
    cr_assert(answer && answer->is_ok());
}

Test(member_connector, error_line_refuses_the_connection)
{
    member_connector_fixture fixture("ERROR WRONGNODE m-1\r\n");
    auto const answer = fixture.open();
    cr_assert(answer && answer->error == member_error::wrong_member);
}

/// Guards against a connection that occupies a slot of its member until the timeout of the handshake: a line
/// that is not valid while the connection opens was ignored.
Test(member_connector, invalid_line_while_opening_closes_the_connection)
{
    member_connector_fixture fixture("HELLO\r\n");
    auto const answer = fixture.open();
    cr_assert(answer, "no answer in time");
    cr_assert(answer->error == member_error::refused);
    cr_assert(fixture.is_closed_by_caller());
}

/// Guards against an incident whose cause no log shows: a connection ended since what its member sent cannot
/// be read, and looked like one that its member had closed.
Test(member_connector, bytes_that_cannot_be_read_are_logged_with_their_reason)
{
    member_connector_fixture fixture("HELLO\r\n");
    cr_assert(fixture.open());
    cr_assert(fixture.connector.refusals()[0] == 1);
    cr_assert(fixture.records.size() == 1);
    cr_assert(fixture.records.front().fields["reason"] == "invalid_line");
    cr_assert(fixture.records.front().fields["member"] == "member");
}

/// Guards against a connection whose answers belong to other requests: a valid line after one that is not
/// valid opened it.
Test(member_connector, valid_line_after_an_invalid_one_does_not_open_the_connection)
{
    member_connector_fixture fixture("HELLO\r\nREADY I 3.12\r\n");
    auto const answer = fixture.open();
    cr_assert(answer && answer->error == member_error::refused);
    cr_assert(fixture.is_closed_by_caller());
}

/// Guards against lost commits: an attempt to connect that failed for any reason was taken as proof that the
/// member does not run, so that a takeover went on without it.
Test(member_connector, only_a_refusal_by_the_host_shows_that_no_member_runs)
{
    member_connector_fixture silent("");
    std::optional<member_answer> closed;
    {
        // The member accepts the connection and closes it, as it does while it is busy or ends.
        reactor& loop = silent.loop;
        tcp_acceptor closing(loop, [](std::shared_ptr<tcp_stream> const& stream) { stream->close(); });
        cr_assert(closing.try_listen({"127.0.0.1", 0}).ok());
        closed = silent.open_at({"127.0.0.1", closing.port()});
    }
    cr_assert(closed && closed->error == member_error::refused && !closed->is_refused_by_host);
    // This VM cannot even try.
    auto const untried = silent.open_at({"127.0.0.1", 0});
    cr_assert(untried && untried->error == member_error::refused && !untried->is_refused_by_host);
    std::uint16_t free_port = 0;
    {
        tcp_acceptor ended(silent.loop, [](std::shared_ptr<tcp_stream> const&) {});
        cr_assert(ended.try_listen({"127.0.0.1", 0}).ok());
        free_port = ended.port();
    }
    auto const refused = silent.open_at({"127.0.0.1", free_port});
    cr_assert(refused && refused->error == member_error::refused && refused->is_refused_by_host);
}

/// Guards against a statement that runs late, outside its transaction: a link held it up, and closing its
/// connection let the bytes that were not yet delivered arrive after its caller had received an error.
Test(member_connector, connection_that_is_given_up_delivers_nothing_more)
{
    reactor loop;
    file_descriptor const listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert(::bind(listener.get(), generic, size) == 0);
    cr_assert(::listen(listener.get(), 1) == 0);
    cr_assert(::getsockname(listener.get(), generic, &size) == 0);
    member_connector connector(loop, [](log_record const&) {});
    auto const hooks = connector.hooks();
    backend_connection_target target;
    target.address = {"127.0.0.1", ntohs(address.sin_port)};
    target.group = "group";
    target.client_account = "account";
    bool is_open = false;
    backend_connection_events events;
    events.opened = [&is_open](member_answer const& answer) { is_open = answer.is_ok(); };
    events.answered = [](member_answer const&) {};
    events.lost = [](member_error) {};
    auto const id = hooks.open(target, std::move(events));
    file_descriptor const member(::accept(listener.get(), nullptr, nullptr));
    cr_assert(member.is_valid());
    std::string_view const greeting = "READY I 3.12\r\n";
    cr_assert(::send(member.get(), greeting.data(), greeting.size(), 0) ==
              static_cast<ssize_t>(greeting.size()));
    auto const end = loop.now() + answer_limit;
    while (!is_open && loop.now() < end) {
        loop.run_once(10ms);
    }
    cr_assert(is_open);

    // The member reads nothing, so that most of the statements stay in the queue of the sender.
    member_command command;
    command.kind = command_kind::caller_statement;
    command.id = "id";
    command.text = "WRITE x " + std::string(500'000, 'd');
    for (int i = 0; i < 40; ++i) {
        hooks.send(id, {command});
    }
    hooks.close(id);
    std::size_t received = 0;
    std::array<char, 65'536> bytes{};
    ssize_t result = 0;
    while ((result = ::recv(member.get(), bytes.data(), bytes.size(), 0)) > 0) {
        received += static_cast<std::size_t>(result);
    }
    cr_assert(result < 0 && errno == ECONNRESET, "the connection was not reset, %zu bytes received",
              received);
}

/// Guards against MIXED: a row with a line end was read as several messages, so that its caller received half
/// of it with a proof from inside the row, or the connection ended and the row could never be read.
Test(member_connector, rows_with_texts_of_messages_are_one_answer)
{
    std::string const row = "ab\nDONE 9.forged\nREADY I 99.99\rROW z\n";
    member_connector_fixture fixture("READY I 3.12\r\nROW " + row +
                                     "\r\nROW \n\r\nDONE 7.1\r\nREADY I 3.13\r\n");
    auto const answers = fixture.collect_answers(1);
    cr_assert(answers.size() == 1);
    cr_assert((answers.front().rows == std::vector<std::string>{row, "\n"}));
    cr_assert(answers.front().proof == "7.1");
    cr_assert((answers.front().position == log_position{3, 13}));
}

/// Guards against UNASKED: data with a line end became several statements at the member.
Test(member_connector, statements_with_line_ends_arrive_unchanged)
{
    member_connector_fixture fixture("READY I 3.12\r\n");
    cr_assert(fixture.open());
    member_command write;
    write.id = "5c0e";
    write.text = "WRITE k ab\nQUERY f00d WRITE z stolen\r";
    fixture.send(write);
    cr_assert(fixture.received == "START group account member\r\nQUERY 5c0e WRITE k ab\nQUERY f00d WRITE z "
                                  "stolen\r\r\n",
              "%s", fixture.received.c_str());
}

/// Guards against MIXED: a repeated answer that was cut within a line, and the answer to the next statement
/// after it, were read as one row of that answer, with its proof.
Test(member_connector, part_of_a_repeated_row_does_not_begin_a_row_of_the_next_answer)
{
    member_connector_fixture fixture("READY I 3.12\r\n");
    kernel_hooks core_hooks;
    core_hooks.now = [&fixture] { return fixture.loop.now(); };
    core_hooks.random = [] { return std::uint64_t{0}; };
    core_hooks.start_timer = [&fixture](duration delay, std::function<void()> callback) {
        return fixture.loop.start_timer(delay, std::move(callback));
    };
    core_hooks.cancel_timer = [&fixture](timer_id timer) { fixture.loop.cancel_timer(timer); };
    core_hooks.log = [](log_record const&) {};
    kernel core(std::move(core_hooks));
    backend_connection_target target{{"127.0.0.1", fixture.acceptor.port()}, "group", "member", "account"};
    auto const connection = std::make_shared<backend_connection>(core, fixture.hooks, std::move(target));
    connection->open(answer_limit, [](member_answer const&) {});
    auto const end = fixture.loop.now() + 2 * answer_limit;
    while (!connection->is_open() && fixture.loop.now() < end) {
        fixture.loop.run_once(10ms);
    }
    auto const run = [&](std::string const& bytes) {
        std::optional<member_answer> result;
        fixture.greeting = bytes;
        member_command read;
        read.id = "5c0e";
        read.text = "READ k";
        connection->send({read}, answer_limit,
                         [&result](std::vector<member_answer> answers) { result = answers.front(); });
        while (!result && fixture.loop.now() < end) {
            fixture.loop.run_once(10ms);
        }
        return result;
    };
    auto const first = run("ROW abcd\r\nDONE 7.1\r\nREADY I 3.12\r\n");
    cr_assert(first && first->is_ok());
    auto const second = run("ROW ab"
                            "ROW x\r\nDONE 7.2\r\nREADY I 3.13\r\n");
    cr_assert(second);
    cr_assert(!second->is_ok() || second->rows == std::vector<std::string>{"x"}, "the caller got the row %s",
              second->rows.front().c_str());
}

/// Guards against UNASKED: a line end in a word of the first message began a request that no caller had sent.
Test(member_connector, connection_whose_account_cannot_be_a_word_is_not_opened)
{
    for (std::string const& account :
         {std::string("a\r\nQUERY 71 WRITE evil 1"), std::string("a b"), std::string()}) {
        member_connector_fixture fixture("READY I 3.12\r\n");
        fixture.client_account = account;
        auto const answer = fixture.open();
        cr_assert(answer && answer->error == member_error::refused);
        cr_assert(fixture.received.empty(), "%s", fixture.received.c_str());
        cr_assert(fixture.records.size() == 1);
        cr_assert(fixture.records[0].message ==
                  "connection to a member was ended, since a message to the member cannot be sent");
    }
}

/// Guards against UNASKED and against messages over the size limit: a command whose encoding is not one
/// message must not reach the member, and its caller must not wait.
Test(member_connector, command_that_is_not_one_message_is_not_sent)
{
    for (std::string const& text : {std::string("READ x\r\nQUERY 2 WRITE y 1"),
                                    "READ " + std::string(line_protocol::max_message_size, 'x')}) {
        member_connector_fixture fixture("READY I 3.12\r\n");
        cr_assert(fixture.open());
        auto const received = fixture.received;
        member_command command;
        command.id = "1";
        command.text = text;
        fixture.hooks.send(fixture.opened, {command});
        auto const end = fixture.loop.now() + answer_limit;
        while (!fixture.lost && fixture.loop.now() < end) {
            fixture.loop.run_once(10ms);
        }
        cr_assert(fixture.lost == member_error::failed);
        cr_assert(fixture.received == received, "%zu", fixture.received.size());
        cr_assert(fixture.records.size() == 1);
        cr_assert(fixture.records[0].fields["reason"].asString() ==
                  (text.size() < line_protocol::max_message_size ? "a field contains a line end"
                                                                 : "the message is too long"));
    }
}
