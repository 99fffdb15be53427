#include "failover/member_control.h"

#include <utility>

namespace greengagehitch {

namespace {

/// Time after which a member that does not answer is treated as unreachable.
constexpr duration command_timeout = std::chrono::milliseconds(500);
/// Longest time by which the status that a member reported earlier may be older than the command that it is
/// reported for again. Members are asked several times while a status counts.
constexpr std::uint32_t max_evidence_age_ms = 400;
/// Placeholder account for connections that belong to no client account.
constexpr auto control_account = "-";

/// Returns whether the answer to an attempt to connect shows that the member is not running on its machine. A
/// missing answer may be due to a partition, and an attempt that fails in another way to a lack of
/// descriptors or ports at this VM, or to a member that is busy.
bool is_refusal(member_answer const& answer)
{
    return answer.is_refused_by_host || answer.error == member_error::wrong_member;
}

} // namespace

void member_control::send(member_entry const& member, member_command const& command, recipient to)
{
    auto const& id = member.id;
    auto& connection = m_connections[id];
    if (connection && connection->is_open()) {
        send_on(connection, member, command, to);
        return;
    }
    if (connection && !connection->is_closed()) {
        return;
    }
    connection = make_connection(member, to);
    connection->open(command_timeout, [this, member, command, to, events = std::weak_ptr(m_events),
                                       opened = std::weak_ptr(connection),
                                       started_at = m_kernel.now()](member_answer const& answer) {
        auto const receiver = events.lock();
        auto const current = opened.lock();
        if (!receiver || !current) {
            return;
        }
        if (answer.is_ok()) {
            send_on(current, member, command, to);
        }
        else if (is_refusal(answer)) {
            receiver->refused(member.id, to == recipient::address ? member_error::refused : *answer.error,
                              started_at);
        }
    });
}

backend_connection_pointer member_control::make_connection(member_entry const& member, recipient to)
{
    auto connection = std::make_shared<backend_connection>(
        m_kernel, m_connection_hooks,
        backend_connection_target{member.address, m_group,
                                  to == recipient::member ? member.id : std::string(), control_account});
    // The end of the connection shows that the member may have restarted.
    connection->keep_open_when_doubtful();
    return connection;
}

void member_control::ask_on_new_connection(member_entry const& member, member_command const& command,
                                           recipient to)
{
    auto& replacement = m_replacements[member.id];
    if (replacement && !replacement->is_closed()) {
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["group"] = m_group;
    fields["member"] = member.id;
    m_kernel.log(log_level::info, "takeover",
                 "status of the member may be a repetition; asking again on a new connection",
                 std::move(fields));
    replacement = make_connection(member, to);
    replacement->open(command_timeout, [this, member, command, to, events = std::weak_ptr(m_events),
                                        opened = std::weak_ptr(replacement)](member_answer const& answer) {
        auto const current = opened.lock();
        if (!events.expired() && current && answer.is_ok()) {
            send_on(current, member, command, to);
        }
    });
}

void member_control::check_connections()
{
    std::vector<std::string> lost;
    for (auto const& [id, connection] : m_connections) {
        if (connection->is_closed()) {
            lost.push_back(id);
        }
    }
    for (auto const& id : lost) {
        m_connections.erase(id);
        m_events->lost(id, member_error::connection_lost);
    }
}

void member_control::resume_receiving(std::function<bool(std::string const&)> const& accepts)
{
    for (auto const& [id, connection] : m_connections) {
        if (!connection->is_open() || !accepts(id)) {
            continue;
        }
        member_command resume;
        resume.kind = command_kind::resume_receiving;
        // The connection stays open until the member has answered.
        connection->send({resume}, command_timeout,
                         [open = connection](std::vector<member_answer> const&) {});
    }
}

void member_control::send_on(backend_connection_pointer const& connection, member_entry const& member,
                             member_command const& command, recipient to)
{
    connection->send(
        {command}, command_timeout,
        [this, member, command, to, events = std::weak_ptr(m_events), sent_on = std::weak_ptr(connection),
         sent_at = m_kernel.now()](std::vector<member_answer> const& answers) {
            auto const receiver = events.lock();
            if (!receiver) {
                return;
            }
            auto const& id = member.id;
            auto const& answer = answers.front();
            auto const found = m_replacements.find(id);
            auto const is_replacement = found != m_replacements.end() && found->second == sent_on.lock();
            if (!answer.is_ok() || !answer.replication) {
                if (!is_replacement) {
                    receiver->lost(id, answer.error.value_or(member_error::malformed));
                }
                return;
            }
            if (is_replacement) {
                m_connections[id] = found->second;
                m_replacements.erase(found);
            }
            if (answer.is_doubtful && answer.evidence_age_ms > max_evidence_age_ms) {
                ask_on_new_connection(member, command, to);
                return;
            }
            receiver->answered(id, *answer.replication,
                               sent_at - std::chrono::milliseconds(answer.evidence_age_ms));
        });
}

} // namespace greengagehitch
