#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/verify.h"
#include "configuration/configuration.h"
#include "request/caller_request.h"
#include "request/request_stage_timer.h"
#include "session/session_token.h"

namespace greengagehitch {

/// Admitted request, which is passed between the services that process it. It is answered exactly once.
class request_context {
public:
    request_context(caller_request request, work_class work, std::string client_account, std::string key_id,
                    session_token session, monotonic_time started,
                    std::function<void(request_context&, caller_response)> on_reply)
        : m_request(std::move(request)), m_work(std::move(work)), m_client_account(std::move(client_account)),
          m_key_id(std::move(key_id)), m_session(std::move(session)), m_started(started),
          m_stage_timer(started), m_on_reply(std::move(on_reply))
    {
    }

    caller_request const& request() const { return m_request; }
    work_class const& work() const { return m_work; }
    std::string const& client_account() const { return m_client_account; }
    std::string const& key_id() const { return m_key_id; }
    session_token& session() { return m_session; }
    session_token const& session() const { return m_session; }
    request_stage_timer& stage_timer() { return m_stage_timer; }
    monotonic_time started() const { return m_started; }
    /// Returns the time at which the delay target of the class of work expires.
    monotonic_time deadline() const { return m_started + m_work.delay; }
    std::string const& database() const { return m_database; }
    void set_database(std::string database) { m_database = std::move(database); }

    bool is_answered() const { return !m_on_reply; }

    void answer(caller_answer answer) { reply(std::move(answer)); }

    void refuse(outcome effect, refusal_reason reason, std::string message, duration retry_after = {})
    {
        reply(refusal{effect, reason, std::move(message), retry_after});
    }

private:
    void reply(caller_response response)
    {
        VERIFY(m_on_reply);
        auto const on_reply = std::exchange(m_on_reply, nullptr);
        on_reply(*this, std::move(response));
    }

    caller_request m_request;
    work_class m_work;
    std::string m_client_account;
    std::string m_key_id;
    std::string m_database;
    session_token m_session;
    monotonic_time m_started;
    request_stage_timer m_stage_timer;
    std::function<void(request_context&, caller_response)> m_on_reply;
};

using request_pointer = std::shared_ptr<request_context>;

} // namespace greengagehitch
