#include <memory>
#include <string>

#include <criterion/criterion.h>

#include "reactor/tcp_stream.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

/// Guards against an answer that is lost when its connection is closed behind it: the caller has sent more
/// bytes, which nobody reads, so closing at once resets the connection; or the answer does not fit into the
/// socket's buffer.
Test(tcp_stream, last_answer_arrives_although_the_caller_goes_on_sending)
{
    constexpr std::size_t answer_size = 3'000'000;
    reactor loop;
    std::shared_ptr<tcp_stream> accepted;
    bool is_closed = false;
    tcp_acceptor acceptor(loop, [&](std::shared_ptr<tcp_stream> stream) {
        accepted = std::move(stream);
        tcp_stream::events events;
        events.bytes = [&](std::string_view) {
            accepted->send(std::string(answer_size, 'x'));
            accepted->close_after_sending([&] { is_closed = true; });
        };
        events.ended = [] {};
        accepted->start(std::move(events));
    });
    cr_assert(acceptor.try_listen({"127.0.0.1", 0}).ok());
    auto const caller = tcp_stream::try_connect(loop, {"127.0.0.1", acceptor.port()});
    cr_assert(caller != nullptr);
    std::size_t received = 0;
    bool has_ended = false;
    tcp_stream::events events;
    events.bytes = [&](std::string_view bytes) {
        received += bytes.size();
        caller->send("more");
    };
    events.ended = [&] { has_ended = true; };
    caller->start(std::move(events));
    caller->send("statement");
    for (auto const end = loop.now() + 2s; !(has_ended && is_closed) && loop.now() < end;) {
        loop.run_once(10ms);
    }
    cr_assert(has_ended && is_closed);
    cr_assert(received == answer_size, "%zu", received);
}

/// Guards against an answer that is cut since it is large, though its caller reads it without a pause: the
/// bytes that do not fit into the socket's buffer at once count as unread by the caller.
Test(tcp_stream, large_answer_arrives_whole_at_a_caller_that_reads)
{
    constexpr std::size_t rows = 16;
    constexpr std::size_t row_size = 1024UL * 1024;
    reactor loop;
    std::shared_ptr<tcp_stream> accepted;
    tcp_acceptor acceptor(loop, [&](std::shared_ptr<tcp_stream> stream) {
        accepted = std::move(stream);
        tcp_stream::events events;
        events.bytes = [&](std::string_view) { accepted->send(std::string(rows * row_size, 'x')); };
        events.ended = [] {};
        accepted->start(std::move(events));
    });
    cr_assert(acceptor.try_listen({"127.0.0.1", 0}).ok());
    auto const caller = tcp_stream::try_connect(loop, {"127.0.0.1", acceptor.port()});
    cr_assert(caller != nullptr);
    std::size_t received = 0;
    bool has_ended = false;
    tcp_stream::events events;
    events.bytes = [&](std::string_view bytes) { received += bytes.size(); };
    events.ended = [&] { has_ended = true; };
    caller->start(std::move(events));
    caller->send("statement");
    for (auto const end = loop.now() + 5s; !has_ended && received < rows * row_size && loop.now() < end;) {
        loop.run_once(10ms);
    }
    cr_assert(received == rows * row_size, "%zu bytes, ended: %d", received, has_ended ? 1 : 0);
}
