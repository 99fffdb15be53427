#include "members/backend_connection.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace greengagehitch {

namespace {

/// Longest shape that is its own name at members, in bytes.
constexpr std::size_t max_plain_name_size = 128;

} // namespace

backend_connection::backend_connection(kernel& kernel, backend_connection_hooks const& hooks,
                                       backend_connection_target target,
                                       unmatched_answer_hook on_unmatched_answer)
    : m_kernel(kernel), m_hooks(hooks), m_kernel_lifetime(kernel.lifetime()), m_target(std::move(target)),
      m_on_unmatched_answer(std::move(on_unmatched_answer)), m_last_used(kernel.now())
{
}

backend_connection::~backend_connection()
{
    if (m_kernel_lifetime.expired()) {
        return;
    }
    close();
}

void backend_connection::open(duration timeout, std::function<void(member_answer)> on_opened)
{
    m_on_opened = std::move(on_opened);
    auto const weak = weak_from_this();
    m_id = m_hooks.open(m_target, backend_connection_events{
                                      m_kernel.guard<member_answer>([weak](member_answer const& answer) {
                                          if (auto const connection = weak.lock()) {
                                              connection->handle_opened(answer);
                                          }
                                      }),
                                      m_kernel.guard<member_answer>([weak](member_answer answer) {
                                          if (auto const connection = weak.lock()) {
                                              connection->handle_answer(std::move(answer));
                                          }
                                      }),
                                      m_kernel.guard<member_error>([weak](member_error error) {
                                          if (auto const connection = weak.lock()) {
                                              connection->fail_all(error);
                                          }
                                      }),
                                      m_kernel.guard<>([weak] {
                                          auto const connection = weak.lock();
                                          if (connection && connection->is_idle() &&
                                              connection->state() != transaction_state::open) {
                                              connection->close();
                                          }
                                      })});
    m_open_timer = m_kernel.start_timer(timeout, [weak] {
        if (auto const connection = weak.lock(); connection && !connection->m_is_open) {
            connection->fail_all(member_error::refused);
        }
    });
}

void backend_connection::send(std::vector<member_command> const& commands, duration timeout,
                              answers_callback on_answered)
{
    if (m_is_closed || !m_is_open) {
        std::vector<member_answer> answers(commands.size());
        for (auto& answer : answers) {
            answer.error = member_error::refused;
        }
        m_kernel.start_timer(
            duration::zero(),
            [answers = std::move(answers), on_answered = std::move(on_answered)] { on_answered(answers); });
        return;
    }
    auto const added = std::make_shared<batch_state>();
    added->commands = commands;
    added->sent_at = m_kernel.now();
    added->on_answered = std::move(on_answered);
    added->timer = m_kernel.start_timer(timeout, [weak = weak_from_this(), pending = std::weak_ptr(added)] {
        auto const connection = weak.lock();
        auto const late = pending.lock();
        if (connection && late && late->answers.size() < late->expected()) {
            connection->fail_all(member_error::timed_out);
        }
    });
    m_batches.push_back(added);
    m_last_used = m_kernel.now();
    m_has_sent = true;
    m_hooks.send(m_id, commands);
}

void backend_connection::close()
{
    if (!m_is_closed) {
        fail_all(member_error::connection_lost);
    }
}

std::vector<member_command> backend_connection::commands_to_set_values(values_map const& values)
{
    std::vector<member_command> commands;
    if (has_values(values)) {
        return commands;
    }
    auto const is_superfluous = [&values](auto const& each) { return !values.contains(each.first); };
    if (!m_are_values_known || std::any_of(m_values.begin(), m_values.end(), is_superfluous)) {
        member_command reset;
        reset.kind = command_kind::reset;
        commands.push_back(std::move(reset));
        m_values.clear();
        m_prepared.clear();
        m_are_values_known = true;
    }
    for (auto const& [name, value] : values) {
        auto const held = m_values.find(name);
        if (held != m_values.end() && held->second == value) {
            continue;
        }
        member_command set;
        set.kind = command_kind::set_value;
        set.name = name;
        set.argument = value;
        commands.push_back(std::move(set));
    }
    m_values = values;
    return commands;
}

std::vector<member_command> backend_connection::commands_to_prepare(prepared_shape const& shape)
{
    if (!m_prepared.insert(shape).second) {
        return {};
    }
    member_command prepare;
    prepare.kind = command_kind::prepare;
    prepare.name = name_of(shape);
    prepare.prepared = shape;
    return {std::move(prepare)};
}

std::string backend_connection::name_of(prepared_shape const& shape)
{
    auto const access = shape.is_write ? "w_" : "r_";
    // VMs of earlier builds use the shape itself. It cannot be a name if it has several words, if it may be
    // the digest of another shape, or if a message of a caller that executes it may then be too long.
    if (shape.shape.find(' ') == std::string::npos && !shape.shape.starts_with('.') &&
        shape.shape.size() <= max_plain_name_size) {
        return access + shape.shape;
    }
    auto const digest = XXH3_128bits(shape.shape.data(), shape.shape.size());
    return fmt::format("{}.{:016x}{:016x}", access, digest.high64, digest.low64);
}

void backend_connection::handle_opened(member_answer const& answer)
{
    if (m_is_closed) {
        return;
    }
    if (!answer.is_ok()) {
        fail_all(*answer.error, answer.is_refused_by_host);
        return;
    }
    m_is_open = true;
    m_opened_at = m_kernel.now();
    m_kernel.cancel_timer(std::exchange(m_open_timer, timer_id::none));
    if (auto const on_opened = std::exchange(m_on_opened, nullptr)) {
        on_opened(answer);
    }
}

