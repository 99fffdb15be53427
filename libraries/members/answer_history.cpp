#include "members/answer_history.h"

#include <string>
#include <string_view>
#include <vector>

#include <xxhash.h>

namespace greengagehitch {

namespace {

/// Answers that a connection delivers before it is closed instead of reused. Bounds the memory of a history
/// to some 200 KB.
constexpr std::size_t max_recorded_answers = 4096;

std::uint64_t digest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Appends a field with its size, since a field may hold any byte.
void append_field(std::string& text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ' ';
    text += field;
}

void append_rows(std::string& text, std::vector<std::string> const& rows)
{
    text += std::to_string(rows.size());
    text += ' ';
    for (auto const& row : rows) {
        append_field(text, row);
    }
}

std::uint64_t digest_of_rows(member_answer const& answer)
{
    std::string text;
    append_rows(text, answer.rows);
    return digest(text);
}

/// Digest of an answer without a proof.
std::uint64_t digest_of_answer(member_answer const& answer)
{
    std::string text;
    append_rows(text, answer.rows);
    append_field(text, answer.error ? find_name(member_error_names, *answer.error) : std::string_view());
    append_field(text, answer.error_text);
    append_field(text, std::to_string(static_cast<int>(answer.state)));
    if (answer.position) {
        append_field(text, std::to_string(answer.position->term));
        append_field(text, std::to_string(answer.position->position));
    }
    if (auto const& replication = answer.replication) {
        for (auto const number :
             {static_cast<std::uint64_t>(replication->role), replication->term, replication->received.term,
              replication->received.position, replication->stopped_at_term}) {
            append_field(text, std::to_string(number));
        }
    }
    return digest(text);
}

bool reports_replication(command_kind kind)
{
    return kind == command_kind::status || kind == command_kind::stop_receiving ||
           kind == command_kind::resume_receiving || kind == command_kind::step_down;
}

/// Returns whether `answer` says that a replica carried out the order to stop or resume.
bool follows_order(member_command const& command, replication_status const& status)
{
    if (status.role == member_role::primary) {
        return true;
    }
    if (command.kind == command_kind::stop_receiving) {
        // A member ignores an order of a term that is not newer than its own.
        return status.stopped_at_term >= command.term || status.term >= command.term;
    }
    return command.kind != command_kind::resume_receiving || status.stopped_at_term == 0;
}

/// Returns whether the state of the transaction after a success follows from the one before.
bool follows_state(member_command const& command, transaction_state before, transaction_state after)
{
    switch (command.kind) {
    case command_kind::begin:
    case command_kind::begin_read:
        return after == transaction_state::open;
    case command_kind::rollback:
        return after == transaction_state::idle;
    case command_kind::caller_statement:
        // A COMMIT ends the transaction; other statements leave it open.
        return before == transaction_state::open ? after != transaction_state::failed : after == before;
    default:
        return after == before;
    }
}

bool can_be_answered_so(member_command const& command, transaction_state before, member_answer const& answer)
{
    if (answer.is_handshake) {
        return false;
    }
    if (answer.error) {
        return answer.proof.empty();
    }
    if (has_proof(command.kind) == answer.proof.empty() || !follows_state(command, before, answer.state)) {
        return false;
    }
    if (!reports_replication(command.kind)) {
        return true;
    }
    return answer.replication && follows_order(command, *answer.replication);
}

} // namespace

bool has_proof(command_kind kind)
{
    return kind == command_kind::caller_statement || kind == command_kind::execute;
}

answer_match answer_history::match(member_command const& command, transaction_state before,
                                   member_answer const& answer) const
{
    auto const is_known = contains(answer);
    if (!can_be_answered_so(command, before, answer)) {
        return is_known ? answer_match::repeated : answer_match::mismatched;
    }
    if (!answer.proof.empty()) {
        if (is_known) {
            return answer_match::repeated;
        }
        return may_hold_rows_of_another(answer) ? answer_match::mismatched : answer_match::accepted;
    }
    return is_known ? answer_match::doubtful : answer_match::accepted;
}

bool answer_history::contains(member_answer const& answer) const
{
    return answer.is_handshake || (answer.proof.empty() ? m_other_answers.contains(digest_of_answer(answer))
                                                        : m_proofs.contains(digest(answer.proof)));
}

void answer_history::record(member_answer const& answer, monotonic_time sent_at)
{
    if (answer.proof.empty()) {
        m_other_answers.emplace(digest_of_answer(answer), sent_at);
    }
    else {
        m_proofs.insert(digest(answer.proof));
    }
    if (!answer.rows.empty()) {
        m_first_rows.insert(digest(answer.rows.front()));
    }
    if (answer.rows.size() > 1) {
        m_row_lists.insert(digest_of_rows(answer));
    }
}

monotonic_time answer_history::first_sent_at(member_answer const& answer, monotonic_time sent_at) const
{
    auto const found = m_other_answers.find(digest_of_answer(answer));
    return found == m_other_answers.end() ? sent_at : found->second;
}

bool answer_history::is_full() const
{
    return m_proofs.size() + m_other_answers.size() >= max_recorded_answers;
}

bool answer_history::may_hold_rows_of_another(member_answer const& answer) const
{
    return answer.rows.size() > 1 && m_first_rows.contains(digest(answer.rows.front())) &&
           !m_row_lists.contains(digest_of_rows(answer));
}

} // namespace greengagehitch
