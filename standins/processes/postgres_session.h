#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "database_group/group_member.h"
#include "reactor/reactor.h"

namespace greengagehitch::standin {

/// Server side of one PostgreSQL connection. It supports the messages that libpq's pipeline mode needs:
/// startup, extended query without named portals, sync and terminate (PostgreSQL documentation,
/// "Frontend/Backend Protocol", version 3.0).
class postgres_session : public std::enable_shared_from_this<postgres_session> {
public:
    postgres_session(reactor& reactor, file_descriptor socket, group_member& member,
                     duration connection_delay, std::function<void(postgres_session*)> on_end);

    void start();
    void end();
    bool uses_session(member_session const& session) const { return m_session.get() == &session; }

private:
    void handle_socket_events(std::uint32_t events);
    bool read_available();
    void parse_input();
    bool parse_startup();
    void parse_message(char type, std::string_view body);
    void complete_startup();
    void parse_statement(std::string_view body);
    void bind_statement(std::string_view body);
    void submit_batch();
    void send_batch_answer(batch const& request, batch_answer const& answer);
    void append_result(result_set const& result, std::string const& sql);
    void append_error(database_failure const& failure);
    void append_message(char type, std::string const& body);
    void append_ready_for_query();
    void flush();

    reactor& m_reactor;
    file_descriptor m_socket;
    group_member& m_member;
    duration m_connection_delay;
    std::function<void(postgres_session*)> m_on_end;
    std::shared_ptr<member_session> m_session;
    bool m_has_started = false;
    bool m_is_ended = false;
    std::string m_input;
    std::string m_output;
    statement m_current_statement;
    batch m_batch;
};

} // namespace greengagehitch::standin
