#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "brokers/request_cancellation.h"
#include "members/backend_connection.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Commands for one connection to a member, with the session values and the prepared statement that the
/// connection must have before they are sent.
struct member_request {
    std::string client_account;
    std::map<std::string, std::string> values; ///< Session values that the connection must have.
    std::optional<prepared_shape> prepared;    ///< Statement shape that must be prepared on the connection.
    std::vector<member_command> commands;
    std::uint32_t time_limit_ms = 0;  ///< Time limit for the answer, in milliseconds.
    std::uint32_t queue_limit_ms = 0; ///< Longest wait before the commands are sent, in milliseconds.
    std::int32_t priority = 0;        ///< Requests with a lower value run first; 0 is the lowest.
    bool needs_slot = true;           ///< False for commands that a member answers without an execution slot.
    bool keeps_connection = false;    ///< Whether to pin the connection if a transaction is open afterwards.
    /// Whether the member must be proven to be the only leader before the commands are sent.
    bool needs_proven_leader = false;
    /// Whether success of the last command means that it committed a write.
    bool commits_write = false;
    /// Whether another VM found shortly before that the member was not running.
    bool was_member_absent = false;
    /// Null for requests that are not cancelled. Not part of relay messages.
    std::shared_ptr<request_cancellation> cancellation;

    bool is_cancelled() const { return cancellation && cancellation->is_cancelled(); }
    /// Returns whether the request begins a transaction that may write.
    bool begins_transaction() const
    {
        return keeps_connection && !commands.empty() && commands.front().kind == command_kind::begin;
    }
    MSGPACK_DEFINE(client_account, values, prepared, commands, time_limit_ms, queue_limit_ms, priority,
                   needs_slot, keeps_connection, needs_proven_leader, commits_write, was_member_absent)
};

class pinned_connection;
using pinned_connection_pointer = std::shared_ptr<pinned_connection>;

/// Answers to the commands of a request, in order, and the connection if it was pinned.
struct member_reply {
    std::vector<member_answer> answers;
    pinned_connection_pointer connection;
};

using reply_callback = std::function<void(member_reply)>;

/// Connection to a member that an open transaction holds, at this VM or at another one. The destructor
/// returns the connection, which rolls back a transaction that is still open.
class pinned_connection {
public:
    struct hooks {
        std::function<void(member_request, reply_callback)> send;
        std::function<void()> return_connection;
    };

    explicit pinned_connection(hooks hooks) : m_hooks(std::move(hooks)) {}
    ~pinned_connection()
    {
        if (m_hooks.return_connection) {
            m_hooks.return_connection();
        }
    }
    pinned_connection(pinned_connection const&) = delete;
    pinned_connection& operator=(pinned_connection const&) = delete;
    pinned_connection(pinned_connection&&) = delete;
    pinned_connection& operator=(pinned_connection&&) = delete;

    void send(member_request request, reply_callback done)
    {
        m_hooks.send(std::move(request), std::move(done));
    }

private:
    hooks m_hooks;
};

/// Makes a reply in which every command has the same error.
member_reply make_failed_reply(std::size_t commands, member_error error, std::string const& text = {});

} // namespace greengagehitch
