#pragma once

#include <functional>
#include <string>

#include "platform/line_protocol.h"
#include "sessions/session_answer.h"
#include "sessions/session_statement.h"
#include "strict_line_splitter.h"
#include "virtual_clock.h"

namespace greengagehitch::standin {

/// Passes the messages of one caller and the answers to it as bytes of the line protocol. The product reads
/// the messages and encodes the answers, as on a socket. A reader of the stand-in's own, which shares no code
/// with the product, reads the answers.
class caller_wire {
public:
    /// `on_answer` receives each answer, and `on_unreadable` each message that has no place in an answer.
    caller_wire(virtual_clock& clock, std::function<void(session_answer)> on_answer,
                std::function<void(std::string const&)> on_unreadable);

    /// Sends one message in two packets, which may be split anywhere. Returns what the product reads.
    std::vector<line_protocol::caller_message> send(std::string const& message);
    /// Passes the product's answer to the caller.
    void receive(session_answer const& answer);

private:
    void handle_message(std::string const& message);
    /// Completes the answer with the fields of a READY message. Returns false if they cannot be read.
    bool complete(std::string fields);

    virtual_clock& m_clock;
    std::function<void(session_answer)> m_on_answer;
    std::function<void(std::string const&)> m_on_unreadable;
    line_protocol::line_reader m_reader;
    strict_line_splitter m_answers;
    session_answer m_answer;
    bool m_has_result = false; ///< Whether DONE or ERROR has arrived, but not yet READY.
};

} // namespace greengagehitch::standin