void backend_connection::handle_answer(member_answer answer)
{
    if (m_is_closed) {
        return;
    }
    if (m_batches.empty()) {
        handle_unasked_answer(answer);
        return;
    }
    auto const batch = m_batches.front();
    auto const& command = batch->commands[batch->answers.size()];
    auto const match = m_history.match(command, m_state, answer);
    if (match == answer_match::repeated) {
        // The answer to the command is still to come.
        m_has_repeated_answer = true;
        report_dropped(match, answer, command.id);
        return;
    }
    if (match == answer_match::mismatched) {
        report_dropped(match, answer, command.id);
        fail_all(member_error::connection_lost);
        return;
    }
    if (match == answer_match::doubtful) {
        answer.is_doubtful = true;
        auto const age = batch->sent_at - m_history.first_sent_at(answer, batch->sent_at);
        answer.evidence_age_ms =
            static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
    }
    m_history.record(answer, batch->sent_at);
    m_has_delivered_error = m_has_delivered_error || !answer.is_ok();
    m_state = answer.state;
    batch->answers.push_back(std::move(answer));
    if (batch->answers.size() == batch->expected()) {
        finish_batch(batch);
    }
}

void backend_connection::handle_unasked_answer(member_answer const& answer)
{
    auto const is_repeated = m_history.contains(answer);
    report_dropped(is_repeated ? answer_match::repeated : answer_match::mismatched, answer, {});
    if (is_repeated && m_state == transaction_state::open) {
        // Closing the connection would roll the transaction back.
        m_has_repeated_answer = true;
        return;
    }
    close();
}

void backend_connection::finish_batch(std::shared_ptr<batch_state> const& batch)
{
    auto const keep_alive = shared_from_this();
    m_batches.pop_front();
    m_kernel.cancel_timer(batch->timer);
    m_last_used = m_kernel.now();
    auto const first_doubtful = find_unconfirmed(*batch);
    for (std::size_t i = 0; i < batch->answers.size(); ++i) {
        auto& answer = batch->answers[i];
        answer.is_doubtful = i >= first_doubtful;
        answer.evidence_age_ms = answer.is_doubtful ? answer.evidence_age_ms : 0;
    }
    if (first_doubtful < batch->expected()) {
        // Callers of this class log what they do about it.
        count_unmatched(answer_match::doubtful);
        if (m_closes_when_doubtful) {
            close();
        }
    }
    batch->on_answered(std::move(batch->answers));
}

std::size_t backend_connection::find_unconfirmed(batch_state const& batch)
{
    auto first = batch.expected();
    auto is_followed_by_new_answer = false;
    for (auto i = batch.expected(); i > 0; --i) {
        auto const& answer = batch.answers[i - 1];
        if (answer.is_ok() && !answer.is_doubtful) {
            // A repetition before this answer would have taken its place.
            break;
        }
        // The member runs a rollback before anything that is sent later, whenever its answer arrives.
        auto const is_rollback = batch.commands[i - 1].kind == command_kind::rollback && answer.is_ok();
        auto const kind = batch.commands[i - 1].kind;
        auto const is_setup =
            kind == command_kind::set_value || kind == command_kind::prepare || kind == command_kind::reset;
        auto const is_confirmed = is_setup && answer.is_ok() && is_followed_by_new_answer;
        if (answer.is_doubtful && !is_rollback && !is_confirmed) {
            first = i - 1;
        }
        is_followed_by_new_answer = is_followed_by_new_answer || !answer.is_doubtful;
    }
    return first;
}

void backend_connection::count_unmatched(answer_match match) const
{
    if (m_on_unmatched_answer) {
        m_on_unmatched_answer(match);
    }
}

void backend_connection::report_dropped(answer_match match, member_answer const& answer,
                                        std::string const& request) const
{
    count_unmatched(match);
    Json::Value fields(Json::objectValue);
    fields["group"] = m_target.group;
    fields["member"] = m_target.member;
    fields["match"] = std::string(find_name(answer_match_names, match));
    if (!request.empty()) {
        fields["request"] = request;
    }
    if (answer.error) {
        fields["error"] = std::string(find_name(member_error_names, *answer.error));
    }
    fields["is_outstanding"] = !m_batches.empty();
    m_kernel.log(log_level::info, "members", "answer of a member does not belong to its command",
                 std::move(fields));
}

void backend_connection::fail_all(member_error error, bool is_refused_by_host)
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    auto const keep_alive = weak_from_this().lock();
    m_is_open = false;
    m_kernel.cancel_timer(std::exchange(m_open_timer, timer_id::none));
    m_hooks.close(m_id);
    if (auto const on_opened = std::exchange(m_on_opened, nullptr)) {
        member_answer answer;
        // Nothing was sent on a connection that was never opened.
        answer.error = error == member_error::connection_lost || error == member_error::timed_out
                           ? member_error::refused
                           : error;
        answer.is_refused_by_host = is_refused_by_host;
        on_opened(answer);
    }
    auto const batches = std::exchange(m_batches, {});
    for (auto const& batch : batches) {
        m_kernel.cancel_timer(batch->timer);
        member_answer missing;
        missing.error = error;
        batch->answers.resize(batch->expected(), missing);
        batch->on_answered(std::move(batch->answers));
    }
}

} // namespace greengagehitch
