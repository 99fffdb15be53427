#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "members/backend_connection.h"
#include "members/member_command.h"

namespace greengagehitch {

/// Commands for one connection to a member, with what the connection has to hold for them.
struct member_request {
    std::string client_account;
    std::map<std::string, std::string> values; ///< Session values.
    std::optional<prepared_shape> prepared;    ///< Shape that must be known under the connection's name.
    std::vector<member_command> commands;
    std::uint32_t time_limit_ms = 0;  ///< For the answer.
    std::uint32_t queue_limit_ms = 0; ///< Longest wait before the commands are sent.
    std::int32_t priority = 0;        ///< 0 goes first.
    bool needs_slot = true;           ///< False for commands that members answer without one.
    bool keeps_link = false;          ///< Keeps the connection when a transaction is open afterwards.
    MSGPACK_DEFINE(client_account, values, prepared, commands, time_limit_ms, queue_limit_ms, priority,
                   needs_slot, keeps_link)
};

class member_lease;
using lease_pointer = std::shared_ptr<member_lease>;

/// Answers to the commands of a request, in order, and the connection when it was kept.
struct member_reply {
    std::vector<member_answer> answers;
    lease_pointer lease;
};

using reply_callback = std::function<void(member_reply)>;

/// Connection to a member that an open transaction holds, here or at another VM. Gives it back when it goes:
/// a transaction that is still open is then rolled back.
class member_lease {
public:
    struct hooks {
        std::function<void(member_request, reply_callback)> send;
        std::function<void()> give_back;
    };

    explicit member_lease(hooks hooks) : m_hooks(std::move(hooks)) {}
    ~member_lease()
    {
        if (m_hooks.give_back) {
            m_hooks.give_back();
        }
    }
    member_lease(member_lease const&) = delete;
    member_lease& operator=(member_lease const&) = delete;
    member_lease(member_lease&&) = delete;
    member_lease& operator=(member_lease&&) = delete;

    void send(member_request request, reply_callback done)
    {
        m_hooks.send(std::move(request), std::move(done));
    }

private:
    hooks m_hooks;
};

/// Reply in which every command carries the same error.
member_reply make_failed_reply(std::size_t commands, member_error error, std::string const& text = {});

} // namespace greengagehitch
