#include "statement_ledger.h"

#include <utility>

#include <fmt/format.h>

namespace greengagehitch::standin {

namespace {

bool has_result(statement_kind kind)
{
    return kind == statement_kind::read || kind == statement_kind::write || kind == statement_kind::execute ||
           kind == statement_kind::commit;
}

} // namespace

statement_ledger::session_number statement_ledger::add_session(std::string client_account)
{
    auto const number = session_number{m_next_session++};
    m_sessions[number].client_account = std::move(client_account);
    return number;
}

void statement_ledger::record_sent(session_number session, session_statement const& statement)
{
    auto& state = m_sessions.at(session);
    state.outstanding.push_back(statement.id);
    if (statement.kind == statement_kind::begin || statement.kind == statement_kind::begin_read) {
        state.transaction = m_next_transaction++;
        m_transactions[state.transaction];
    }
    sent_statement sent;
    sent.session = session;
    sent.statement = statement;
    sent.transaction = state.transaction;
    sent.is_write = statement.kind == statement_kind::write;
    sent.session_values = state.values;
    if (auto const found = state.prepared.find(statement.name);
        statement.kind == statement_kind::execute && found != state.prepared.end()) {
        sent.statement.prepared = found->second;
        sent.is_write = found->second.is_write;
    }
    m_sent[statement.id] = std::move(sent);
    if (statement.kind == statement_kind::commit && state.transaction != 0) {
        m_transactions.at(state.transaction).is_commit_asked = true;
    }
    if (statement.kind == statement_kind::commit || statement.kind == statement_kind::rollback) {
        state.transaction = 0;
    }
}

void statement_ledger::record_answer(session_number session, session_answer const& answer)
{
    auto& state = m_sessions.at(session);
    if (state.outstanding.empty()) {
        add_finding(m_counts.mixed, "MIXED", "-", "answer while nothing was asked");
        return;
    }
    auto& sent = m_sent.at(state.outstanding.front());
    state.outstanding.pop_front();
    auto const kind = sent.statement.kind;
    if (answer.error) {
        auto const result = guarantees_no_effect(*answer.error) ? outcome::no_effect : outcome::unknown;
        sent.result = result;
        if (kind == statement_kind::commit && sent.transaction != 0) {
            m_transactions.at(sent.transaction).result = result;
        }
        if (kind == statement_kind::begin || kind == statement_kind::begin_read) {
            state.transaction = 0;
        }
        return;
    }
    sent.result = outcome::success;
    if (kind == statement_kind::commit && sent.transaction != 0) {
        m_transactions.at(sent.transaction).result = outcome::success;
    }
    if (kind == statement_kind::set_value) {
        state.values[sent.statement.name] = sent.statement.argument;
    }
    else if (kind == statement_kind::prepare) {
        state.prepared[sent.statement.name] = sent.statement.prepared;
    }
    else if (kind == statement_kind::deallocate) {
        state.prepared.erase(sent.statement.name);
    }
    if (has_result(kind)) {
        ++m_served;
        check_answer(sent, answer);
    }
}

void statement_ledger::check_answer(sent_statement const& sent, session_answer const& answer)
{
    auto const& id = sent.statement.id;
    auto const proofs = m_proofs.find(id);
    if (proofs == m_proofs.end() || !proofs->second.contains(answer.proof)) {
        add_finding(m_counts.mixed, "MIXED", id,
                    answer.proof.empty() ? "success without a proof" : "proof of another: " + answer.proof);
        return;
    }
    if (answer.rows != m_rows[answer.proof]) {
        add_finding(m_counts.mixed, "MIXED", id, "rows are not those of its proof");
    }
}

std::string statement_ledger::record_run(run_place const& place, member_command const& command)
{
    auto const found = m_sent.find(command.id);
    if (found == m_sent.end()) {
        add_finding(m_counts.unasked, "UNASKED", command.id, "id that no caller sent");
        return "proof-" + command.id;
    }
    auto& sent = found->second;
    ++sent.runs;
    check_text(sent, place, command);
    check_place(sent, place);
    auto proof = "proof-" + command.id + (sent.runs == 1 ? std::string() : fmt::format("-{}", sent.runs));
    m_proofs[command.id].insert(proof);
    return proof;
}

void statement_ledger::check_text(sent_statement const& sent, run_place const& place,
                                  member_command const& command)
{
    auto const& id = command.id;
    auto const is_execution = command.kind == command_kind::execute;
    if (is_execution != (sent.statement.kind == statement_kind::execute) ||
        (is_execution ? command.argument != sent.statement.argument : command.text != sent.statement.text)) {
        add_finding(m_counts.unasked, "UNASKED", id, "text was changed");
    }
    if (place.client_account != m_sessions.at(sent.session).client_account) {
        add_finding(m_counts.unasked, "UNASKED", id, "runs for the client account " + place.client_account);
    }
    if (!is_execution) {
        return;
    }
    auto const prepared = place.prepared.find(command.name);
    if (prepared != place.prepared.end() && prepared->second != sent.statement.prepared) {
        add_finding(m_counts.pinned, "PINNED", id, "prepared name of another shape");
    }
}

void statement_ledger::check_place(sent_statement const& sent, run_place const& place)
{
    auto const& id = sent.statement.id;
    if (place.session_values != sent.session_values) {
        add_finding(m_counts.pinned, "PINNED", id, "runs with other session values");
    }
    if (sent.transaction != 0) {
        auto& transaction = m_transactions.at(sent.transaction);
        if (transaction.connection == 0) {
            transaction.connection = place.connection;
            transaction.member_transaction = place.transaction;
        }
        if (transaction.connection != place.connection) {
            add_finding(m_counts.pinned, "PINNED", id, "another connection than the transaction's first one");
        }
        else if (place.transaction == 0 || transaction.member_transaction != place.transaction) {
            add_finding(m_counts.pinned, "PINNED", id, "outside its own transaction");
        }
    }
    if (place.transaction == 0) {
        return;
    }
    owner const own{sent.transaction, sent.transaction == 0 ? id : std::string()};
    auto const& holder = m_owners.try_emplace(place.transaction, own).first->second;
    if (holder != own) {
        add_finding(m_counts.pinned, "PINNED", id,
                    fmt::format("in the transaction of {}{}", holder.transaction, holder.statement));
    }
}

void statement_ledger::record_rows(std::string const& proof, std::vector<std::string> rows)
{
    m_rows[proof] = std::move(rows);
}

void statement_ledger::record_unreadable_command(std::string const& message)
{
    add_finding(m_counts.unasked, "UNASKED", "-", "message that no member reads: " + message);
}

void statement_ledger::record_unreadable_answer(std::string const& message)
{
    add_finding(m_counts.mixed, "MIXED", "-", "message that has no place in an answer: " + message);
}

void statement_ledger::record_commit(std::uint64_t transaction, std::string const& statement)
{
    auto const found = m_owners.find(transaction);
    if (found == m_owners.end()) {
        return;
    }
    auto const sent = m_sent.find(statement);
    auto const number = sent == m_sent.end() ? 0 : sent->second.transaction;
    auto const& holder = found->second;
    auto const is_asked = holder.transaction != 0 && number == holder.transaction &&
                          m_transactions.at(holder.transaction).is_commit_asked;
    if (!is_asked) {
        add_finding(m_counts.unasked, "UNASKED", statement,
                    fmt::format("commits the transaction of {}{}", holder.transaction, holder.statement));
    }
}

void statement_ledger::check_log(std::map<std::string, std::size_t> const& entries)
{
    for (auto const& [id, sent] : m_sent) {
        if (!sent.is_write) {
            continue;
        }
        auto const count = entries.contains(id) ? entries.at(id) : 0;
        auto const is_single = sent.transaction == 0;
        auto const result = is_single ? sent.result : m_transactions.at(sent.transaction).result;
        if (count > 1) {
            add_finding(m_counts.twice, "TWICE", id, "is in the log more than once");
        }
        if (count != 0 && result == outcome::no_effect) {
            add_finding(m_counts.refused, "REFUSED", id, "is in the log though nothing was to be kept");
        }
        if (count == 0 && result == outcome::success && sent.result == outcome::success) {
            add_finding(m_counts.missing, "missing", id, "was reported as committed");
        }
    }
}

void statement_ledger::add_finding(std::size_t& count, char const* rule, std::string const& statement,
                                   std::string const& reason)
{
    ++count;
    m_findings.push_back(fmt::format("{} {}: {}", rule, statement, reason));
}

} // namespace greengagehitch::standin
